//! Migration of stragglers from slow engines to idle faster ones.

use std::sync::LazyLock;

use wisteriapoint_batch::ItemKey;
use wisteriapoint_batch::migration::{FreeSlots, GeneratingItem, items_to_migrate};
use wisteriapoint_types::SoftwareVersion;

static OLD: LazyLock<SoftwareVersion> = LazyLock::new(|| SoftwareVersion::new("old"));
static NEW: LazyLock<SoftwareVersion> = LazyLock::new(|| SoftwareVersion::new("new"));

fn item(key: u32, since_ms: u64, ms_per_event: f64) -> GeneratingItem<'static> {
    let key = ItemKey(key);
    GeneratingItem {
        key,
        since_ms,
        ms_per_event,
        software: Some(&OLD),
    }
}

fn free(ms_per_event: f64, slots: u32) -> FreeSlots<'static> {
    FreeSlots {
        ms_per_event,
        slots,
        software: Some(&OLD),
    }
}

/// Guards against an item that migrates to an engine of another software version, or of one that is
/// not known, where it would lose its output.
#[test]
fn an_item_migrates_within_its_software_version() {
    let generating = [item(1, 0, 90.0), item(2, 0, 60.0)];
    let new = FreeSlots {
        software: Some(&NEW),
        ..free(20.0, 4)
    };
    let unknown = FreeSlots {
        software: None,
        ..free(20.0, 4)
    };
    assert!(items_to_migrate(2_000, &generating, &[new, unknown]).is_empty());
    let migrated = items_to_migrate(2_000, &generating, &[new, unknown, free(30.0, 1)]);
    assert_eq!(migrated, [ItemKey(1)]);
    let unknown_item = GeneratingItem {
        software: None,
        ..item(1, 0, 90.0)
    };
    assert!(items_to_migrate(2_000, &[unknown_item], &[unknown]).is_empty());
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
