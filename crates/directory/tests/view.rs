//! Tests of the age of a node's view of the endpoints.

use wisteriapoint_directory::View;

/// Time for which endpoints still serve after they have said that they drain, in milliseconds.
const DRAIN_MS: u64 = 2_000;
#[test]
fn a_view_that_was_never_current_is_not_passed_on_and_is_read_at_once() {
    let view = View::new();
    assert_eq!(view.left_ms(10_000, DRAIN_MS), 0);
    assert_eq!(view.source_left_ms(10_000), 0);
}

/// Guards against a view that counts as current since the store answers other calls, while the watch
/// of the endpoints is silent.
#[test]
fn a_view_is_as_old_as_its_last_confirmation() {
    let mut view = View::new();
    view.confirm(59_700);
    assert_eq!(view.age_ms(60_000), 300);
    assert_eq!(view.age_ms(90_000), 30_300);
    assert_eq!(view.left_ms(90_000, DRAIN_MS), 0);
    view.confirm(59_000);
    assert_eq!(view.age_ms(60_000), 300);
}

/// Guards against a view that is passed on by a node that no longer hears from the store, or was frozen
/// or suspended.
#[test]
fn a_node_that_does_not_hear_from_the_store_passes_no_view_on() {
    let mut view = View::new();
    view.confirm(5_000);
    assert!(view.source_left_ms(5_500) > 0);
    assert_eq!(view.source_left_ms(6_000), 0);
    assert_eq!(view.source_left_ms(8_200), 0);
}

/// Guards against a source that refuses other nodes at the end of each watch.
#[test]
fn a_watch_confirms_the_view_before_it_may_no_longer_be_passed_on() {
    let mut view = View::new();
    view.confirm(1_000);
    for called_ms in 1_000..=1_500 {
        let answered_ms = called_ms + view.source_wait_ms(called_ms);
        assert!(view.source_left_ms(answered_ms) > 0);
    }
    assert!(view.source_wait_ms(9_000) > 0);
}

/// Guards against two waits in series that together exceed the time of a draining endpoint: the view of
/// another node, which is old itself, and the wait for its next answer.
#[test]
fn the_oldest_view_that_is_passed_on_and_the_wait_after_it_are_within_the_drain_time() {
    let mut source = View::new();
    source.confirm(1_000);
    let now_ms = (1_000..).find(|&now_ms| source.source_left_ms(now_ms) <= 1);
    let received_ms = now_ms.unwrap();
    let mut view = View::new();
    view.confirm_from_peer(received_ms);
    let read_ms = received_ms + view.left_ms(received_ms, DRAIN_MS);
    assert!(
        read_ms < 1_000 + DRAIN_MS,
        "the store is read at {read_ms} ms"
    );
}

#[test]
fn a_shorter_drain_time_leaves_less_time() {
    let mut view = View::new();
    view.confirm(1_000);
    assert_eq!(view.left_ms(1_000, 1_000), 700);
    assert_eq!(view.left_ms(1_000, 200), 0);
}
