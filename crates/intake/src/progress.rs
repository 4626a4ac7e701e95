//! Progress of a body, in bytes within a span of time.

/// Bytes that count as progress. Within the usual idle timeout of a connection, 15 s, this is 17
/// bytes/s, so that no honest caller is refused for its slowness alone.
const PROGRESS_BYTES: usize = 256;

/// Time and size at the last progress.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    at_ms: u64,
    bytes: usize,
}

impl Progress {
    /// Begins with a body without bytes.
    pub fn new(now_ms: u64) -> Self {
        Self {
            at_ms: now_ms,
            bytes: 0,
        }
    }

    /// Records the size of the body, which is progress if it has grown enough.
    pub fn record(&mut self, size_bytes: usize, now_ms: u64) {
        if size_bytes - self.bytes >= PROGRESS_BYTES {
            *self = Self {
                at_ms: now_ms,
                bytes: size_bytes,
            };
        }
    }

    /// Returns the time since the last progress, in milliseconds.
    pub fn stalled_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.at_ms)
    }
}
