//! The budget of retries.

const CAPACITY: f64 = 64.0;

/// A bucket that first attempts fill and retries empty, so that retries stay a share of
/// the traffic.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    available: f64,
}

impl RetryBudget {
    /// Makes a full budget; `ratio` is the share of requests that may be retries.
    pub fn new(ratio: f64) -> Self {
        Self {
            ratio,
            available: CAPACITY,
        }
    }

    /// Changes the share.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.available = (self.available + self.ratio).min(CAPACITY);
    }

    /// Takes one retry; gives whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let granted = self.available >= 1.0;
        if granted {
            self.available -= 1.0;
        }
        granted
    }
}
