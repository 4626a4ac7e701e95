//! Records of crashes that this node has seen.

use std::rc::Rc;

use tokio::task::spawn_local;
use wisteriapoint_directory::EndpointStage;
use wisteriapoint_route::{Crash, SuspectStatus};
use wisteriapoint_types::{Digest, EndpointName, FailureDomain};

use super::{count, exchange, log_eviction, stored};
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// A crash of an endpoint, and the request that ran there.
#[derive(Debug, Clone, Copy)]
pub(super) struct ObservedCrash<'a> {
    /// Id of the request.
    pub(super) id: &'a str,
    /// Number by which reports of the crash are recognised.
    pub(super) crash_id: u64,
    pub(super) digest: Digest,
    pub(super) endpoint: &'a EndpointName,
    pub(super) failure_domain: &'a FailureDomain,
    /// Time of the crash, in milliseconds.
    pub(super) at_ms: u64,
    pub(super) isolated: bool,
    /// Whether something else than the request explains it better.
    pub(super) has_other_cause: bool,
    /// Whether another request ran there as well; `None` if the present requests tell.
    pub(super) was_shared: Option<bool>,
    pub(super) reason: &'a str,
}

/// Returns `true` if the endpoint drains or is no longer registered, and so may end with requests in
/// flight.
fn is_leaving<D: Dialect>(node: &Node<D>, endpoint: &EndpointName) -> bool {
    let directory = node.directory.borrow();
    let registered = directory.registry.get(endpoint);
    registered.is_none_or(|entry| entry.record.stage == EndpointStage::Draining)
}

/// Records a crash and tells all nodes that can be reached.
pub(super) async fn record_crash<D: Dialect>(node: &Rc<Node<D>>, observed: ObservedCrash<'_>) {
    let ObservedCrash {
        digest, endpoint, ..
    } = observed;
    let crash = Crash {
        id: observed.crash_id,
        endpoint,
        failure_domain: observed.failure_domain,
        isolated: observed.isolated,
        is_leaving: observed.has_other_cause || is_leaving(node, endpoint),
    };
    let recorded = node.suspects.record_crash(observed.at_ms, digest, crash);
    event!(
        info,
        "crash of endpoint recorded",
        id = observed.id,
        digest = digest,
        crash = format_args!("{:x}", crash.id),
        endpoint = endpoint,
        isolated = crash.isolated,
        is_leaving = crash.is_leaving,
        known_crashes = node.suspects.reports(node.now_ms(), digest).len(),
        reason = observed.reason,
    );
    count(node, "recorded");
    log_eviction(node, recorded);
    // One of the requests at this node is the suspect itself.
    let is_shared_here = node.suspects.running(endpoint) > 1;
    let is_shared_now = exchange::report(node, digest, endpoint).await || is_shared_here;
    if observed.was_shared.unwrap_or(is_shared_now) {
        node.suspects.record_shared(digest, crash.id);
    }
    if node.suspects.status(node.now_ms(), digest) == SuspectStatus::Quarantined {
        spawn_local(stored::store(node.clone(), digest));
    }
}
