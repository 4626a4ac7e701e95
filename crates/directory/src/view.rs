//! Age of what a node knows of the endpoints, and the time in which it has to learn more.
//!
//! All times are in milliseconds of one clock, which also advances while the VM is suspended.

/// Time in which a request that is sent to a chosen endpoint arrives there, and in which a read of the
/// store that is due is answered and applied.
const SEND_MARGIN_MS: u64 = 300;

/// Greatest age of a view that is passed on to other nodes, and so the age of the view of a node when
/// it receives one. A node that watches the rows hears from the store at each renewal of its lease,
/// every 500 ms.
const MAX_SOURCE_AGE_MS: u64 = 600;

/// Age of the view of the endpoints.
#[derive(Debug, Default, Clone, Copy)]
pub struct View {
    as_of_ms: u64,
    is_watched: bool,
}

impl View {
    /// Creates a view that has never been current.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the view has all changes that the store had acknowledged at a time.
    pub fn confirm(&mut self, as_of_ms: u64) {
        self.as_of_ms = self.as_of_ms.max(as_of_ms);
    }

    /// Records that another node has passed on its view at a time.
    pub fn confirm_from_peer(&mut self, passed_on_ms: u64) {
        self.confirm(passed_on_ms.saturating_sub(MAX_SOURCE_AGE_MS));
    }

    /// Records that the store sends changes as they happen from now on, so that each of its answers
    /// confirms the view.
    pub fn begin_watch(&mut self) {
        self.is_watched = true;
    }

    /// Records that it no longer does.
    ///
    /// `answered_ms` is the time of the store's last answer; `None` if the watch has failed, and may
    /// have delivered nothing.
    pub fn end_watch(&mut self, answered_ms: Option<u64>) {
        if let Some(answered_ms) = answered_ms.filter(|_| self.is_watched) {
            self.confirm(answered_ms);
        }
        self.is_watched = false;
    }

    /// Returns the age of the view; `answered_ms` is the time of the store's last answer to any call.
    pub fn age_ms(&self, now_ms: u64, answered_ms: u64) -> u64 {
        let as_of_ms = match self.is_watched {
            true => self.as_of_ms.max(answered_ms),
            false => self.as_of_ms,
        };
        now_ms.saturating_sub(as_of_ms)
    }

    /// Returns the time for which the view may still be passed on to other nodes; 0 if it may not.
    pub fn source_left_ms(&self, now_ms: u64, answered_ms: u64) -> u64 {
        MAX_SOURCE_AGE_MS.saturating_sub(self.age_ms(now_ms, answered_ms))
    }

    /// Returns the time after which the node has to read the store, so that no request reaches an
    /// endpoint later than `drain_ms` after the store acknowledged that the endpoint is draining.
    pub fn left_ms(&self, now_ms: u64, answered_ms: u64, drain_ms: u64) -> u64 {
        let max_age_ms = drain_ms.saturating_sub(SEND_MARGIN_MS);
        max_age_ms.saturating_sub(self.age_ms(now_ms, answered_ms))
    }
}
