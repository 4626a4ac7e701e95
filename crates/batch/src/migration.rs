//! Selection of stragglers to migrate to faster engines.
//!
//! Towards the end of a batch job, few items are left and run on the slowest engines, while faster
//! ones are idle. A migration costs only the prefill of the text so far, which takes milliseconds.

use wisteriapoint_types::SoftwareVersion;

use crate::ItemKey;

/// Minimum ratio of the engines' times per event; smaller differences are due to load, or to engines
/// that were slow for some hundred milliseconds and no longer are.
const MIN_SPEEDUP: f64 = 1.7;
/// Minimum time that an item runs on an engine before it migrates, in milliseconds: the engine's
/// speed must be measured first, and most items finish sooner.
const MIN_TIME_ON_ENGINE_MS: u64 = 700;

/// An item whose text is being generated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GeneratingItem<'a> {
    /// Index of the item.
    pub key: ItemKey,
    /// Time at which it started on its engine, in milliseconds on the clock of `now_ms`.
    pub since_ms: u64,
    /// The engine's mean time per event, in milliseconds; 0 if there is no measurement.
    pub ms_per_event: f64,
    /// Software version of the engine; `None` if it is not known, and the item can't migrate.
    pub software: Option<&'a SoftwareVersion>,
}

/// Free slots of an engine to which items may migrate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FreeSlots<'a> {
    /// The engine's mean time per event, in milliseconds; 0 if there is no measurement.
    pub ms_per_event: f64,
    /// Number of free slots.
    pub slots: u32,
    /// Software version of the engine, if it is known.
    pub software: Option<&'a SoftwareVersion>,
}

/// Returns the items that should migrate to faster engines of the same software version, those on the
/// slowest engines first.
pub fn items_to_migrate(
    now_ms: u64,
    generating: &[GeneratingItem<'_>],
    free: &[FreeSlots<'_>],
) -> Vec<ItemKey> {
    let mut slots: Vec<_> = free
        .iter()
        .filter(|free| free.ms_per_event > 0.0)
        .flat_map(|free| {
            // Rows may state any number of slots.
            let slots = generating.len().min(free.slots as usize);
            std::iter::repeat_n((free.ms_per_event, free.software), slots)
        })
        .collect();
    slots.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let mut eligible: Vec<_> = generating
        .iter()
        .filter(|item| item.ms_per_event > 0.0 && now_ms >= item.since_ms + MIN_TIME_ON_ENGINE_MS)
        .collect();
    eligible.sort_by(|a, b| b.ms_per_event.total_cmp(&a.ms_per_event));
    let mut migrating = Vec::new();
    for item in eligible {
        let is_suitable = |&(slot_ms, software): &(f64, Option<&SoftwareVersion>)| {
            item.ms_per_event >= slot_ms * MIN_SPEEDUP
                && software.is_some()
                && software == item.software
        };
        if let Some(index) = slots.iter().position(is_suitable) {
            slots.remove(index);
            migrating.push(item.key);
        }
    }
    migrating
}
