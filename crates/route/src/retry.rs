//! Retry budget.

const MAX_AVAILABLE_RETRIES: f64 = 64.0;

/// Token bucket that first attempts fill and retries drain, which limits retries to a share
/// of the traffic.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    available: f64,
}

impl RetryBudget {
    /// Creates a full budget that earns `ratio` of a retry per first attempt.
    pub fn new(ratio: f64) -> Self {
        Self {
            ratio,
            available: MAX_AVAILABLE_RETRIES,
        }
    }

    /// Sets the part of a retry that each first attempt earns.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Credits a first attempt.
    pub fn deposit(&mut self) {
        self.available = (self.available + self.ratio).min(MAX_AVAILABLE_RETRIES);
    }

    /// Takes one retry and returns `true` if one was left.
    pub fn withdraw(&mut self) -> bool {
        let granted = self.available >= 1.0;
        if granted {
            self.available -= 1.0;
        }
        granted
    }
}
