//! The clocks of a node.

use std::time::{Duration, SystemTime};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Milliseconds since the start of the node, and the time of day.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix_ms: u64,
}

impl Clock {
    /// Starts at 0 now.
    pub fn new() -> Self {
        let since_epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        Self {
            start: Instant::now(),
            start_unix_ms: since_epoch.as_millis() as u64,
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// The time of day, Unix milliseconds; advances with the runtime's clock.
    pub fn unix_ms(&self) -> u64 {
        self.start_unix_ms + self.now_ms()
    }

    /// The moment at which [`now_ms`](Self::now_ms) reaches a value.
    pub fn instant_at(&self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Milliseconds on the clock that goes on while the VM is suspended.
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
