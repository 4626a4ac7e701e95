//! Errors of the platform.

use serde::{Deserialize, Serialize};

/// Why a call to the platform gave no result.
#[derive(Debug, Clone, thiserror::Error, Serialize, Deserialize)]
pub enum Error {
    /// The answer did not come; a write may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unavailable(Box<str>),
    /// The platform could not be reached or refused the call; nothing took effect.
    #[error("the platform refused the call: {0}")]
    Refused(Box<str>),
    /// The changes after the revision asked for are no longer kept.
    #[error("the history is no longer kept")]
    HistoryGone,
    /// The platform refused the call for its rate limit; nothing took effect.
    #[error("the platform's rate limit is reached")]
    RateLimited,
    /// The answer could not be understood.
    #[error("the platform's answer is malformed: {0}")]
    Malformed(Box<str>),
    /// The lease is unknown or has lapsed.
    #[error("the lease has lapsed")]
    LeaseLapsed,
}

impl Error {
    /// Whether a write may have taken effect although it failed.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::Malformed(_))
    }

    /// Whether a watch has to start anew from a read of all rows.
    pub fn is_history_gone(&self) -> bool {
        matches!(self, Self::HistoryGone)
    }

    /// Whether the platform is well and has answered.
    pub fn is_healthy_response(&self) -> bool {
        matches!(self, Self::HistoryGone | Self::LeaseLapsed)
    }

    /// Whether a lease has ended.
    pub fn is_lease_lapsed(&self) -> bool {
        matches!(self, Self::LeaseLapsed)
    }
}
