//! Counts of the bytes held, and the choice of the bodies that give way.

use std::collections::BTreeMap;
use std::task::Waker;

use bytes::Bytes;

use crate::limits::Limits;
use crate::progress::Progress;
use crate::storage::Storage;

/// Time without progress after which a body gives way to any other one, in milliseconds.
const MAX_CONTENDED_STALL_MS: u64 = 1_000;
/// Part of the total that bytes which their holders count may use, as its divisor.
const RESERVED_SHARE: usize = 4;

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

/// Data that is dropped when room is needed.
#[derive(Debug)]
struct CachedData {
    data: Bytes,
    /// Number of the last use; the data with the lowest one is dropped first.
    last_use: u64,
}

/// Bodies and bytes held.
#[derive(Debug)]
pub(crate) struct Account {
    limits: Limits,
    pub(crate) unfinished: BTreeMap<u64, Unfinished>,
    pub(crate) unfinished_bytes: usize,
    /// Bytes of complete data, whether it is cached, being sent or neither.
    pub(crate) finished_bytes: usize,
    /// Bytes of the complete data that is being sent to endpoints.
    pub(crate) sending_bytes: usize,
    /// Bytes that are counted by their holders.
    pub(crate) reserved_bytes: usize,
    pub(crate) next_id: u64,
    cached: BTreeMap<u64, CachedData>,
    uses: u64,
}

impl Account {
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            limits,
            unfinished: BTreeMap::new(),
            unfinished_bytes: 0,
            finished_bytes: 0,
            sending_bytes: 0,
            reserved_bytes: 0,
            next_id: 0,
            cached: BTreeMap::new(),
            uses: 0,
        }
    }

    /// Returns the bytes of everything that is held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.unfinished_bytes + self.finished_bytes + self.reserved_bytes
    }

    /// Returns the bytes that data larger than a small body may still use.
    pub(crate) fn free_bytes(&self) -> usize {
        let total_bytes = self.limits.total_bytes - self.limits.small_reserve_bytes;
        total_bytes.saturating_sub(self.held_bytes())
    }

    /// Counts the bytes of complete data, which can't give way later; returns `false` if there is no
    /// room.
    pub(crate) fn keep(&mut self, more_bytes: usize) -> bool {
        let is_only = self.unfinished_bytes + self.finished_bytes == 0;
        let has_room = is_only || self.held_bytes() + more_bytes <= self.limits.total_bytes;
        if has_room {
            self.finished_bytes += more_bytes;
        }
        has_room
    }

    /// Counts bytes that stay until their holder releases them; returns `false` if they exceed their share.
    ///
    /// Within it they may exceed the total, and bodies are refused until they no longer do.
    pub(crate) fn reserve(&mut self, more_bytes: usize) -> bool {
        let has_room = self.reserved_bytes + more_bytes <= self.max_reserved_bytes();
        if has_room {
            self.reserved_bytes += more_bytes;
        }
        has_room
    }

    /// Returns the most bytes that their holders may count when more are reserved.
    pub(crate) fn max_reserved_bytes(&self) -> usize {
        self.limits.total_bytes / RESERVED_SHARE
    }

    /// Adds data to the cache and returns its number.
    pub(crate) fn cache(&mut self, data: Bytes) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let last_use = self.uses;
        self.uses += 1;
        self.cached.insert(id, CachedData { data, last_use });
        id
    }

    /// Returns data of the cache, unless it was dropped.
    pub(crate) fn cached(&mut self, id: u64) -> Option<Bytes> {
        let cached = self.cached.get_mut(&id)?;
        cached.last_use = self.uses;
        self.uses += 1;
        Some(cached.data.clone())
    }

    /// Removes data from the cache. The caller must release the account before it drops the data.
    pub(crate) fn remove_cached(&mut self, id: u64) -> Option<Bytes> {
        self.cached.remove(&id).map(|cached| cached.data)
    }

    /// Removes the data of the cache that was not used for longest, if more bytes of data of that size
    /// have no room. The caller must release the account before it drops the data.
    pub(crate) fn evict(&mut self, size_bytes: usize, more_bytes: usize) -> Option<Bytes> {
        if self.held_bytes() + more_bytes <= self.total_bytes(size_bytes) {
            return None;
        }
        let cached = self.cached.iter();
        let (&id, _) = cached.min_by_key(|(_, cached)| cached.last_use)?;
        self.remove_cached(id)
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
        let unfinished = self.unfinished_bytes + more_bytes;
        let total = self.held_bytes() + more_bytes;
        let of_share = unfinished.saturating_sub(self.limits.unfinished_bytes);
        of_share.max(total.saturating_sub(self.total_bytes(size_bytes)))
    }

    /// Returns the limit for all bytes together that holds for data of a size.
    fn total_bytes(&self, size_bytes: usize) -> usize {
        match size_bytes <= self.limits.small_body_bytes {
            true => self.limits.total_bytes,
            false => self.limits.total_bytes - self.limits.small_reserve_bytes,
        }
    }
}
