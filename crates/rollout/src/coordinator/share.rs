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
    pub(super) fn join(&mut self, trainer: &TrainerName) {
        let least = self.tokens.values().min().copied().unwrap_or_default();
        self.tokens.entry(trainer.clone()).or_insert(least);
    }

    pub(super) fn leave(&mut self, trainer: &TrainerName) {
        self.tokens.remove(trainer);
    }

    pub(super) fn get(&self, trainer: &TrainerName) -> u64 {
        self.tokens.get(trainer).copied().unwrap_or_default()
    }

    pub(super) fn charge(&mut self, trainer: &TrainerName, tokens: u32) {
        if let Some(given) = self.tokens.get_mut(trainer) {
            *given += u64::from(tokens);
        }
    }

    /// Puts the tokens that were used in place of those that were expected.
    pub(super) fn correct(&mut self, trainer: &TrainerName, expected: u32, used: u32) {
        if let Some(given) = self.tokens.get_mut(trainer) {
            *given = given.saturating_sub(u64::from(expected)) + u64::from(used);
        }
    }
}
