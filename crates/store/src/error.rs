//! Errors of calls to the platform.

use serde::{Deserialize, Serialize};

/// Error of a call to the platform.
#[derive(Debug, Clone, thiserror::Error, Serialize, Deserialize)]
pub enum Error {
    /// No usable response arrived; a write may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unavailable(Box<str>),
    /// The platform could not be reached or refused the call; nothing took effect.
    #[error("the platform refused the call: {0}")]
    Refused(Box<str>),
    /// The platform no longer stores the changes after the requested revision.
    #[error("the history is no longer kept")]
    HistoryGone,
    /// The platform refused the call because of its rate limit; nothing took effect.
    #[error("the platform's rate limit is reached")]
    RateLimited,
    /// The response could not be decoded; a write may have taken effect.
    #[error("the platform's answer is malformed: {0}")]
    Malformed(Box<str>),
    /// The platform does not have the lease, or it has expired.
    #[error("the lease has lapsed")]
    #[serde(rename = "LeaseLapsed")]
    LeaseExpired,
}

impl Error {
    /// Returns `true` if a write may have taken effect although its call failed.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::Malformed(_))
    }

    /// Returns the error of a call that failed with `earlier` on one path and then with `self` on
    /// another.
    ///
    /// A refusal on the second path says nothing of a write that was sent on the first.
    ///
    /// ```
    /// use wisteriapoint_store::Error;
    ///
    /// let timed_out = Error::Unavailable("timeout".into());
    /// assert!(Error::RateLimited.after(timed_out).may_have_taken_effect());
    /// ```
    pub fn after(self, earlier: Self) -> Self {
        match self {
            Self::Refused(_) | Self::RateLimited if earlier.may_have_taken_effect() => earlier,
            error => error,
        }
    }

    /// Returns `true` if a watch has to be restarted with a read of all rows.
    pub fn is_history_gone(&self) -> bool {
        matches!(self, Self::HistoryGone)
    }

    /// Returns `true` if the error is a regular response of a healthy platform.
    pub fn is_healthy_response(&self) -> bool {
        matches!(self, Self::HistoryGone | Self::LeaseExpired)
    }

    /// Returns `true` if the lease has expired or the platform does not have it.
    pub fn is_lease_expired(&self) -> bool {
        matches!(self, Self::LeaseExpired)
    }
}
