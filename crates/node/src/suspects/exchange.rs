//! Exchange of crash reports between nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::sleep;
use wisteriapoint_store::Freshness;
use wisteriapoint_types::{Digest, EndpointName};

use super::{apply_reports, count, stored};
use crate::control::members;
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;
use crate::peers::{PeerRequest, PeerResponse, call_peer};

/// Interval at which reports that a peer has not acknowledged are sent again.
const REDELIVERY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of peers that a node asks for their history.
const HISTORY_PEERS: usize = 16;
/// Time after which a node serves requests without the history of others.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Starts the tasks of this module.
pub fn start<D: Dialect>(node: &Rc<Node<D>>) {
    spawn_local(redeliver(node.clone()));
    let node = node.clone();
    spawn_local(async move {
        sleep(HISTORY_TIMEOUT).await;
        set_history_loaded(&node);
    });
}

/// Sends all crash reports of a request to all peers, and waits for their acknowledgements.
///
/// Returns `true` if any of them ran requests of callers at the endpoint.
pub(super) async fn report<D: Dialect>(
    node: &Rc<Node<D>>,
    digest: Digest,
    endpoint: &EndpointName,
) -> bool {
    let reports = node.suspects.reports(node.now_ms(), digest);
    let request = PeerRequest::Crashes {
        from: node.owner.address,
        reports,
    };
    let mut is_shared = false;
    for (peer, response) in call_all(node, &request).await {
        match response {
            Some(PeerResponse::CrashesRecorded(endpoints)) => {
                is_shared |= endpoints.contains(endpoint);
            }
            _ => add_undelivered(node, peer, digest),
        }
    }
    is_shared
}

/// Tells all peers that a suspect was completed; does not wait for them.
pub(super) fn report_completion<D: Dialect>(node: &Rc<Node<D>>, digest: Digest) {
    let node = node.clone();
    spawn_local(async move { call_all(&node, &PeerRequest::Completed(digest)).await });
}

/// What the peers answered that keep an endpoint for a suspect.
#[derive(Debug, Clone, Copy)]
pub(super) struct Kept {
    /// Number of callers' requests that they run there.
    pub(super) running: u32,
    /// `true` if at least half of the peers answered, so that the others are likely to have ended.
    pub(super) is_confirmed: bool,
}

/// Asks all peers to keep an endpoint for a suspect.
///
/// Returns what they answered; `None` if the endpoint is kept for another suspect, or the suspect runs
/// elsewhere. The peers also send what they know of the suspect.
pub(super) async fn keep_endpoint<D: Dialect>(
    node: &Rc<Node<D>>,
    digest: Digest,
    endpoint: &EndpointName,
) -> Option<Kept> {
    let request = PeerRequest::RunIsolated {
        digest,
        endpoint: endpoint.clone(),
    };
    let responses = call_all(node, &request).await;
    let (asked, mut answered, mut running_at_peers) = (responses.len(), 0, 0_u32);
    let mut is_kept = true;
    for (peer, response) in responses {
        if let Some(PeerResponse::RunIsolated {
            is_conflicting,
            running,
            reports,
        }) = response
        {
            answered += 1;
            running_at_peers = running_at_peers.saturating_add(running);
            is_kept &= !is_conflicting;
            apply_reports(node, peer, &reports);
        }
    }
    is_kept.then_some(Kept {
        running: running_at_peers,
        is_confirmed: node.suspects.peers.is_read() && answered * 2 >= asked,
    })
}

/// Tells all peers that a suspect no longer needs an endpoint; does not wait for them.
pub(super) fn release<D: Dialect>(node: &Rc<Node<D>>, digest: Digest) {
    let node = node.clone();
    spawn_local(async move { call_all(&node, &PeerRequest::EndIsolated(digest)).await });
}

/// Requests the history of other nodes and of the store, and introduces this node to the others.
///
/// Called whenever a lease has been obtained: a node that has just started, or was suspended or cut
/// off, has missed reports.
pub async fn load_history<D: Dialect>(node: Rc<Node<D>>) {
    match members::members(&node, Freshness::Linearizable).await {
        Ok(members) => members::set_peers(&node, members.iter()),
        Err(error) => event!(info, "members could not be read", error = error),
    }
    let peers = node.suspects.peers.addresses(node.now_ms());
    let peers = peers.into_iter().sample(&mut rand::rng(), HISTORY_PEERS);
    let request = PeerRequest::CrashHistory {
        from: node.owner.address,
    };
    for (peer, response) in call_each(&node, peers, &request).await {
        if let Some(PeerResponse::Crashes(reports)) = response {
            apply_reports(&node, peer, &reports);
        }
    }
    stored::load(&node).await;
    set_history_loaded(&node);
}

fn set_history_loaded<D: Dialect>(node: &Node<D>) {
    node.suspects.is_history_loaded.set(true);
    node.update_readiness();
}

/// Sends reports again to the peers that have not acknowledged them, until they do or are no longer
/// known.
async fn redeliver<D: Dialect>(node: Rc<Node<D>>) {
    loop {
        node.suspects.undelivered_added.notified().await;
        while !node.suspects.undelivered.borrow().is_empty() {
            sleep(REDELIVERY_INTERVAL).await;
            redeliver_once(&node).await;
        }
    }
}

async fn redeliver_once<D: Dialect>(node: &Rc<Node<D>>) {
    let now_ms = node.now_ms();
    let known = node.suspects.peers.addresses(now_ms);
    for (peer, digests) in node.suspects.undelivered.take() {
        let reports: Vec<_> = digests
            .iter()
            .flat_map(|&digest| node.suspects.reports(now_ms, digest))
            .collect();
        if !known.contains(&peer) || reports.is_empty() {
            continue;
        }
        event!(
            info,
            "crash reports sent again",
            peer = peer,
            reports = reports.len()
        );
        count(node, "sent-again");
        let request = PeerRequest::Crashes {
            from: node.owner.address,
            reports,
        };
        if call_peer(node, peer, &request).await.is_none() {
            for digest in digests {
                add_undelivered(node, peer, digest);
            }
        }
    }
}

fn add_undelivered<D: Dialect>(node: &Node<D>, peer: SocketAddr, digest: Digest) {
    let mut undelivered = node.suspects.undelivered.borrow_mut();
    undelivered.entry(peer).or_default().insert(digest);
    node.suspects.undelivered_added.notify_one();
}

async fn call_all<D: Dialect>(
    node: &Rc<Node<D>>,
    request: &PeerRequest,
) -> Vec<(SocketAddr, Option<PeerResponse>)> {
    let peers = node.suspects.peers.addresses(node.now_ms());
    call_each(node, peers, request).await
}

/// Calls several peers at the same time and returns the response of each.
async fn call_each<D: Dialect>(
    node: &Rc<Node<D>>,
    peers: impl IntoIterator<Item = SocketAddr>,
    request: &PeerRequest,
) -> Vec<(SocketAddr, Option<PeerResponse>)> {
    let mut calls = JoinSet::new();
    for peer in peers {
        let (node, request) = (node.clone(), request.clone());
        calls.spawn_local(async move { (peer, call_peer(&node, peer, &request).await) });
    }
    calls.join_all().await
}
