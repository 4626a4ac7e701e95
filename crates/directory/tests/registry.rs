//! Updates of the registry, and the selection of an endpoint.

use wisteriapoint_directory::{
    EndpointRecord, EndpointStage, Load, Priority, Registry, Requirements,
};
use wisteriapoint_types::{EndpointName, FailureDomain, ServiceName, StreamOrigin, WeightVersion};

fn record(born_unix_ms: u64) -> EndpointRecord {
    EndpointRecord {
        service: ServiceName::new("shop"),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: FailureDomain::new("dk-east-a"),
        slots: 2,
        stage: EndpointStage::Ready,
        models: vec![("m".into(), WeightVersion(3))],
        born_unix_ms,
        software: None,
    }
}

fn draining(born_unix_ms: u64) -> EndpointRecord {
    EndpointRecord {
        stage: EndpointStage::Draining,
        ..record(born_unix_ms)
    }
}

fn name(number: u32) -> EndpointName {
    EndpointName::new(format!("shop-{number}"))
}

fn registry(count: u32) -> Registry {
    let mut registry = Registry::new();
    for number in 1..=count {
        registry.apply_record(&name(number), record(1), 0);
    }
    registry
}

fn choose(registry: &Registry, now_ms: u64, excluded: &[EndpointName]) -> Option<EndpointName> {
    let (service, sender_domain) = (ServiceName::new("shop"), FailureDomain::new("dk-east-a"));
    let requirements = Requirements {
        service: &service,
        model: None,
        requires_free_slot: true,
        objective_ms: None,
        sender_domain: &sender_domain,
        priority: Priority::Caller,
        origin: &StreamOrigin::None,
    };
    registry.choose(now_ms, requirements, excluded).cloned()
}

#[test]
fn the_least_occupied_endpoint_is_chosen() {
    let mut registry = registry(2);
    registry.get_mut(&name(1)).unwrap().in_flight = 1;
    assert_eq!(choose(&registry, 0, &[]), Some(name(2)));
    assert_eq!(choose(&registry, 0, &[name(2)]), Some(name(1)));
}

#[test]
fn the_faster_of_two_endpoints_is_chosen() {
    let mut registry = registry(2);
    registry
        .get_mut(&name(1))
        .unwrap()
        .record_event_time(0, 60.0);
    registry
        .get_mut(&name(2))
        .unwrap()
        .record_event_time(0, 25.0);
    assert_eq!(choose(&registry, 0, &[]), Some(name(2)));
}

#[test]
fn an_endpoint_without_a_free_slot_is_not_chosen_within_slots() {
    let mut registry = registry(1);
    registry.get_mut(&name(1)).unwrap().in_flight = 2;
    assert_eq!(choose(&registry, 0, &[]), None);
}

#[test]
fn a_reported_load_counts_until_it_expires() {
    let mut registry = registry(1);
    let load = Load {
        running: 2,
        waiting: 1,
    };
    registry.get_mut(&name(1)).unwrap().record_load(1_000, load);
    assert_eq!(choose(&registry, 1_100, &[]), None);
    assert_eq!(choose(&registry, 2_000, &[]), Some(name(1)));
}

#[test]
fn an_endpoint_that_failed_is_paused_longer_each_time_and_tried_again() {
    let mut registry = registry(1);
    registry.get_mut(&name(1)).unwrap().record_failure(0);
    assert_eq!(choose(&registry, 100, &[]), None);
    assert_eq!(choose(&registry, 200, &[]), Some(name(1)));
    registry.get_mut(&name(1)).unwrap().record_failure(200);
    assert_eq!(choose(&registry, 500, &[]), None);
    registry.get_mut(&name(1)).unwrap().record_success();
    assert_eq!(choose(&registry, 501, &[]), Some(name(1)));
}

#[test]
fn an_endpoint_with_too_old_a_weight_version_is_not_chosen() {
    let registry = registry(1);
    let (service, sender_domain) = (ServiceName::new("shop"), FailureDomain::new("dk-east-a"));
    let chosen = |model, oldest| {
        let requirements = Requirements {
            service: &service,
            model: Some((model, WeightVersion(oldest))),
            requires_free_slot: true,
            objective_ms: None,
            sender_domain: &sender_domain,
            priority: Priority::Caller,
            origin: &StreamOrigin::None,
        };
        registry.choose(0, requirements, &[]).is_some()
    };
    assert!(chosen("m", 3));
    assert!(!chosen("m", 4));
    assert!(!chosen("other", 1));
}

#[test]
fn a_draining_endpoint_is_used_again_only_after_a_restart() {
    let mut registry = registry(1);
    assert!(registry.apply_record(&name(1), draining(1), 0));
    registry.apply_record(&name(1), record(1), 0);
    assert_eq!(choose(&registry, 0, &[]), None);
    assert!(
        !registry.apply_record(&name(1), record(0), 0),
        "a record of an earlier incarnation"
    );
    assert!(registry.apply_record(&name(1), record(2), 0));
    assert_eq!(choose(&registry, 0, &[]), Some(name(1)));
}

#[test]
fn an_endpoint_whose_row_is_removed_is_removed_at_once_while_the_store_is_available() {
    let mut registry = registry(1);
    registry.handle_row_removal(10_000, &name(1), None);
    assert!(registry.get(&name(1)).is_none());
    let mut registry = self::registry(1);
    registry.handle_row_removal(10_000, &name(1), Some(1_000));
    assert!(
        registry.get(&name(1)).is_none(),
        "the outage ended long ago"
    );
}

#[test]
fn an_endpoint_whose_row_expires_in_a_store_outage_stays_until_the_grace_period_ends() {
    let mut registry = registry(2);
    let ongoing_outage = u64::MAX / 2;
    registry.handle_row_removal(10_000, &name(1), Some(ongoing_outage));
    registry.handle_row_removal(10_000, &name(2), Some(ongoing_outage));
    assert!(registry.expire(60_000).is_empty());
    registry.handle_row_removal(60_000, &name(1), Some(60_000));
    registry.handle_row_removal(60_000, &name(2), Some(60_000));
    registry.apply_record(&name(1), record(1), 0);
    assert!(registry.expire(62_000).is_empty());
    assert_eq!(registry.expire(62_300), vec![name(2)]);
    assert!(registry.get(&name(1)).is_some());
}

#[test]
fn a_read_of_all_rows_removes_absent_endpoints() {
    let mut registry = registry(3);
    registry.replace(0, vec![(name(2), record(1))], None, 0);
    let left: Vec<_> = registry.iter().map(|(name, _)| name.clone()).collect();
    assert_eq!(left, vec![name(2)]);
}

#[test]
fn a_removed_endpoint_is_not_used_again_because_of_a_stale_row() {
    let mut registry = registry(1);
    registry.handle_row_removal(10_000, &name(1), None);
    registry.replace(11_000, vec![(name(1), record(1))], None, 0);
    assert_eq!(choose(&registry, 11_000, &[]), None);
    assert_eq!(choose(&registry, 15_900, &[]), None);
    assert_eq!(
        choose(&registry, 16_000, &[]),
        Some(name(1)),
        "a row that is still there is not stale"
    );
    registry.handle_row_removal(20_000, &name(1), None);
    registry.apply_record(&name(1), record(2), 0);
    assert_eq!(
        choose(&registry, 20_001, &[]),
        Some(name(1)),
        "it has restarted"
    );
}

#[test]
fn a_stale_record_does_not_lower_a_weight_version_within_an_incarnation() {
    let mut registry = registry(1);
    let reported = [("m".into(), WeightVersion(5))];
    assert!(
        registry
            .get_mut(&name(1))
            .unwrap()
            .raise_versions(&reported)
    );
    assert!(
        !registry
            .get_mut(&name(1))
            .unwrap()
            .raise_versions(&reported)
    );
    let stale = EndpointRecord {
        slots: 3,
        ..record(1)
    };
    registry.apply_record(&name(1), stale, 0);
    let version = |registry: &Registry| registry.get(&name(1)).unwrap().version_of("m");
    assert_eq!(version(&registry), Some(WeightVersion(5)));
    registry.apply_record(&name(1), record(2), 0);
    assert_eq!(version(&registry), Some(WeightVersion(3)));
}

/// Guards against an endpoint that started again with an earlier time, after its machine's clock had been set
/// back, and of which nothing is heard any more, not even that it drains.
#[test]
fn a_record_with_an_earlier_start_holds_if_its_row_is_newer() {
    let mut registry = Registry::new();
    registry.apply_record(&name(1), record(10), 50);
    assert!(!registry.apply_record(&name(1), draining(7), 49));
    assert!(!registry.apply_record(&name(1), draining(7), 50));
    assert_eq!(choose(&registry, 0, &[]), Some(name(1)));
    // An unchanged record holds as of a later revision, too.
    assert!(!registry.apply_record(&name(1), record(10), 60));
    assert!(!registry.apply_record(&name(1), draining(7), 55));
    assert!(registry.apply_record(&name(1), record(7), 61));
    assert!(registry.apply_record(&name(1), draining(7), 62));
    assert_eq!(choose(&registry, 0, &[]), None);
    // A stale record of the incarnation before it, which a leader with an older view sends.
    assert!(!registry.apply_record(&name(1), record(10), 60));
}
