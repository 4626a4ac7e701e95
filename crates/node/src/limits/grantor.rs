//! The node that grants the permits for an endpoint, and what nodes tell each other of limits.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use wisteriapoint_directory::{Permit, Priority, RateLimit, StatedLimit};
use wisteriapoint_types::EndpointName;

use super::{count, limit_of, record_limit};
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;
use crate::peers::{PeerRequest, PeerResponse, call_peer, call_ranked, ranked_nodes};

/// Time for the response to a request for a permit, for which a caller's request waits: many
/// network hops, also on a new connection between regions.
pub(crate) const PERMIT_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of nodes that are asked for one permit.
const MAX_GRANTORS: u32 = 2;
/// Longest time in which a permit is granted or denied, in milliseconds.
pub(super) const MAX_REQUEST_MS: u64 = MAX_GRANTORS as u64 * PERMIT_TIMEOUT.as_millis() as u64;

/// Requests a permit from the grantor of an endpoint, or from the next one if it does not answer.
pub(super) async fn request_permit<D: Dialect>(
    node: &Rc<Node<D>>,
    endpoint: &EndpointName,
    limit: RateLimit,
    priority: Priority,
) -> Permit {
    for _ in 0..MAX_GRANTORS {
        let grantor = grantor(node, endpoint);
        if grantor == node.owner.address {
            return decide_permit(node, endpoint, limit, priority);
        }
        let request = PeerRequest::Permit {
            endpoint: endpoint.clone(),
            limit,
            priority,
        };
        if let Some(PeerResponse::Permit(permit)) = call_ranked(node, grantor, &request).await {
            return permit;
        }
        event!(
            info,
            "grantor of an endpoint with a limit does not answer",
            peer = grantor,
            endpoint = endpoint
        );
        count(node, "unreachable");
    }
    Permit::Denied {
        wait_ms: PERMIT_TIMEOUT.as_millis() as u64,
    }
}

/// Returns the grantor of an endpoint: the first of the reachable nodes by rendezvous hash.
///
/// Nodes with different views of the members have different grantors for a moment, and a node
/// that is cut off is its own.
fn grantor<D: Dialect>(node: &Node<D>, endpoint: &EndpointName) -> SocketAddr {
    let ranked = ranked_nodes(node, endpoint.as_str().as_bytes());
    ranked.first().copied().unwrap_or(node.owner.address)
}

/// Grants or denies a permit for an endpoint of which this node is the grantor.
pub fn decide_permit<D: Dialect>(
    node: &Node<D>,
    endpoint: &EndpointName,
    limit: RateLimit,
    priority: Priority,
) -> Permit {
    let mut limiter = node.limits.limiter.borrow_mut();
    limiter.request(node.now_ms(), endpoint, limit, priority)
}

/// Tells all peers the limit of an endpoint; does not wait for them.
pub(super) fn tell_peers<D: Dialect>(node: &Rc<Node<D>>, endpoint: &EndpointName) {
    let request = PeerRequest::LimitChanged {
        endpoint: endpoint.clone(),
        limit: limit_of(node, endpoint),
    };
    for peer in node.suspects.peers.addresses(node.now_ms()) {
        let (node, request) = (node.clone(), request.clone());
        // A peer that is not told learns the limit from its next response; the call is logged.
        spawn_local(async move { call_peer(&node, peer, &request).await });
    }
}

/// Records the limit of an endpoint that a peer has told.
pub fn apply_told_limit<D: Dialect>(
    node: &Node<D>,
    endpoint: &EndpointName,
    limit: Option<RateLimit>,
) {
    let stated = limit.map_or(StatedLimit::Absent, StatedLimit::Limit);
    record_limit(node, endpoint, stated, "peer");
}
