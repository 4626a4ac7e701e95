//! Changes of the owner of a batch job.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom as _;
use tokio::task::JoinSet;
use tokio::time::sleep;
use wisteriapoint_batch::placement::assign_by_room;
use wisteriapoint_batch::{
    Job, JobState, Members, Owner, PartialOutput, RecordHeader, TakeOverReason,
};
use wisteriapoint_store::{
    CommitOutcome, Error, Freshness, Index, Transaction, TransactionalStore,
};

use super::body::{self, BodyError, JobBody, ReadRecord};
use super::owned::{OwnedJob, StateRow};
use super::record::SMALL_RECORD_BYTES;
use super::{keys, partial_outputs, read, run};
use crate::control::{members, watch};
use crate::dialect::Dialect;
use crate::event;
use crate::node::{Node, Stage};
use crate::peers::{PeerRequest, PeerResponse, call_peer_within};

/// Time without a response after which the row is read to determine whether a write took effect.
/// Most writes to a slow store finish sooner.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_millis(300);
/// Maximum number of attempts to acquire a batch job that this node may own in the store, and of
/// searches for the batch jobs of the previous run.
const MAX_ACQUIRE_ATTEMPTS: u32 = 20;
/// Pause between these attempts; a late write takes effect within some seconds.
const ACQUIRE_PAUSE: Duration = Duration::from_millis(500);

/// Time for another node to take over a batch job, which it reads from the store.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(3);
/// The same for a batch job that its owner hands over; the leader finds it if no node answers.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of nodes to which a batch job is handed over in turn.
const MAX_SUCCESSORS: usize = 3;
/// Time for the answer of a node that is asked for its free memory: some network hops.
const ROOM_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of nodes that are asked for it, so that the loss of a node costs no message to each
/// other one of a large fleet.
const MAX_ASKED_NODES: usize = 16;

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

/// Whether a node takes over a batch job that it has no free memory for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// It does not.
    Required,
    /// It does: it drops what it can read again, and then reads the bodies of items one by one.
    Optional,
}

/// Outcome of an attempt to take a batch job over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeOver {
    /// This node owns it now, or nothing is left to run.
    Settled,
    /// This node does not own it; another attempt may succeed.
    Failed,
    /// Its owner may be back, so the reason has to be established anew.
    ReasonLost,
}

/// Takes over a batch job for a reason.
///
/// `outputs` are partial outputs that the previous owner sent. A request of an earlier build states no
/// reason; the batch job is then taken only from an owner that is gone. A node that stops or has no lease
/// takes none.
pub async fn take_over<D: Dialect>(
    node: &Rc<Node<D>>,
    job: &str,
    outputs: Vec<PartialOutput>,
    room: Room,
    reason: Option<&TakeOverReason>,
) -> TakeOver {
    match try_take_over(node, job, outputs, room, reason).await {
        Ok(outcome) => outcome,
        Err(error) => {
            event!(warn, "batch job not taken over", id = job, error = error);
            TakeOver::Failed
        }
    }
}

async fn try_take_over<D: Dialect>(
    node: &Rc<Node<D>>,
    job: &str,
    outputs: Vec<PartialOutput>,
    room: Room,
    reason: Option<&TakeOverReason>,
) -> Result<TakeOver, Box<str>> {
    let may_take = node.stage.get() != Stage::Stopping && node.lease.is_valid();
    if !may_take || node.jobs.is_being_acquired(job) {
        return Ok(TakeOver::Failed);
    }
    let verification = node.jobs.verification();
    let acquisition = node.jobs.begin_acquiring(job);
    let state = read_state(node, job)
        .await
        .map_err(|error| error.to_string())?;
    let Some((revision, state)) = state else {
        return Ok(TakeOver::Failed);
    };
    let is_own = state.owner == node.owner;
    if !state.open || state.listed >= state.total || (is_own && node.jobs.get(job).is_some()) {
        return Ok(TakeOver::Settled);
    }
    let reason = match reason {
        Some(reason) => reason.clone(),
        None => find_reason(node, &state.owner).await?,
    };
    if !reason.is_against(&state.owner, &node.owner) {
        event!(
            info,
            "batch job not taken over; it has another owner by now",
            id = job,
            owner = state.owner.vm,
            reason = format!("{reason:?}")
        );
        return Ok(TakeOver::Failed);
    }
    let budget = &node.intake.budget;
    let record_bytes = state.record_bytes.unwrap_or(0);
    let has_room = record_bytes <= SMALL_RECORD_BYTES.max(budget.free_bytes());
    if room == Room::Required && !has_room {
        return Err("no free memory for it".into());
    }
    // It stays so, and another attempt would read the same rows again.
    let give_up = |reason: &dyn std::fmt::Display| {
        node.jobs.record_unreadable(job, revision);
        event!(
            error,
            "submission malformed; batch job not taken over",
            id = job,
            reason = reason
        );
        Ok(TakeOver::Settled)
    };
    let record = match body::read_record(&**node, (budget, node.now_ms()), job).await {
        Ok(Some(record)) => record,
        Ok(None) => return give_up(&"it is missing"),
        Err(BodyError::Store(Error::Malformed(reason))) => return give_up(&reason),
        Err(error) => return Err(error.to_string().into()),
    };
    let ReadRecord {
        header,
        layout,
        body,
    } = record;
    let submission = match D::parse_submission(&body, budget.max_reserved_bytes()) {
        Ok(submission) => submission,
        Err(error) if error.is_too_large() => return Err(error.to_string().into()),
        Err(error) => return give_up(&error),
    };
    let memory = budget.reserve(submission.memory_bytes());
    let memory = memory.map_err(|_| "no memory for its items")?;
    let body = JobBody::new(layout, budget.cache(body));
    let listed = read::listed_results(node, job).await?;
    let (max_failures, retention_ms) = read_limits(node, &header).await?;
    let from = state.owner.vm.clone();
    let new_state = JobState {
        owner: node.owner.clone(),
        nonce: rand::random(),
        ..state
    };
    let value = serde_json::to_vec(&new_state).map_err(|error| error.to_string())?;
    let member = reason.member_condition();
    let mut transaction = Transaction::new()
        .with_expected(keys::state(job), revision)
        .with_put(keys::state(job), value);
    if let Some((vm, member_revision)) = member {
        transaction = transaction.with_expected(members::member_key(vm), Index(member_revision));
    }
    if listed.len() != new_state.listed as usize {
        return Err("number of stored results differs from the state".into());
    }
    let committed = node.store.commit(&transaction).await;
    node.record_store_call("take-over", &committed);
    let revision = match committed {
        Ok(CommitOutcome::Done(revision)) => revision,
        Ok(CommitOutcome::Conflict | CommitOutcome::LeaseEnded) => {
            // It may be this write that the second of two paths to the store conflicts with.
            spawn_acquire(node, job, None);
            return Ok(after_conflict(node, job, member).await);
        }
        Err(error) => {
            if error.may_have_taken_effect() {
                spawn_acquire(node, job, Some(revision));
            }
            return Err(error.to_string().into());
        }
    };
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
    let row = StateRow { revision, state };
    let owned = OwnedJob::new(job, &header, (body, memory), resumed_job, row);
    owned.merge_partial_outputs(outputs);
    owned.merge_partial_outputs(partial_outputs::read_stored(node, job).await);
    owned.restore_failures(partial_outputs::read_failures(node, job).await);
    owned.count_memory();
    if acquisition.is_ended() {
        return Ok(TakeOver::Settled);
    }
    insert(node, owned, verification).await;
    Ok(TakeOver::Settled)
}

/// Begins to run a batch job that this node owns according to a write, unless another one owns it by now.
///
/// `verification` is the number of the last verification before the write. A later one may have missed the
/// batch job, which was not inserted yet.
pub async fn insert<D: Dialect>(
    node: &Rc<Node<D>>,
    owned: Rc<OwnedJob>,
    mut verification: u64,
) -> bool {
    loop {
        let last = node.jobs.verification();
        if last == verification {
            node.jobs.insert(owned.clone());
            run::start_tasks(node, owned);
            return true;
        }
        match read_state(node, &owned.id).await {
            Ok(Some((_, state))) if state.owner == node.owner && state.open => verification = last,
            Ok(_) => {
                event!(
                    warn,
                    "batch job taken over or ended by another node before it was begun",
                    id = owned.id
                );
                return false;
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

/// Returns the reason to take batch jobs from an owner that is gone.
///
/// # Errors
///
/// Fails if the owner is a member, or the store does not answer.
async fn find_reason<D: Dialect>(
    node: &Node<D>,
    owner: &Owner,
) -> Result<TakeOverReason, Box<str>> {
    let (members, _) = members::members_with_revision(node, Freshness::Linearizable)
        .await
        .map_err(|error| error.to_string())?;
    let reason = members.reason_against(owner);
    Ok(reason.ok_or("its owner is a member, and the request states no reason")?)
}

/// Returns whether a take-over conflicted with the member row on which its reason depends.
async fn after_conflict<D: Dialect>(
    node: &Node<D>,
    job: &str,
    member: Option<(&str, u64)>,
) -> TakeOver {
    let Some((vm, expected)) = member else {
        return TakeOver::Failed;
    };
    let row = node
        .store
        .row(&members::member_key(vm), Freshness::Linearizable)
        .await;
    node.record_store_call("read-member", &row);
    let stored = match row {
        Ok((row, _)) => row.map_or(0, |row| row.revision.0),
        Err(_) => return TakeOver::Failed,
    };
    event!(
        info,
        "take-over of a batch job conflicts",
        id = job,
        vm = vm,
        member_revision = stored,
        expected_member_revision = expected
    );
    match stored == expected {
        true => TakeOver::Failed,
        false => TakeOver::ReasonLost,
    }
}

/// Returns the number of failures and the time in milliseconds after which the items of a batch job
/// may be abandoned.
///
/// # Errors
///
/// Fails if the configuration can't be read from the store.
async fn read_limits<D: Dialect>(
    node: &Node<D>,
    header: &RecordHeader,
) -> Result<(u32, u64), Box<str>> {
    // At least as new as the configuration under which the batch job was accepted. The one in force may
    // be older, and then lack its route or have lower limits.
    watch::check_configuration(node)
        .await
        .map_err(|error| error.to_string())?;
    let configuration = node.configuration().ok_or("no configuration")?;
    Ok(match configuration.route(&header.host, &header.path) {
        Some(route) => (route.max_attempts, route.retention_ms),
        None => (1, 0),
    })
}

/// Has the open batch jobs whose owner is not live taken over; returns the number of those that are left.
///
/// This node takes over all of them if it has the memory, and else those that it and the others have the
/// memory for are spread. It also takes over what nobody has free memory for.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn take_over_ownerless_jobs<D: Dialect>(
    node: &Rc<Node<D>>,
    live: &Members,
) -> Result<usize, Error> {
    let jobs = read_ownerless(node, |owner| !live.contains(owner)).await?;
    let sizes_bytes: Vec<_> = jobs.iter().map(|job| job.record_bytes).collect();
    let own_free_bytes = node.intake.budget.free_bytes();
    let mut rooms = vec![(node.owner.address, own_free_bytes)];
    if sizes_bytes.iter().sum::<usize>() > own_free_bytes {
        rooms.extend(ask_rooms(node, live).await);
        event!(
            info,
            "batch jobs without an owner exceed the free memory; spreading them",
            jobs = jobs.len(),
            bytes = sizes_bytes.iter().sum::<usize>(),
            free_bytes = format!("{rooms:?}")
        );
    }
    let assigned = assign_by_room(&sizes_bytes, &rooms);
    let mut jobs_of: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (job, assigned) in jobs.into_iter().zip(assigned) {
        let taker = assigned.unwrap_or(node.owner.address);
        if let Some(reason) = live.reason_against(&job.owner) {
            jobs_of.entry(taker).or_default().push((job.id, reason));
        }
    }
    let mut takers = JoinSet::new();
    for (taker, jobs) in jobs_of {
        takers.spawn_local(assign(node.clone(), taker, jobs));
    }
    let mut left = 0;
    while let Some(taken) = takers.join_next().await {
        // The batch jobs of a task that panics are found again.
        left += taken.unwrap_or(1);
    }
    Ok(left)
}

/// Has batch jobs taken over by a node one after the other; returns the number of those that are left.
async fn assign<D: Dialect>(
    node: Rc<Node<D>>,
    taker: SocketAddr,
    jobs: Vec<(Box<str>, TakeOverReason)>,
) -> usize {
    let mut left = 0;
    let count = jobs.len();
    let mut lost: Vec<TakeOverReason> = Vec::new();
    for (number, (job, reason)) in jobs.into_iter().enumerate() {
        let rest = count - number;
        if lost.contains(&reason) {
            left += 1;
            continue;
        }
        let outcome = match taker == node.owner.address {
            true => take_over(&node, &job, Vec::new(), Room::Optional, Some(&reason)).await,
            false => {
                let request = PeerRequest::TakeOverFrom {
                    job,
                    parts: Vec::new(),
                    reason: reason.clone(),
                };
                match request_take_over(&node, taker, request, TAKE_OVER_TIMEOUT).await {
                    Some(PeerResponse::Done) => TakeOver::Settled,
                    Some(PeerResponse::ReasonLost) => TakeOver::ReasonLost,
                    Some(_) => TakeOver::Failed,
                    // It may be gone as well, and each further one would wait as long.
                    None => return left + rest,
                }
            }
        };
        left += usize::from(outcome != TakeOver::Settled);
        if outcome == TakeOver::ReasonLost {
            lost.push(reason);
        }
    }
    left
}

/// Asks another node to take a batch job over; returns `None` if there is no response in time.
///
/// A node of an earlier build closes the connection of a request that it does not know.
async fn request_take_over<D: Dialect>(
    node: &Node<D>,
    taker: SocketAddr,
    request: PeerRequest,
    timeout: Duration,
) -> Option<PeerResponse> {
    let error = match node.peers.call(taker, &request, timeout).await {
        Ok(response) => return Some(response),
        Err(error) => error,
    };
    event!(info, "request to peer failed", peer = taker, error = error);
    match request {
        PeerRequest::TakeOverFrom { job, parts, .. } if error.is_closed() => {
            let request = PeerRequest::TakeOver { job, parts };
            call_peer_within(node, taker, &request, timeout).await
        }
        _ => None,
    }
}

/// Returns the free memory of other nodes that answer, in bytes.
async fn ask_rooms<D: Dialect>(node: &Rc<Node<D>>, live: &Members) -> Vec<(SocketAddr, usize)> {
    let others = live.runs().filter(|owner| **owner != node.owner);
    let others: Vec<_> = others.map(|owner| owner.address).collect();
    let mut asked = JoinSet::new();
    for address in others.sample(&mut rand::rng(), MAX_ASKED_NODES).copied() {
        let node = node.clone();
        asked.spawn_local(async move {
            let request = PeerRequest::FreeMemory;
            let response = call_peer_within(&node, address, &request, ROOM_TIMEOUT).await;
            match response {
                Some(PeerResponse::FreeMemory { bytes }) => Some((address, bytes)),
                _ => None,
            }
        });
    }
    let mut rooms = Vec::new();
    while let Some(answer) = asked.join_next().await {
        rooms.extend(answer.ok().flatten());
    }
    rooms
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

/// Reads the states of all batch jobs, with the id of each and the revision of its row.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn read_states<D: Dialect>(
    node: &Node<D>,
    freshness: Freshness,
) -> Result<Vec<(Box<str>, Index, JobState)>, Error> {
    let rows = node.store.range(keys::STATE_PREFIX, freshness).await;
    let call = match freshness {
        Freshness::Linearizable => "states",
        Freshness::Stale => "search-states",
    };
    node.record_store_call(call, &rows);
    let mut jobs = Vec::new();
    for row in rows?.0 {
        match serde_json::from_slice(&row.value) {
            Ok(state) => {
                let id = keys::job_of_state(&row.key);
                jobs.extend(id.map(|id| (id.into(), row.revision, state)));
            }
            Err(_) if !node.malformed_rows.is_new(&row) => {}
            Err(error) => event!(
                error,
                "batch job state malformed; skipping the batch job",
                key = row.key,
                error = error
            ),
        }
    }
    Ok(jobs)
}

/// Returns `true` if items of a batch job may run and its owner is absent.
pub fn is_ownerless<D: Dialect>(
    node: &Node<D>,
    (id, revision, state): &(Box<str>, Index, JobState),
    is_absent_owner: impl Fn(&Owner) -> bool,
) -> bool {
    state.open
        && state.listed < state.total
        && is_absent_owner(&state.owner)
        && !node.jobs.is_unreadable(id, *revision)
}

async fn take_over_matching<D: Dialect>(
    node: &Rc<Node<D>>,
    is_absent_owner: impl Fn(&Owner) -> bool,
) -> Result<bool, Error> {
    let mut is_none_left = true;
    for job in read_ownerless(node, is_absent_owner).await? {
        let reason = Some(&TakeOverReason::EarlierRun);
        let outcome = take_over(node, &job.id, Vec::new(), Room::Optional, reason).await;
        is_none_left &= outcome == TakeOver::Settled;
    }
    Ok(is_none_left)
}

/// An open batch job according to its state row.
struct OpenJob {
    id: Box<str>,
    owner: Owner,
    record_bytes: usize,
}

/// Returns the open batch jobs whose owner is absent, the smallest first.
async fn read_ownerless<D: Dialect>(
    node: &Node<D>,
    is_absent_owner: impl Fn(&Owner) -> bool,
) -> Result<Vec<OpenJob>, Error> {
    let states = read_states(node, Freshness::Linearizable).await?;
    let ownerless = states
        .into_iter()
        .filter(|job| is_ownerless(node, job, &is_absent_owner));
    let mut jobs: Vec<_> = ownerless
        .map(|(id, _, state)| OpenJob {
            id,
            record_bytes: state.record_bytes.unwrap_or(0),
            owner: state.owner,
        })
        .collect();
    jobs.sort_by_key(|job| job.record_bytes);
    Ok(jobs)
}

/// Starts a task that acquires a batch job if this run owns it according to the store.
pub fn spawn_acquire_own<D: Dialect>(node: &Rc<Node<D>>, job: &str) {
    spawn_acquire(node, job, None);
}

/// As [`spawn_acquire_own`]; `replaced` is the revision of the state row that a write without an answer
/// replaces, if it takes effect.
fn spawn_acquire<D: Dialect>(node: &Rc<Node<D>>, job: &str, replaced: Option<Index>) {
    let (node, job) = (node.clone(), Box::<str>::from(job));
    tokio::task::spawn_local(async move { acquire_own(&node, &job, replaced).await });
}

/// Acquires a batch job that this run owns according to the store.
///
/// This is the case if the write of a submission or a take-over took effect after its caller received an
/// ambiguous outcome. The row is read repeatedly, since the write may not have taken effect yet.
async fn acquire_own<D: Dialect>(node: &Rc<Node<D>>, job: &str, replaced: Option<Index>) {
    for _ in 0..MAX_ACQUIRE_ATTEMPTS {
        match read_state(node, job).await {
            Ok(Some((_, state))) if state.owner == node.owner => {
                let reason = Some(&TakeOverReason::OwnRow);
                let outcome = take_over(node, job, Vec::new(), Room::Optional, reason).await;
                if outcome == TakeOver::Settled {
                    return;
                }
            }
            Ok(Some((revision, _))) if replaced == Some(revision) => {}
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
    let verification = node.jobs.begin_verification();
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
    // A later one reads everything again.
    if node.jobs.verification() == verification {
        node.jobs.set_verified(true);
    }
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
    let members = match members::members(node, Freshness::Linearizable).await {
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
    for owned in &open {
        hand_over_job(node, owned, &others).await;
    }
}

async fn hand_over_job<D: Dialect>(node: &Rc<Node<D>>, owned: &OwnedJob, others: &[&Owner]) {
    // The row stays locked during the handover, so that no commit of this node conflicts with the write
    // of the new owner.
    let _row = owned.row.lock().await;
    partial_outputs::store_failures(node, owned).await;
    owned.is_handed_over.set(true);
    for successor in others.sample(&mut rand::rng(), MAX_SUCCESSORS) {
        let request = PeerRequest::TakeOverFrom {
            job: owned.id.clone(),
            parts: owned.partial_outputs(),
            reason: TakeOverReason::HandedOver {
                owner: node.owner.clone(),
            },
        };
        let address = successor.address;
        let response = request_take_over(node, address, request, HAND_OVER_TIMEOUT).await;
        event!(
            info,
            "batch job handed over",
            id = owned.id,
            to = successor.vm,
            response = format!("{response:?}")
        );
        // A node without an answer may have taken it over.
        if !matches!(response, Some(PeerResponse::Failed)) {
            node.jobs
                .set_cached_owner(&owned.id, Some((*successor).clone()));
            break;
        }
    }
    node.jobs.remove(&owned.id);
}
