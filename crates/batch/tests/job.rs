//! Scheduling of items, and results at fixed positions.

use proptest::prelude::*;
use wisteriapoint_batch::{BodyRange, Item, ItemKey, Job, Outcome, Submission};

const EXPIRES_AT_MS: u64 = 60_000;

fn submission(groups: &[(&str, u32)]) -> Submission {
    let items = groups
        .iter()
        .enumerate()
        .map(|(number, &(group, expected_tokens))| Item {
            group: Some(group.into()),
            expected_tokens,
            ..Item::new(&format!("item-{number}"), "/x", BodyRange::default())
        });
    Submission::new(items.collect())
}

fn completed(text: &str) -> Outcome {
    Outcome::Completed {
        output: text.into(),
        versions: Vec::new(),
        score: None,
    }
}

fn job(groups: &[(&str, u32)]) -> Job {
    Job::new(submission(groups), 3, EXPIRES_AT_MS)
}

#[test]
fn the_longest_items_run_first() {
    let mut job = job(&[("a", 5), ("a", 50), ("b", 20)]);
    let order: Vec<_> = std::iter::from_fn(|| job.start_next(0)).collect();
    assert_eq!(order, [ItemKey(1), ItemKey(2), ItemKey(0)]);
}

#[test]
fn a_requeued_item_runs_again_after_a_pause() {
    let mut job = job(&[("a", 1)]);
    let key = job.start_next(0).unwrap();
    job.requeue(100, key);
    assert_eq!(job.start_next(110), None);
    assert_eq!(job.start_next(200), Some(key));
}

#[test]
fn an_item_is_abandoned_after_the_maximum_number_of_failures() {
    let mut job = job(&[("a", 1)]);
    let abandoned: Vec<_> = (0..3)
        .map(|_| {
            let key = job.start_next(10_000).unwrap();
            let is_abandoned = job.record_failure(key);
            job.requeue(0, key);
            is_abandoned
        })
        .collect();
    assert_eq!(abandoned, [false, false, true]);
}

#[test]
fn complete_groups_are_committed_sooner_than_others() {
    let mut job = job(&[("a", 1), ("a", 1), ("b", 1), ("b", 1)]);
    for _ in 0..4 {
        job.start_next(0);
    }
    job.finish(1_000, ItemKey(0), completed("0"));
    assert_eq!(job.commit_at_ms(), Some(1_500));
    job.finish(1_100, ItemKey(1), completed("1"));
    assert_eq!(job.commit_at_ms(), Some(1_150));
    let batch = job.begin_commit(1_150).unwrap();
    assert_eq!((batch.first, batch.results.len()), (0, 2));
    job.finish(1_160, ItemKey(2), completed("2"));
    assert_eq!(job.commit_at_ms(), None, "one commit at a time");
    assert_eq!(job.listed(), 0, "nothing is listed before it is stored");
    job.finish_commit();
    assert_eq!(job.listed(), 2);
    job.finish(1_170, ItemKey(3), completed("3"));
    assert_eq!(
        job.commit_at_ms(),
        Some(1_160),
        "the last results are committed without delay"
    );
}

#[test]
fn items_expire_at_the_deadline_and_not_before() {
    let mut job = job(&[("a", 1), ("a", 1)]);
    job.expire(EXPIRES_AT_MS - 1);
    assert!(!job.is_done());
    job.expire(EXPIRES_AT_MS);
    assert!(job.is_done());
    let batch = job.begin_commit(EXPIRES_AT_MS).unwrap();
    assert!(
        batch
            .results
            .iter()
            .all(|result| result.outcome == Outcome::Dead)
    );
}

#[test]
fn a_page_holds_at_least_one_result_and_at_most_max_bytes() {
    let mut job = job(&[("a", 1), ("a", 1), ("a", 1)]);
    for number in 0..3 {
        job.start_next(0);
        job.finish(0, ItemKey(number), completed(&"x".repeat(1_000)));
    }
    job.begin_commit(0);
    job.finish_commit();
    let page = job.page(0, 10);
    assert_eq!((page.results.len(), page.next, page.total), (1, 1, 3));
    assert_eq!(job.page(0, 2_500).results.len(), 2);
    assert_eq!(job.page(3, 10).results.len(), 0);
    assert_eq!(job.page(99, 10).next, 99);
}

proptest! {
    /// Each item is listed exactly once and keeps its position, for any sequence of finished items
    /// and commits, also when another owner takes the batch job over.
    #[test]
    fn positions_never_change(
        order in Just((0..12_u32).collect::<Vec<_>>()).prop_shuffle(),
        commits in prop::collection::vec(any::<bool>(), 12),
        takeover_at in 0..12_usize,
    ) {
        let groups: Vec<_> = (0..12).map(|n| (["a", "b", "c"][n % 3], 1)).collect();
        let mut job = job(&groups);
        let mut previous = Vec::new();
        for (step, (&item, &commits)) in order.iter().zip(&commits).enumerate() {
            job.finish(step as u64, ItemKey(item), completed(&item.to_string()));
            if commits && job.begin_commit(1_000_000).is_some() {
                job.finish_commit();
            }
            let listed = job.page(0, 1 << 20).results;
            prop_assert!(listed.starts_with(&previous));
            previous = listed;
            if step == takeover_at {
                // The new owner restores the listed results and runs the other items again.
                job = Job::new(submission(&groups), 3, EXPIRES_AT_MS).with_listed(previous.clone());
                for &item in &order[..=step] {
                    job.finish(0, ItemKey(item), completed(&item.to_string()));
                }
            }
        }
        while job.begin_commit(1_000_000).is_some() {
            job.finish_commit();
        }
        let listed = job.page(0, 1 << 20).results;
        prop_assert!(listed.starts_with(&previous));
        let mut ids: Vec<_> = listed.iter().map(|result| result.id.clone()).collect();
        ids.sort();
        ids.dedup();
        prop_assert_eq!(ids.len(), 12);
        prop_assert_eq!(listed.len(), 12);
    }
}
