//! Changes of the owner of a batch job.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use wisteriapoint_batch::{Job, JobRecord, JobState, Owner, PartialOutput, Submission};
use wisteriapoint_store::{
    CommitOutcome, Error, Freshness, Index, Transaction, TransactionalStore,
};

use super::owned::{OwnedJob, StateRow};
use super::{keys, partial_outputs, read, run};
use crate::control::{members, watch};
use crate::dialect::Dialect;
use crate::event;
use crate::node::{Node, Stage};
use crate::peers::{PeerRequest, call_peer};

/// Time without a response after which the row is read to determine whether a write took effect.
/// Most writes to a slow store finish sooner.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_millis(300);
/// Maximum number of attempts to acquire a batch job that this node may own in the store, and of
/// searches for the batch jobs of the previous run.
const MAX_ACQUIRE_ATTEMPTS: u32 = 20;
/// Pause between these attempts; a late write takes effect within some seconds.
const ACQUIRE_PAUSE: Duration = Duration::from_millis(500);

/// Interval between checks whether the node is ready.
const READY_POLL: Duration = Duration::from_millis(20);
/// Pause after a failed read of the state row of a batch job.
const VERIFY_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Reads the state row of a batch job; returns `None` if there is no such batch job.
///
/// # Errors
///
/// Fails if the store does not answer or the row is malformed.
pub async fn read_state<D: Dialect>(
    node: &Node<D>,
    job: &str,
) -> Result<Option<(Index, JobState)>, Error> {
    read_state_as(node, job, Freshness::Linearizable).await
}

/// Reads the state row of a batch job with the given freshness.
///
/// A stale read may miss a new batch job or return a previous owner.
///
/// # Errors
///
/// As [`read_state`].
pub async fn read_state_as<D: Dialect>(
    node: &Node<D>,
    job: &str,
    freshness: Freshness,
) -> Result<Option<(Index, JobState)>, Error> {
    let row = node.store.row(&keys::state(job), freshness).await;
    node.record_store_call("state", &row);
    match row?.0 {
        Some(row) => match serde_json::from_slice(&row.value) {
            Ok(state) => Ok(Some((row.revision, state))),
            Err(error) => Err(Error::Malformed(error.to_string().into())),
        },
        None => Ok(None),
    }
}

/// Commits the next state of a batch job.
///
/// Reads the row periodically until the store responds, in case the response is lost.
///
/// # Errors
///
/// As [`TransactionalStore::commit`].
pub async fn commit_state<D: Dialect>(
    node: &Node<D>,
    job: &str,
    transaction: &Transaction,
    state: &JobState,
) -> Result<CommitOutcome, Error> {
    let observed_commit = async {
        loop {
            sleep(RESPONSE_GRACE_PERIOD).await;
            match read_state(node, job).await {
                Ok(Some((revision, stored))) if stored == *state => return revision,
                _ => {}
            }
        }
    };
    tokio::select! {
        committed = node.store.commit(transaction) => committed,
        revision = observed_commit => Ok(CommitOutcome::Done(revision)),
    }
}

/// Reads the submission of a batch job; returns `None` if there is none.
///
/// # Errors
///
/// Fails if the store does not answer or the submission is malformed.
pub async fn read_record<D: Dialect>(
    node: &Node<D>,
    job: &str,
) -> Result<Option<JobRecord>, Error> {
    let rows = node
        .store
        .range(&keys::record_prefix(job), Freshness::Linearizable)
        .await;
    node.record_store_call("record", &rows);
    let (rows, _) = rows?;
    if rows.is_empty() {
        return Ok(None);
    }
    let bytes: Vec<u8> = rows.into_iter().flat_map(|row| row.value).collect();
    let record = postcard::from_bytes(&bytes);
    let record = record.map_err(|error| Error::Malformed(error.to_string().into()))?;
    Ok(Some(record))
}

/// Reads and parses the submission of a batch job.
///
/// # Errors
///
/// Fails if the store does not answer, or the submission is missing or malformed.
async fn read_submission<D: Dialect>(
    node: &Node<D>,
    job: &str,
) -> Result<(JobRecord, Submission), Error> {
    let malformed = |reason: &str| Error::Malformed(reason.into());
    let record = read_record(node, job).await?;
    let record = record.ok_or_else(|| malformed("it is missing"))?;
    let submission = D::parse_submission(&record.body);
    let submission = submission.map_err(|error| malformed(&error.to_string()))?;
    Ok((record, submission))
}

/// Takes over a batch job; returns `true` if this node owns it now or nothing is left to run.
///
/// `outputs` are partial outputs that the previous owner sent.
pub async fn take_over<D: Dialect>(
    node: &Rc<Node<D>>,
    job: &str,
    outputs: Vec<PartialOutput>,
) -> bool {
    match try_take_over(node, job, outputs).await {
        Ok(is_settled) => is_settled,
        Err(error) => {
            event!(warn, "batch job not taken over", id = job, error = error);
            false
        }
    }
}

async fn try_take_over<D: Dialect>(
    node: &Rc<Node<D>>,
    job: &str,
    outputs: Vec<PartialOutput>,
) -> Result<bool, Box<str>> {
    if node.jobs.is_being_acquired(job) {
        return Ok(false);
    }
    let acquisition = node.jobs.begin_acquiring(job);
    let state = read_state(node, job)
        .await
        .map_err(|error| error.to_string())?;
    let Some((revision, state)) = state else {
        return Ok(false);
    };
    let is_own = state.owner == node.owner;
    if !state.open || state.listed >= state.total || (is_own && node.jobs.get(job).is_some()) {
        return Ok(true);
    }
    let (record, submission) = match read_submission(node, job).await {
        Ok(read) => read,
        // It stays so, and another attempt would read the same rows again.
        Err(Error::Malformed(reason)) => {
            event!(
                error,
                "submission malformed; batch job not taken over",
                id = job,
                reason = reason
            );
            return Ok(true);
        }
        Err(error) => return Err(error.to_string().into()),
    };
    let listed = read::listed_results(node, job).await?;
    let (max_failures, retention_ms) = read_limits(node, &record).await?;
    let from = state.owner.vm.clone();
    let new_state = JobState {
        owner: node.owner.clone(),
        nonce: rand::random(),
        ..state
    };
    let value = serde_json::to_vec(&new_state).map_err(|error| error.to_string())?;
    let transaction = Transaction::new()
        .with_expected(keys::state(job), revision)
        .with_put(keys::state(job), value);
    let committed = node.store.commit(&transaction).await;
    node.record_store_call("take-over", &committed);
    let revision = match committed.map_err(|error| error.to_string())? {
        CommitOutcome::Done(revision) => revision,
        CommitOutcome::Conflict | CommitOutcome::LeaseEnded => return Ok(false),
    };
    if listed.len() != new_state.listed as usize {
        return Err("number of stored results differs from the state".into());
    }
    // Counted anew, since the clocks of two VMs don't give the age of a batch job: an item may expire
    // late, but never early.
    let expires_at_ms = node.now_ms() + retention_ms;
    event!(
        info,
        "batch job taken over",
        id = job,
        from = from,
        listed = new_state.listed,
        revision = revision.0
    );
    let state = new_state;
    let resumed_job = Job::new(submission, max_failures, expires_at_ms).with_listed(listed);
    let owned = OwnedJob::new(job, &record, resumed_job, StateRow { revision, state });
    owned.merge_partial_outputs(outputs);
    owned.merge_partial_outputs(partial_outputs::read_stored(node, job).await);
    owned.restore_failures(partial_outputs::read_failures(node, job).await);
    if acquisition.is_ended() {
        return Ok(true);
    }
    node.jobs.insert(owned.clone());
    run::start_tasks(node, owned);
    Ok(true)
}

/// Returns the number of failures and the time in milliseconds after which the items of a batch job
/// may be abandoned.
///
/// # Errors
///
/// Fails if the configuration can't be read from the store.
async fn read_limits<D: Dialect>(
    node: &Node<D>,
    record: &JobRecord,
) -> Result<(u32, u64), Box<str>> {
    // At least as new as the configuration under which the batch job was accepted. The one in force may
    // be older, and then lack its route or have lower limits.
    watch::check_configuration(node)
        .await
        .map_err(|error| error.to_string())?;
    let configuration = node.configuration().ok_or("no configuration")?;
    Ok(match configuration.route(&record.host, &record.path) {
        Some(route) => (route.max_attempts, route.retention_ms),
        None => (1, 0),
    })
}

/// Takes over the open batch jobs whose owner is not live; returns `true` if none of them is left.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn take_over_ownerless_jobs<D: Dialect>(
    node: &Rc<Node<D>>,
    live: &BTreeSet<Owner>,
) -> Result<bool, Error> {
    take_over_matching(node, |owner| !live.contains(owner)).await
}

/// Takes over the open batch jobs of previous runs of the node on this VM, once this node is ready.
pub async fn take_over_previous_run<D: Dialect>(node: Rc<Node<D>>) {
    while node.stage.get() == Stage::Starting {
        sleep(READY_POLL).await;
    }
    let own = node.owner.clone();
    let is_previous_run = |owner: &Owner| owner.vm == own.vm && owner.run != own.run;
    for _ in 0..MAX_ACQUIRE_ATTEMPTS {
        match take_over_matching(&node, is_previous_run).await {
            Ok(true) => return,
            // A late write of the previous run conflicted with the takeover.
            Ok(false) => event!(info, "batch jobs of the previous run remain"),
            Err(error) => event!(
                info,
                "batch jobs of the previous run not read",
                error = error
            ),
        }
        node.store_health.pause(ACQUIRE_PAUSE).await;
    }
}

/// Returns the number of open batch jobs whose owner is not live, according to a read that may be seconds
/// old.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn count_ownerless_jobs<D: Dialect>(
    node: &Node<D>,
    live: &BTreeSet<Owner>,
) -> Result<usize, Error> {
    let is_absent_owner = |owner: &Owner| !live.contains(owner);
    let jobs = read_matching(node, Freshness::Stale, is_absent_owner).await?;
    Ok(jobs.len())
}

async fn take_over_matching<D: Dialect>(
    node: &Rc<Node<D>>,
    is_absent_owner: impl Fn(&Owner) -> bool,
) -> Result<bool, Error> {
    let mut is_none_left = true;
    for job in read_matching(node, Freshness::Linearizable, is_absent_owner).await? {
        is_none_left &= take_over(node, &job, Vec::new()).await;
    }
    Ok(is_none_left)
}

/// Returns the ids of the open batch jobs whose owner is absent.
async fn read_matching<D: Dialect>(
    node: &Node<D>,
    freshness: Freshness,
    is_absent_owner: impl Fn(&Owner) -> bool,
) -> Result<Vec<Box<str>>, Error> {
    let rows = node.store.range(keys::STATE_PREFIX, freshness).await;
    node.record_store_call("states", &rows);
    let mut jobs = Vec::new();
    for row in rows?.0 {
        let Ok(state) = serde_json::from_slice::<JobState>(&row.value) else {
            if node.malformed_rows.is_new(&row) {
                event!(
                    error,
                    "batch job state malformed; skipping the batch job",
                    key = row.key
                );
            }
            continue;
        };
        let is_ownerless =
            state.open && state.listed < state.total && is_absent_owner(&state.owner);
        match keys::job_of_state(&row.key) {
            Some(job) if is_ownerless => jobs.push(job.into()),
            _ => {}
        }
    }
    Ok(jobs)
}

/// Starts a task that acquires a batch job if this run owns it according to the store.
pub fn spawn_acquire_own<D: Dialect>(node: &Rc<Node<D>>, job: &str) {
    let (node, job) = (node.clone(), Box::<str>::from(job));
    tokio::task::spawn_local(async move { acquire_own(&node, &job).await });
}

/// Acquires a batch job that this run owns according to the store.
///
/// This is the case if the write of a submission took effect after its caller received an ambiguous
/// outcome. The row is read repeatedly, since the write may not have taken effect yet.
pub async fn acquire_own<D: Dialect>(node: &Rc<Node<D>>, job: &str) {
    for _ in 0..MAX_ACQUIRE_ATTEMPTS {
        match read_state(node, job).await {
            Ok(Some((_, state))) if state.owner == node.owner => {
                if take_over(node, job, Vec::new()).await {
                    return;
                }
            }
            Ok(Some(_)) => return,
            Ok(None) => {}
            Err(error) => event!(info, "batch job state not read", id = job, error = error),
        }
        sleep(ACQUIRE_PAUSE).await;
    }
    event!(info, "batch job not acquired; no more attempts", id = job);
}

/// Removes the batch jobs that another node has taken over or ended.
pub async fn verify_ownership<D: Dialect>(node: Rc<Node<D>>) {
    for owned in node.jobs.all() {
        while owned.is_open.get() && !owned.job.borrow().is_all_listed() {
            match read_state(&node, &owned.id).await {
                Ok(Some((_, state))) if state.owner == node.owner && state.open => break,
                Ok(_) => {
                    node.drop_job(&owned.id);
                }
                Err(error) => {
                    event!(
                        info,
                        "batch job ownership not verified; retrying",
                        id = owned.id,
                        error = error
                    );
                    node.store_health.pause(VERIFY_RETRY_PAUSE).await;
                }
            }
        }
    }
    node.jobs.set_verified(true);
}

/// Hands over the open batch jobs to other nodes.
pub async fn hand_over<D: Dialect>(node: &Rc<Node<D>>) {
    let open: Vec<_> = node
        .jobs
        .all()
        .into_iter()
        .filter(|owned| owned.is_open.get() && !owned.job.borrow().is_all_listed())
        .collect();
    if open.is_empty() {
        return;
    }
    let members = match members(node, Freshness::Linearizable).await {
        Ok(members) => members,
        Err(error) => {
            event!(warn, "batch jobs not handed over", error = error);
            return;
        }
    };
    let others: Vec<_> = members
        .iter()
        .filter(|member| **member != node.owner)
        .collect();
    for (index, owned) in open.iter().enumerate() {
        let start = rand::random_range(0..others.len().max(1));
        let Some(successor) = others.get((start + index) % others.len().max(1)) else {
            continue;
        };
        // The row stays locked during the handover, so that no commit of this node conflicts with
        // the write of the new owner.
        let _row = owned.row.lock().await;
        partial_outputs::store_failures(node, owned).await;
        let query = PeerRequest::TakeOver {
            job: owned.id.clone(),
            parts: owned.partial_outputs(),
        };
        let response = call_peer(node, successor.address, &query).await;
        event!(
            info,
            "batch job handed over",
            id = owned.id,
            to = successor.vm,
            response = format!("{response:?}")
        );
        node.jobs.remove(&owned.id);
        node.jobs
            .set_cached_owner(&owned.id, Some((*successor).clone()));
    }
}
