//! Limits that endpoints state for all nodes together.

use std::net::SocketAddr;

use wisteriapoint_directory::{RateLimit, StatedLimit};
use wisteriapoint_types::EndpointName;

use crate::dialect::{Dialect, OutboundMetadata};
use crate::node::Node;
use crate::upstream::{SendFailure, UpstreamRequest, UpstreamResponse};
use crate::{event, upstream};

/// Sends a request and records what the response says about the limit of its endpoint.
///
/// # Errors
///
/// Same as [`upstream::send::send`].
pub async fn send<D: Dialect>(
    node: &Node<D>,
    address: SocketAddr,
    upstream_request: &UpstreamRequest,
    outbound: OutboundMetadata<'_>,
) -> Result<UpstreamResponse, SendFailure> {
    let result = upstream::send::send::<D>(&node.pool, address, upstream_request, outbound).await;
    let stated = match &result {
        Ok(response) => Some(response.head.limit),
        Err(failure) => failure.limit,
    };
    if let Some(stated) = stated {
        record_limit(node, outbound.endpoint, stated);
    }
    result
}

fn record_limit<D: Dialect>(node: &Node<D>, endpoint: &EndpointName, stated: StatedLimit) {
    let mut directory = node.directory.borrow_mut();
    let Some(entry) = directory.registry.get_mut(endpoint) else {
        return;
    };
    let before = entry.limit();
    if !entry.record_limit(stated) {
        return;
    }
    event!(
        info,
        "endpoint limit changed",
        endpoint = endpoint,
        before_per_s = format!("{:?}", before.map(RateLimit::per_s)),
        per_s = format!("{:?}", entry.limit().map(RateLimit::per_s)),
    );
}
