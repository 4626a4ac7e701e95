//! What the attempts of one request leave behind.

use std::time::Duration;

use wisteriapoint_types::Verdict;

use crate::{Failure, Problem};

const MAX_FAILED: u32 = 3;
const MAX_REFUSED: u32 = 8;
const REFUSED_PAUSE: Duration = Duration::from_millis(50);

/// Counts the attempts of one request and remembers whether one may have run.
///
/// ```
/// use wisteriapoint_gateway::Attempts;
///
/// assert!(!Attempts::new(false).may_have_run());
/// ```
#[derive(Debug)]
pub struct Attempts {
    idempotent: bool,
    failed: u32,
    refused: u32,
    verdict: Verdict,
}

impl Attempts {
    /// Starts the count of a request.
    pub fn new(idempotent: bool) -> Self {
        Self {
            idempotent,
            failed: 0,
            refused: 0,
            verdict: Verdict::NotRun,
        }
    }

    /// Takes a failed attempt; gives whether another one is allowed.
    pub fn note(&mut self, failure: &Failure) -> bool {
        match failure.is_refusal() {
            true => self.refused += 1,
            false => self.failed += 1,
        }
        self.verdict = self.verdict.max(failure.verdict());
        let left = self.failed < MAX_FAILED && self.refused < MAX_REFUSED;
        left && failure.verdict().allows_retry(self.idempotent)
    }

    /// How long to wait before the next attempt, so that endpoints that declined may change.
    pub fn pause(&self) -> Duration {
        REFUSED_PAUSE * self.refused.saturating_sub(1)
    }

    /// Whether one of the attempts may have run.
    pub fn may_have_run(&self) -> bool {
        self.verdict != Verdict::NotRun
    }

    /// The final problem: it says "not run" only if no attempt may have run.
    pub fn problem(&self, last: impl Into<Problem>) -> Problem {
        let last = last.into();
        Problem {
            verdict: last.verdict.max(self.verdict),
            ..last
        }
    }
}
