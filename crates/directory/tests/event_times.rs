//! Mean times per event that nodes measure and exchange.

use wisteriapoint_directory::{Endpoint, EndpointRecord, EndpointStage, EventTimes};
use wisteriapoint_types::{EndpointName, FailureDomain, ServiceName};

fn endpoint() -> Endpoint {
    Endpoint::new(EndpointRecord {
        service: ServiceName::new("engines"),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: FailureDomain::new("dk-east-a"),
        slots: 8,
        stage: EndpointStage::Ready,
        models: Vec::new(),
        born_unix_ms: 1,
        software: None,
    })
}

fn published(times: &EventTimes, after: u64) -> Vec<(String, f64)> {
    let newer = times.after(after);
    newer
        .map(|(name, ms_per_event)| (name.to_string(), ms_per_event))
        .collect()
}

#[test]
fn a_time_is_published_once_and_again_when_it_differs() {
    let mut times = EventTimes::new();
    let (a, b) = (EndpointName::new("a"), EndpointName::new("b"));
    times.update(&a, 20.0);
    times.update(&b, 0.0);
    assert_eq!(published(&times, 0), [("a".to_owned(), 20.0)]);
    let last = times.last_sequence();
    times.update(&a, 22.0);
    assert!(
        published(&times, last).is_empty(),
        "a change by a tenth is due to load"
    );
    times.update(&a, 60.0);
    assert_eq!(published(&times, last), [("a".to_owned(), 60.0)]);
    times.retain(|name| *name != a);
    assert!(published(&times, 0).is_empty());
}

/// Guards against a node that overwrites its own recent measurement with the shared mean, when an
/// engine becomes slow while only this node generates texts on it.
#[test]
fn the_shared_mean_applies_unless_the_node_has_a_recent_measurement() {
    let mut endpoint = endpoint();
    endpoint.apply_shared_mean(0, 20.0);
    assert_eq!(endpoint.ms_per_event, 20.0);
    assert_eq!(
        endpoint.measured_after(0),
        None,
        "the shared mean is not a measurement of this node"
    );
    endpoint.record_event_time(1_000, 60.0);
    endpoint.apply_shared_mean(1_500, 20.0);
    assert!(endpoint.ms_per_event > 25.0, "a recent measurement is kept");
    assert!(endpoint.measured_after(500).is_some());
    endpoint.apply_shared_mean(4_000, 55.0);
    assert_eq!(endpoint.ms_per_event, 55.0);
}
