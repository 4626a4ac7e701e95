//! What this node holds for callers, and how often it refused them for that.

use std::cell::Cell;

use tokio::sync::Semaphore;
use wisteriapoint_intake::{Budget, Connections, Limits};

/// Interval between two log lines about refusals, of which a crowd causes thousands a second.
const LOG_INTERVAL_MS: u64 = 1_000;
/// Number of parts of submissions that are read from the store or written to it at the same time. Each takes
/// several times its size, for its base64 text, the text of the call and its buffers.
const MAX_PART_TRANSFERS: usize = 2;

/// Bytes and connections held for callers.
#[derive(Debug)]
pub struct Intake {
    /// Bytes of bodies and answers.
    pub budget: Budget,
    /// Open connections of callers.
    pub connections: Connections,
    /// Permits for calls to the store with a part of a submission.
    pub part_transfers: Semaphore,
    next_log_ms: Cell<u64>,
    unlogged: Cell<u64>,
}

impl Intake {
    /// Creates a state in which nothing is held.
    pub fn new(limits: Limits) -> Self {
        Self {
            budget: Budget::new(limits),
            connections: Connections::new(limits.connections),
            part_transfers: Semaphore::new(MAX_PART_TRANSFERS),
            next_log_ms: Cell::new(0),
            unlogged: Cell::new(0),
        }
    }

    /// Counts a refusal; returns the number of those to be logged in one line, if one is due.
    pub fn count_refusal(&self, now_ms: u64) -> Option<u64> {
        let count = self.unlogged.get() + 1;
        if now_ms < self.next_log_ms.get() {
            self.unlogged.set(count);
            return None;
        }
        self.unlogged.set(0);
        self.next_log_ms.set(now_ms + LOG_INTERVAL_MS);
        Some(count)
    }
}
