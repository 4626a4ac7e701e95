//! Merges keep the newest entries, and an exchange in both directions makes catalogs equal.

use proptest::collection::vec;
use proptest::prelude::*;
use wisteriapoint_catalog::{Catalog, Document, LeavingVms, Update};
use wisteriapoint_types::{Revision, ServiceName, VmName, WeightVersion};

const MAX_TEXT_BYTES: usize = 1 << 20;

fn update() -> impl Strategy<Value = Update> {
    let service = (0..3_u8).prop_map(|n| ServiceName::new(format!("service-{n}")));
    prop_oneof![
        (service.clone(), 1..6_u64).prop_map(|(service, revision)| {
            let document = Document {
                revision: Revision(revision),
                text: format!("revision {revision}").into(),
            };
            Update::of_document(service, document)
        }),
        (service, 1..6_u64)
            .prop_map(|(service, version)| Update::of_version(service, WeightVersion(version))),
        (1..6_u64).prop_map(|at_ms| Update::of_leaving(LeavingVms {
            observed_at_ms: at_ms,
            vms: [VmName::new(format!("vm-{at_ms}"))].into(),
        })),
    ]
}

fn merged(updates: &[Update]) -> Catalog {
    let mut catalog = Catalog::new();
    for update in updates {
        catalog.merge(update.clone());
    }
    catalog
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn merge_order_does_not_affect_the_result(updates in vec(update(), 0..12), seed: u64) {
        let mut shuffled = updates.clone();
        shuffled.sort_by_key(|update| wisteriapoint_types::hash64(seed, format!("{update:?}").as_bytes()));
        prop_assert_eq!(merged(&updates).content_hash(), merged(&shuffled).content_hash());
    }

    #[test]
    fn a_merge_never_falls_behind(updates in vec(update(), 1..12)) {
        let mut catalog = Catalog::new();
        for update in &updates {
            let before = catalog.summary();
            catalog.merge(update.clone());
            prop_assert!(!catalog.is_behind(&before));
        }
    }

    #[test]
    fn an_exchange_in_both_directions_makes_catalogs_equal(
        left in vec(update(), 0..12),
        right in vec(update(), 0..12),
    ) {
        let (mut left, mut right) = (merged(&left), merged(&right));
        left.merge(right.newer_than(&left.summary(), MAX_TEXT_BYTES));
        right.merge(left.newer_than(&right.summary(), MAX_TEXT_BYTES));
        prop_assert_eq!(left.content_hash(), right.content_hash());
        prop_assert!(!left.is_behind(&right.summary()));
    }
}

#[test]
fn a_bounded_update_still_makes_progress() {
    let mut full = Catalog::new();
    for number in 0..4 {
        let document = Document {
            revision: Revision(1),
            text: "x".repeat(100).into(),
        };
        let service = ServiceName::new(format!("service-{number}"));
        full.merge(Update::of_document(service, document));
    }
    let mut behind = Catalog::new();
    let mut exchanges = 0;
    while behind.content_hash() != full.content_hash() {
        let update = full.newer_than(&behind.summary(), 10);
        assert_eq!(update.documents.len(), 1);
        behind.merge(update);
        exchanges += 1;
    }
    assert_eq!(exchanges, 4);
}
