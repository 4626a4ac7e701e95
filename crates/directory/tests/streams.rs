//! What is known of streams that callers take up again, and of the software versions of a service.

use proptest::prelude::*;
use wisteriapoint_directory::{
    EndpointRecord, EndpointStage, Priority, Registry, Requirements, SoftwareHistory,
    SoftwareRecord, StreamRecord, StreamRecords,
};
use wisteriapoint_types::{
    Digest, EndpointName, FailureDomain, ServiceName, SoftwareVersion, StreamOrigin,
};

const MINUTE_MS: u64 = 60_000;

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
        registry.apply_record(&name(number), record(software, 1), 0);
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
    registry.apply_record(&name(0), record("new", 1), 0);
    assert_eq!(choose(&registry, 0, &begun_by("old")), None);
    assert_eq!(choose(&registry, 0, &begun_by("new")), None);
    assert_eq!(choose(&registry, 0, &StreamOrigin::None), Some(name(0)));
    registry.apply_record(&name(0), record("new", 1), 0);
    assert_eq!(choose(&registry, 0, &begun_by("new")), None);
    registry.apply_record(&name(0), record("new", 2), 0);
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
    registry.apply_record(&name(0), record("old", 2), 0);
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

/// Returns the record that replaces `stored`, where all nodes record versions.
fn updated(history: &mut SoftwareHistory, now_ms: u64, stored: &SoftwareRecord) -> SoftwareRecord {
    history.updated(now_ms, &service(), stored, true)
}

fn software_record(versions: &[&str], is_complete: bool) -> SoftwareRecord {
    let versions = versions.iter();
    SoftwareRecord {
        versions: versions
            .map(|version| (!version.is_empty()).then(|| SoftwareVersion::new(*version)))
            .collect(),
        is_complete,
    }
}

/// Observes the same endpoints from one time to another, as often as nodes do.
fn observe_between(history: &mut SoftwareHistory, from_ms: u64, to_ms: u64, software: &[&str]) {
    for now_ms in (from_ms..to_ms).step_by(200) {
        history.observe(now_ms, &registry(software));
    }
    history.observe(to_ms, &registry(software));
}

/// Guards against a version that is taken for the only one while callers may still wait for streams of
/// another one.
#[test]
fn a_version_is_sole_once_the_others_were_unregistered_for_as_long_as_callers_wait() {
    let mut history = SoftwareHistory::new();
    observe_between(&mut history, 0, MINUTE_MS - 1, &["old"]);
    let stored = updated(&mut history, MINUTE_MS - 1, &SoftwareRecord::default());
    assert_eq!(
        stored,
        software_record(&["old"], false),
        "too short a history"
    );
    history.observe(MINUTE_MS, &registry(&["old"]));
    let stored = updated(&mut history, MINUTE_MS, &stored);
    assert_eq!(stored, software_record(&["old"], true));
    history.observe(MINUTE_MS + 200, &registry(&["old", "new"]));
    let stored = updated(&mut history, MINUTE_MS + 200, &stored);
    assert_eq!(stored.sole(), None);
    let gone_ms = MINUTE_MS + 400;
    observe_between(&mut history, gone_ms, gone_ms + MINUTE_MS, &["new"]);
    let stored = updated(&mut history, 2 * MINUTE_MS + 199, &stored);
    assert_eq!(stored, software_record(&["old", "new"], true));
    let stored = updated(&mut history, 2 * MINUTE_MS + 200, &stored);
    assert_eq!(stored.sole().map(SoftwareVersion::as_str), Some("new"));
    history.observe(gone_ms + MINUTE_MS, &registry(&["new", ""]));
    let stored = updated(&mut history, gone_ms + MINUTE_MS, &stored);
    assert_eq!(stored.sole(), None, "an endpoint without a version");
}

/// Guards against a new leader that removes a version because it never saw it, and against one that
/// takes a version for gone that another node has added since.
#[test]
fn a_leader_keeps_stored_versions_for_as_long_as_callers_wait() {
    let stored = software_record(&["old", "new"], true);
    let mut history = SoftwareHistory::new();
    observe_between(&mut history, 5_000, 5_000 + MINUTE_MS, &["new"]);
    assert_eq!(updated(&mut history, 5_000 + MINUTE_MS, &stored), stored);
    observe_between(
        &mut history,
        5_200 + MINUTE_MS,
        5_000 + 2 * MINUTE_MS,
        &["new"],
    );
    let removed = updated(&mut history, 5_000 + 2 * MINUTE_MS, &stored);
    assert_eq!(removed, software_record(&["new"], true));
    let added = removed.with_version(Some(SoftwareVersion::new("newer")));
    assert_eq!(updated(&mut history, 5_001 + 2 * MINUTE_MS, &added), added);
}

/// Guards against a leader that was paused, or did not see the endpoints, and removes a version that
/// has begun streams meanwhile.
#[test]
fn a_history_with_a_gap_begins_anew() {
    let stored = software_record(&["old"], false);
    let mut history = SoftwareHistory::new();
    observe_between(&mut history, 0, MINUTE_MS - 1, &["old"]);
    history.observe(MINUTE_MS + 3_000, &registry(&["new"]));
    let stored = updated(&mut history, MINUTE_MS + 3_000, &stored);
    assert_eq!(stored, software_record(&["old", "new"], false));
    observe_between(
        &mut history,
        MINUTE_MS + 3_200,
        2 * MINUTE_MS + 2_999,
        &["new"],
    );
    let stored = updated(&mut history, 2 * MINUTE_MS + 2_999, &stored);
    assert_eq!(stored, software_record(&["old", "new"], false));
}

/// Guards against a complete record while nodes of an earlier build begin streams that they do not
/// record.
/// Guards against a leader that was frozen for longer than callers wait, and removes the versions that it
/// knew before it has looked at the endpoints again.
#[test]
fn a_leader_that_returns_removes_no_version_before_it_observes() {
    let mut history = SoftwareHistory::new();
    observe_between(&mut history, 0, MINUTE_MS, &["a"]);
    let stored = software_record(&["a", "b"], true);
    let stored = updated(&mut history, MINUTE_MS, &stored);
    let returned_ms = 3 * MINUTE_MS;
    assert_eq!(updated(&mut history, returned_ms, &stored), stored);
    observe_between(&mut history, returned_ms, returned_ms + 1_000, &["b"]);
    assert_eq!(updated(&mut history, returned_ms + 1_000, &stored), stored);
}

#[test]
fn a_record_is_not_complete_while_nodes_do_not_record() {
    let stored = software_record(&["old"], true);
    let mut history = SoftwareHistory::new();
    observe_between(&mut history, 0, 2 * MINUTE_MS, &["old"]);
    let stored = history.updated(2 * MINUTE_MS, &service(), &stored, false);
    assert_eq!(stored, software_record(&["old"], false));
    let last_ms = 3 * MINUTE_MS - 1;
    observe_between(&mut history, 2 * MINUTE_MS + 200, last_ms, &["old"]);
    assert_eq!(updated(&mut history, last_ms, &stored), stored);
    history.observe(last_ms + 1, &registry(&["old"]));
    let stored = updated(&mut history, last_ms + 1, &stored);
    assert_eq!(stored, software_record(&["old"], true));
}

/// Guards against a row that a later build can't read.
#[test]
fn a_record_is_stored_as_json() {
    let record = software_record(&["1.5", ""], true);
    let text = r#"{"versions":[null,"1.5"],"is_complete":true}"#;
    assert_eq!(serde_json::to_string(&record).unwrap(), text);
    assert_eq!(
        serde_json::from_str::<SoftwareRecord>(text).unwrap(),
        record
    );
}
