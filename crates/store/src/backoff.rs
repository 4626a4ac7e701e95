//! Pauses between attempts at a platform that does not answer.

use std::time::Duration;

use rand::RngExt;

const INITIAL_BOUND: Duration = Duration::from_millis(200);
const MAX_BOUND: Duration = Duration::from_secs(5);

/// Doubling pauses with jitter, so that daemons do not come back all at once.
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
    /// Starts with the shortest pause.
    pub fn new() -> Self {
        Self {
            bound: INITIAL_BOUND,
        }
    }

    /// The next pause: between half the bound and the bound.
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
