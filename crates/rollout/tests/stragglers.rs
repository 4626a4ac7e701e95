//! Tests of dispatch order, hedged copies, fair sharing and the concurrency window.

mod common;

use common::{first_tokens, id, sample, spec};
use wisteriapoint_rollout::{Coordinator, Cursor, StepSpec, Task, Window};
use wisteriapoint_types::{EndpointName, ServiceName, WeightVersion};

fn put(coordinator: &mut Coordinator, trainer: &str, spec: StepSpec) {
    let put = coordinator.put(0, id(trainer), spec, &Cursor::new());
    put.expect("a valid step");
}

fn run_task(coordinator: &mut Coordinator, now_ms: u64, task: &Task, endpoint: &str, tokens: u32) {
    coordinator.record_first_tokens(now_ms, task.attempt, first_tokens(endpoint, 1));
    let at_ms = now_ms + u64::from(tokens) * 10;
    let sample = sample(task.key, &[(1, tokens)]);
    coordinator.finish(at_ms, task.attempt, Some(sample));
}

#[test]
fn one_sample_of_each_group_is_dispatched_first_and_then_the_long_groups() {
    let mut coordinator = Coordinator::new();
    let spec = StepSpec {
        samples_per_prompt: 3,
        ..spec(3, 1)
    };
    put(&mut coordinator, "t", spec);
    let first_samples = coordinator.take_tasks(0, 3);
    let positions: Vec<_> = first_samples
        .iter()
        .map(|t| (t.key.group, t.key.index))
        .collect();
    assert_eq!(positions, [(0, 0), (1, 0), (2, 0)]);
    for (task, tokens) in first_samples.iter().zip([20, 90, 50]) {
        run_task(&mut coordinator, 0, task, "engine-1", tokens);
    }
    let rest = coordinator.take_tasks(0, 9);
    let groups: Vec<_> = rest.iter().map(|task| task.key.group).collect();
    assert_eq!(groups, [1, 1, 2, 2, 0, 0]);
    assert_eq!(rest[0].expected_tokens, 90);
}

/// Returns a coordinator of a step whose last sample runs on a slow engine, while the speed of
/// a fast engine has been measured.
fn with_straggler(hedge_ratio: f64) -> (Coordinator, Task) {
    let mut coordinator = Coordinator::new();
    let service = ServiceName::new("advisor-lm");
    coordinator.set_service(service, 64, hedge_ratio);
    put(&mut coordinator, "t", spec(8, 1));
    let mut tasks = coordinator.take_tasks(0, 16);
    let straggler = tasks.pop().expect("16 tasks");
    for task in &tasks {
        run_task(&mut coordinator, 0, task, "fast", 40);
    }
    coordinator.record_first_tokens(0, straggler.attempt, first_tokens("slow", 1));
    coordinator.record_progress(1_000, straggler.attempt, 2);
    (coordinator, straggler)
}

#[test]
fn a_straggler_gets_one_hedged_copy_on_another_engine() {
    let (mut coordinator, straggler) = with_straggler(0.1);
    let copies = coordinator.take_tasks(2_000, 9);
    assert_eq!(copies.len(), 1);
    assert_eq!(copies[0].key, straggler.key);
    assert_eq!(copies[0].avoid, [EndpointName::new("slow")]);
    assert!(coordinator.take_tasks(9_000, 9).is_empty());
}

#[test]
fn an_attempt_with_recent_and_fast_progress_is_not_hedged() {
    // Tokens reported after 1 s, time since that report in milliseconds, whether a hedged
    // copy is dispatched.
    let cases = [
        (100, 0, false),
        (36, 0, false),
        (10, 0, true),
        (36, 2_000, false),
        (36, 2_001, true),
    ];
    for (tokens, later_ms, is_copied) in cases {
        let (mut coordinator, straggler) = with_straggler(0.1);
        coordinator.record_progress(1_000, straggler.attempt, tokens);
        let copies = coordinator.take_tasks(1_000 + later_ms, 9);
        assert_eq!(copies.len(), usize::from(is_copied), "{tokens} {later_ms}");
    }
}

#[test]
fn hedged_copies_stay_within_their_budget() {
    for (hedge_ratio, copies) in [(0.0, 0), (0.01, 0), (0.1, 1)] {
        let (mut coordinator, _) = with_straggler(hedge_ratio);
        assert_eq!(coordinator.take_tasks(2_000, 9).len(), copies);
    }
}

#[test]
fn no_hedged_copy_is_dispatched_before_a_waiting_sample() {
    let mut coordinator = Coordinator::new();
    coordinator.set_service(ServiceName::new("advisor-lm"), 64, 1.0);
    put(&mut coordinator, "t", spec(2, 1));
    let tasks = coordinator.take_tasks(0, 2);
    run_task(&mut coordinator, 0, &tasks[0], "fast", 10);
    coordinator.record_first_tokens(0, tasks[1].attempt, first_tokens("slow", 1));
    for limit in [1, 1, 1] {
        let next = coordinator.take_tasks(60_000, limit);
        let is_copy = next[0].key == tasks[1].key;
        assert_eq!(is_copy, coordinator.in_flight() == 4);
    }
}

#[test]
fn the_first_of_two_finished_copies_is_delivered() {
    for first in [0, 1] {
        let (mut coordinator, straggler) = with_straggler(0.1);
        let copy = coordinator.take_tasks(2_000, 9).remove(0);
        let both = [straggler.attempt, copy.attempt];
        let (winner, loser) = (both[first], both[1 - first]);
        let mut expected = sample(straggler.key, &[(1, 40)]);
        coordinator.finish(2_100, winner, Some(expected.clone()));
        assert_eq!(coordinator.take_cancelled(), [loser]);
        expected.text = "late".into();
        coordinator.finish(2_200, loser, Some(expected));
        let version = WeightVersion(1);
        let pulled = coordinator.pull(2_300, &id("t"), &Cursor::new(), version, 99);
        let samples = pulled.expect("the step is registered").samples;
        assert_eq!(samples.len(), 16);
        assert!(samples.iter().all(|sample| &*sample.text == "text"));
    }
}

#[test]
fn a_failed_copy_does_not_cancel_the_other() {
    let (mut coordinator, straggler) = with_straggler(0.1);
    let copy = coordinator.take_tasks(2_000, 9).remove(0);
    coordinator.finish(2_100, straggler.attempt, None);
    assert!(coordinator.take_cancelled().is_empty());
    coordinator.finish(2_200, copy.attempt, None);
    assert_eq!(coordinator.take_tasks(2_300, 9).len(), 1);
}

#[test]
fn trainers_share_capacity_by_tokens() {
    let mut coordinator = Coordinator::new();
    let long = StepSpec {
        max_tokens: 300,
        ..spec(50, 1)
    };
    put(&mut coordinator, "long", long);
    put(&mut coordinator, "short", spec(50, 1));
    let tasks = coordinator.take_tasks(0, 40);
    let of = |trainer: &str| {
        let tasks = tasks.iter().filter(|t| t.id.trainer.as_str() == trainer);
        tasks.count()
    };
    assert_eq!((of("long"), of("short")), (10, 30));
}

#[test]
fn the_window_adapts_to_finished_and_refused_samples() {
    let mut window = Window::new();
    window.set_max(500);
    for _ in 0..1_000 {
        window.record_success();
    }
    assert_eq!(window.limit(), 500);
    window.record_failure(5_000);
    window.record_failure(5_001);
    assert_eq!(
        window.limit(),
        350,
        "only one refusal per second lowers the limit"
    );
    window.set_max(9);
    assert_eq!(window.limit(), 9);
}

#[test]
fn samples_in_flight_stay_within_the_window() {
    let mut coordinator = Coordinator::new();
    coordinator.set_service(ServiceName::new("advisor-lm"), 8, 0.0);
    put(&mut coordinator, "t", spec(50, 1));
    let tasks = coordinator.take_tasks(0, 99);
    assert_eq!(tasks.len(), 8);
    assert!(coordinator.take_tasks(0, 99).is_empty());
    run_task(&mut coordinator, 0, &tasks[0], "engine-1", 10);
    coordinator.finish(5_000, tasks[1].attempt, None);
    assert_eq!(
        coordinator.take_tasks(5_000, 99).len(),
        0,
        "the limit is 5 and 6 samples are in flight"
    );
    coordinator.finish(5_000, tasks[2].attempt, None);
    coordinator.finish(5_000, tasks[3].attempt, None);
    assert_eq!(coordinator.take_tasks(5_000, 99).len(), 1);
}
