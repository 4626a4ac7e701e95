//! Probes of members whose lease is gone: directly, and by way of other daemons.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use tokio::sync::oneshot;
use wisteriapoint_membership::ProbeResult;
use wisteriapoint_types::MemberId;

use super::Shared;
use super::control::Command;
use super::message::{Question, Reply};

const PING_TIMEOUT: Duration = Duration::from_millis(500);
const WITNESS_TIMEOUT: Duration = Duration::from_millis(1_500);
const WITNESSES: usize = 3;

/// Probes a member and tells control what was found.
pub fn spawn(shared: &Arc<Shared>, id: MemberId) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let probe = probe(&shared, id).await;
        // Control is gone only when the daemon stops.
        let _ = shared.control.send(Command::Probed(id, probe)).await;
    });
}

/// Answers a daemon that asks whether this one hears a member.
pub fn spawn_answer(shared: &Arc<Shared>, id: MemberId, reply: oneshot::Sender<Reply>) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let heard = ping(&shared, id).await.is_some();
        // The asker may have given up; then it counts this daemon as no witness.
        let _ = reply.send(Reply::Heard(heard));
    });
}

async fn probe(shared: &Arc<Shared>, id: MemberId) -> ProbeResult {
    match ping(shared, id).await {
        Some(true) => return ProbeResult::Stopping,
        Some(false) => return ProbeResult::Alive,
        None => {}
    }
    let witnesses = witnesses(shared, id);
    let asked = witnesses
        .iter()
        .map(|&witness| shared.ask(witness, Question::Probe(id), WITNESS_TIMEOUT));
    let answers = join_all(asked).await;
    let heard = |answer: &Option<Reply>| matches!(answer, Some(Reply::Heard(true)));
    if answers.iter().any(heard) {
        return ProbeResult::Alive;
    }
    let unheard = |answer: &&Option<Reply>| matches!(answer, Some(Reply::Heard(false)));
    ProbeResult::Unreachable {
        witnesses: answers.iter().filter(unheard).count() as u32,
    }
}

/// Whether a member is stopping; none if it does not answer.
async fn ping(shared: &Arc<Shared>, id: MemberId) -> Option<bool> {
    match shared.ask(id, Question::Ping, PING_TIMEOUT).await {
        Some(Reply::Pong { stopping }) => Some(stopping),
        Some(Reply::Stopping) => Some(true),
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
