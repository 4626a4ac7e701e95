//! Endpoints that state in their responses that they are leaving.
//!
//! This is the same fact as a row that says so, and may be known sooner. The node that gets such a
//! response tells the leader, whose feed tells all nodes.

use std::fmt;
use std::rc::Rc;

use tokio::task::spawn_local;
use wisteriapoint_types::EndpointName;

use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;
use crate::peers::{PeerRequest, call_peer};

/// Records that an endpoint stated in its response to a request that it is leaving, and tells others.
pub fn record<D: Dialect>(node: &Rc<Node<D>>, endpoint: &EndpointName, id: &str) {
    let born_unix_ms = {
        let directory = node.directory.borrow();
        let registered = directory.registry.get(endpoint);
        registered.map(|entry| entry.record.born_unix_ms)
    };
    let Some(born_unix_ms) = born_unix_ms else {
        return;
    };
    if apply(node, endpoint, born_unix_ms, "response", id) && !node.is_leader() {
        spawn_local(tell(node.clone(), endpoint.clone(), born_unix_ms));
    }
}

/// Tells the leader that an endpoint is leaving, or all other nodes if the leader does not answer.
async fn tell<D: Dialect>(node: Rc<Node<D>>, endpoint: EndpointName, born_unix_ms: u64) {
    let request = PeerRequest::EndpointLeaving {
        endpoint,
        born_unix_ms,
    };
    let leader = node.leader.borrow().clone();
    let is_told = match leader {
        Some(leader) => call_peer(&node, leader.address, &request).await.is_some(),
        None => false,
    };
    if is_told {
        return;
    }
    for peer in node.suspects.peers.addresses(node.now_ms()) {
        let (node, request) = (node.clone(), request.clone());
        // A peer that is not told learns it from its next response; the call is logged.
        spawn_local(async move { call_peer(&node, peer, &request).await });
    }
}

/// Records that an instance of an endpoint is leaving; returns `true` if this is new.
///
/// `source` is written to the log, and so is `id`, that of the request.
pub fn apply<D: Dialect>(
    node: &Node<D>,
    endpoint: &EndpointName,
    born_unix_ms: u64,
    source: impl fmt::Display,
    id: &str,
) -> bool {
    let mut directory = node.directory.borrow_mut();
    if !directory.registry.record_leaving(endpoint, born_unix_ms) {
        return false;
    }
    drop(directory);
    event!(
        info,
        "endpoint is leaving",
        endpoint = endpoint,
        born_unix_ms = born_unix_ms,
        source = source,
        id = id,
    );
    node.metrics.leaving_endpoints.inc();
    node.feed.record_change(endpoint, node.feed.revision());
    node.feed.publish();
    node.directory_changed.notify_waiters();
    true
}
