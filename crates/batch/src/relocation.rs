//! Selection of items that leave an engine which is slow at the moment.
//!
//! Engines share their machines with others and are slow for some hundred milliseconds at a time. A
//! step ends with its longest outputs, so these go on elsewhere meanwhile; what that costs is the
//! prefill of the text so far, which takes less time than one or two events.

use crate::ItemKey;

/// Ratio of the time for an event to the usual one from which an engine counts as slow; events vary by
/// less with the number of requests on an engine.
const MIN_SLOWNESS: f64 = 1.8;
/// Ratio up to which an engine is fast enough to take an item.
const MAX_TARGET_SLOWNESS: f64 = 1.25;
/// Number of events from which an item counts as long. Outputs have long tails: one that has so many is
/// likely to have as many again.
const MIN_EVENTS: u64 = 20;
/// Least time on an engine before an item leaves it, in milliseconds, so that none moves at each event.
const MIN_TIME_ON_ENGINE_MS: u64 = 250;

/// A running item and the pace of its events.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PacedItem {
    /// Index of the item.
    pub key: ItemKey,
    /// Number of events of its output so far.
    pub events: u64,
    /// Time on its engine, in milliseconds.
    pub on_engine_ms: u64,
    /// Time between its last two events or since the last one, whichever is longer, in milliseconds.
    pub gap_ms: f64,
}

/// Returns whether an engine whose last event took `gap_ms` is fast now.
pub fn is_fast(gap_ms: f64, usual_ms: f64) -> bool {
    gap_ms <= usual_ms * MAX_TARGET_SLOWNESS
}

/// Returns the items that go on elsewhere, the longest ones first, at most as many as there are free slots
/// on engines that are fast now.
pub fn items_to_relocate(items: &[PacedItem], usual_ms: f64, fast_slots: usize) -> Vec<ItemKey> {
    let mut slow: Vec<_> = items
        .iter()
        .filter(|item| {
            item.events >= MIN_EVENTS
                && item.on_engine_ms >= MIN_TIME_ON_ENGINE_MS
                && item.gap_ms >= usual_ms * MIN_SLOWNESS
        })
        .collect();
    slow.sort_by_key(|item| std::cmp::Reverse(item.events));
    slow.iter().take(fast_slots).map(|item| item.key).collect()
}
