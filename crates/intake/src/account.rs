//! Counts of the bytes held, and the choice of the bodies that give way.

use std::collections::BTreeMap;
use std::task::Waker;

use crate::limits::Limits;
use crate::progress::Progress;
use crate::storage::Storage;

/// Time without progress after which a body gives way to any other one, in milliseconds.
const MAX_CONTENDED_STALL_MS: u64 = 1_000;
/// A body that has not been received to its end.
#[derive(Debug)]
pub(crate) struct Unfinished {
    pub(crate) storage: Storage,
    pub(crate) max_bytes: Option<usize>,
    pub(crate) waker: Option<Waker>,
    progress: Progress,
}

impl Unfinished {
    pub(crate) fn new(max_bytes: Option<usize>, now_ms: u64) -> Self {
        Self {
            storage: Storage::default(),
            max_bytes,
            waker: None,
            progress: Progress::new(now_ms),
        }
    }

    pub(crate) fn record_progress(&mut self, now_ms: u64) {
        self.progress.record(self.storage.len(), now_ms);
    }
}

/// Bodies and bytes held.
#[derive(Debug)]
pub(crate) struct Account {
    limits: Limits,
    pub(crate) unfinished: BTreeMap<u64, Unfinished>,
    pub(crate) unfinished_bytes: usize,
    pub(crate) finished_bytes: usize,
    pub(crate) next_id: u64,
}

impl Account {
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            limits,
            unfinished: BTreeMap::new(),
            unfinished_bytes: 0,
            finished_bytes: 0,
            next_id: 0,
        }
    }

    /// Counts the bytes of complete data, which can't give way later; returns `false` if there is no
    /// room.
    pub(crate) fn keep(&mut self, more_bytes: usize) -> bool {
        let held_bytes = self.unfinished_bytes + self.finished_bytes;
        let has_room = held_bytes == 0 || held_bytes + more_bytes <= self.limits.total_bytes;
        if has_room {
            self.finished_bytes += more_bytes;
        }
        has_room
    }

    /// Removes an unfinished body, with its bytes.
    pub(crate) fn remove(&mut self, id: u64) -> Option<Unfinished> {
        let removed = self.unfinished.remove(&id)?;
        self.unfinished_bytes -= removed.storage.len();
        Some(removed)
    }

    /// Makes room for more bytes of a body by refusing others; returns `false` if that can't be.
    pub(crate) fn make_room(&mut self, id: u64, more_bytes: usize, now_ms: u64) -> bool {
        let Some(own) = self.unfinished.get(&id) else {
            return false;
        };
        let size_bytes = own.storage.len() + more_bytes;
        let missing_bytes = self.missing_bytes(size_bytes, more_bytes);
        // A body that is the only one held is served whatever its size.
        let others_bytes = self.unfinished_bytes + self.finished_bytes - own.storage.len();
        if missing_bytes == 0 || others_bytes == 0 {
            return true;
        }
        let others = self.unfinished.iter().filter(|&(&other, _)| other != id);
        let mut yielding: Vec<_> = others
            .map(|(&other, body)| {
                let is_stalled = body.progress.stalled_ms(now_ms) >= MAX_CONTENDED_STALL_MS;
                (is_stalled, body.storage.len(), other)
            })
            .filter(|&(is_stalled, bytes, _)| bytes > 0 && (is_stalled || bytes > size_bytes))
            .collect();
        yielding.sort_unstable();
        let mut freed_bytes = 0;
        let mut refused = Vec::new();
        while freed_bytes < missing_bytes && freed_bytes < others_bytes {
            let Some((_, bytes, other)) = yielding.pop() else {
                return false;
            };
            freed_bytes += bytes;
            refused.push(other);
        }
        for other in refused {
            if let Some(waker) = self.remove(other).and_then(|body| body.waker) {
                waker.wake();
            }
        }
        true
    }

    /// Returns the bytes by which the limits would be exceeded by more bytes of a body of that size.
    fn missing_bytes(&self, size_bytes: usize, more_bytes: usize) -> usize {
        let limits = &self.limits;
        let total_bytes = match size_bytes <= limits.small_body_bytes {
            true => limits.total_bytes,
            false => limits.total_bytes - limits.small_reserve_bytes,
        };
        let unfinished = self.unfinished_bytes + more_bytes;
        let total = unfinished + self.finished_bytes;
        let of_share = unfinished.saturating_sub(limits.unfinished_bytes);
        of_share.max(total.saturating_sub(total_bytes))
    }
}
