//! Tracks whether the store answers the calls of this node.

use std::cell::Cell;
use std::fmt::Display;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

use crate::event;

/// Time without any answer after which rows may have expired, in milliseconds. Shorter failures
/// concern only this node's own connection: its next call goes through a peer, and the store still
/// serves the writers of the rows.
const OUTAGE_MS: u64 = 300;

/// Availability of the store as seen from this node, and the end of its last outage.
#[derive(Debug, Default)]
pub struct StoreHealth {
    failing_since_ms: Cell<Option<u64>>,
    outage_end_ms: Cell<Option<u64>>,
    recovered: Notify,
    watches_doubted: Notify,
}

impl StoreHealth {
    /// Creates a state without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a call that got no answer; `error` is written to the log.
    pub fn record_failure(&self, now_ms: u64, error: &impl Display) {
        if self.failing_since_ms.get().is_none() {
            self.failing_since_ms.set(Some(now_ms));
            event!(warn, "store does not answer", error = error);
        }
    }

    /// Records an answer, which ends an outage.
    pub fn record_answer(&self, now_ms: u64) {
        if let Some(since_ms) = self.failing_since_ms.take() {
            if now_ms >= since_ms + OUTAGE_MS {
                self.outage_end_ms.set(Some(now_ms));
            }
            event!(info, "store answers again", after_ms = now_ms - since_ms);
            self.recovered.notify_waiters();
        }
    }

    /// Records that a read has found a change that a watch did not deliver.
    pub fn record_missed_change(&self) {
        self.watches_doubted.notify_waiters();
    }

    /// Waits until the store answers again after a failure.
    pub async fn recovered(&self) {
        self.recovered.notified().await;
    }

    /// Waits until an open watch may be on a connection that no longer receives anything: the store
    /// answers again after a failure, or a watch has missed a change.
    pub async fn watches_doubted(&self) {
        tokio::select! {
            () = self.recovered() => {}
            () = self.watches_doubted.notified() => {}
        }
    }

    /// Sleeps for `pause`, or until the store answers again after a failure.
    pub async fn pause(&self, pause: Duration) {
        tokio::select! {
            () = sleep(pause) => {}
            () = self.recovered() => {}
        }
    }

    /// Returns `true` if the last call got no answer.
    pub fn is_failing(&self) -> bool {
        self.failing_since_ms.get().is_some()
    }

    /// Returns `true` during an outage of the store.
    pub fn is_out(&self, now_ms: u64) -> bool {
        let since_ms = self.failing_since_ms.get();
        since_ms.is_some_and(|since_ms| now_ms >= since_ms + OUTAGE_MS)
    }

    /// Returns the end of the last outage of the store; `now_ms` during one.
    pub fn outage_end_ms(&self, now_ms: u64) -> Option<u64> {
        match self.is_out(now_ms) {
            true => Some(now_ms),
            false => self.outage_end_ms.get(),
        }
    }
}
