//! Stragglers: which texts go on at a faster engine.
//!
//! The pattern: few items are left, and they run on the slowest engines, while faster ones
//! are idle. A text goes on elsewhere at the cost of reading it in, which is milliseconds.

use crate::ItemKey;

/// Least ratio of the engines' times for an event: below, times differ by load alone.
const MIN_SPEEDUP: f64 = 1.3;
/// Least time at an engine before a text leaves it, in milliseconds: its speed has to be known,
/// and most texts end sooner.
const MIN_TIME_ON_ENGINE_MS: u64 = 700;

/// A text that is being generated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GeneratingItem {
    /// The item.
    pub key: ItemKey,
    /// When it began at its engine.
    pub since_ms: u64,
    /// The engine's time for an event, in milliseconds; 0 if not known.
    pub unit_ms: f64,
}

/// An engine that could take texts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FreeSlots {
    /// Its time for an event, in milliseconds; 0 if not known.
    pub unit_ms: f64,
    /// Its free slots.
    pub slots: u32,
}

/// The items that should go on at faster engines, those on the slowest engines first.
pub fn items_to_migrate(
    now_ms: u64,
    generating: &[GeneratingItem],
    free: &[FreeSlots],
) -> Vec<ItemKey> {
    let mut slots: Vec<f64> = free
        .iter()
        .filter(|free| free.unit_ms > 0.0)
        .flat_map(|free| std::iter::repeat_n(free.unit_ms, free.slots as usize))
        .collect();
    slots.sort_by(f64::total_cmp);
    let mut eligible: Vec<_> = generating
        .iter()
        .filter(|item| item.unit_ms > 0.0 && now_ms >= item.since_ms + MIN_TIME_ON_ENGINE_MS)
        .collect();
    eligible.sort_by(|a, b| b.unit_ms.total_cmp(&a.unit_ms));
    eligible
        .iter()
        .zip(&slots)
        .filter(|(item, slot_ms)| item.unit_ms >= **slot_ms * MIN_SPEEDUP)
        .map(|(item, _)| item.key)
        .collect()
}
