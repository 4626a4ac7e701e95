//! What is known of streams that callers take up again, and of the software versions of a service.

use proptest::prelude::*;
use wisteriapoint_directory::{
    EndpointRecord, EndpointStage, Priority, Registry, Requirements, SoftwareHistory, StreamRecord,
    StreamRecords,
};
use wisteriapoint_types::{
    Digest, EndpointName, FailureDomain, ServiceName, SoftwareVersion, StreamOrigin,
};

const MINUTE_MS: u64 = 60_000;
/// Time for which a caller waits for a stream, in milliseconds.
const CALLER_MS: u64 = 5_000;

fn service() -> ServiceName {
    ServiceName::new("llm")
}

fn record(software: &str, born_unix_ms: u64) -> EndpointRecord {
    EndpointRecord {
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: FailureDomain::new("dk-east-a"),
        slots: 8,
        stage: EndpointStage::Ready,
        models: Vec::new(),
        born_unix_ms,
        software: (!software.is_empty()).then(|| SoftwareVersion::new(software)),
    }
}

fn name(number: usize) -> EndpointName {
    EndpointName::new(format!("llm-{number}"))
}

fn registry(software: &[&str]) -> Registry {
    let mut registry = Registry::new();
    for (number, software) in software.iter().enumerate() {
        registry.apply_record(&name(number), record(software, 1));
    }
    registry
}

fn choose(registry: &Registry, now_ms: u64, origin: &StreamOrigin) -> Option<EndpointName> {
    let (service, sender_domain) = (service(), FailureDomain::new("dk-east-a"));
    let requirements = Requirements {
        service: &service,
        model: None,
        requires_free_slot: false,
        objective_ms: None,
        sender_domain: &sender_domain,
        priority: Priority::Caller,
        origin,
    };
    registry.choose(now_ms, requirements, &[]).cloned()
}

fn begun_by(software: &str) -> StreamOrigin {
    StreamOrigin::Software(SoftwareVersion::new(software))
}

fn stream(software: &str) -> StreamRecord {
    StreamRecord {
        service: service(),
        software: SoftwareVersion::new(software),
    }
}

fn attempt(number: u64) -> Digest {
    Digest::new(&[&number.to_le_bytes()])
}

proptest! {
    /// Guards against a stream that goes on at an endpoint of another software version, or of none that
    /// is known, whatever versions serve side by side.
    #[test]
    fn a_stream_goes_on_at_its_software_version_or_not_at_all(
        versions in prop::collection::vec("|old|new|ü 1\\.0 β", 0..8),
        origin in "old|new|ü 1\\.0 β",
    ) {
        let versions: Vec<_> = versions.iter().map(String::as_str).collect();
        let registry = registry(&versions);
        let chosen = choose(&registry, 0, &begun_by(&origin));
        prop_assert_eq!(chosen.is_some(), versions.contains(&origin.as_str()));
        if let Some(chosen) = chosen {
            let software = &registry.get(&chosen).unwrap().record.software;
            prop_assert_eq!(software.as_ref().map(SoftwareVersion::as_str), Some(&*origin));
        }
        prop_assert_eq!(choose(&registry, 0, &StreamOrigin::None).is_some(), !versions.is_empty());
        prop_assert!(choose(&registry, 0, &StreamOrigin::Unknown).is_none());
    }
}

/// Guards against a stream that goes on at an endpoint whose rows state two versions.
#[test]
fn an_endpoint_whose_version_changes_without_a_restart_goes_on_with_no_stream() {
    let mut registry = registry(&["old"]);
    registry.apply_record(&name(0), record("new", 1));
    assert_eq!(choose(&registry, 0, &begun_by("old")), None);
    assert_eq!(choose(&registry, 0, &begun_by("new")), None);
    assert_eq!(choose(&registry, 0, &StreamOrigin::None), Some(name(0)));
    registry.apply_record(&name(0), record("new", 1));
    assert_eq!(choose(&registry, 0, &begun_by("new")), None);
    registry.apply_record(&name(0), record("new", 2));
    assert_eq!(choose(&registry, 0, &begun_by("new")), Some(name(0)));
    assert_eq!(choose(&registry, 0, &begun_by("old")), None);
}

/// Guards against a stream that goes on at an endpoint that has come back under its name with other
/// software, before its new row is known.
#[test]
fn an_endpoint_that_was_down_goes_on_with_no_stream_until_its_record_is_renewed() {
    let mut registry = registry(&["old"]);
    registry.get_mut(&name(0)).unwrap().record_down(1_000);
    assert_eq!(choose(&registry, 1_000, &begun_by("old")), None);
    assert_eq!(choose(&registry, 1_000, &StreamOrigin::None), Some(name(0)));
    assert_eq!(choose(&registry, 6_999, &begun_by("old")), None);
    assert_eq!(choose(&registry, 7_000, &begun_by("old")), Some(name(0)));
    registry.get_mut(&name(0)).unwrap().record_down(8_000);
    registry.apply_record(&name(0), record("old", 2));
    assert_eq!(choose(&registry, 8_100, &begun_by("old")), Some(name(0)));
}

#[test]
fn a_stream_is_known_for_a_minute() {
    let mut records = StreamRecords::new();
    records.insert(0, attempt(1), stream("old"));
    records.insert(30_000, attempt(1), stream("old"));
    assert_eq!(records.get(MINUTE_MS, attempt(1)), Some(&stream("old")));
    assert_eq!(records.get(MINUTE_MS, attempt(2)), None);
    assert_eq!(records.get(MINUTE_MS + 1, attempt(1)), None);
}

/// Guards against an id that two streams share, of which one would go on at the version of the other.
#[test]
fn of_an_id_with_two_streams_nothing_is_known() {
    let mut records = StreamRecords::new();
    records.insert(0, attempt(1), stream("old"));
    records.insert(1, attempt(1), stream("new"));
    assert_eq!(records.get(2, attempt(1)), None);
    records.insert(3, attempt(1), stream("new"));
    assert_eq!(records.get(4, attempt(1)), None);
}

/// The load: more streams begin within a minute than are kept.
#[test]
fn the_oldest_streams_are_forgotten_when_there_are_too_many() {
    let mut records = StreamRecords::new();
    let streams = 40_000;
    for number in 0..streams {
        records.insert(number / 1_000, attempt(number), stream("old"));
    }
    let now_ms = streams / 1_000;
    let known = (0..streams).filter(|&number| records.get(now_ms, attempt(number)).is_some());
    let known: Vec<_> = known.collect();
    assert_eq!(known.len(), 16_384);
    assert_eq!(known.first(), Some(&(streams - 16_384)));
}

#[test]
fn a_service_has_one_version_only_once_the_others_are_long_gone() {
    let mut history = SoftwareHistory::new();
    let sole = |history: &SoftwareHistory, now_ms| {
        let software = history.sole(now_ms, &service(), CALLER_MS);
        software.map(|software| software.as_str().to_owned())
    };
    history.observe(0, &registry(&["old", "old"]));
    assert_eq!(sole(&history, CALLER_MS - 1), None, "too short a history");
    history.observe(CALLER_MS, &registry(&["old", "old"]));
    assert_eq!(sole(&history, CALLER_MS).as_deref(), Some("old"));
    history.observe(6_000, &registry(&["old", "new"]));
    assert_eq!(sole(&history, 6_000), None);
    history.observe(7_000, &registry(&["new"]));
    assert_eq!(sole(&history, 6_000 + CALLER_MS), None);
    history.observe(6_001 + CALLER_MS, &registry(&["new"]));
    assert_eq!(sole(&history, 6_001 + CALLER_MS).as_deref(), Some("new"));
    history.observe(20_000, &registry(&["new", ""]));
    assert_eq!(
        sole(&history, 20_000),
        None,
        "an endpoint without a version"
    );
}
