//! Order of items by groups, and of batch jobs by precedence.

use wisteriapoint_batch::{BodyRange, Item, ItemKey, Job, Pace, Precedence, Submission};

/// One token in a millisecond in each of two slots.
const PACE: Pace = Pace {
    ms_per_token: 1.0,
    slots: 2,
};

fn job(items: &[(&str, u32)]) -> Job {
    let items = items
        .iter()
        .zip(0..)
        .map(|(&(group, tokens), number)| Item {
            group: Some(group.into()),
            expected_tokens: tokens,
            length_hint: Some(tokens),
            ..Item::new(&format!("item-{number}"), "/x", BodyRange::default())
        });
    Job::new(Submission::new(items.collect()), 3, 60_000)
}

fn start_all(job: &mut Job) -> Vec<u32> {
    let keys = std::iter::from_fn(|| job.start_next(0));
    keys.map(|ItemKey(number)| number).collect()
}

/// Guards against a change of the order where all groups can be complete.
#[test]
fn with_enough_time_the_longest_items_run_first() {
    let mut job = job(&[("a", 50), ("b", 400), ("a", 60), ("b", 300)]);
    job.order_by_groups(1_000, PACE);
    assert_eq!(start_all(&mut job), [1, 3, 2, 0]);
}

/// Guards against slots that all work on groups of which none completes.
#[test]
fn groups_that_can_be_complete_run_before_those_that_cannot() {
    let mut job = job(&[
        ("late", 9_000),
        ("long", 900),
        ("short", 100),
        ("long", 800),
        ("short", 200),
        ("lost", 20_000),
    ]);
    job.order_by_groups(1_000, PACE);
    assert_eq!(start_all(&mut job), [1, 3, 4, 2, 0, 5]);
}

/// Guards against selection by token limits, which say nothing about the work.
#[test]
fn without_hints_and_after_the_due_time_the_longest_items_run_first() {
    let items = [("a", 9_000), ("b", 100), ("b", 200)];
    let mut late = job(&items);
    late.order_by_groups(0, PACE);
    assert_eq!(start_all(&mut late), [0, 2, 1]);
    let item = |tokens| Item {
        expected_tokens: tokens,
        ..Item::new(&format!("item-{tokens}"), "/x", BodyRange::default())
    };
    let items = vec![item(100), item(9_000), item(200)];
    let mut unknown = Job::new(Submission::new(items), 3, 60_000);
    unknown.order_by_groups(1_000, PACE);
    assert_eq!(start_all(&mut unknown), [1, 2, 0]);
}

/// Guards against items that are lost, or run twice, when the order changes.
#[test]
fn each_item_starts_once_although_the_order_changes() {
    let mut job = job(&[("a", 9_000), ("b", 100), ("a", 50), ("c", 200)]);
    let mut started = Vec::new();
    for left_ms in [1_000, 10, 5_000, 0] {
        job.order_by_groups(left_ms, PACE);
        started.extend(job.start_next(0).map(|ItemKey(number)| number));
    }
    assert_eq!(job.start_next(0), None);
    started.sort_unstable();
    assert_eq!(started, [0, 1, 2, 3]);
}

/// Guards against a more urgent trainer that is served after a less urgent one.
#[test]
fn priority_decides_before_slack_and_slack_only_if_it_is_short() {
    let relaxed = Precedence::new(0, 9_000, 10_000, 1_000);
    let urgent_of_lower_priority = Precedence::new(1, 100, 10_000, 90);
    assert!(relaxed < urgent_of_lower_priority);
    let equal = Precedence::new(0, 5_000, 10_000, 1_000);
    assert_eq!(
        relaxed, equal,
        "with time left, equal batch jobs share the slots"
    );
    let urgent = Precedence::new(0, 3_000, 10_000, 2_000);
    assert!(urgent < relaxed);
    assert!(Precedence::new(0, 3_000, 10_000, 2_500) < urgent);
    assert_eq!(
        Precedence::new(0, 0, 10_000, 1_000),
        relaxed,
        "its due time has passed"
    );
    assert_eq!(
        Precedence::new(0, 900, 10_000, 1_000),
        relaxed,
        "it is late anyway"
    );
}
