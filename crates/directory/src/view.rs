//! Age of what a node knows of the endpoints, and the time in which it has to learn more.
//!
//! All times are in milliseconds of one clock, which also advances while the VM is suspended.

/// Time in which a request that is sent to a chosen endpoint arrives there, and in which a read of the
/// store that is due is answered and applied.
const SEND_MARGIN_MS: u64 = 300;

/// Greatest age of a view that is passed on to other nodes, and so the age of the view of a node when
/// it receives one.
const MAX_SOURCE_AGE_MS: u64 = 800;
/// Time in which a watch that ends without a change is answered, on a store that is not slow.
const WATCH_ANSWER_MS: u64 = 100;
/// Shortest wait of a watch, on a store so slow that the view is too old already.
const MIN_WATCH_WAIT_MS: u64 = 100;

/// Age of the view of the endpoints.
///
/// An open watch says nothing of its age: its connection may deliver nothing any more, while other calls
/// to the store are answered.
#[derive(Debug, Default, Clone, Copy)]
pub struct View {
    as_of_ms: u64,
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

    /// Returns the age of the view.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.as_of_ms)
    }

    /// Returns the time for which the view may still be passed on to other nodes; 0 if it may not.
    pub fn source_left_ms(&self, now_ms: u64) -> u64 {
        MAX_SOURCE_AGE_MS.saturating_sub(self.age_ms(now_ms))
    }

    /// Returns the longest wait of a watch that confirms the view while it may still be passed on.
    pub fn source_wait_ms(&self, now_ms: u64) -> u64 {
        let left_ms = self.source_left_ms(now_ms);
        left_ms
            .saturating_sub(WATCH_ANSWER_MS)
            .max(MIN_WATCH_WAIT_MS)
    }

    /// Returns the time after which the node has to read the store, so that no request reaches an
    /// endpoint later than `drain_ms` after the store acknowledged that the endpoint is draining.
    pub fn left_ms(&self, now_ms: u64, drain_ms: u64) -> u64 {
        let max_age_ms = drain_ms.saturating_sub(SEND_MARGIN_MS);
        max_age_ms.saturating_sub(self.age_ms(now_ms))
    }
}
