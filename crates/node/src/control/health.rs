//! Whether the store answers this node.

use std::cell::Cell;
use std::fmt::Display;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

use crate::event;

/// Whether the store answers, and when trouble with it ended last.
#[derive(Debug, Default)]
pub struct Health {
    failing_since_ms: Cell<Option<u64>>,
    trouble_end_ms: Cell<Option<u64>>,
    regained: Notify,
}

impl Health {
    /// No trouble yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a call that got no answer.
    pub fn failed(&self, now_ms: u64, why: &dyn Display) {
        if self.failing_since_ms.get().is_none() {
            self.failing_since_ms.set(Some(now_ms));
            event!(warn, "store lost", why = why);
        }
    }

    /// Notes an answer.
    pub fn answered(&self, now_ms: u64) {
        if let Some(since_ms) = self.failing_since_ms.take() {
            self.trouble_end_ms.set(Some(now_ms));
            event!(info, "store regained", after_ms = now_ms - since_ms);
            self.regained.notify_waiters();
        }
    }

    /// Waits until the store answers again after trouble.
    ///
    /// A watch that was open meanwhile may be on a connection that hears nothing any more.
    pub async fn regained(&self) {
        self.regained.notified().await;
    }

    /// Sleeps, but not longer than until the store answers again after trouble.
    pub async fn pause(&self, pause: Duration) {
        tokio::select! {
            () = sleep(pause) => {}
            () = self.regained() => {}
        }
    }

    /// Whether the last call got no answer.
    pub fn is_failing(&self) -> bool {
        self.failing_since_ms.get().is_some()
    }

    /// When trouble ended last; in the far future while it lasts.
    pub fn trouble_end_ms(&self) -> Option<u64> {
        match self.failing_since_ms.get() {
            Some(_) => Some(u64::MAX / 2),
            None => self.trouble_end_ms.get(),
        }
    }
}
