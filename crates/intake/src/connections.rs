//! The callers' connections of a node.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Time without a byte after which a connection that sends a body may be closed, in milliseconds.
const MAX_SILENT_BODY_MS: u64 = 1_000;
/// Time after which a connection that still sends a body may be closed, in milliseconds.
const MAX_CONTENDED_BODY_MS: u64 = 5_000;

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No head has been received, or an answer is being sent.
    Idle,
    /// A body is being received since the given time.
    Body {
        /// Time at which the head was complete, in milliseconds.
        since_ms: u64,
    },
    /// The request runs.
    Running,
}

#[derive(Debug)]
struct Entry {
    stage: Stage,
    active_at_ms: u64,
    is_closed: bool,
    wakers: Vec<Waker>,
}

#[derive(Debug, Default)]
struct Table {
    entries: BTreeMap<u64, Entry>,
    next_id: u64,
}

/// The open connections; clones share them.
#[derive(Debug, Clone)]
pub struct Connections {
    max: usize,
    table: Rc<RefCell<Table>>,
}

/// An open connection, which counts until it is dropped.
#[derive(Debug)]
pub struct Connection {
    table: Rc<RefCell<Table>>,
    id: u64,
}

impl Connections {
    /// Creates a table of at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            table: Rc::default(),
        }
    }

    /// Returns the number of connections that are not being closed.
    pub fn count(&self) -> usize {
        let table = self.table.borrow();
        let open = table.entries.values().filter(|entry| !entry.is_closed);
        open.count()
    }

    /// Returns `true` if another connection may be accepted.
    pub fn has_room(&self) -> bool {
        self.table.borrow().entries.len() < self.max
    }

    /// Asks a connection to close in favour of a new one: an idle one, or one that is slow to send its
    /// body; returns `false` if there is none.
    pub fn close_one(&self, now_ms: u64) -> bool {
        let mut table = self.table.borrow_mut();
        let open = table.entries.values_mut().filter(|entry| !entry.is_closed);
        let yielding = open.filter_map(|entry| {
            let silent_ms = now_ms.saturating_sub(entry.active_at_ms);
            match entry.stage {
                Stage::Idle => Some(((0, entry.active_at_ms), entry)),
                Stage::Body { .. } if silent_ms >= MAX_SILENT_BODY_MS => {
                    Some(((1, entry.active_at_ms), entry))
                }
                Stage::Body { since_ms }
                    if now_ms.saturating_sub(since_ms) >= MAX_CONTENDED_BODY_MS =>
                {
                    Some(((2, since_ms), entry))
                }
                Stage::Body { .. } | Stage::Running => None,
            }
        });
        let Some((_, entry)) = yielding.min_by_key(|&(rank, _)| rank) else {
            return false;
        };
        entry.is_closed = true;
        entry.wakers.drain(..).for_each(Waker::wake);
        true
    }

    /// Counts a new connection.
    pub fn open(&self, now_ms: u64) -> Connection {
        let mut table = self.table.borrow_mut();
        let id = table.next_id;
        table.next_id += 1;
        let entry = Entry {
            stage: Stage::Idle,
            active_at_ms: now_ms,
            is_closed: false,
            wakers: Vec::new(),
        };
        table.entries.insert(id, entry);
        Connection {
            table: self.table.clone(),
            id,
        }
    }
}

impl Connection {
    /// Records that bytes were received or sent.
    pub fn record_activity(&self, now_ms: u64) {
        self.update(|entry| entry.active_at_ms = now_ms);
    }

    /// Sets what the connection is used for.
    pub fn set_stage(&self, stage: Stage) {
        self.update(|entry| entry.stage = stage);
    }

    /// Returns `true` while no request is being received or runs.
    pub fn is_idle(&self) -> bool {
        let table = self.table.borrow();
        let entry = table.entries.get(&self.id);
        entry.is_some_and(|entry| entry.stage == Stage::Idle)
    }

    /// Waits until the connection is asked to close.
    pub fn poll_closed(&self, context: &Context<'_>) -> Poll<()> {
        let mut table = self.table.borrow_mut();
        match table.entries.get_mut(&self.id) {
            Some(entry) if !entry.is_closed => {
                // The connection and the reader of a body on it may wait at the same time.
                let waker = context.waker();
                if !entry.wakers.iter().any(|known| known.will_wake(waker)) {
                    entry.wakers.push(waker.clone());
                }
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }

    fn update(&self, update: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.table.borrow_mut().entries.get_mut(&self.id) {
            update(entry);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.table.borrow_mut().entries.remove(&self.id);
    }
}
