//! Endpoint selection, limits, queue order and accounting of the pool.

use proptest::prelude::*;
use wisteriapoint_route::{
    Admission, Class, Demand, Dispatch, EndpointKey, EndpointState, Load, Outcome, Pool, Reason,
    TicketKey,
};
use wisteriapoint_types::{Digest, FailureDomain};

const QUEUE_LENGTH: usize = 4;
const ROLLOUT: Class = Class::Rollout { trainer: 1 };

/// Name, failure domain and slots of each endpoint.
type Endpoints = &'static [(&'static str, &'static str, u32)];

fn pool(endpoints: &[(&str, &str, u32)]) -> (Pool, Vec<EndpointKey>) {
    let mut pool = Pool::new(QUEUE_LENGTH, 1);
    let keys = endpoints
        .iter()
        .map(|&(endpoint, failure_domain, slots)| {
            pool.insert(EndpointState::new(endpoint, failure_domain, slots))
        })
        .collect();
    (pool, keys)
}

fn expect_dispatch(admission: Admission) -> Dispatch {
    match admission {
        Admission::Dispatch(dispatch) => dispatch,
        other => panic!("expected a dispatch, got {other:?}"),
    }
}

fn expect_ticket(admission: Admission) -> TicketKey {
    match admission {
        Admission::Wait(ticket) => ticket,
        other => panic!("expected a ticket, got {other:?}"),
    }
}

fn completed(elapsed_ms: u64, tokens: u32) -> Outcome {
    Outcome::Completed { elapsed_ms, tokens }
}

/// Completes one request on an endpoint, so that its time per token is measured.
fn measure(pool: &mut Pool, key: EndpointKey, ms_per_token: u64) {
    let others: Vec<EndpointKey> = pool.endpoints().map(|(other, _)| other).collect();
    let avoided_endpoints = others.into_iter().filter(|&other| other != key).collect();
    let demand = Demand {
        avoided_endpoints,
        ..Demand::caller(1_000_000)
    };
    let dispatch = expect_dispatch(pool.admit(0, demand));
    assert_eq!(dispatch.endpoint, key);
    pool.finish(0, dispatch.ticket, completed(ms_per_token, 1));
}

#[test]
fn refusals() {
    let cases: [(&str, Endpoints, u64, usize, Reason); 3] = [
        ("no endpoint", &[], 1_000, 0, Reason::NoEndpoint),
        ("deadline passed", &[("e", "a", 1)], 10, 0, Reason::Deadline),
        (
            "queue full",
            &[("e", "a", 1)],
            1_000,
            1 + QUEUE_LENGTH,
            Reason::QueueFull,
        ),
    ];
    for (name, endpoints, deadline_ms, earlier, reason) in cases {
        let (mut pool, _) = pool(endpoints);
        for _ in 0..earlier {
            pool.admit(10, Demand::caller(1_000));
        }
        match pool.admit(10, Demand::caller(deadline_ms)) {
            Admission::Refuse(refusal) => {
                assert_eq!(refusal.reason, reason, "{name}");
                assert!(refusal.retry_after_ms > 0, "{name}");
            }
            other => panic!("{name}: {other:?}"),
        }
    }
}

#[test]
fn a_request_that_would_wait_past_its_deadline_is_refused_at_once() {
    let (mut pool, keys) = pool(&[("e", "a", 1)]);
    measure(&mut pool, keys[0], 100);
    expect_dispatch(pool.admit(0, Demand::caller(10_000)));
    expect_ticket(pool.admit(0, Demand::caller(10_000)));
    expect_ticket(pool.admit(0, Demand::caller(10_000)));
    let refusal = match pool.admit(0, Demand::caller(250)) {
        Admission::Refuse(refusal) => refusal,
        other => panic!("{other:?}"),
    };
    assert_eq!(refusal.reason, Reason::Deadline);
    let excess_ms = 200 + 100 - 250;
    assert!(refusal.retry_after_ms >= excess_ms);
}

#[test]
fn a_longer_queue_gives_a_longer_retry_after() {
    let after = |waiting: usize| {
        let mut pool = Pool::new(waiting, 1);
        let key = pool.insert(EndpointState::new("e", "a", 1));
        measure(&mut pool, key, 500);
        expect_dispatch(pool.admit(0, Demand::caller(1_000_000)));
        for _ in 0..waiting {
            expect_ticket(pool.admit(0, Demand::caller(1_000_000)));
        }
        match pool.admit(0, Demand::caller(1_000_000)) {
            Admission::Refuse(refusal) => refusal.retry_after_ms,
            other => panic!("{other:?}"),
        }
    };
    assert!(after(8) >= 2 * after(2));
}

#[test]
fn leaving_and_paused_endpoints_get_no_new_requests() {
    let (mut pool, keys) = pool(&[("e", "a", 8), ("f", "b", 8)]);
    pool.endpoint_mut(keys[0]).expect("endpoint exists").leaving = true;
    for _ in 0..4 {
        assert_eq!(
            expect_dispatch(pool.admit(0, Demand::caller(1_000))).endpoint,
            keys[1]
        );
    }
    pool.endpoint_mut(keys[0]).expect("endpoint exists").leaving = false;
    let dispatch = expect_dispatch(pool.admit(0, Demand::caller(1_000)));
    assert_eq!(dispatch.endpoint, keys[0]);
    pool.finish(0, dispatch.ticket, Outcome::Failed);
    assert_eq!(
        expect_dispatch(pool.admit(0, Demand::caller(1_000))).endpoint,
        keys[1]
    );
}

#[test]
fn a_new_load_report_ends_a_pause() {
    let (mut pool, keys) = pool(&[("e", "a", 8)]);
    let dispatch = expect_dispatch(pool.admit(0, Demand::caller(1_000)));
    pool.finish(0, dispatch.ticket, Outcome::Failed);
    expect_ticket(pool.admit(1, Demand::caller(1_000)));
    let load = Load {
        running: 0,
        waiting: 0,
        at_ms: 2,
    };
    pool.record_load(2, keys[0], load);
    assert_eq!(pool.dispatch_waiting(2).len(), 1);
}

#[test]
fn a_retry_goes_to_another_failure_domain_and_endpoint_first() {
    let (mut pool, keys) = pool(&[("e", "a", 64), ("f", "a", 64), ("g", "b", 64)]);
    let retry = |tried: &[usize], avoid: &str| Demand {
        avoided_endpoints: tried.iter().map(|&index| keys[index]).collect(),
        avoided_domain: Some(FailureDomain::new(avoid)),
        ..Demand::caller(1_000)
    };
    for _ in 0..8 {
        assert_eq!(
            expect_dispatch(pool.admit(0, retry(&[0], "a"))).endpoint,
            keys[2]
        );
        assert_eq!(
            expect_dispatch(pool.admit(0, retry(&[0, 2], "a"))).endpoint,
            keys[1]
        );
        assert_eq!(
            expect_dispatch(pool.admit(0, retry(&[0, 1], "b"))).endpoint,
            keys[2]
        );
    }
}

#[test]
fn a_long_request_avoids_an_endpoint_that_would_be_late() {
    let (mut pool, keys) = pool(&[("fast", "a", 1), ("slow", "b", 8)]);
    measure(&mut pool, keys[0], 5);
    measure(&mut pool, keys[1], 20);
    let long = |tokens| Demand {
        max_tokens: tokens,
        ..Demand::caller(3_000)
    };
    assert_eq!(expect_dispatch(pool.admit(0, long(200))).endpoint, keys[0]);
    expect_ticket(pool.admit(0, long(200)));
}

#[test]
fn load_of_other_daemons_reduces_capacity() {
    let (mut pool, keys) = pool(&[("e", "a", 8)]);
    for at_ms in 0..100 {
        let load = Load {
            running: 8,
            waiting: 0,
            at_ms,
        };
        pool.record_load(at_ms, keys[0], load);
    }
    expect_dispatch(pool.admit(100, Demand::caller(1_000)));
    expect_ticket(pool.admit(100, Demand::caller(1_000)));
}

#[test]
fn a_prefix_stays_on_one_endpoint_until_it_is_loaded() {
    let (mut pool, keys) = pool(&[("e", "a", 8), ("f", "a", 8), ("g", "a", 8)]);
    for &key in &keys {
        measure(&mut pool, key, 5);
    }
    let demand = || Demand {
        prefix: Some(7),
        ..Demand::caller(10_000)
    };
    let chosen: Vec<EndpointKey> = (0..12)
        .map(|_| expect_dispatch(pool.admit(0, demand())).endpoint)
        .collect();
    let preferred = chosen[0];
    assert!(chosen[..4].iter().all(|&key| key == preferred));
    assert!(chosen.iter().any(|&key| key != preferred));
}

#[test]
fn callers_precede_rollouts_and_are_ordered_by_deadline() {
    let (mut pool, _) = pool(&[("e", "a", 1)]);
    let running = expect_dispatch(pool.admit(0, Demand::caller(90_000)));
    let rollout = expect_ticket(pool.admit(0, Demand::rollout(1, 90_000)));
    let late = expect_ticket(pool.admit(0, Demand::caller(80_000)));
    let early = expect_ticket(pool.admit(0, Demand::caller(70_000)));
    let mut order = Vec::new();
    let mut current = running.ticket;
    for _ in 0..3 {
        let dequeued = pool.finish(0, current, completed(1, 1));
        assert_eq!(dequeued.len(), 1);
        current = dequeued[0].ticket;
        order.push(current);
    }
    assert_eq!(order, [early, late, rollout]);
}

#[test]
fn a_waiting_caller_preempts_the_latest_rollout() {
    let (mut pool, _) = pool(&[("e", "a", 2)]);
    let earlier = expect_dispatch(pool.admit(0, Demand::rollout(1, 90_000)));
    let latest = expect_dispatch(pool.admit(5, Demand::rollout(1, 90_000)));
    assert!(pool.take_preempted().is_empty());
    let caller = expect_ticket(pool.admit(10, Demand::caller(5_000)));
    assert_eq!(pool.take_preempted(), [latest.ticket]);
    assert!(pool.take_preempted().is_empty());
    let dequeued = pool.finish(11, latest.ticket, Outcome::Cancelled);
    assert_eq!(dequeued[0].ticket, caller);
    assert_eq!(dequeued[0].endpoint, Ok(earlier.endpoint));
}

#[test]
fn trainers_share_by_tokens() {
    let cases = [
        ("equal", 100, 100),
        ("one requests long responses", 100, 300),
    ];
    for (name, first_tokens, second_tokens) in cases {
        let mut pool = Pool::new(1_000, 1);
        pool.insert(EndpointState::new("e", "a", 1));
        let mut current = expect_dispatch(pool.admit(0, Demand::rollout(9, 1_000_000))).ticket;
        let mut queued = Vec::new();
        for (trainer, tokens) in [(1, first_tokens), (2, second_tokens)] {
            for _ in 0..200 {
                let demand = Demand {
                    max_tokens: tokens,
                    ..Demand::rollout(trainer, 1_000_000)
                };
                queued.push((expect_ticket(pool.admit(0, demand)), trainer, tokens));
            }
        }
        let mut served = [0_u32; 3];
        for _ in 0..120 {
            current = pool.finish(0, current, completed(1, 1))[0].ticket;
            let &(_, trainer, tokens) = queued
                .iter()
                .find(|(ticket, _, _)| *ticket == current)
                .expect("ticket was queued");
            served[trainer as usize] += tokens;
        }
        let difference = served[1].abs_diff(served[2]);
        assert!(difference <= 2 * second_tokens, "{name}: {served:?}");
    }
}

#[test]
fn retries_stay_within_their_ratio() {
    for (ratio, most) in [(0.0, 0), (0.1, 101), (0.5, 501)] {
        let (mut pool, _) = pool(&[("e", "a", 1)]);
        for _ in 0..1_000 {
            pool.try_take_retry();
        }
        pool.set_retry_ratio(ratio);
        let mut retries = 0;
        for _ in 0..1_000 {
            pool.admit(0, Demand::caller(1_000));
            retries += usize::from(pool.try_take_retry());
        }
        assert!(retries <= most, "{ratio}: {retries}");
        assert!(retries + 2 >= most, "{ratio}: {retries}");
    }
}

#[derive(Debug, Clone)]
enum Step {
    Admit {
        rollout: bool,
        deadline_ms: u64,
        digest: u8,
    },
    Finish {
        index: usize,
        outcome: usize,
    },
    Withdraw {
        index: usize,
    },
    Report {
        state: usize,
        running: u32,
    },
    Leave {
        state: usize,
        leaving: bool,
    },
    Advance {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<bool>(), 1..5_000_u64, 0..4_u8).prop_map(|(rollout, deadline_ms, digest)| {
            Step::Admit { rollout, deadline_ms, digest }
        }),
        4 => (any::<usize>(), 0..5_usize).prop_map(|(index, outcome)| Step::Finish { index, outcome }),
        1 => any::<usize>().prop_map(|index| Step::Withdraw { index }),
        1 => (0..3_usize, 0..12_u32).prop_map(|(state, running)| Step::Report { state, running }),
        1 => (0..3_usize, any::<bool>()).prop_map(|(state, leaving)| Step::Leave { state, leaving }),
        2 => (0..2_000_u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

fn outcome(index: usize) -> Outcome {
    [
        completed(20, 1),
        Outcome::Refused,
        Outcome::Failed,
        Outcome::Crashed,
        Outcome::Cancelled,
    ][index]
}

proptest! {
    #[test]
    fn tickets_and_slots_are_released(steps in prop::collection::vec(step(), 1..200)) {
        let (mut pool, keys) = pool(&[("e", "a", 2), ("f", "b", 2), ("g", "c", 3)]);
        let mut now_ms = 0;
        let mut waiting: Vec<TicketKey> = Vec::new();
        let mut running: Vec<Dispatch> = Vec::new();
        for step in steps {
            let mut dequeued = Vec::new();
            match step {
                Step::Admit { rollout, deadline_ms, digest } => {
                    let class = if rollout { ROLLOUT } else { Class::Caller };
                    let demand = Demand {
                        class,
                        digest: Some(Digest(digest.into())),
                        ..Demand::caller(now_ms + deadline_ms)
                    };
                    match pool.admit(now_ms, demand) {
                        Admission::Dispatch(dispatch) => running.push(dispatch),
                        Admission::Wait(ticket) => waiting.push(ticket),
                        Admission::Refuse(_) => {}
                    }
                }
                Step::Finish { index, outcome: end } if !running.is_empty() => {
                    let dispatch = running.swap_remove(index % running.len());
                    dequeued = pool.finish(now_ms, dispatch.ticket, outcome(end));
                }
                Step::Withdraw { index } if !waiting.is_empty() => {
                    pool.cancel_waiting(waiting.swap_remove(index % waiting.len()));
                }
                Step::Report { state, running } => {
                    let load = Load { running, waiting: 0, at_ms: now_ms };
                    pool.record_load(now_ms, keys[state], load);
                }
                Step::Leave { state, leaving } => {
                    pool.endpoint_mut(keys[state]).expect("endpoint exists").leaving = leaving;
                }
                Step::Advance { ms } => {
                    now_ms += ms;
                    dequeued = pool.dispatch_waiting(now_ms);
                }
                Step::Finish { .. } | Step::Withdraw { .. } => {}
            }
            for entry in dequeued {
                let index = waiting.iter().position(|&ticket| ticket == entry.ticket);
                waiting.swap_remove(index.expect("only waiting requests are dequeued"));
                if let Ok(endpoint) = entry.endpoint {
                    running.push(Dispatch { ticket: entry.ticket, endpoint });
                }
            }
            for preempted in pool.take_preempted() {
                prop_assert!(running.iter().any(|dispatch| dispatch.ticket == preempted));
            }
            for &key in &keys {
                let here = running.iter().filter(|dispatch| dispatch.endpoint == key).count();
                prop_assert_eq!(pool.endpoint(key).expect("endpoint exists").in_flight as usize, here);
                prop_assert!(here <= pool.endpoint(key).expect("endpoint exists").max_concurrency as usize);
            }
            prop_assert_eq!(pool.ticket_count(), running.len() + waiting.len());
        }
        now_ms += 1_000_000;
        for entry in pool.dispatch_waiting(now_ms) {
            waiting.retain(|&ticket| ticket != entry.ticket);
            prop_assert!(entry.endpoint.is_err(), "deadline has passed");
        }
        prop_assert!(waiting.is_empty(), "a waiting ticket was not dequeued");
    }
}
