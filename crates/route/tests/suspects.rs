//! Isolation of requests that crash endpoints, and endpoint subsetting.

use std::collections::BTreeMap;

use wisteriapoint_route::{
    Admission, Crash, Demand, Dispatch, EndpointKey, EndpointState, Load, Outcome, Pool, Reason,
    Recorded, Subset, SuspectStatus, Suspects,
};
use wisteriapoint_types::{Digest, EndpointName, FailureDomain, MemberId};

const BAD: Digest = Digest(1);
const GOOD: Digest = Digest(2);
/// Status of a request after each crash, if all have another likely cause.
const STATUSES_WITH_OTHER_CAUSES: [SuspectStatus; 4] = [
    SuspectStatus::Normal,
    SuspectStatus::Suspect,
    SuspectStatus::Suspect,
    SuspectStatus::Quarantined,
];

fn pool(count: usize) -> Pool {
    let mut pool = Pool::new(16, 1);
    for index in 0..count {
        pool.insert(EndpointState::new(&format!("e{index}"), "a", 2));
    }
    pool
}

fn domain() -> FailureDomain {
    FailureDomain::new("a")
}

/// Records a crash that no other daemon has seen.
fn record_crash(
    suspects: &mut Suspects,
    at_ms: u64,
    digest: Digest,
    endpoint: &EndpointName,
    isolated: bool,
) -> Recorded {
    let crash = Crash {
        id: rand::random(),
        endpoint,
        failure_domain: &domain(),
        isolated,
        is_leaving: false,
    };
    suspects.record_crash(at_ms, digest, crash)
}

fn demand(digest: Digest) -> Demand {
    Demand {
        digest: Some(digest),
        ..Demand::caller(1_000_000)
    }
}

fn expect_dispatch(pool: &mut Pool, now_ms: u64, digest: Digest) -> Dispatch {
    match pool.admit(now_ms, demand(digest)) {
        Admission::Dispatch(dispatch) => dispatch,
        other => panic!("expected a dispatch, got {other:?}"),
    }
}

fn crash(pool: &mut Pool, now_ms: u64, digest: Digest) -> EndpointKey {
    let dispatch = expect_dispatch(pool, now_ms, digest);
    pool.finish(now_ms, dispatch.ticket, Outcome::Crashed);
    dispatch.endpoint
}

#[test]
fn a_request_that_crashed_two_endpoints_is_refused() {
    let mut pool = pool(4);
    let first = crash(&mut pool, 0, BAD);
    let second = crash(&mut pool, 10, BAD);
    assert_ne!(first, second);
    match pool.admit(20, demand(BAD)) {
        Admission::Refuse(refusal) => assert_eq!(refusal.reason, Reason::Quarantined),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_suspect_runs_isolated_and_is_cleared_by_its_response() {
    let mut pool = pool(3);
    let crashed = crash(&mut pool, 0, GOOD);
    let now_ms = 5_000;
    let load = Load {
        at_ms: now_ms,
        ..Load::default()
    };
    pool.record_load(now_ms, crashed, load);
    let isolated = expect_dispatch(&mut pool, now_ms, GOOD);
    // After its crash, the endpoint accepts one request at a time.
    for other in 10..13 {
        let beside = expect_dispatch(&mut pool, now_ms, Digest(other));
        assert_ne!(beside.endpoint, isolated.endpoint);
    }
    assert!(matches!(
        pool.admit(now_ms, demand(Digest(13))),
        Admission::Wait(_)
    ));
    let completed = Outcome::Completed {
        elapsed_ms: 10,
        tokens: 1,
    };
    assert_eq!(pool.finish(now_ms, isolated.ticket, completed).len(), 1);
    assert!(pool.crash_reports(now_ms).is_empty());
}

#[test]
fn a_suspect_waits_until_its_endpoint_is_empty() {
    let mut pool = pool(1);
    crash(&mut pool, 0, GOOD);
    let now_ms = 5_000;
    let busy = expect_dispatch(&mut pool, now_ms, Digest(9));
    let Admission::Wait(suspect) = pool.admit(now_ms, demand(GOOD)) else {
        panic!("the endpoint is busy");
    };
    assert!(matches!(
        pool.admit(now_ms, demand(Digest(10))),
        Admission::Wait(_)
    ));
    let dequeued = pool.finish(now_ms, busy.ticket, Outcome::Cancelled);
    assert_eq!(dequeued.len(), 1);
    assert_eq!(dequeued[0].ticket, suspect);
}

/// Endpoint index, `true` if the request ran isolated, and time in milliseconds.
type Crashes = &'static [(usize, bool, u64)];

#[test]
fn status_by_crashes() {
    let endpoints = ["e", "f"].map(EndpointName::new);
    let cases: [(&str, Crashes, SuspectStatus); 5] = [
        ("none", &[], SuspectStatus::Normal),
        ("one not isolated", &[(0, false, 0)], SuspectStatus::Suspect),
        (
            "two endpoints, neither isolated",
            &[(0, false, 0), (1, false, 0)],
            SuspectStatus::Suspect,
        ),
        (
            "not isolated, then isolated",
            &[(0, false, 0), (1, true, 5)],
            SuspectStatus::Quarantined,
        ),
        (
            "isolated on the same endpoint",
            &[(0, false, 0), (0, true, 5)],
            SuspectStatus::Quarantined,
        ),
    ];
    for (name, crashes, status) in cases {
        let mut suspects = Suspects::default();
        for &(endpoint, isolated, at_ms) in crashes {
            record_crash(&mut suspects, at_ms, BAD, &endpoints[endpoint], isolated);
        }
        assert_eq!(suspects.status(10, BAD), status, "{name}");
        assert_eq!(suspects.status(10, GOOD), SuspectStatus::Normal, "{name}");
        assert_eq!(
            suspects.status(10_000_000, BAD),
            SuspectStatus::Normal,
            "{name}, expired"
        );
    }
}

#[test]
fn crashes_of_one_endpoint_count_once_until_it_can_be_back() {
    let endpoint = EndpointName::new("e");
    let mut suspects = Suspects::default();
    record_crash(&mut suspects, 0, BAD, &endpoint, false);
    record_crash(&mut suspects, 0, GOOD, &endpoint, false);
    record_crash(&mut suspects, 10, BAD, &endpoint, false);
    assert_eq!(suspects.reports(10, BAD).len(), 1);
    for crash in 1..4 {
        record_crash(&mut suspects, crash * 2_000, BAD, &endpoint, false);
        assert_eq!(suspects.reports(10, BAD).len(), 1 + crash as usize);
    }
    assert_eq!(suspects.status(6_000, BAD), SuspectStatus::Quarantined);
    assert_eq!(suspects.status(6_000, GOOD), SuspectStatus::Suspect);
    let expires_ms = 6_000 + suspects.expires_in_ms(6_000, BAD);
    assert_eq!(suspects.status(expires_ms, BAD), SuspectStatus::Normal);
}

#[test]
fn a_completed_request_is_cleared_unless_it_is_quarantined() {
    let endpoints = ["e", "f"].map(EndpointName::new);
    let mut suspects = Suspects::default();
    record_crash(&mut suspects, 0, GOOD, &endpoints[0], false);
    assert!(suspects.clear(5, GOOD));
    assert!(!suspects.clear(5, GOOD), "it has no history any more");
    record_crash(&mut suspects, 1_000, GOOD, &endpoints[1], false);
    assert_eq!(suspects.status(1_000, GOOD), SuspectStatus::Suspect);
    record_crash(&mut suspects, 2_000, GOOD, &endpoints[0], true);
    assert!(!suspects.clear(3_000, GOOD));
    assert_eq!(suspects.status(3_000, GOOD), SuspectStatus::Quarantined);
}

// Guards against one crash that counts twice because a report of it was held up, for example by a
// daemon that was suspended.
#[test]
fn a_report_that_arrives_late_is_of_the_crash_that_is_known() {
    let endpoint = EndpointName::new("e");
    let (mut one, mut other) = (Suspects::default(), Suspects::default());
    record_crash(&mut one, 0, BAD, &endpoint, false);
    let held_up = one.reports(1, BAD);
    assert!(other.import(5_000, &held_up[0]).is_new);
    for report in other.reports(9_000, BAD) {
        assert!(!one.import(9_000, &report).is_new);
    }
    assert!(!other.import(9_000, &one.reports(9_000, BAD)[0]).is_new);
    assert_eq!(one.reports(9_000, BAD).len(), 1);
    assert_eq!(other.reports(9_000, BAD).len(), 1);
}

/// Records that `endpoints` crash at the same time while the request runs on the first of them.
fn crash_in_burst(suspects: &mut Suspects, at_ms: u64, endpoints: &[(&str, &str)], isolated: bool) {
    let names = endpoints
        .iter()
        .map(|&(name, domain)| (EndpointName::new(name), FailureDomain::new(domain)));
    for (index, (endpoint, domain)) in names.enumerate() {
        match index {
            0 => {
                let crash = Crash {
                    id: rand::random(),
                    endpoint: &endpoint,
                    failure_domain: &domain,
                    isolated,
                    is_leaving: false,
                };
                suspects.record_crash(at_ms, BAD, crash);
            }
            _ => suspects.record_endpoint_crash(at_ms + 50, &endpoint, &domain),
        }
    }
}

// Guards against a request that crashes endpoints without end because each of them was leaving.
#[test]
fn crashes_of_leaving_endpoints_quarantine_the_fourth_time() {
    let mut suspects = Suspects::default();
    for (number, status) in STATUSES_WITH_OTHER_CAUSES.into_iter().enumerate() {
        let crash = Crash {
            id: number as u64,
            endpoint: &EndpointName::new(format!("e{number}")),
            failure_domain: &domain(),
            isolated: true,
            is_leaving: true,
        };
        let at_ms = 5_000 * number as u64;
        suspects.record_crash(at_ms, BAD, crash);
        assert_eq!(suspects.status(at_ms, BAD), status, "crash {number}");
    }
}

#[test]
fn status_after_a_crash_among_others() {
    let cases = [
        ("alone", &[("e", "a")][..], SuspectStatus::Suspect),
        (
            "same failure domain",
            &[("e", "a"), ("f", "a")],
            SuspectStatus::Normal,
        ),
        (
            "another failure domain",
            &[("e", "a"), ("f", "b")],
            SuspectStatus::Suspect,
        ),
        (
            "several failure domains",
            &[("e", "a"), ("f", "b"), ("g", "c")],
            SuspectStatus::Normal,
        ),
    ];
    for (name, endpoints, status) in cases {
        let mut suspects = Suspects::default();
        crash_in_burst(&mut suspects, 1_000, endpoints, false);
        assert_eq!(suspects.status(2_000, BAD), status, "{name}");
    }
}

// Guards against a request that crashes a third endpoint since requests of other daemons ran beside it.
#[test]
fn a_crash_beside_requests_of_other_daemons_quarantines_an_isolated_suspect() {
    let endpoints = ["e", "f"].map(EndpointName::new);
    let mut suspects = Suspects::default();
    record_crash(&mut suspects, 0, BAD, &endpoints[0], false);
    record_crash(&mut suspects, 5_000, GOOD, &endpoints[1], false);
    record_crash(&mut suspects, 5_000, BAD, &endpoints[1], true);
    assert_eq!(suspects.status(5_000, BAD), SuspectStatus::Quarantined);
    assert_eq!(suspects.status(5_000, GOOD), SuspectStatus::Suspect);
}

// Guards against an innocent request that is quarantined since another one, without a history, crashed
// the endpoint at which it ran isolated.
#[test]
fn a_crash_beside_another_request_is_not_isolated_whichever_is_recorded_first() {
    for is_isolated_first in [true, false] {
        let endpoints = ["e", "f"].map(EndpointName::new);
        let mut suspects = Suspects::default().with_exclusive_isolation();
        record_crash(&mut suspects, 0, GOOD, &endpoints[0], false);
        let mut order = [(GOOD, true), (BAD, false)];
        if !is_isolated_first {
            order.reverse();
        }
        for (digest, isolated) in order {
            record_crash(&mut suspects, 5_000, digest, &endpoints[1], isolated);
        }
        assert_eq!(suspects.status(5_000, GOOD), SuspectStatus::Suspect);
        assert_eq!(suspects.status(5_000, BAD), SuspectStatus::Suspect);
        let mut other = Suspects::default().with_exclusive_isolation();
        for report in suspects.reports(5_010, GOOD) {
            other.import(5_010, &report);
        }
        assert_eq!(other.status(5_010, GOOD), SuspectStatus::Suspect);
    }
}

// Guards against a request that is never refused because other endpoints crash whenever it does.
#[test]
fn bursts_of_crashes_quarantine_a_request_after_four() {
    let mut suspects = Suspects::default();
    for (burst, status) in STATUSES_WITH_OTHER_CAUSES.into_iter().enumerate() {
        let at_ms = 5_000 * (burst as u64 + 1);
        let is_isolated = burst >= 2;
        let endpoints = [("e", "a"), ("f", "a"), ("g", "a")];
        crash_in_burst(&mut suspects, at_ms, &endpoints, is_isolated);
        assert_eq!(suspects.status(at_ms, BAD), status, "burst {burst}");
    }
}

// Guards against crashes that are not recorded because too many requests are suspects.
#[test]
fn the_oldest_suspect_makes_room_for_a_new_one() {
    let mut suspects = Suspects::default();
    let endpoint = EndpointName::new("e");
    let mut evicted = Vec::new();
    for number in 0..4_100 {
        let digest = Digest(number.into());
        let recorded = record_crash(&mut suspects, number, digest, &endpoint, false);
        evicted.extend(recorded.evicted);
    }
    assert_eq!(evicted, (0..4).map(Digest).collect::<Vec<_>>());
    assert_eq!(suspects.status(4_100, Digest(0)), SuspectStatus::Normal);
    assert_eq!(
        suspects.status(4_100, Digest(4_099)),
        SuspectStatus::Suspect
    );
}

#[test]
fn reports_carry_the_status_of_a_request() {
    let endpoints = ["e", "f", "g"].map(EndpointName::new);
    for crashes in 1..=3 {
        let (mut one, mut other) = (Suspects::default(), Suspects::default());
        for (index, endpoint) in endpoints.iter().take(crashes).enumerate() {
            let at_ms = 10_000 * index as u64;
            record_crash(&mut one, at_ms, BAD, endpoint, index == 1);
        }
        for report in one.reports(40_000, BAD) {
            assert!(other.import(100_000, &report).is_new);
            assert!(!other.import(100_000, &report).is_new, "known already");
        }
        assert_eq!(other.status(100_000, BAD), one.status(40_000, BAD));
        let (one, other) = (one.reports(40_000, BAD), other.reports(100_000, BAD));
        assert_eq!(one, other, "ages and flags stay");
    }
}

#[test]
fn crash_reports_reach_other_daemons() {
    let mut one = pool(4);
    let mut other = pool(4);
    crash(&mut one, 0, BAD);
    other.apply_crash_reports(100, &one.crash_reports(0));
    crash(&mut other, 100, BAD);
    one.apply_crash_reports(200, &other.crash_reports(100));
    for pool in [&mut one, &mut other] {
        match pool.admit(200, demand(BAD)) {
            Admission::Refuse(refusal) => assert_eq!(refusal.reason, Reason::Quarantined),
            other => panic!("{other:?}"),
        }
    }
    assert!(one.crash_reports(10_000_000).is_empty());
}

#[test]
fn records_stay_bounded() {
    let mut suspects = Suspects::default();
    let endpoint = EndpointName::new("e");
    for number in 0..10_000 {
        record_crash(
            &mut suspects,
            number,
            Digest(number.into()),
            &endpoint,
            false,
        );
    }
    assert!(suspects.export(10_000, u64::MAX).len() <= 4_096);
    assert_eq!(
        suspects.status(10_000, Digest(9_999)),
        SuspectStatus::Suspect
    );
}

#[test]
fn subsets_cover_every_endpoint_and_stay_near_their_size() {
    let names: Vec<EndpointName> = (0..900)
        .map(|index| EndpointName::new(format!("engine-{index}")))
        .collect();
    let all: Vec<&EndpointName> = names.iter().collect();
    let members: Vec<MemberId> = (0..76).map(MemberId).collect();
    let mut users: BTreeMap<&EndpointName, usize> = BTreeMap::new();
    let mut owners: BTreeMap<&EndpointName, usize> = BTreeMap::new();
    for &me in &members {
        let subset = Subset::new(me, members.clone(), 96);
        let used = subset.select(&all);
        assert!(used.len() <= 2 * 96, "{} endpoints", used.len());
        for name in used {
            *users.entry(name).or_default() += 1;
            *owners.entry(name).or_default() += usize::from(subset.owns(name));
        }
    }
    assert_eq!(users.len(), names.len());
    assert!(users.values().all(|&count| count >= 8));
    assert!(owners.values().all(|&count| count == 1));
}

#[test]
fn a_removed_daemon_moves_only_its_own_endpoints() {
    let names: Vec<EndpointName> = (0..400)
        .map(|index| EndpointName::new(format!("engine-{index}")))
        .collect();
    let all: Vec<&EndpointName> = names.iter().collect();
    let members: Vec<MemberId> = (0..40).map(MemberId).collect();
    let me = MemberId(3);
    let before = Subset::new(me, members.clone(), 40).select(&all);
    let after = Subset::new(me, members[..39].to_vec(), 40).select(&all);
    assert!(before.iter().all(|name| after.contains(name)));
}

#[test]
fn correlated_crashes_in_a_failure_domain_raise_no_suspicion() {
    let cases = [
        ("two endpoints at once", "a", 0, true),
        ("one after the other", "a", 1_000, false),
        ("two failure domains", "b", 0, false),
    ];
    for (name, second_domain, apart_ms, cleared) in cases {
        let mut pool = Pool::new(16, 1);
        pool.insert(EndpointState::new("e", "a", 1));
        pool.insert(EndpointState::new("f", second_domain, 1));
        let first = expect_dispatch(&mut pool, 0, Digest(1));
        let second = expect_dispatch(&mut pool, 0, Digest(2));
        pool.finish(0, first.ticket, Outcome::Crashed);
        pool.finish(apart_ms, second.ticket, Outcome::Crashed);
        assert_eq!(pool.crash_reports(apart_ms).is_empty(), cleared, "{name}");
    }
}

#[test]
fn copies_of_one_request_that_crash_two_endpoints_stay_suspect() {
    let mut pool = Pool::new(16, 1);
    pool.insert(EndpointState::new("e", "a", 1));
    pool.insert(EndpointState::new("f", "a", 1));
    let copies = [
        expect_dispatch(&mut pool, 0, BAD),
        expect_dispatch(&mut pool, 0, BAD),
    ];
    for copy in copies {
        pool.finish(0, copy.ticket, Outcome::Crashed);
    }
    assert_eq!(pool.crash_reports(0).len(), 2);
}
