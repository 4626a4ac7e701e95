//! The stored decisions.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::WindowCounts;

/// Number of decided windows that are kept for an absent platform. The oldest are dropped first:
/// a report that is minutes late is worth nothing.
const MAX_PENDING: usize = 24;

/// What has been decided and what the platform has not accepted yet; one row of the store, in JSON.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// First window that is not decided.
    pub first_open: u64,
    /// Decided windows that the platform has not accepted, oldest first.
    pub pending: VecDeque<WindowCounts>,
}

impl UsageRecord {
    /// Creates the record of a deployment that has decided nothing before a window.
    pub fn new(first_open: u64) -> Self {
        Self {
            first_open,
            pending: VecDeque::new(),
        }
    }

    /// Returns the record after the decision of a window.
    pub fn with_decided(mut self, decided: WindowCounts) -> Self {
        self.first_open = self.first_open.max(decided.window + 1);
        self.pending.push_back(decided);
        while self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
        self
    }

    /// Returns the record after the platform has accepted a window.
    pub fn with_accepted(mut self, window: u64) -> Self {
        self.pending.retain(|pending| pending.window != window);
        self
    }

    /// Parses a stored record.
    ///
    /// # Errors
    ///
    /// Fails if it is malformed.
    pub fn from_bytes(bytes: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(bytes)
    }

    /// Encodes the record for the store.
    ///
    /// # Errors
    ///
    /// Fails only if it can't be encoded.
    pub fn to_bytes(&self) -> serde_json::Result<Vec<u8>> {
        serde_json::to_vec(self)
    }
}
