//! The claimant's side of at-most-once execution.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use wisteriapoint_claim::{Ask, Decision, Report, Settled, Tally};
use wisteriapoint_types::{Digest, MemberId, Nonce, RequestKey};

use super::Shared;
use super::message::{Question, Reply};

const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A claim that this daemon won.
#[derive(Debug)]
pub struct Claim {
    key: RequestKey,
    nonce: Nonce,
    holders: Vec<MemberId>,
}

/// What became of an attempt to claim a key.
#[derive(Debug)]
pub enum Claimed {
    /// The request may be dispatched.
    Won(Claim),
    /// The outcome is known.
    Settled(Settled),
    /// The key belongs to another request.
    Mismatch,
    /// Another attempt has the key, or too few holders answered.
    Busy,
}

/// Tries to win the sole right to dispatch a request.
pub async fn claim(
    shared: &Arc<Shared>,
    key: RequestKey,
    digest: Digest,
    horizon_ms: u64,
) -> Claimed {
    let view = Arc::clone(&shared.snapshot.load().view);
    let holders = view.holders(key.partition());
    if holders.members.is_empty() {
        return Claimed::Busy;
    }
    let ask = Ask {
        view: view.number,
        key: key.clone(),
        digest,
        claimant: shared.me.id,
        nonce: Nonce(rand::random()),
        horizon_ms,
    };
    let claim = Claim {
        key,
        nonce: ask.nonce,
        holders: holders.members.clone(),
    };
    let mut tally = Tally::new(holders.members.len(), holders.majority());
    let mut answers: FuturesUnordered<_> = holders
        .members
        .iter()
        .map(|&id| shared.ask(id, Question::Claim(ask.clone()), HOLDER_TIMEOUT))
        .collect();
    while let Some(reply) = answers.next().await {
        let answer = match reply {
            Some(Reply::Claim(answer)) => Some(answer),
            _ => None,
        };
        match tally.count(answer) {
            Decision::Wait => {}
            Decision::Dispatch => return Claimed::Won(claim),
            Decision::Settled(settled) => return Claimed::Settled(settled),
            Decision::Mismatch => return Claimed::Mismatch,
            Decision::Release => break,
        }
    }
    claim.release(shared).await;
    Claimed::Busy
}

impl Claim {
    /// Tells the holders that nothing was dispatched.
    pub async fn release(self, shared: &Arc<Shared>) {
        self.report(shared, None).await;
    }

    /// Tells the holders what became of the request.
    pub async fn settle(self, shared: &Arc<Shared>, settled: Settled) {
        self.report(shared, Some(settled)).await;
    }

    async fn report(self, shared: &Arc<Shared>, settled: Option<Settled>) {
        let report = Report {
            key: self.key,
            nonce: self.nonce,
            settled,
        };
        let mut noted: FuturesUnordered<_> = self
            .holders
            .iter()
            .map(|&id| shared.ask(id, Question::Report(report.clone()), HOLDER_TIMEOUT))
            .collect();
        while noted.next().await.is_some() {}
    }
}
