//! Tests which runs without an answer count as crashes of their endpoints.

use wisteriapoint_route::{SilentRun, SilentRuns};
use wisteriapoint_types::{Digest, EndpointName, FailureDomain};

const BORN_UNIX_MS: u64 = 1_700_000_000_000;

fn endpoint(name: &str) -> EndpointName {
    EndpointName::new(name)
}

fn run(request: &str) -> SilentRun {
    SilentRun {
        digest: Digest::new(&[request.as_bytes()]),
        id: request.into(),
        failure_domain: FailureDomain::new("a"),
        born_unix_ms: BORN_UNIX_MS,
        isolated: false,
        shared: false,
    }
}

/// Returns the requests under which endpoints have crashed, as known at `now_ms` and recorded a second later.
fn crashed(runs: &mut SilentRuns, now_ms: u64, born_unix_ms: Option<u64>) -> Vec<Box<str>> {
    assert!(runs.take_crashed(now_ms, |_| born_unix_ms).is_empty());
    let crashed = runs.take_crashed(now_ms + 1_000, |_| Some(BORN_UNIX_MS));
    crashed.into_iter().map(|crash| crash.run.id).collect()
}

/// Guards against a crash that is taken for slowness, as the endpoint closes no connection.
#[test]
fn an_endpoint_that_is_registered_anew_before_it_answers_has_crashed() {
    let mut runs = SilentRuns::new();
    runs.insert(0, &endpoint("e"), run("deadly"));
    assert!(crashed(&mut runs, 2_000, Some(BORN_UNIX_MS)).is_empty());
    assert_eq!(
        *crashed(&mut runs, 3_000, Some(BORN_UNIX_MS + 1))[0],
        *"deadly"
    );
    assert!(runs.is_empty());
}

#[test]
fn an_endpoint_whose_row_ends_before_it_answers_has_crashed() {
    let mut runs = SilentRuns::new();
    runs.insert(0, &endpoint("e"), run("deadly"));
    assert_eq!(*crashed(&mut runs, 3_600, None)[0], *"deadly");
}

#[test]
fn an_endpoint_that_answers_another_request_was_only_slow() {
    let mut runs = SilentRuns::new();
    runs.insert(0, &endpoint("slow"), run("innocent"));
    runs.insert(0, &endpoint("e"), run("deadly"));
    runs.record_answer(&endpoint("slow"));
    assert_eq!(
        crashed(&mut runs, 3_000, Some(BORN_UNIX_MS + 1)),
        ["deadly".into()]
    );
}

#[test]
fn a_request_that_another_endpoint_has_completed_is_not_to_blame() {
    let mut runs = SilentRuns::new();
    for (name, request) in [("e", "innocent"), ("e", "deadly"), ("f", "innocent")] {
        runs.insert(0, &endpoint(name), run(request));
    }
    runs.record_completion(run("innocent").digest);
    assert_eq!(
        crashed(&mut runs, 3_000, Some(BORN_UNIX_MS + 1)),
        ["deadly".into()]
    );
}

#[test]
fn a_run_is_forgotten_when_its_endpoint_stays_silent_and_registered() {
    let mut runs = SilentRuns::new();
    runs.insert(0, &endpoint("e"), run("slow"));
    assert!(crashed(&mut runs, 8_999, Some(BORN_UNIX_MS)).is_empty());
    assert!(!runs.is_empty());
    assert!(crashed(&mut runs, 10_000, Some(BORN_UNIX_MS + 1)).is_empty());
    assert!(runs.is_empty());
}

/// The load: endpoints that answer nothing while thousands of requests are given up.
#[test]
fn the_number_of_kept_runs_is_bounded() {
    let mut runs = SilentRuns::new();
    for number in 0..10_000 {
        runs.insert(
            0,
            &endpoint(&format!("e-{}", number % 7)),
            run(&format!("r-{number}")),
        );
    }
    let kept = crashed(&mut runs, 1_000, None).len();
    assert_eq!(kept, 4_096);
}

/// Lets endpoints crash under requests at given times; returns which crashes have another likely cause.
fn correlated(crashes: &[(u64, &str, &str)]) -> Vec<(Box<str>, bool)> {
    let mut runs = SilentRuns::new();
    for (_, name, request) in crashes {
        runs.insert(0, &endpoint(name), run(request));
    }
    let mut recorded = Vec::new();
    for now_ms in (0..9_000).step_by(100) {
        let taken = runs.take_crashed(now_ms, |name| {
            let mut crashes = crashes.iter();
            let crash = crashes.find(|(_, other, _)| *other == name.as_str());
            let (back_ms, ..) = crash.unwrap();
            Some(BORN_UNIX_MS + u64::from(now_ms >= *back_ms))
        });
        recorded.extend(
            taken
                .into_iter()
                .map(|crash| (crash.run.id, crash.correlated)),
        );
    }
    recorded.sort();
    recorded
}

/// The load: endpoints of a failure domain that lose power at once and are back within a second. Guards
/// against innocent requests that are refused, as their endpoints don't return in the same instant.
#[test]
fn endpoints_that_return_within_seconds_have_a_common_cause() {
    let crashes = [
        (3_000, "e", "one"),
        (3_400, "f", "two"),
        (3_900, "g", "three"),
    ];
    assert!(
        correlated(&crashes)
            .iter()
            .all(|(_, correlated)| *correlated)
    );
}

#[test]
fn endpoints_that_ran_the_same_request_are_no_other_cause() {
    let crashes = [
        (3_000, "e", "deadly"),
        (3_300, "f", "deadly"),
        (3_600, "g", "deadly"),
    ];
    assert!(
        correlated(&crashes)
            .iter()
            .all(|(_, correlated)| !correlated)
    );
}

#[test]
fn endpoints_that_return_seconds_apart_have_no_common_cause() {
    let crashes = [(2_000, "e", "one"), (5_000, "f", "two")];
    assert!(
        correlated(&crashes)
            .iter()
            .all(|(_, correlated)| !correlated)
    );
}
