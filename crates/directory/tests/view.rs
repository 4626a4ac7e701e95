//! Tests of the age of a node's view of the endpoints.

use wisteriapoint_directory::View;

/// Time for which endpoints still serve after they have said that they drain, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// Interval at which the store answers a node that renews its lease, in milliseconds.
const RENEWAL_MS: u64 = 500;

#[test]
fn a_view_that_was_never_current_is_not_passed_on_and_is_read_at_once() {
    let view = View::new();
    assert_eq!(view.left_ms(10_000, 9_900, DRAIN_MS), 0);
    assert_eq!(view.source_left_ms(10_000, 9_900), 0);
}

#[test]
fn a_watched_view_is_as_old_as_the_last_answer_of_the_store() {
    let mut view = View::new();
    view.confirm(1_000);
    view.begin_watch();
    assert_eq!(view.age_ms(60_000, 59_700), 300);
    view.end_watch(Some(59_700));
    assert_eq!(view.age_ms(60_000, 59_900), 300);
    view.begin_watch();
    view.end_watch(None);
    assert_eq!(view.age_ms(60_000, 59_900), 300);
}

/// Guards against a view that is passed on by a node that no longer hears from the store, or was frozen
/// or suspended.
#[test]
fn a_node_that_does_not_hear_from_the_store_passes_no_view_on() {
    let mut view = View::new();
    view.confirm(1_000);
    view.begin_watch();
    assert!(view.source_left_ms(5_000 + RENEWAL_MS, 5_000) > 0);
    assert_eq!(view.source_left_ms(5_000 + 2 * RENEWAL_MS, 5_000), 0);
    assert_eq!(view.source_left_ms(8_200, 5_000), 0);
}

/// Guards against two waits in series that together exceed the time of a draining endpoint: the view of
/// another node, which is old itself, and the wait for its next answer.
#[test]
fn the_oldest_view_that_is_passed_on_and_the_wait_after_it_are_within_the_drain_time() {
    let mut source = View::new();
    source.confirm(1_000);
    let now_ms = (1_000..).find(|&now_ms| source.source_left_ms(now_ms, 0) <= 1);
    let received_ms = now_ms.unwrap();
    let mut view = View::new();
    view.confirm_from_peer(received_ms);
    let read_ms = received_ms + view.left_ms(received_ms, 0, DRAIN_MS);
    assert!(
        read_ms < 1_000 + DRAIN_MS,
        "the store is read at {read_ms} ms"
    );
}

#[test]
fn a_shorter_drain_time_leaves_less_time() {
    let mut view = View::new();
    view.confirm(1_000);
    assert_eq!(view.left_ms(1_000, 0, 1_000), 700);
    assert_eq!(view.left_ms(1_000, 0, 200), 0);
}
