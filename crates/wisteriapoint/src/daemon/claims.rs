//! The claimant's side of at-most-once execution.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use wisteriapoint_claim::{Age, ClaimRequest, ClaimResponse, Decision, Report, Settled, Tally};
use wisteriapoint_membership::View;
use wisteriapoint_types::{Digest, MemberId, Nonce, RequestKey};

use super::Shared;
use super::message::{Question, Reply};

/// Largest body of an answer that is recorded, in bytes.
pub const MAX_RECORDED_BYTES: usize = 256 << 10;

const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_000);
const POLL_PAUSE: Duration = Duration::from_millis(50);
const REPORT_PAUSE: Duration = Duration::from_millis(250);
const REPORT_ROUNDS: usize = 240;

/// An attempt; if it is dropped without a report, what is known by then is reported.
#[derive(Debug)]
pub struct Claim {
    shared: Arc<Shared>,
    ask: ClaimRequest,
    won: bool,
    reported: bool,
}

/// What became of an attempt to claim a key.
#[derive(Debug)]
pub enum Claimed {
    /// The request may be dispatched.
    Won(Claim),
    /// The outcome is known.
    Settled(Settled),
    /// The request may have run, and nobody is left who could tell.
    Lost,
    /// The key is older than the retry horizon.
    Expired,
    /// The key's time of issue lies in the future.
    Future,
    /// The key belongs to another request.
    Mismatch,
    /// Another attempt has the key, or too few holders answered in time.
    Busy,
}

/// Tries to win the sole right to dispatch a request, and waits for others' outcome.
pub async fn claim(
    shared: &Arc<Shared>,
    key: RequestKey,
    digest: Digest,
    horizon_ms: u64,
    limit: Duration,
) -> Claimed {
    let deadline = Instant::now() + limit;
    loop {
        match Age::new(shared.clock.now_ms(), &key, horizon_ms) {
            Age::Valid => {}
            Age::Future => return Claimed::Future,
            Age::Expired => return Claimed::Expired,
        }
        let view = Arc::clone(&shared.snapshot.load().view);
        let ask = ClaimRequest {
            view: view.number,
            key: key.clone(),
            digest,
            claimant: shared.me.id,
            nonce: Nonce(rand::random()),
            horizon_ms,
        };
        if let Some(claimed) = attempt(shared, &view, ask).await {
            return claimed;
        }
        if Instant::now() + POLL_PAUSE >= deadline {
            return Claimed::Busy;
        }
        sleep(POLL_PAUSE.mul_f64(1.0 + rand::random::<f64>())).await;
    }
}

/// Asks the holders once; gives none if it is worth asking again.
async fn attempt(shared: &Arc<Shared>, view: &View, ask: ClaimRequest) -> Option<Claimed> {
    let holders = view.holders(ask.key.partition());
    if holders.members.is_empty() {
        return None;
    }
    let mut claim = Claim {
        shared: Arc::clone(shared),
        ask,
        won: false,
        reported: false,
    };
    let mut tally = Tally::new(holders.members.len(), holders.majority());
    let asked = holders.members.iter();
    let mut answers: FuturesUnordered<_> = asked.map(|&id| ask_holder(&claim, id)).collect();
    let mut decision = Decision::Wait;
    let mut refusals = 0;
    while let Some(answer) = answers.next().await {
        // A task that was ended gave no answer.
        let answer = answer.ok().flatten();
        let granted = matches!(answer, Some(ClaimResponse::Granted) | None);
        refusals += usize::from(!granted);
        decision = tally.count(answer);
        if !matches!(decision, Decision::Wait | Decision::Release) {
            break;
        }
    }
    drop(answers);
    match decision {
        Decision::Dispatch => {
            claim.won = true;
            return Some(Claimed::Won(claim));
        }
        _ if refusals == holders.members.len() => claim.reported = true,
        _ => claim.report(None).await,
    }
    let is_gone = |id: &MemberId| shared.snapshot.load().view.member(*id).is_none();
    match decision {
        Decision::Settled(settled) => Some(Claimed::Settled(settled)),
        Decision::Lost => Some(Claimed::Lost),
        Decision::Mismatch => Some(Claimed::Mismatch),
        _ if tally.claimants().iter().any(is_gone) => Some(Claimed::Lost),
        _ => None,
    }
}

/// Asks a holder; the ask goes on when its answer is no longer waited for, so that the
/// claim reaches all holders.
fn ask_holder(claim: &Claim, id: MemberId) -> JoinHandle<Option<ClaimResponse>> {
    let shared = Arc::clone(&claim.shared);
    let question = Question::Claim(claim.ask.clone());
    claim.shared.traffic.spawn(async move {
        match shared.ask(id, question, HOLDER_TIMEOUT).await {
            Some(Reply::Claim(answer)) => Some(answer),
            _ => None,
        }
    })
}

impl Claim {
    /// Tells the holders that nothing was dispatched.
    pub async fn release(self) {
        self.report(None).await;
    }

    /// Tells the holders what became of the request.
    ///
    /// An answer that is too large is not kept; a retry learns that the request may have
    /// run.
    pub async fn settle(self, settled: Settled) {
        let settled = match settled {
            Settled::Ran(recorded) if recorded.body.len() > MAX_RECORDED_BYTES => {
                Settled::MayHaveRun
            }
            settled => settled,
        };
        self.report(Some(settled)).await;
    }

    async fn report(mut self, settled: Option<Settled>) {
        self.reported = true;
        let report = self.as_report(settled);
        if !send(&self.shared, &report).await {
            self.shared
                .traffic
                .spawn(repeat(Arc::clone(&self.shared), report));
        }
    }

    fn as_report(&self, settled: Option<Settled>) -> Report {
        Report {
            request: self.ask.clone(),
            settled,
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.reported {
            return;
        }
        let report = self.as_report(self.won.then_some(Settled::MayHaveRun));
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(repeat(shared, report));
    }
}

async fn repeat(shared: Arc<Shared>, report: Report) {
    for _ in 0..REPORT_ROUNDS {
        if send(&shared, &report).await {
            return;
        }
        sleep(REPORT_PAUSE).await;
    }
}

/// Reports to the holders of the latest view; gives whether a majority has it.
async fn send(shared: &Arc<Shared>, report: &Report) -> bool {
    let view = Arc::clone(&shared.snapshot.load().view);
    let holders = view.holders(report.request.key.partition());
    let question = Question::Report(report.clone());
    let sent = holders
        .members
        .iter()
        .map(|&id| shared.ask(id, question.clone(), HOLDER_TIMEOUT));
    let noted = join_all(sent).await;
    let noted = noted
        .iter()
        .filter(|reply| matches!(reply, Some(Reply::Noted)));
    noted.count() >= holders.majority() && shared.snapshot.load().view.number == view.number
}
