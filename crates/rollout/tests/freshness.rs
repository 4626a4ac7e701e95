//! Tests that no delivered sample exceeds its staleness bound.

mod common;

use common::{finish_all, first_tokens, id, sample, spec};
use wisteriapoint_rollout::{Coordinator, Cursor, PullResponse, StepId, TrainerProgress};
use wisteriapoint_types::{EndpointName, WeightVersion};

fn coordinator(staleness_versions: u64) -> Coordinator {
    let mut coordinator = Coordinator::new();
    let spec = spec(1, staleness_versions);
    let put = coordinator.put(0, id("t"), spec, &Cursor::new());
    put.expect("a valid step");
    coordinator
}

fn pull(coordinator: &mut Coordinator, version: u64) -> PullResponse {
    let version = WeightVersion(version);
    let pulled = coordinator.pull(0, &id("t"), &Cursor::new(), version, 256);
    pulled.expect("the step is registered")
}

type Case = (u64, &'static [(u64, u32)], u64, bool);

#[test]
fn the_staleness_bound_is_relative_to_the_version_of_the_pull() {
    // Staleness bound, spans of versions and tokens, version of the pull, whether the
    // sample is delivered.
    let cases: [Case; 8] = [
        (0, &[(3, 10)], 3, true),
        (0, &[(3, 10)], 4, false),
        (1, &[(3, 10)], 4, true),
        (1, &[(3, 10)], 5, false),
        (1, &[(3, 1), (4, 9)], 4, true),
        (1, &[(3, 1), (4, 9)], 5, false),
        (1, &[(4, 9), (3, 1)], 5, false),
        (0, &[(5, 10)], 4, true),
    ];
    for (bound, spans, version, is_fresh) in cases {
        let mut coordinator = coordinator(bound);
        let task = coordinator.take_tasks(0, 1).remove(0);
        coordinator.finish(0, task.attempt, Some(sample(task.key, spans)));
        let pulled = pull(&mut coordinator, version);
        assert_eq!(pulled.samples.len(), usize::from(is_fresh), "{spans:?}");
        let next = coordinator.take_tasks(0, 1).remove(0);
        assert_eq!(
            next.key == task.key,
            !is_fresh,
            "dispatched first: {spans:?}"
        );
    }
}

#[test]
fn a_sample_in_flight_that_can_no_longer_be_fresh_is_cancelled() {
    // Version of the first tokens, version of the pull, whether the attempt continues.
    for (first, version, continues) in [(3, 3, true), (3, 4, true), (3, 5, false)] {
        let mut coordinator = coordinator(1);
        let tasks = coordinator.take_tasks(0, 2);
        coordinator.record_first_tokens(0, tasks[0].attempt, first_tokens("engine-1", first));
        pull(&mut coordinator, version);
        let cancelled = coordinator.take_cancelled();
        assert_eq!(cancelled.is_empty(), continues);
        let again = coordinator.take_tasks(0, 2);
        assert_eq!(again.is_empty(), continues);
        assert!(again.iter().all(|task| task.key == tasks[0].key));
    }
}

#[test]
fn an_attempt_that_starts_with_a_stale_version_is_cancelled_at_once() {
    let mut coordinator = coordinator(1);
    let task = coordinator.take_tasks(0, 1).remove(0);
    pull(&mut coordinator, 5);
    coordinator.record_first_tokens(0, task.attempt, first_tokens("engine-1", 3));
    assert_eq!(coordinator.take_cancelled(), [task.attempt]);
}

#[test]
fn a_new_sample_must_be_fresher_than_the_bound_during_the_reserve_time() {
    // Staleness bound, time since the trainer changed to version 5, oldest version with
    // which a sample may begin.
    for (bound, now_ms, oldest) in [
        (0, 0, 5),
        (1, 0, 5),
        (1, 32_999, 5),
        (1, 33_000, 4),
        (3, 0, 3),
        (3, 33_000, 2),
    ] {
        let mut coordinator = coordinator(bound);
        pull(&mut coordinator, 5);
        let task = coordinator.take_tasks(now_ms, 1).remove(0);
        assert_eq!(task.oldest_version, WeightVersion(oldest));
        coordinator.record_first_tokens(now_ms, task.attempt, first_tokens("old", oldest - 1));
        assert_eq!(coordinator.take_cancelled(), [task.attempt]);
        let again = coordinator.take_tasks(now_ms, 1).remove(0);
        assert_eq!(again.avoid, [EndpointName::new("old")]);
    }
}

#[test]
fn the_reserve_depends_on_the_objective_weights() {
    // Weights of idle time and of staleness, oldest version with which a sample may begin
    // for a trainer at version 9 and a staleness bound of 3 versions.
    for (idle_weight, staleness_weight, oldest) in [
        (1.0, 1.0, 7),
        (2.0, 1.0, 7),
        (1.0, 2.0, 8),
        (1.0, 2.5, 9),
        (1.0, 100.0, 9),
        (0.0, 1.0, 9),
    ] {
        let mut coordinator = coordinator(3);
        coordinator.set_objective_weights(spec(3, 1).service, idle_weight, staleness_weight);
        pull(&mut coordinator, 9);
        let task = coordinator.take_tasks(0, 1).remove(0);
        assert_eq!(task.oldest_version, WeightVersion(oldest));
    }
}

#[test]
fn the_next_step_starts_with_the_version_of_the_trainer() {
    let mut coordinator = coordinator(1);
    pull(&mut coordinator, 5);
    let next = StepId { step: 2, ..id("t") };
    coordinator.remove(&id("t"));
    let put = coordinator.put(0, next, spec(1, 1), &Cursor::new());
    put.expect("a valid step");
    let task = coordinator.take_tasks(0, 1).remove(0);
    assert_eq!(task.oldest_version, WeightVersion(5));
}

#[test]
fn a_response_for_a_previous_version_is_discarded() {
    let mut coordinator = coordinator(0);
    let tasks = coordinator.take_tasks(0, 2);
    finish_all(&mut coordinator, &tasks, 3);
    let in_transit = pull(&mut coordinator, 3);
    let mut progress = TrainerProgress::new(WeightVersion(4));
    assert_eq!(progress.accept(in_transit), None);
    assert!(pull(&mut coordinator, 4).samples.is_empty());
    let tasks = coordinator.take_tasks(0, 2);
    finish_all(&mut coordinator, &tasks, 4);
    let samples = progress.accept(pull(&mut coordinator, 4));
    assert_eq!(samples.map(|samples| samples.len()), Some(2));
}
