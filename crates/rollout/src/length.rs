//! Expected lengths of samples, estimated per prompt.

use std::collections::{BTreeMap, VecDeque};

use wisteriapoint_types::hash64;

const MAX_PROMPTS: usize = 1 << 16;
const SMOOTHING: f64 = 0.5;

/// Moving averages of the sample lengths of each prompt; the oldest prompts are evicted.
#[derive(Debug, Default)]
pub(crate) struct Lengths {
    tokens: BTreeMap<u64, f64>,
    order: VecDeque<u64>,
}

impl Lengths {
    /// Returns the expected length in tokens, at most `max_tokens`, which is also the result
    /// for a prompt without finished samples.
    pub(crate) fn expected(&self, prompt: &str, max_tokens: u32) -> u32 {
        let average = self.tokens.get(&hash(prompt));
        average.map_or(max_tokens, |tokens| (tokens.ceil() as u32).min(max_tokens))
    }

    /// Adds the length of a finished sample to the prompt's average.
    pub(crate) fn record(&mut self, prompt: &str, tokens: u32) {
        let hash = hash(prompt);
        let tokens = f64::from(tokens);
        match self.tokens.get_mut(&hash) {
            Some(average) => *average += SMOOTHING * (tokens - *average),
            None => self.insert(hash, tokens),
        }
    }

    fn insert(&mut self, hash: u64, tokens: f64) {
        self.tokens.insert(hash, tokens);
        self.order.push_back(hash);
        if self.order.len() > MAX_PROMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.tokens.remove(&oldest);
        }
    }
}

fn hash(prompt: &str) -> u64 {
    hash64(0, prompt.as_bytes())
}
