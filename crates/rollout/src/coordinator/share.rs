//! Fair sharing of tokens between trainers.

use std::collections::BTreeMap;

use wisteriapoint_types::TrainerName;

/// Tokens charged to each trainer; the trainer with the fewest is served next.
#[derive(Debug, Default)]
pub(super) struct Shares {
    tokens: BTreeMap<TrainerName, u64>,
}

impl Shares {
    /// Adds a trainer with the same number of tokens as the one that is served next.
    pub(super) fn add_trainer(&mut self, trainer: &TrainerName) {
        let fewest = self.tokens.values().min().copied().unwrap_or_default();
        self.tokens.entry(trainer.clone()).or_insert(fewest);
    }

    pub(super) fn remove_trainer(&mut self, trainer: &TrainerName) {
        self.tokens.remove(trainer);
    }

    pub(super) fn tokens(&self, trainer: &TrainerName) -> u64 {
        self.tokens.get(trainer).copied().unwrap_or_default()
    }

    pub(super) fn charge(&mut self, trainer: &TrainerName, tokens: u32) {
        if let Some(charged) = self.tokens.get_mut(trainer) {
            *charged += u64::from(tokens);
        }
    }

    /// Replaces the expected tokens of an attempt with the tokens that it used.
    pub(super) fn correct(&mut self, trainer: &TrainerName, expected: u32, used: u32) {
        if let Some(charged) = self.tokens.get_mut(trainer) {
            *charged = charged.saturating_sub(u64::from(expected)) + u64::from(used);
        }
    }
}
