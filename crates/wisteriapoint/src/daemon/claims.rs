//! The claimant's side of at-most-once execution of keyed requests.

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
use super::message::{PeerRequest, PeerResponse};

/// Maximum size of a response body that is recorded with a claim, in bytes.
pub const MAX_RECORDED_BYTES: usize = 256 << 10;

const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_000);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(250);
const MAX_REPORT_ATTEMPTS: usize = 240;

/// One attempt to claim a key.
///
/// An attempt that is dropped before its outcome was reported is reported in the background: as
/// [`Settled::MayHaveRun`] if the claim was granted, otherwise as released.
#[derive(Debug)]
pub struct Claim {
    shared: Arc<Shared>,
    request: ClaimRequest,
    granted: bool,
    reported: bool,
}

/// Result of [`claim`].
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The request may be dispatched.
    Granted(Claim),
    /// An earlier attempt has a recorded outcome.
    Settled(Settled),
    /// The request may have run, and no record of its outcome is left.
    Lost,
    /// The key is older than the retry horizon.
    Expired,
    /// The time in the key is in the future.
    Future,
    /// The key was used for another request.
    Mismatch,
    /// Another attempt holds the key, or too few holders responded before the timeout.
    Busy,
}

/// Claims the exclusive right to dispatch a request.
///
/// While another attempt holds the key, the claim is retried until `timeout`, so that the other
/// attempt's outcome can be returned. Keys older than `horizon_ms` are not accepted.
pub async fn claim(
    shared: &Arc<Shared>,
    key: RequestKey,
    digest: Digest,
    horizon_ms: u64,
    timeout: Duration,
) -> ClaimOutcome {
    let deadline = Instant::now() + timeout;
    loop {
        match Age::new(shared.clock.now_ms(), &key, horizon_ms) {
            Age::Valid => {}
            Age::Future => return ClaimOutcome::Future,
            Age::Expired => return ClaimOutcome::Expired,
        }
        let view = Arc::clone(&shared.snapshot.load().view);
        let request = ClaimRequest {
            view: view.number,
            key: key.clone(),
            digest,
            claimant: shared.me.id,
            nonce: Nonce(rand::random()),
            horizon_ms,
        };
        if let Some(claimed) = attempt_claim(shared, &view, request).await {
            return claimed;
        }
        if Instant::now() + RETRY_PAUSE >= deadline {
            return ClaimOutcome::Busy;
        }
        sleep(RETRY_PAUSE.mul_f64(1.0 + rand::random::<f64>())).await;
    }
}

/// Sends the claim to all holders once; returns `None` if the claim should be retried.
async fn attempt_claim(
    shared: &Arc<Shared>,
    view: &View,
    request: ClaimRequest,
) -> Option<ClaimOutcome> {
    let holders = view.holders(request.key.partition());
    if holders.members.is_empty() {
        return None;
    }
    let mut claim = Claim {
        shared: Arc::clone(shared),
        request,
        granted: false,
        reported: false,
    };
    let mut tally = Tally::new(holders.members.len(), holders.majority());
    let holder_ids = holders.members.iter();
    let mut responses: FuturesUnordered<_> =
        holder_ids.map(|&id| request_claim(&claim, id)).collect();
    let mut decision = Decision::Wait;
    let mut refusals = 0;
    while let Some(response) = responses.next().await {
        // A task that panicked or was cancelled counts as a holder that did not respond.
        let response = response.ok().flatten();
        // A holder that did not respond may have granted the claim.
        let may_be_granted = matches!(response, Some(ClaimResponse::Granted) | None);
        refusals += usize::from(!may_be_granted);
        decision = tally.count(response);
        if !matches!(decision, Decision::Wait | Decision::Release) {
            break;
        }
    }
    drop(responses);
    match decision {
        Decision::Dispatch => {
            claim.granted = true;
            return Some(ClaimOutcome::Granted(claim));
        }
        // No holder granted the claim, so that there is nothing to release.
        _ if refusals == holders.members.len() => claim.reported = true,
        _ => claim.report(None).await,
    }
    let has_left = |id: &MemberId| shared.snapshot.load().view.member(*id).is_none();
    match decision {
        Decision::Settled(settled) => Some(ClaimOutcome::Settled(settled)),
        Decision::Lost => Some(ClaimOutcome::Lost),
        Decision::Mismatch => Some(ClaimOutcome::Mismatch),
        _ if tally.claimants().iter().any(has_left) => Some(ClaimOutcome::Lost),
        _ => None,
    }
}

/// Sends the claim to a holder in a separate task.
///
/// The task continues after the caller stops waiting for the response, so that the claim reaches
/// every holder.
fn request_claim(claim: &Claim, id: MemberId) -> JoinHandle<Option<ClaimResponse>> {
    let shared = Arc::clone(&claim.shared);
    let peer_request = PeerRequest::Claim(claim.request.clone());
    claim.shared.traffic.spawn(async move {
        match shared.call_member(id, peer_request, HOLDER_TIMEOUT).await {
            Some(PeerResponse::Claim(response)) => Some(response),
            _ => None,
        }
    })
}

impl Claim {
    /// Reports to the holders that the request was not executed.
    pub async fn release(self) {
        self.report(None).await;
    }

    /// Reports the outcome of the request to the holders.
    ///
    /// A response with a body larger than [`MAX_RECORDED_BYTES`] is not recorded: a retry gets
    /// [`Settled::MayHaveRun`] instead.
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
        if !send_report(&self.shared, &report).await {
            self.shared
                .traffic
                .spawn(resend_report(Arc::clone(&self.shared), report));
        }
    }

    fn as_report(&self, settled: Option<Settled>) -> Report {
        Report {
            request: self.request.clone(),
            settled,
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.reported {
            return;
        }
        let report = self.as_report(self.granted.then_some(Settled::MayHaveRun));
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(resend_report(shared, report));
    }
}

async fn resend_report(shared: Arc<Shared>, report: Report) {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        if send_report(&shared, &report).await {
            return;
        }
        sleep(REPORT_RETRY_PAUSE).await;
    }
}

/// Sends a report to the holders of the latest view.
///
/// Returns `true` if a majority acknowledged it and the view did not change meanwhile.
async fn send_report(shared: &Arc<Shared>, report: &Report) -> bool {
    let view = Arc::clone(&shared.snapshot.load().view);
    let holders = view.holders(report.request.key.partition());
    let peer_request = PeerRequest::Report(report.clone());
    let sent = holders
        .members
        .iter()
        .map(|&id| shared.call_member(id, peer_request.clone(), HOLDER_TIMEOUT));
    let acknowledged = join_all(sent).await;
    let acknowledged = acknowledged
        .iter()
        .filter(|response| matches!(response, Some(PeerResponse::Acknowledged)));
    acknowledged.count() >= holders.majority() && shared.snapshot.load().view.number == view.number
}
