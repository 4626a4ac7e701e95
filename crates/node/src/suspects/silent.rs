//! Crashes of endpoints that close no connection and fall silent.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use wisteriapoint_route::{SilentCrash, SilentRun};
use wisteriapoint_types::{EndpointName, hash64};

use super::count;
use super::crash::{ObservedCrash, record_crash};
use crate::dialect::Dialect;
use crate::node::Node;
use crate::peers::{PeerRequest, PeerResponse, call_ranked, ranked_nodes};

/// Interval at which the records of silent endpoints are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of other nodes that watch an endpoint after a run without an answer, so that the evidence survives
/// the node that sent the request and one more.
const WATCHERS: usize = 2;
/// Number of nodes that are asked for it; one that does not use the endpoint can't.
const MAX_ASKED: usize = 4;
/// Number of runs of which other nodes are being told; at the loss of many endpoints there are thousands, and
/// none of them says anything of a request.
const MAX_BEING_TOLD: usize = 64;

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

/// Tells other nodes of a run that has just ended without an answer.
///
/// The endpoint shows only seconds later whether it has crashed, and the request may come again at any node
/// meanwhile.
pub fn tell_others<D: Dialect>(node: &Rc<Node<D>>, endpoint: &EndpointName, run: &SilentRun) {
    let being_told = &node.suspects.silent_runs_being_told;
    if being_told.get() >= MAX_BEING_TOLD {
        count(node, "untold");
        return;
    }
    being_told.set(being_told.get() + 1);
    let (node, endpoint, run) = (node.clone(), endpoint.clone(), run.clone());
    spawn_local(async move {
        let nodes = ranked_nodes(&node, &run.digest.0.to_be_bytes());
        let others = nodes
            .into_iter()
            .filter(|address| *address != node.owner.address);
        let mut watchers = 0;
        for other in others.take(MAX_ASKED) {
            let request = PeerRequest::WatchSilent {
                endpoint: endpoint.clone(),
                run: run.clone(),
            };
            if let Some(PeerResponse::Done) = call_ranked(&node, other, &request).await {
                watchers += 1;
            }
            if watchers == WATCHERS {
                break;
            }
        }
        let being_told = &node.suspects.silent_runs_being_told;
        being_told.set(being_told.get() - 1);
    });
}

/// Watches whether an endpoint has crashed under a run of another node; returns `false` if this node does not
/// know the instance at which it ran.
pub fn watch_for_peer<D: Dialect>(node: &Node<D>, endpoint: &EndpointName, run: SilentRun) -> bool {
    let directory = node.directory.borrow();
    let registered = directory.registry.get(endpoint);
    // An earlier instance is one of a view that is behind that of the sender.
    let is_known =
        registered.is_some_and(|registered| registered.record.born_unix_ms >= run.born_unix_ms);
    drop(directory);
    if is_known {
        node.suspects.add_silent_run(node.now_ms(), endpoint, run);
    }
    is_known
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
