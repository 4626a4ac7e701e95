//! Probes of members whose lease has expired: directly and through other daemons.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use tokio::sync::oneshot;
use wisteriapoint_membership::ProbeResult;
use wisteriapoint_types::MemberId;

use super::Shared;
use super::control::Command;
use super::message::{PeerRequest, PeerResponse};

const PING_TIMEOUT: Duration = Duration::from_millis(500);
const WITNESS_TIMEOUT: Duration = Duration::from_millis(1_500);
const WITNESSES: usize = 3;

/// Probes a member and sends the result to the control loop.
pub fn spawn(shared: &Arc<Shared>, id: MemberId) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let probe = probe(&shared, id).await;
        // The send fails only when the daemon stops.
        let _ = shared.control.send(Command::Probed(id, probe)).await;
    });
}

/// Responds to another daemon's [`PeerRequest::Probe`] of a member.
pub fn spawn_answer(shared: &Arc<Shared>, id: MemberId, reply: oneshot::Sender<PeerResponse>) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let is_reachable = ping(&shared, id).await.is_some();
        // The send fails if the requester has timed out; it then does not count this daemon as a
        // witness.
        let _ = reply.send(PeerResponse::Reachable(is_reachable));
    });
}

async fn probe(shared: &Arc<Shared>, id: MemberId) -> ProbeResult {
    match ping(shared, id).await {
        Some(true) => return ProbeResult::Stopping,
        Some(false) => return ProbeResult::Alive,
        None => {}
    }
    let witnesses = witnesses(shared, id);
    let calls = witnesses
        .iter()
        .map(|&witness| shared.call_member(witness, PeerRequest::Probe(id), WITNESS_TIMEOUT));
    let responses = join_all(calls).await;
    let is_reachable =
        |response: &Option<PeerResponse>| matches!(response, Some(PeerResponse::Reachable(true)));
    if responses.iter().any(is_reachable) {
        return ProbeResult::Alive;
    }
    let is_unreachable =
        |response: &&Option<PeerResponse>| matches!(response, Some(PeerResponse::Reachable(false)));
    ProbeResult::Unreachable {
        witnesses: responses.iter().filter(is_unreachable).count() as u32,
    }
}

/// Returns whether a member is stopping, or `None` if it does not respond.
async fn ping(shared: &Arc<Shared>, id: MemberId) -> Option<bool> {
    match shared
        .call_member(id, PeerRequest::Ping, PING_TIMEOUT)
        .await
    {
        Some(PeerResponse::Pong { stopping }) => Some(stopping),
        Some(PeerResponse::Stopping) => Some(true),
        _ => None,
    }
}

fn witnesses(shared: &Arc<Shared>, suspect: MemberId) -> Vec<MemberId> {
    let view = Arc::clone(&shared.snapshot.load().view);
    let others: Vec<MemberId> = view
        .members
        .iter()
        .map(|member| member.id)
        .filter(|&id| id != suspect && id != shared.me.id)
        .collect();
    others
        .sample(&mut rand::rng(), WITNESSES)
        .copied()
        .collect()
}
