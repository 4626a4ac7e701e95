//! How much work was asked of each model of late.

use std::collections::BTreeMap;

/// Time after which work counts half, in milliseconds: many steps of a trainer with steps of
/// seconds, so that shares of engines follow trainers and not single steps.
const HALF_LIFE_MS: f64 = 60_000.0;

/// Work by model, in expected tokens.
pub type Work = BTreeMap<Box<str>, f64>;

/// Work by model, older work counting less.
#[derive(Debug, Default)]
pub struct Demand {
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

impl Demand {
    /// Nothing was asked yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds work that is asked now.
    pub fn add(&mut self, now_ms: u64, model: &str, tokens: f64) {
        let previous = self.models.get(model);
        let tokens = tokens + previous.map_or(0.0, |decayed| decayed.tokens_at(now_ms));
        let at_ms = now_ms;
        self.models
            .insert(model.into(), DecayedTokens { tokens, at_ms });
    }

    /// The work of each model, as it counts now.
    pub fn work(&self, now_ms: u64) -> Work {
        let models = self.models.iter();
        models
            .map(|(model, decayed)| (model.clone(), decayed.tokens_at(now_ms)))
            .collect()
    }
}
