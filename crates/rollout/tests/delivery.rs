//! Tests that each sample is delivered to its trainer exactly once.

mod common;

use std::collections::BTreeSet;

use common::{attempts, finish_all, id, sample, spec};
use wisteriapoint_rollout::{
    AttemptKey, Coordinator, Cursor, PullResponse, STEP_IDLE_TIMEOUT_MS, ScoreTask, Task,
    TrainerProgress,
};
use wisteriapoint_types::{ServiceName, WeightVersion};

const VERSION: WeightVersion = WeightVersion(1);

fn coordinator() -> Coordinator {
    let mut coordinator = Coordinator::new();
    let put = coordinator.put(0, id("t"), spec(2, 1), &Cursor::new());
    put.expect("a valid step");
    coordinator
}

fn pull(coordinator: &mut Coordinator, cursor: &Cursor) -> PullResponse {
    let pulled = coordinator.pull(0, &id("t"), cursor, VERSION, 256);
    pulled.expect("the step is registered")
}

fn dispatch_all(coordinator: &mut Coordinator) -> Vec<Task> {
    coordinator.take_tasks(0, 256)
}

fn take_cancelled(coordinator: &mut Coordinator) -> BTreeSet<AttemptKey> {
    coordinator.take_cancelled().into_iter().collect()
}

#[test]
fn a_lost_response_is_delivered_again() {
    let mut coordinator = coordinator();
    let tasks = dispatch_all(&mut coordinator);
    finish_all(&mut coordinator, &tasks, 1);
    let mut progress = TrainerProgress::new(VERSION);
    let lost = pull(&mut coordinator, &progress.cursor);
    let again = pull(&mut coordinator, &progress.cursor);
    assert_eq!(lost, again);
    assert_eq!(progress.accept(again).map(|samples| samples.len()), Some(4));
    assert_eq!(progress.accept(lost), None);
}

#[test]
fn only_one_of_two_concurrent_pulls_is_accepted() {
    let mut coordinator = coordinator();
    let tasks = dispatch_all(&mut coordinator);
    finish_all(&mut coordinator, &tasks[..2], 1);
    let mut progress = TrainerProgress::new(VERSION);
    let first = pull(&mut coordinator, &progress.cursor);
    finish_all(&mut coordinator, &tasks[2..], 1);
    let second = pull(&mut coordinator, &progress.cursor);
    assert_eq!((first.samples.len(), second.samples.len()), (2, 4));
    assert!(progress.accept(second).is_some());
    assert_eq!(progress.accept(first), None);
}

#[test]
fn a_new_coordinator_generates_only_the_missing_samples() {
    let mut new = Coordinator::new();
    let cursor: Cursor = "0,2".parse().expect("a valid cursor");
    let unknown = new.pull(0, &id("t"), &cursor, VERSION, 256);
    assert!(unknown.is_err_and(|error| error.is_unknown_step()));
    let put = new.put(0, id("t"), spec(2, 1), &cursor);
    put.expect("a valid step");
    let tasks = dispatch_all(&mut new);
    let mut indices: Vec<u32> = tasks
        .iter()
        .map(|task| spec(2, 1).index(task.key))
        .collect();
    indices.sort_unstable();
    assert_eq!(indices, [1, 3]);
    finish_all(&mut new, &tasks, 1);
    assert!(pull(&mut new, &cursor).complete);
}

#[test]
fn a_trainer_with_an_older_cursor_gets_the_samples_again() {
    let mut coordinator = coordinator();
    let tasks = dispatch_all(&mut coordinator);
    finish_all(&mut coordinator, &tasks[..2], 1);
    let pulled = pull(&mut coordinator, &Cursor::new());
    pull(&mut coordinator, &pulled.cursor);
    assert!(dispatch_all(&mut coordinator).is_empty());
    pull(&mut coordinator, &Cursor::new());
    assert_eq!(dispatch_all(&mut coordinator).len(), 2);
}

#[test]
fn a_late_result_of_a_cancelled_attempt_is_ignored() {
    let mut coordinator = coordinator();
    let old = dispatch_all(&mut coordinator);
    coordinator.remove(&id("t"));
    assert_eq!(take_cancelled(&mut coordinator), attempts(&old));
    let put = coordinator.put(0, id("t"), spec(2, 1), &Cursor::new());
    put.expect("a valid step");
    let new = dispatch_all(&mut coordinator);
    finish_all(&mut coordinator, &old, 1);
    assert!(pull(&mut coordinator, &Cursor::new()).samples.is_empty());
    finish_all(&mut coordinator, &new, 1);
    finish_all(&mut coordinator, &new, 1);
    assert_eq!(pull(&mut coordinator, &Cursor::new()).samples.len(), 4);
}

#[test]
fn a_failed_sample_is_dispatched_first() {
    let mut coordinator = Coordinator::new();
    let put = coordinator.put(0, id("t"), spec(3, 1), &Cursor::new());
    put.expect("a valid step");
    let tasks = coordinator.take_tasks(0, 4);
    let (short, failed) = (&tasks[0], &tasks[3]);
    assert_eq!(short.key.group, failed.key.group);
    finish_all(&mut coordinator, &tasks[..1], 1);
    coordinator.finish(0, failed.attempt, None);
    assert_eq!(coordinator.take_tasks(0, 1)[0].key, failed.key);
}

#[test]
fn steps_are_removed_when_complete_or_idle() {
    let mut coordinator = coordinator();
    let tasks = dispatch_all(&mut coordinator);
    finish_all(&mut coordinator, &tasks, 1);
    let pulled = pull(&mut coordinator, &Cursor::new());
    assert!(pulled.complete);
    assert_eq!(coordinator.len(), 1, "the response may be lost");
    assert!(pull(&mut coordinator, &pulled.cursor).complete);
    assert!(coordinator.is_empty());

    let mut coordinator = self::coordinator();
    let tasks = dispatch_all(&mut coordinator);
    coordinator.expire_idle_steps(STEP_IDLE_TIMEOUT_MS - 1);
    assert_eq!(coordinator.len(), 1);
    coordinator.expire_idle_steps(STEP_IDLE_TIMEOUT_MS);
    assert!(coordinator.is_empty());
    assert_eq!(coordinator.in_flight(), 0);
    assert_eq!(take_cancelled(&mut coordinator), attempts(&tasks));
}

#[test]
fn invalid_steps_and_cursors_are_rejected() {
    let mut coordinator = coordinator();
    let beyond: Cursor = "4".parse().expect("a valid cursor");
    let cases = [
        coordinator.put(0, id("t"), spec(0, 1), &Cursor::new()),
        coordinator.put(0, id("t"), spec(3, 1), &Cursor::new()),
        coordinator.put(0, id("t"), spec(2, 1), &beyond),
        coordinator.put(0, id("u"), spec(1 << 16, 1), &Cursor::new()),
    ];
    for refused in cases {
        assert!(refused.is_err());
    }
    assert_eq!(coordinator.len(), 1);
}

fn score_task(coordinator: &mut Coordinator) -> (Task, ScoreTask) {
    let mut spec = spec(1, 1);
    spec.scorer = Some(ServiceName::new("judge"));
    let put = coordinator.put(0, id("t"), spec, &Cursor::new());
    put.expect("a valid step");
    let task = coordinator.take_tasks(0, 1).remove(0);
    let generated = sample(task.key, &[(1, 10)]);
    coordinator.finish(0, task.attempt, Some(generated));
    let score_task = coordinator.take_score_tasks().remove(0);
    (task, score_task)
}

#[test]
fn a_sample_is_delivered_after_scoring_even_if_the_scorer_fails() {
    for score in [Some(0.5), None] {
        let mut coordinator = Coordinator::new();
        let (_, score_task) = score_task(&mut coordinator);
        assert!(pull(&mut coordinator, &Cursor::new()).samples.is_empty());
        coordinator.record_score(&score_task, score);
        let samples = pull(&mut coordinator, &Cursor::new()).samples;
        assert_eq!(samples.len(), 1);
        assert_eq!(samples[0].score, score);
    }
}

#[test]
fn a_score_of_a_discarded_sample_is_ignored() {
    let mut coordinator = Coordinator::new();
    let (task, score_task) = score_task(&mut coordinator);
    let newer = WeightVersion(9);
    let pulled = coordinator.pull(0, &id("t"), &Cursor::new(), newer, 256);
    assert!(pulled.is_ok_and(|pulled| pulled.samples.is_empty()));
    let again = coordinator.take_tasks(0, 1).remove(0);
    assert_eq!(again.key, task.key);
    let generated = sample(again.key, &[(9, 10)]);
    coordinator.finish(0, again.attempt, Some(generated));
    coordinator.record_score(&score_task, Some(0.1));
    let pulled = coordinator.pull(0, &id("t"), &Cursor::new(), newer, 256);
    assert!(pulled.is_ok_and(|pulled| pulled.samples.is_empty()));
}
