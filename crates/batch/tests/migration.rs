//! Migration of stragglers from slow engines to idle faster ones.

use wisteriapoint_batch::ItemKey;
use wisteriapoint_batch::migration::{FreeSlots, GeneratingItem, items_to_migrate};

fn item(key: u32, since_ms: u64, ms_per_event: f64) -> GeneratingItem {
    let key = ItemKey(key);
    GeneratingItem {
        key,
        since_ms,
        ms_per_event,
    }
}

fn free(ms_per_event: f64, slots: u32) -> FreeSlots {
    FreeSlots {
        ms_per_event,
        slots,
    }
}

#[test]
fn a_straggler_migrates_to_a_faster_engine() {
    assert_eq!(
        items_to_migrate(2_000, &[item(1, 0, 60.0)], &[free(25.0, 1)]),
        [ItemKey(1)]
    );
}

#[test]
fn an_item_stays_without_a_sufficient_speedup() {
    assert!(items_to_migrate(2_000, &[item(1, 0, 30.0)], &[free(25.0, 8)]).is_empty());
    assert!(items_to_migrate(2_000, &[item(1, 0, 60.0)], &[free(25.0, 0)]).is_empty());
    assert!(items_to_migrate(2_000, &[item(1, 0, 60.0)], &[free(0.0, 8)]).is_empty());
    assert!(items_to_migrate(2_000, &[item(1, 0, 0.0)], &[free(25.0, 8)]).is_empty());
}

#[test]
fn an_item_stays_until_its_minimum_time_on_the_engine() {
    assert!(items_to_migrate(2_000, &[item(1, 1_500, 60.0)], &[free(25.0, 8)]).is_empty());
}

#[test]
fn items_on_the_slowest_engines_migrate_first() {
    let generating = [item(1, 0, 45.0), item(2, 0, 90.0), item(3, 0, 60.0)];
    let migrated = items_to_migrate(2_000, &generating, &[free(25.0, 1), free(30.0, 1)]);
    assert_eq!(migrated, [ItemKey(2), ItemKey(3)]);
}
