//! Whether the store answers this node.

use std::cell::Cell;
use std::fmt::Display;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

use crate::event;

/// Time without any answer from which on rows may have lapsed, in milliseconds. Shorter trouble
/// is that of this node's own way: the next call goes through a peer, and the store serves those
/// who write the rows.
const OUTAGE_MS: u64 = 300;

/// Whether the store answers, and when it was out of reach last.
#[derive(Debug, Default)]
pub struct Health {
    failing_since_ms: Cell<Option<u64>>,
    outage_end_ms: Cell<Option<u64>>,
    recovered: Notify,
}

impl Health {
    /// No trouble yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a call that got no answer.
    pub fn record_failure(&self, now_ms: u64, error: &impl Display) {
        if self.failing_since_ms.get().is_none() {
            self.failing_since_ms.set(Some(now_ms));
            event!(warn, "store lost", why = error);
        }
    }

    /// Notes an answer.
    pub fn record_answer(&self, now_ms: u64) {
        if let Some(since_ms) = self.failing_since_ms.take() {
            if now_ms >= since_ms + OUTAGE_MS {
                self.outage_end_ms.set(Some(now_ms));
            }
            event!(info, "store regained", after_ms = now_ms - since_ms);
            self.recovered.notify_waiters();
        }
    }

    /// Waits until the store answers again after trouble.
    ///
    /// A watch that was open meanwhile may be on a connection that hears nothing any more.
    pub async fn recovered(&self) {
        self.recovered.notified().await;
    }

    /// Sleeps, but not longer than until the store answers again after trouble.
    pub async fn pause(&self, pause: Duration) {
        tokio::select! {
            () = sleep(pause) => {}
            () = self.recovered() => {}
        }
    }

    /// Whether the last call got no answer.
    pub fn is_failing(&self) -> bool {
        self.failing_since_ms.get().is_some()
    }

    /// When the last outage of the store ended; now, while one lasts.
    pub fn outage_end_ms(&self, now_ms: u64) -> Option<u64> {
        match self.failing_since_ms.get() {
            Some(since_ms) if now_ms >= since_ms + OUTAGE_MS => Some(now_ms),
            _ => self.outage_end_ms.get(),
        }
    }
}
