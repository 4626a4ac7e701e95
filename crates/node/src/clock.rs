//! The clocks of a node.

use std::time::{Duration, SystemTime};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Clock that counts milliseconds since the start of a node and derives the time of day.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix_ms: u64,
    start_boot_ms: u64,
}

impl Clock {
    /// Starts a clock whose time is 0 now.
    pub fn new() -> Self {
        let since_epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        Self {
            start: Instant::now(),
            start_unix_ms: since_epoch.as_millis() as u64,
            start_boot_ms: boot_ms(),
        }
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the time of day in Unix milliseconds, which advances with the runtime's clock.
    pub fn unix_ms(&self) -> u64 {
        self.start_unix_ms + self.now_ms()
    }

    /// Returns the time of day in Unix milliseconds, as it was at the start and has advanced since,
    /// suspension included; steps of the VM's time of day have no effect.
    pub fn unix_ms_with_suspension(&self) -> u64 {
        self.start_unix_ms + boot_ms().saturating_sub(self.start_boot_ms)
    }

    /// Returns the instant at which [`now_ms`](Self::now_ms) reaches `at_ms`.
    pub fn instant_at(&self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time since boot in milliseconds, on the clock that also advances while the VM is
/// suspended.
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
