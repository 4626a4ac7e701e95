//! Parameters of decisions, and the measured error of estimates.

use crate::{HINT_ERROR, Request};

/// Time after which a waiting request gains a level of priority, in milliseconds. Callers, whose
/// deadlines are at most some seconds, never gain one; items of batch jobs do.
const AGING_MS: u64 = 10_000;

/// Weight of a new measurement in the mean error of estimates; some tens of requests decide.
const ERROR_WEIGHT: f64 = 0.03;

/// Multiple of the mean logarithmic error that is admitted. If errors are evenly distributed up to a
/// factor, in logarithms, twice their mean is that factor.
const ERROR_MULTIPLE: f64 = 2.0;

/// Parameters of a decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Time after which a waiting request gains a level of priority, in milliseconds.
    pub aging_ms: u64,
    /// Factor by which estimates may be too high, from 1 to [`HINT_ERROR`].
    pub hint_error: f64,
}

impl Rules {
    /// Returns the least time in a slot that a request may need still, in milliseconds.
    pub fn least_remaining_ms(&self, request: &Request) -> u64 {
        self.least_ms(request.work_ms)
            .saturating_sub(request.spent_ms)
    }

    /// Returns the least time that work may take, in milliseconds.
    pub(crate) fn least_ms(&self, work_ms: u64) -> u64 {
        (work_ms as f64 / self.hint_error.clamp(1.0, HINT_ERROR as f64)) as u64
    }
}

impl Default for Rules {
    /// Returns the rules for estimates of which nothing is known.
    fn default() -> Self {
        Self {
            aging_ms: AGING_MS,
            hint_error: HINT_ERROR as f64,
        }
    }
}

/// Measures by how much estimates are wrong.
///
/// Until requests have completed, the largest error is assumed.
#[derive(Debug, Clone)]
pub struct HintErrors {
    mean_log: f64,
}

impl HintErrors {
    /// Creates a measurement without requests.
    pub fn new() -> Self {
        Self {
            mean_log: (HINT_ERROR as f64).ln() / ERROR_MULTIPLE,
        }
    }

    /// Records the estimate and the actual work of a request that has completed.
    pub fn record(&mut self, hint_ms: u64, actual_ms: u64) {
        let ratio = actual_ms.max(1) as f64 / hint_ms.max(1) as f64;
        self.mean_log += ERROR_WEIGHT * (ratio.ln().abs() - self.mean_log);
    }

    /// Returns the factor for [`Rules::hint_error`].
    pub fn factor(&self) -> f64 {
        let factor = (self.mean_log * ERROR_MULTIPLE).exp();
        factor.clamp(1.0, HINT_ERROR as f64)
    }
}

impl Default for HintErrors {
    fn default() -> Self {
        Self::new()
    }
}
