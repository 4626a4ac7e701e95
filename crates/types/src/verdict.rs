//! Execution status of a request that got no ordinary response.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Execution status of a request that got no ordinary response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No endpoint has run the request, and none will.
    NotRun,
    /// An endpoint may have run the request or may still do so.
    MayHaveRun,
    /// An endpoint has run the request.
    Ran,
}

impl Verdict {
    /// Returns the value of the `Wisteriapoint-Verdict` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Returns `true` if another attempt is allowed.
    ///
    /// An idempotent request may always be retried; any other only after
    /// [`Verdict::NotRun`].
    pub fn allows_retry(self, idempotent: bool) -> bool {
        idempotent || self == Self::NotRun
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
