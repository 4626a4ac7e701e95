//! The age of what a node knows of the keys in force.

use std::cell::Cell;

/// Part of the bound that is left for the transit of an answer and for clocks that run unevenly, in
/// milliseconds.
const MARGIN_MS: u64 = 250;

/// The time as of which the configuration of a node is known to be the newest.
///
/// Times are those of the clock that includes suspension. A key may have been removed at any time
/// after the last confirmation, so a request that arrives within the bound after it was sent before
/// the removal had to be in force.
#[derive(Debug, Default)]
pub struct Knowledge {
    confirmed_boot_ms: Cell<Option<u64>>,
}

impl Knowledge {
    /// Creates knowledge that has never been confirmed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the configuration was the newest as of a time.
    ///
    /// For an answer of the store, that is the time at which the call began.
    pub fn confirm(&self, as_of_boot_ms: u64) {
        let confirmed = self.confirmed_boot_ms.get().max(Some(as_of_boot_ms));
        self.confirmed_boot_ms.set(confirmed);
    }

    /// Returns the age, in milliseconds; `None` if nothing was ever confirmed.
    pub fn age_ms(&self, now_boot_ms: u64) -> Option<u64> {
        let confirmed = self.confirmed_boot_ms.get()?;
        Some(now_boot_ms.saturating_sub(confirmed))
    }

    /// Returns the time for which keys may still be accepted, in milliseconds; 0 if none may.
    ///
    /// `bound_ms` is the time after which a removed key must have no effect.
    pub fn left_ms(&self, now_boot_ms: u64, bound_ms: u64) -> u64 {
        let usable_ms = bound_ms.saturating_sub(MARGIN_MS);
        match self.age_ms(now_boot_ms) {
            Some(age_ms) => usable_ms.saturating_sub(age_ms),
            None => 0,
        }
    }
}
