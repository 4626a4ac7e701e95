//! Slots in which requests run, now and in the near future.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Time after which a slot is assumed to be available if none is known, in milliseconds. An endpoint
/// that was replaced serves about that long after its row appears.
const UNKNOWN_ROOM_MS: u64 = 1_000;

/// The capacity that the requests of a decision share.
///
/// If several nodes use the same endpoints, it is the part of the node that decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Number of slots that serve now, including occupied ones.
    pub slots: u32,
    /// Number of slots that will be added, and the time of that, in milliseconds.
    pub added: Option<(u32, u64)>,
}

impl Room {
    /// Creates a room whose number of slots stays the same.
    pub fn new(slots: u32) -> Self {
        Self { slots, added: None }
    }

    /// Adds slots that will serve from a time on, for example those of endpoints that restart.
    pub fn with_added(mut self, slots: u32, at_ms: u64) -> Self {
        self.added = Some((slots, at_ms));
        self
    }

    /// Returns the largest number of slots that serve at once.
    pub(crate) fn total_slots(&self) -> u64 {
        let added = self.added.map_or(0, |(slots, _)| slots);
        (u64::from(self.slots) + u64::from(added)).max(1)
    }
}

/// Times at which the slots become free, in milliseconds.
#[derive(Debug, Clone)]
pub(crate) struct FreeTimes(BinaryHeap<Reverse<u64>>);

impl FreeTimes {
    /// Returns the times for a room in which requests are expected to run until `ends_ms`.
    pub(crate) fn new(now_ms: u64, room: &Room, mut ends_ms: Vec<u64>) -> Self {
        ends_ms.sort_unstable();
        let slots = room.slots as usize;
        // Slots of requests beyond the number of slots are not used again.
        let lost = ends_ms.len().saturating_sub(slots);
        let free = slots.saturating_sub(ends_ms.len());
        let mut times: BinaryHeap<_> = ends_ms.into_iter().skip(lost).map(Reverse).collect();
        times.extend((0..free).map(|_| Reverse(now_ms)));
        if let Some((added, at_ms)) = room.added {
            times.extend((0..added).map(|_| Reverse(at_ms.max(now_ms))));
        }
        if times.is_empty() {
            times.push(Reverse(now_ms.saturating_add(UNKNOWN_ROOM_MS)));
        }
        Self(times)
    }

    /// Returns the time at which the first slot becomes free.
    pub(crate) fn first_ms(&self) -> u64 {
        self.0.peek().map_or(u64::MAX, |Reverse(at_ms)| *at_ms)
    }

    /// Occupies the first free slot for some time, and returns the end of that time.
    pub(crate) fn occupy(&mut self, work_ms: u64) -> u64 {
        let start_ms = self.0.pop().map_or(u64::MAX, |Reverse(at_ms)| at_ms);
        let end_ms = start_ms.saturating_add(work_ms);
        self.0.push(Reverse(end_ms));
        end_ms
    }
}
