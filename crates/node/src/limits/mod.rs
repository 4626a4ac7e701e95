//! Limits that endpoints state for all nodes together.
//!
//! For each endpoint with a limit one node, its grantor, decides which requests of all nodes may be
//! sent there.

pub mod grantor;

pub(crate) use grantor::PERMIT_TIMEOUT;
pub use grantor::{apply_told_limit, decide_permit};

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::task::spawn_local;
use wisteriapoint_directory::{
    Permit, Priority, RateLimit, RateLimiter, Requirements, ReturnSchedule, StatedLimit,
};
use wisteriapoint_types::EndpointName;

use crate::control::leaving;
use crate::dialect::{Dialect, OutboundMetadata};
use crate::node::Node;
use crate::upstream::{SendFailure, UpstreamRequest, UpstreamResponse};
use crate::{event, upstream};

/// Time for which a permit for batch work may be used, in milliseconds: an item is placed within
/// moments, unless the endpoint has become unsuitable.
const BATCH_PERMIT_MS: u64 = 300;

/// State of a node about limits.
#[derive(Debug, Default)]
pub struct Limits {
    /// Permits for the endpoints of which this node is the grantor.
    limiter: RefCell<RateLimiter>,
    /// Permits for batch work that are not used yet, with the time at which they expire.
    batch_permits: RefCell<BTreeMap<EndpointName, u64>>,
    returns: RefCell<ReturnSchedule>,
}

impl Limits {
    /// Creates a state without limits.
    pub fn new() -> Self {
        Self::default()
    }
}

/// Sends a request and records what the response says about its endpoint: its limit, and whether it is
/// leaving.
///
/// # Errors
///
/// Same as [`upstream::send::send`].
pub async fn send<D: Dialect>(
    node: &Rc<Node<D>>,
    address: SocketAddr,
    upstream_request: &UpstreamRequest,
    outbound: OutboundMetadata<'_>,
) -> Result<UpstreamResponse, SendFailure> {
    let result = upstream::send::send::<D>(&node.pool, address, upstream_request, outbound).await;
    let (stated, is_success, is_leaving) = match &result {
        Ok(UpstreamResponse { status, head, .. }) => {
            (Some(head.limit), status.is_success(), head.is_leaving)
        }
        Err(failure) => (failure.limit, false, failure.is_leaving),
    };
    if stated.is_some() {
        node.suspects.record_answer(outbound.endpoint);
    }
    if is_leaving {
        leaving::record(node, outbound.endpoint, outbound.id);
    }
    // A failure may come from a part that does not know the limit, so it can't end one.
    let stated = stated.filter(|&stated| is_success || stated != StatedLimit::Absent);
    if let Some(stated) = stated
        && record_limit(node, outbound.endpoint, stated, "response")
    {
        grantor::tell_peers(node, outbound.endpoint);
    }
    result
}

/// Records the limit of an endpoint; returns `true` if it has changed.
fn record_limit<D: Dialect>(
    node: &Node<D>,
    endpoint: &EndpointName,
    stated: StatedLimit,
    source: &str,
) -> bool {
    let mut directory = node.directory.borrow_mut();
    let Some(entry) = directory.registry.get_mut(endpoint) else {
        return false;
    };
    let before = entry.limit();
    if !entry.record_limit(stated) {
        return false;
    }
    event!(
        info,
        "endpoint limit changed",
        endpoint = endpoint,
        before_per_s = format!("{:?}", before.map(RateLimit::per_s)),
        per_s = format!("{:?}", entry.limit().map(RateLimit::per_s)),
        source = source,
    );
    true
}

fn limit_of<D: Dialect>(node: &Node<D>, endpoint: &EndpointName) -> Option<RateLimit> {
    let directory = node.directory.borrow();
    directory.registry.get(endpoint)?.limit()
}

/// Returns `true` if a request may be sent to an endpoint now.
///
/// If not, the endpoint is not chosen again for requests of this priority until a permit may be
/// available.
pub async fn acquire<D: Dialect>(
    node: &Rc<Node<D>>,
    endpoint: &EndpointName,
    priority: Priority,
) -> bool {
    let Some(limit) = limit_of(node, endpoint) else {
        return true;
    };
    let permit = grantor::request_permit(node, endpoint, limit, priority).await;
    record_permit(node, endpoint, priority, permit);
    permit == Permit::Granted
}

fn record_permit<D: Dialect>(
    node: &Node<D>,
    endpoint: &EndpointName,
    priority: Priority,
    permit: Permit,
) {
    let (decision, until_ms) = match permit {
        Permit::Granted => ("granted", 0),
        Permit::Denied { wait_ms } => ("denied", node.now_ms() + wait_ms),
    };
    count(node, decision);
    let mut directory = node.directory.borrow_mut();
    if let Some(entry) = directory.registry.get_mut(endpoint) {
        entry.record_denial(until_ms, priority);
    }
}

/// Returns `true` if an item may be started at an endpoint now.
///
/// If not, requests a permit; the endpoint is not chosen again for batch work until there is one.
pub fn try_acquire_batch<D: Dialect>(node: &Rc<Node<D>>, endpoint: &EndpointName) -> bool {
    if limit_of(node, endpoint).is_none() {
        return true;
    }
    let now_ms = node.now_ms();
    let held = node.limits.batch_permits.borrow_mut().remove(endpoint);
    if held.is_some_and(|expires_ms| now_ms < expires_ms) {
        return true;
    }
    let mut directory = node.directory.borrow_mut();
    if let Some(entry) = directory.registry.get_mut(endpoint) {
        let asked_until_ms = now_ms + grantor::MAX_REQUEST_MS;
        entry.record_denial(asked_until_ms, Priority::Batch);
    }
    let (node, endpoint) = (node.clone(), endpoint.clone());
    spawn_local(async move {
        if acquire(&node, &endpoint, Priority::Batch).await {
            let expires_ms = node.now_ms() + BATCH_PERMIT_MS;
            let mut permits = node.limits.batch_permits.borrow_mut();
            permits.insert(endpoint, expires_ms);
            node.directory_changed.notify_waiters();
        }
    });
    false
}

/// Returns the delay after which a caller that got no permit should return, in milliseconds.
///
/// `wait_ms` is the time until the next permit, and `left_ms` that for which the caller waits.
pub fn return_delay_ms<D: Dialect>(
    node: &Node<D>,
    requirements: Requirements<'_>,
    wait_ms: u64,
    left_ms: u64,
) -> u64 {
    let now_ms = node.now_ms();
    let directory = node.directory.borrow();
    let total_per_s = directory.registry.total_limit_per_s(requirements.service);
    let nodes = node.suspects.peers.addresses(now_ms).len() + 1;
    // Each node gives its callers an equal share of the permits.
    let interval_ms =
        RateLimit::new(total_per_s).map_or(0, |total| total.share(nodes).time_ms(1.0));
    let mut returns = node.limits.returns.borrow_mut();
    returns.next_delay_ms(
        now_ms,
        requirements.service,
        (wait_ms, interval_ms),
        left_ms,
    )
}

/// Counts a decision about a request at an endpoint with a limit.
fn count<D: Dialect>(node: &Node<D>, decision: &str) {
    node.metrics.limits.with_label_values(&[decision]).inc();
}
