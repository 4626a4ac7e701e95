//! Fair shares of trainers.

use std::collections::BTreeMap;

use wisteriapoint_types::TrainerName;

/// Tokens given to each trainer; the one with the fewest is next.
#[derive(Debug, Default)]
pub(super) struct Shares {
    tokens: BTreeMap<TrainerName, u64>,
}

impl Shares {
    /// Adds a trainer, which starts level with the one that is next.
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

    /// Puts the tokens that were used in place of those that were expected.
    pub(super) fn correct(&mut self, trainer: &TrainerName, expected: u32, used: u32) {
        if let Some(charged) = self.tokens.get_mut(trainer) {
            *charged = charged.saturating_sub(u64::from(expected)) + u64::from(used);
        }
    }
}
