//! Recently requested work of each model.

use std::collections::BTreeMap;

/// Time in which the weight of past work halves, in milliseconds. It spans many steps of a trainer
/// whose steps take seconds, so that engine shares follow trainers and not single steps.
const HALF_LIFE_MS: f64 = 60_000.0;

/// Requested work by model, in expected output tokens.
pub type Work = BTreeMap<Box<str>, f64>;

/// Requested work by model, with exponential decay.
#[derive(Debug, Default)]
pub struct RequestedWork {
    models: BTreeMap<Box<str>, DecayedTokens>,
}

#[derive(Debug, Clone, Copy)]
struct DecayedTokens {
    tokens: f64,
    at_ms: u64,
}

impl DecayedTokens {
    fn tokens_at(self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.tokens * (-age_ms / HALF_LIFE_MS).exp2()
    }
}

impl RequestedWork {
    /// Creates a record without any work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds work of `tokens` expected output tokens, requested at `now_ms`.
    pub fn add(&mut self, now_ms: u64, model: &str, tokens: f64) {
        let previous = self.models.get(model);
        let tokens = tokens + previous.map_or(0.0, |decayed| decayed.tokens_at(now_ms));
        let at_ms = now_ms;
        self.models
            .insert(model.into(), DecayedTokens { tokens, at_ms });
    }

    /// Returns the work of each model, decayed to `now_ms`.
    pub fn work(&self, now_ms: u64) -> Work {
        let models = self.models.iter();
        models
            .map(|(model, decayed)| (model.clone(), decayed.tokens_at(now_ms)))
            .collect()
    }
}
