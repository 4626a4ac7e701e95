//! Acceptance of submissions, which are stored before they are acknowledged.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::SemaphorePermit;
use tokio::time::sleep;
use wisteriapoint_batch::{Job, JobState, RecordHeader, Submission};
use wisteriapoint_directory::{Route, RouteKind};
use wisteriapoint_store::{
    Backoff, CommitOutcome, Error as StoreError, Index, Transaction, TransactionalStore,
};

use super::body::JobBody;
use super::owned::{OwnedJob, StateRow};
use super::record::{self, RecordLayout, SMALL_RECORD_BYTES};
use super::{keys, read, takeover};
use crate::dialect::Dialect;
use crate::event;
use crate::node::{Node, Stage};
use crate::peers::{PeerRequest, PeerResponse, call_peer_within};

/// Time for the owner of a route to store a batch job: some network hops and a write; after that, the
/// node that received it stores it itself within the usual objective of a submission.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest submission that is passed on to another node, which takes several times its size in memory at
/// both.
const MAX_FORWARDED_BYTES: usize = 1 << 20;
/// Longest wait for a lease that expires soon after this node has died; a store that is slower than that
/// delays the acknowledgement no further.
const MAX_LEASE_WAIT: Duration = Duration::from_millis(100);
/// Interval between checks whether a concurrent copy of a submission has been handled.
const DUPLICATE_POLL: Duration = Duration::from_millis(10);
/// Maximum number of reads that determine whether a write with an ambiguous outcome took effect;
/// after that, the caller receives the ambiguous outcome.
const MAX_STATE_READS: u32 = 3;
/// Pause between these reads.
const STATE_READ_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of writes of one part of a submission.
const MAX_PART_WRITES: u32 = 4;

/// Outcome of a submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// The batch job is stored, by this submission or an earlier copy of it.
    Stored,
    /// The batch job is not stored and will not be, for the given reason.
    NotStored(Box<str>),
    /// The batch job may be stored, now or later; the given error left the outcome open.
    Ambiguous(Box<str>),
}

/// Stores a batch job at the node that owns those of its route, or else at this one.
///
/// A node that does not answer may still store it; the row of the batch job then decides which of the
/// two owns it.
pub async fn submit_at_owner<D: Dialect>(
    node: &Rc<Node<D>>,
    route: &Route,
    id: &str,
    (host, path): (&str, &str),
    workspace: Option<&str>,
    body: Bytes,
    submission: Submission,
) -> SubmitOutcome {
    let preferred = read::preferred_owner(node, route);
    let is_known = node.jobs.has_owner(id) || node.jobs.is_being_acquired(id);
    let mut may_be_stored = false;
    if let Some(address) = preferred.filter(|_| !is_known && body.len() <= MAX_FORWARDED_BYTES) {
        let request = PeerRequest::Submit {
            job: id.into(),
            host: host.into(),
            path: path.into(),
            workspace: workspace.map(Into::into),
            body: body.to_vec(),
        };
        match call_peer_within(node, address, &request, FORWARD_TIMEOUT).await {
            Some(PeerResponse::Submitted(SubmitOutcome::Stored, owner)) => {
                node.jobs.set_cached_owner(id, Some(owner));
                node.jobs.record_workspace(id, workspace.map(Into::into));
                return SubmitOutcome::Stored;
            }
            Some(PeerResponse::Submitted(SubmitOutcome::Ambiguous(_), _)) => may_be_stored = true,
            Some(_) => {}
            None => {
                may_be_stored = true;
                node.suspects.peers.record_silence(node.now_ms(), address);
            }
        }
    }
    let place = (host, path);
    match submit(node, route, id, place, workspace, body, submission).await {
        SubmitOutcome::NotStored(reason) if may_be_stored => SubmitOutcome::Ambiguous(reason),
        outcome => outcome,
    }
}

/// Stores a batch job that another node has received.
pub async fn submit_for_peer<D: Dialect>(
    node: &Rc<Node<D>>,
    id: &str,
    (host, path): (&str, &str),
    workspace: Option<&str>,
    body: Bytes,
) -> SubmitOutcome {
    let not_stored = |reason: &str| SubmitOutcome::NotStored(reason.into());
    let Some(configuration) = node.configuration() else {
        return not_stored("no configuration yet");
    };
    let route = configuration.route(host, path);
    let Some(route) = route.filter(|route| route.kind == RouteKind::Rollout) else {
        return not_stored("no route for batch jobs");
    };
    if node.stage.get() != Stage::Serving {
        return not_stored("not serving");
    }
    let Ok(body) = node.intake.budget.keep(body) else {
        return not_stored("no memory for its body");
    };
    match D::parse_submission(&body, node.intake.budget.max_reserved_bytes()) {
        Ok(submission) => submit(node, route, id, (host, path), workspace, body, submission).await,
        Err(error) => not_stored(&error.to_string()),
    }
}

/// Stores a batch job and starts to run it.
pub async fn submit<D: Dialect>(
    node: &Rc<Node<D>>,
    route: &Route,
    id: &str,
    (host, path): (&str, &str),
    workspace: Option<&str>,
    body: Bytes,
    submission: Submission,
) -> SubmitOutcome {
    // A concurrent copy of the submission may not have reached the store yet.
    while node.jobs.is_being_acquired(id) {
        sleep(DUPLICATE_POLL).await;
    }
    if node.jobs.has_owner(id) {
        return SubmitOutcome::Stored;
    }
    let acquisition = node.jobs.begin_acquiring(id);
    let verification = node.jobs.verification();
    let min_ms = node.settings.store.min_lease_ms;
    node.lease.wait_for_short(min_ms, MAX_LEASE_WAIT).await;
    let Ok(memory) = node.intake.budget.reserve(submission.memory_bytes()) else {
        return SubmitOutcome::NotStored("no memory for its items".into());
    };
    let header = RecordHeader {
        host: host.into(),
        path: path.into(),
        submitted_unix_ms: node.clock.unix_ms(),
        body_bytes: body.len(),
    };
    let encoded_header = match record::encode_header(&header) {
        Ok(encoded) => encoded,
        Err(error) => return SubmitOutcome::NotStored(error.to_string().into()),
    };
    let layout = RecordLayout::new(encoded_header.len(), body.len());
    let state = JobState {
        owner: node.owner.clone(),
        open: true,
        total: submission.items.len() as u32,
        listed: 0,
        commits: 0,
        nonce: rand::random(),
        workspace: workspace.map(Into::into),
        record_bytes: Some(layout.record_bytes()),
    };
    let items = submission.items.len();
    let committed = match store_later_parts(node, id, layout, &body).await {
        Ok(CommitOutcome::Done(_)) => {
            let mut first_part = encoded_header;
            first_part.extend_from_slice(&body[layout.body_of_part(0)]);
            let transaction = match submission_transaction(id, first_part, &state) {
                Ok(transaction) => transaction,
                Err(error) => return SubmitOutcome::NotStored(error),
            };
            let _permit = part_permit(node, layout).await;
            let committed = takeover::commit_state(node, id, &transaction, &state).await;
            node.record_store_call("accept", &committed);
            committed
        }
        // Parts without a state row are no batch job.
        Err(error) => return SubmitOutcome::NotStored(error.to_string().into()),
        conflict => conflict,
    };
    let revision = match committed {
        Ok(CommitOutcome::Done(revision)) => revision,
        Ok(CommitOutcome::Conflict | CommitOutcome::LeaseEnded) => {
            event!(info, "batch job already stored", id = id);
            // The row may come from an earlier copy of the same write.
            takeover::spawn_acquire_own(node, id);
            return SubmitOutcome::Stored;
        }
        Err(error) if !error.may_have_taken_effect() => {
            return SubmitOutcome::NotStored(error.to_string().into());
        }
        Err(error) => match find_own_write(node, id, &state).await {
            Some(revision) => revision,
            None => {
                // If the write takes effect after that, this node acquires the batch job when a
                // query for it arrives, or the leader takes it over once this node is not live.
                takeover::spawn_acquire_own(node, id);
                return SubmitOutcome::Ambiguous(error.to_string().into());
            }
        },
    };
    event!(
        info,
        "batch job accepted",
        id = id,
        items = items,
        route = route.name,
        revision = revision.0
    );
    if acquisition.is_ended() {
        return SubmitOutcome::Stored;
    }
    node.jobs.record_work(node.now_ms(), &submission);
    let expires_at_ms = node.now_ms() + route.retention_ms;
    let job = Job::new(submission, route.max_attempts, expires_at_ms);
    let body = JobBody::new(layout, node.intake.budget.cache(body));
    let row = StateRow { revision, state };
    let owned = OwnedJob::new(id, &header, (body, memory), job, row);
    takeover::insert(node, owned, verification).await;
    SubmitOutcome::Stored
}

/// Stores the parts of a submission after the first, one after the other: a transaction takes several times
/// its size in memory, and has at most 32 rows.
///
/// Their writes are void once the state row exists, so that no late one changes a batch job that is stored.
/// Until then another copy of the submission writes the same parts.
async fn store_later_parts<D: Dialect>(
    node: &Rc<Node<D>>,
    id: &str,
    layout: RecordLayout,
    body: &[u8],
) -> Result<CommitOutcome, StoreError> {
    for part in 1..layout.parts() {
        let data = body[layout.body_of_part(part)].to_vec();
        let transaction = Transaction::new()
            .with_expected(keys::state(id), Index(0))
            .with_put(keys::record_part(id, part), data);
        match store_part(node, layout, &transaction).await? {
            CommitOutcome::Done(_) => {}
            outcome => return Ok(outcome),
        }
    }
    Ok(CommitOutcome::Done(Index(0)))
}

/// Commits a write of a part, which may be repeated.
async fn store_part<D: Dialect>(
    node: &Rc<Node<D>>,
    layout: RecordLayout,
    transaction: &Transaction,
) -> Result<CommitOutcome, StoreError> {
    let mut backoff = Backoff::new();
    let mut attempts = 0;
    loop {
        let permit = part_permit(node, layout).await;
        let committed = node.store.commit(transaction).await;
        drop(permit);
        node.record_store_call("accept-part", &committed);
        attempts += 1;
        match committed {
            Err(_) if attempts < MAX_PART_WRITES => sleep(backoff.next_pause()).await,
            committed => return committed,
        }
    }
}

/// Returns a permit for a call to the store with a part, or `None` for a small record.
async fn part_permit<D: Dialect>(
    node: &Node<D>,
    layout: RecordLayout,
) -> Option<SemaphorePermit<'_>> {
    match layout.record_bytes() <= SMALL_RECORD_BYTES {
        true => None,
        // Fails only once the semaphore is closed, which it never is.
        false => node.intake.part_transfers.acquire().await.ok(),
    }
}

fn submission_transaction(
    id: &str,
    first_part: Vec<u8>,
    state: &JobState,
) -> Result<Transaction, Box<str>> {
    let state = serde_json::to_vec(state).map_err(|error| error.to_string())?;
    let transaction = Transaction::new()
        .with_expected(keys::state(id), Index(0))
        .with_put(keys::record_part(id, 0), first_part);
    Ok(transaction.with_put(keys::state(id), state))
}

/// Returns the revision of the state row if it contains this node's write.
///
/// Returns `None` if the row contains another write or the write was not found.
async fn find_own_write<D: Dialect>(node: &Node<D>, id: &str, state: &JobState) -> Option<Index> {
    for _ in 0..MAX_STATE_READS {
        match takeover::read_state(node, id).await {
            Ok(Some((revision, stored))) if stored == *state => return Some(revision),
            Ok(Some(_)) => return None,
            Ok(None) | Err(_) => sleep(STATE_READ_PAUSE).await,
        }
    }
    None
}
