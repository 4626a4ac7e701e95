//! Order of items by whether their groups can be complete in time.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::{Item, ItemKey};

/// Factor by which length hints may be wrong.
const HINT_ERROR: f64 = 10.0;
/// Work relative to what all slots can do in time from which groups are selected. Below that, the
/// longest item first ends the step soonest, and errors of the pace must not change that.
const OVERLOAD: f64 = 1.5;

/// Pace at which the endpoints of a batch job generate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Mean time for a token, in milliseconds.
    pub ms_per_token: f64,
    /// Number of slots of the endpoints.
    pub slots: u32,
}

#[derive(Debug, Default)]
struct Remaining {
    total_tokens: u64,
    longest_tokens: u32,
}

/// Returns unfinished items in the order in which they start: the longest first, unless the hints
/// say that not all groups can be complete within `left_ms`.
///
/// Then the items of groups that can be complete come first, those with the least remaining work
/// being selected, and those of groups that are late for certain come last.
pub(crate) fn order(
    items: &[Item],
    mut unfinished: Vec<ItemKey>,
    left_ms: u64,
    pace: Pace,
) -> Vec<ItemKey> {
    let item = |key: ItemKey| &items[key.0 as usize];
    unfinished.sort_by_key(|&key| Reverse(item(key).expected_tokens));
    let hints: Option<Vec<u32>> = unfinished
        .iter()
        .map(|&key| item(key).length_hint)
        .collect();
    let (Some(hints), true) = (hints, left_ms > 0 && pace.slots > 0) else {
        return unfinished;
    };
    let left_tokens = left_ms as f64 / pace.ms_per_token;
    let room_tokens = left_tokens * f64::from(pace.slots);
    let total_tokens: u64 = hints.iter().map(|&hint| u64::from(hint)).sum();
    if total_tokens as f64 <= room_tokens * OVERLOAD {
        return unfinished;
    }
    // An item without a group counts alone.
    let unit = |key: ItemKey| {
        (
            item(key).group.as_deref(),
            item(key).group.is_none().then_some(key),
        )
    };
    let mut remaining: BTreeMap<_, Remaining> = BTreeMap::new();
    for (&key, hint) in unfinished.iter().zip(hints) {
        let remaining = remaining.entry(unit(key)).or_default();
        remaining.total_tokens += u64::from(hint);
        remaining.longest_tokens = remaining.longest_tokens.max(hint);
    }
    let mut units: Vec<_> = remaining.into_iter().collect();
    units.sort_by_key(|(_, remaining)| remaining.total_tokens);
    let mut used_tokens = 0.0;
    let ranks = units.into_iter().map(|(unit, remaining)| {
        let longest_tokens = f64::from(remaining.longest_tokens);
        let needed_tokens = used_tokens + remaining.total_tokens as f64;
        let rank = match longest_tokens <= left_tokens {
            true if needed_tokens <= room_tokens => {
                used_tokens = needed_tokens;
                0
            }
            _ if longest_tokens <= left_tokens * HINT_ERROR => 1,
            _ => 2,
        };
        (unit, rank)
    });
    let ranks: BTreeMap<_, u8> = ranks.collect();
    unfinished.sort_by_key(|&key| ranks[&unit(key)]);
    unfinished
}
