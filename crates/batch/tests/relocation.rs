//! Items on engines that are slow for some hundred milliseconds at a time.

use wisteriapoint_batch::ItemKey;
use wisteriapoint_batch::relocation::{PacedItem, is_fast, items_to_relocate};

const USUAL_MS: f64 = 40.0;

fn item(key: u32, events: u64, gap_ms: f64) -> PacedItem {
    PacedItem {
        key: ItemKey(key),
        events,
        on_engine_ms: 1_000,
        gap_ms,
    }
}

/// Load: the last long outputs of a step, some of them on engines that have just turned slow. Guards
/// against a step that waits for them.
#[test]
fn the_longest_items_on_slow_engines_go_on_elsewhere() {
    let items = [item(1, 40, 100.0), item(2, 90, 110.0), item(3, 120, 42.0)];
    assert_eq!(
        items_to_relocate(&items, USUAL_MS, 2),
        [ItemKey(2), ItemKey(1)]
    );
    assert_eq!(items_to_relocate(&items, USUAL_MS, 1), [ItemKey(2)]);
}

/// Guards against moves that cost more than they save: short outputs, usual variation, an item that has
/// just moved, and no engine that is fast now.
#[test]
fn items_stay_where_a_move_saves_nothing() {
    assert!(items_to_relocate(&[item(1, 5, 100.0)], USUAL_MS, 9).is_empty());
    assert!(items_to_relocate(&[item(1, 90, 65.0)], USUAL_MS, 9).is_empty());
    assert!(items_to_relocate(&[item(1, 90, 100.0)], USUAL_MS, 0).is_empty());
    let moved = PacedItem {
        on_engine_ms: 100,
        ..item(1, 90, 100.0)
    };
    assert!(items_to_relocate(&[moved], USUAL_MS, 9).is_empty());
    assert!(!is_fast(60.0, USUAL_MS));
    assert!(is_fast(45.0, USUAL_MS));
}
