//! Pauses between attempts to call a platform that does not respond.

use std::time::Duration;

use rand::RngExt;

const INITIAL_BOUND: Duration = Duration::from_millis(200);
const MAX_BOUND: Duration = Duration::from_secs(5);

/// Exponential backoff with jitter, so that daemons do not retry all at once.
///
/// ```
/// use std::time::Duration;
/// use wisteriapoint_store::Backoff;
///
/// let mut backoff = Backoff::new();
/// assert!(backoff.next_pause() <= Duration::from_millis(200));
/// assert!(backoff.next_pause() <= Duration::from_millis(400));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    bound: Duration,
}

impl Backoff {
    /// Creates a backoff whose next pause is the shortest.
    pub fn new() -> Self {
        Self {
            bound: INITIAL_BOUND,
        }
    }

    /// Returns the next pause, between half the current bound and the bound, and doubles the
    /// bound up to its maximum.
    pub fn next_pause(&mut self) -> Duration {
        let share = rand::rng().random_range(0.5..=1.0);
        let pause = self.bound.mul_f64(share);
        self.bound = (self.bound * 2).min(MAX_BOUND);
        pause
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}
