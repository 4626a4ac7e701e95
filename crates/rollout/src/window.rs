//! Limit on the number of samples in flight.

const INITIAL_LIMIT: f64 = 64.0;
const BACKOFF_FACTOR: f64 = 0.7;
const BACKOFF_INTERVAL_MS: u64 = 1_000;

/// A concurrency limit with additive increase and multiplicative decrease.
///
/// It increases with each finished sample and decreases when a sample is refused or fails.
///
/// ```
/// use wisteriapoint_rollout::Window;
///
/// let mut window = Window::new();
/// window.set_max(1_000);
/// let before = window.limit();
/// window.record_failure(2_000);
/// assert!(window.limit() < before);
/// ```
#[derive(Debug)]
pub struct Window {
    limit: f64,
    max: f64,
    reduced_at_ms: u64,
}

impl Window {
    /// Returns a window with the initial limit, for a service of unknown capacity.
    pub fn new() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            max: INITIAL_LIMIT,
            reduced_at_ms: 0,
        }
    }

    /// Sets the upper bound of the limit: the number of requests that all engines together
    /// run concurrently.
    pub fn set_max(&mut self, requests: usize) {
        self.max = requests.max(1) as f64;
        self.limit = self.limit.min(self.max);
    }

    /// Records a finished sample and raises the limit by one, up to its upper bound.
    pub fn record_success(&mut self) {
        self.limit = (self.limit + 1.0).min(self.max);
    }

    /// Records a sample that was refused or failed; lowers the limit at most once per second.
    pub fn record_failure(&mut self, now_ms: u64) {
        if now_ms >= self.reduced_at_ms + BACKOFF_INTERVAL_MS {
            self.reduced_at_ms = now_ms;
            self.limit = (self.limit * BACKOFF_FACTOR).max(1.0);
        }
    }

    /// Returns the number of samples that may be in flight.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }
}

impl Default for Window {
    fn default() -> Self {
        Self::new()
    }
}
