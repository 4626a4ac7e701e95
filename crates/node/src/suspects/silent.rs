//! Crashes of endpoints that close no connection and fall silent.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use wisteriapoint_route::SilentCrash;
use wisteriapoint_types::hash64;

use super::crash::{ObservedCrash, record_crash};
use crate::dialect::Dialect;
use crate::node::Node;

/// Interval at which the records of silent endpoints are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Records the crashes under runs without an answer, once the records of their endpoints show them.
pub async fn watch_silent_runs<D: Dialect>(node: Rc<Node<D>>) {
    loop {
        node.suspects.silent_run_added.notified().await;
        while !node.suspects.silent_runs.borrow().is_empty() {
            sleep(CHECK_INTERVAL).await;
            for crash in take_crashed(&node) {
                spawn_local(record(node.clone(), crash));
            }
        }
    }
}

fn take_crashed<D: Dialect>(node: &Node<D>) -> Vec<SilentCrash> {
    let directory = node.directory.borrow();
    let mut runs = node.suspects.silent_runs.borrow_mut();
    runs.take_crashed(node.now_ms(), |endpoint| {
        let registered = directory.registry.get(endpoint);
        registered.map(|entry| entry.record.born_unix_ms)
    })
}

async fn record<D: Dialect>(node: Rc<Node<D>>, crash: SilentCrash) {
    let SilentCrash { endpoint, run, .. } = crash;
    let observed = ObservedCrash {
        id: &run.id,
        // The same at all nodes, which learn of the end of an instance at different times.
        crash_id: hash64(run.born_unix_ms, endpoint.as_str().as_bytes()),
        digest: run.digest,
        endpoint: &endpoint,
        failure_domain: &run.failure_domain,
        at_ms: node.now_ms(),
        isolated: run.isolated,
        has_other_cause: crash.correlated,
        was_shared: Some(run.shared),
        reason: "the endpoint was silent, and is registered anew or no longer",
    };
    record_crash(&node, observed).await;
}
