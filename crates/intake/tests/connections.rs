//! Tests of the choice of the connection that is closed in favour of a new one.

use std::task::{Context, Waker};

use wisteriapoint_intake::{Connections, Limits, Stage};

/// Guards against the loss of a running request or an active body while an idle connection is open.
#[test]
fn idle_connections_are_closed_first_and_running_ones_never() {
    let connections = Connections::new(5);
    let [running, active, silent, recent, idle] = [0, 0, 0, 90, 80].map(|at| connections.open(at));
    running.set_stage(Stage::Running);
    for body in [&active, &silent] {
        body.set_stage(Stage::Body { since_ms: 0 });
    }
    active.record_activity(1_900);
    assert!(!connections.has_room());
    let context = Context::from_waker(Waker::noop());
    for closed in [&idle, &recent, &silent] {
        assert!(closed.poll_closed(&context).is_pending());
        assert!(connections.close_one(2_000));
        assert!(closed.poll_closed(&context).is_ready());
    }
    assert!(!connections.close_one(2_000));
    assert!(connections.close_one(6_000));
    assert!(active.poll_closed(&context).is_ready());
    assert!(!connections.close_one(100_000));
    drop((active, silent, recent, idle));
    assert!(connections.has_room() && connections.count() == 1);
}

/// Guards against connections that use up the descriptors or the memory of a small VM.
#[test]
fn connections_are_bounded_by_memory_and_descriptors() {
    let limits = |memory, descriptors| Limits::for_vm(memory, descriptors).connections;
    assert_eq!(limits(Some(120), Some(3_075)), 750);
    assert_eq!(limits(Some(512), Some(3_075)), 1_537);
    assert_eq!(limits(Some(512), None), 3_200);
}
