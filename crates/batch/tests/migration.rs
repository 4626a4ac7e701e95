//! Stragglers on slow engines while faster ones are idle.

use wisteriapoint_batch::ItemKey;
use wisteriapoint_batch::migration::{FreeSlots, GeneratingItem, items_to_migrate};

fn text(key: u32, since_ms: u64, unit_ms: f64) -> GeneratingItem {
    let key = ItemKey(key);
    GeneratingItem {
        key,
        since_ms,
        unit_ms,
    }
}

fn free(unit_ms: f64, slots: u32) -> FreeSlots {
    FreeSlots { unit_ms, slots }
}

#[test]
fn a_straggler_goes_on_at_a_faster_engine() {
    assert_eq!(
        items_to_migrate(2_000, &[text(1, 0, 60.0)], &[free(25.0, 1)]),
        [ItemKey(1)]
    );
}

#[test]
fn a_text_stays_where_nothing_is_gained() {
    assert!(items_to_migrate(2_000, &[text(1, 0, 30.0)], &[free(25.0, 8)]).is_empty());
    assert!(items_to_migrate(2_000, &[text(1, 0, 60.0)], &[free(25.0, 0)]).is_empty());
    assert!(items_to_migrate(2_000, &[text(1, 0, 60.0)], &[free(0.0, 8)]).is_empty());
    assert!(items_to_migrate(2_000, &[text(1, 0, 0.0)], &[free(25.0, 8)]).is_empty());
}

#[test]
fn a_text_that_has_only_begun_stays() {
    assert!(items_to_migrate(2_000, &[text(1, 1_500, 60.0)], &[free(25.0, 8)]).is_empty());
}

#[test]
fn the_slowest_engines_are_left_first() {
    let generating = [text(1, 0, 45.0), text(2, 0, 90.0), text(3, 0, 60.0)];
    let moved = items_to_migrate(2_000, &generating, &[free(25.0, 1), free(30.0, 1)]);
    assert_eq!(moved, [ItemKey(2), ItemKey(3)]);
}
