//! Terms of leaders, by which a run of a node decides whether it takes back the lead of the previous run on
//! its VM.

use serde::{Deserialize, Serialize};

/// Duration below which a term ended soon, in milliseconds.
const SHORT_TERM_MS: u64 = 30_000;
/// Number of returns after short terms in succession. A process that was killed once leads again at once;
/// one that ends by itself whenever it leads would keep the lead from nodes that can do the work.
const MAX_RETURNS: u32 = 1;

/// Term of a leader, in the leader row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// Time at which it began, in Unix milliseconds on the clock of the leader's VM.
    #[serde(default)]
    claimed_unix_ms: u64,
    /// Number of returns of the same VM after short terms.
    #[serde(default)]
    returns: u32,
}

impl Term {
    /// Returns a first term, which begins now.
    pub fn new(now_unix_ms: u64) -> Self {
        Self {
            claimed_unix_ms: now_unix_ms,
            returns: 0,
        }
    }

    /// Returns the term of the next run on the same VM, or `None` if it must leave the lead to others.
    pub fn next(self, now_unix_ms: u64) -> Option<Self> {
        let is_short = now_unix_ms.saturating_sub(self.claimed_unix_ms) < SHORT_TERM_MS;
        let returns = match is_short {
            true => self.returns + 1,
            false => 0,
        };
        (returns <= MAX_RETURNS).then_some(Self {
            claimed_unix_ms: now_unix_ms,
            returns,
        })
    }
}
