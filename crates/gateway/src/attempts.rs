//! Record of the attempts of one request.

use std::time::Duration;

use wisteriapoint_types::Verdict;

use crate::{Failure, Problem};

const MAX_FAILURES: u32 = 3;
const MAX_REFUSALS: u32 = 8;
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Counts the failed attempts of one request and records whether one may have run.
///
/// ```
/// use wisteriapoint_gateway::Attempts;
///
/// assert!(!Attempts::new(false).may_have_run());
/// ```
#[derive(Debug)]
pub struct Attempts {
    idempotent: bool,
    failures: u32,
    refusals: u32,
    verdict: Verdict,
}

impl Attempts {
    /// Creates the record of a request without attempts.
    ///
    /// An idempotent request may be retried after an attempt that may have run.
    pub fn new(idempotent: bool) -> Self {
        Self {
            idempotent,
            failures: 0,
            refusals: 0,
            verdict: Verdict::NotRun,
        }
    }

    /// Records a failed attempt and returns `true` if another one is allowed.
    pub fn record_failure(&mut self, failure: &Failure) -> bool {
        match failure.is_refusal() {
            true => self.refusals += 1,
            false => self.failures += 1,
        }
        self.verdict = self.verdict.max(failure.verdict());
        let within_limits = self.failures < MAX_FAILURES && self.refusals < MAX_REFUSALS;
        within_limits && failure.verdict().allows_retry(self.idempotent)
    }

    /// Returns the delay before the next attempt.
    ///
    /// It grows with each refusal after the first, to give endpoints time to accept work again.
    pub fn retry_delay(&self) -> Duration {
        REFUSAL_RETRY_DELAY * self.refusals.saturating_sub(1)
    }

    /// Returns `true` if one of the attempts may have run.
    pub fn may_have_run(&self) -> bool {
        self.verdict != Verdict::NotRun
    }

    /// Converts the problem of the last attempt into the one for the caller.
    ///
    /// Its verdict is "not run" only if no attempt may have run.
    pub fn problem(&self, last: impl Into<Problem>) -> Problem {
        let last = last.into();
        Problem {
            verdict: last.verdict.max(self.verdict),
            ..last
        }
    }
}
