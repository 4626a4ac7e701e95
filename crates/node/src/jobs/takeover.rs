//! Batch jobs that change their owner.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use wisteriapoint_batch::{Job, JobRecord, JobState, Owner, PartialOutput};
use wisteriapoint_store::{
    CommitOutcome, Error, Freshness, Index, Transaction, TransactionalStore,
};

use super::owned::{Owned, OwnedRow};
use super::{keys, parts, read, run};
use crate::control::members;
use crate::dialect::Dialect;
use crate::event;
use crate::node::{Node, Stage};
use crate::peers::{Question, ask};

/// Time without an answer after which a write is looked for: most of what a slow store takes.
const ANSWER_PATIENCE: Duration = Duration::from_millis(300);
/// Times that a submission is looked up whose caller was told that it may be stored.
const MAX_RESOLUTIONS: u32 = 20;
/// Pause between these: a late write takes effect within some seconds.
const RESOLUTION_PAUSE: Duration = Duration::from_millis(500);

/// Pause between looks whether the node is ready.
const READY_PAUSE: Duration = Duration::from_millis(20);
/// Pause before the row of a batch job is read again after a failure.
const VERIFY_PAUSE: Duration = Duration::from_millis(300);

/// Reads the row of a batch job.
pub async fn read_state<D: Dialect>(
    node: &Node<D>,
    job: &str,
) -> Result<Option<(Index, JobState)>, Error> {
    read_state_as(node, job, Freshness::Linearizable).await
}

/// Reads the row of a batch job; a stale one may lack the batch job or name a former owner.
pub async fn read_state_as<D: Dialect>(
    node: &Node<D>,
    job: &str,
    freshness: Freshness,
) -> Result<Option<(Index, JobState)>, Error> {
    let row = node.store.row(&keys::state(job), freshness).await;
    node.note_store("state", &row);
    match row?.0 {
        Some(row) => match serde_json::from_slice(&row.value) {
            Ok(state) => Ok(Some((row.revision, state))),
            Err(error) => Err(Error::Malformed(error.to_string().into())),
        },
        None => Ok(None),
    }
}

/// Commits the next state of a batch job; reads the row meanwhile, should the answer be lost.
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
    let seen = async {
        loop {
            sleep(ANSWER_PATIENCE).await;
            match read_state(node, job).await {
                Ok(Some((revision, stored))) if stored == *state => return revision,
                _ => {}
            }
        }
    };
    tokio::select! {
        committed = node.store.commit(transaction) => committed,
        revision = seen => Ok(CommitOutcome::Done(revision)),
    }
}

/// Reads the submission of a batch job.
pub async fn read_record<D: Dialect>(
    node: &Node<D>,
    job: &str,
) -> Result<Option<JobRecord>, Box<str>> {
    let rows = node
        .store
        .range(&keys::record(job), Freshness::Linearizable)
        .await;
    node.note_store("record", &rows);
    let (rows, _) = rows.map_err(|error| error.to_string())?;
    if rows.is_empty() {
        return Ok(None);
    }
    let bytes: Vec<u8> = rows.into_iter().flat_map(|row| row.value).collect();
    let record = postcard::from_bytes(&bytes).map_err(|error| error.to_string())?;
    Ok(Some(record))
}

/// Takes a batch job over; gives whether this node owns it now or nothing is left to run.
///
/// `parts` are texts that the former owner gave.
pub async fn take_over<D: Dialect>(
    node: &Rc<Node<D>>,
    job: &str,
    parts: Vec<PartialOutput>,
) -> bool {
    match try_take_over(node, job, parts).await {
        Ok(is_taken) => is_taken,
        Err(why) => {
            event!(warn, "batch job not taken over", id = job, why = why);
            false
        }
    }
}

async fn try_take_over<D: Dialect>(
    node: &Rc<Node<D>>,
    job: &str,
    given: Vec<PartialOutput>,
) -> Result<bool, Box<str>> {
    if node.jobs.is_being_accepted(job) {
        return Ok(false);
    }
    let _accepting = node.jobs.begin_accepting(job);
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
    let Some(record) = read_record(node, job).await? else {
        return Err("submission missing".into());
    };
    let listed = read::listed(node, job).await?;
    let submission = D::submission(&record.body).map_err(|error| error.to_string())?;
    let from = state.owner.vm.clone();
    let taken = JobState {
        owner: node.owner.clone(),
        nonce: rand::random(),
        ..state
    };
    let value = serde_json::to_vec(&taken).map_err(|error| error.to_string())?;
    let transaction = Transaction::new()
        .with_expected(keys::state(job), revision)
        .with_put(keys::state(job), value);
    let committed = node.store.commit(&transaction).await;
    node.note_store("take-over", &committed);
    let revision = match committed.map_err(|error| error.to_string())? {
        CommitOutcome::Done(revision) => revision,
        CommitOutcome::Conflict | CommitOutcome::LeaseEnded => return Ok(false),
    };
    if listed.len() != taken.listed as usize {
        return Err("results and state differ".into());
    }
    let configuration = node.configuration().ok_or("no configuration")?;
    let route = configuration.route(&record.host, &record.path);
    let (max_attempts, retention_ms) = match route {
        Some(route) => (route.max_attempts, route.retention_ms),
        None => (1, 0),
    };
    let age_ms = node
        .clock
        .unix_ms()
        .saturating_sub(record.submitted_unix_ms);
    let give_up_at_ms = node.now_ms() + retention_ms.saturating_sub(age_ms);
    event!(
        info,
        "batch job taken over",
        id = job,
        from = from,
        listed = taken.listed,
        revision = revision.0
    );
    let state = taken;
    let new = Job::new(submission, max_attempts, give_up_at_ms).with_listed(listed);
    let owned = Owned::new(job, &record, new, OwnedRow { revision, state });
    owned.take_parts(given);
    owned.take_parts(parts::stored(node, job).await);
    node.jobs.insert(owned.clone());
    run::start(node, owned);
    Ok(true)
}

/// Takes over the open batch jobs whose owner is not among the live ones; gives whether none of
/// them is left.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn take_over_orphans<D: Dialect>(
    node: &Rc<Node<D>>,
    live: &BTreeSet<Owner>,
) -> Result<bool, Error> {
    take_over_all(node, |owner| !live.contains(owner)).await
}

/// Takes over the open batch jobs of an earlier run of the daemon on this VM, once it is ready.
pub async fn take_over_former<D: Dialect>(node: Rc<Node<D>>) {
    while node.stage.get() == Stage::Starting {
        sleep(READY_PAUSE).await;
    }
    let own = node.owner.clone();
    let is_former = |owner: &Owner| owner.vm == own.vm && owner.run != own.run;
    for _ in 0..MAX_RESOLUTIONS {
        match take_over_all(&node, is_former).await {
            Ok(true) => return,
            // A late write of the former run came between.
            Ok(false) => event!(info, "former batch jobs left"),
            Err(error) => event!(info, "former batch jobs not looked for", why = error),
        }
        node.health.pause(RESOLUTION_PAUSE).await;
    }
}

async fn take_over_all<D: Dialect>(
    node: &Rc<Node<D>>,
    is_gone: impl Fn(&Owner) -> bool,
) -> Result<bool, Error> {
    let rows = node
        .store
        .range(keys::STATES, Freshness::Linearizable)
        .await;
    node.note_store("states", &rows);
    let mut is_none_left = true;
    for row in rows?.0 {
        let Ok(state) = serde_json::from_slice::<JobState>(&row.value) else {
            event!(error, "state not understood", key = row.key);
            continue;
        };
        let is_orphan = state.open && state.listed < state.total && is_gone(&state.owner);
        match keys::job_of_state(&row.key) {
            Some(job) if is_orphan => {
                is_none_left &= take_over(node, job, Vec::new()).await;
            }
            _ => {}
        }
    }
    Ok(is_none_left)
}

/// Takes a batch job on, in the background, if the store says that this run owns it.
pub fn adopt_own<D: Dialect>(node: &Rc<Node<D>>, job: &str) {
    let (node, job) = (node.clone(), Box::<str>::from(job));
    tokio::task::spawn_local(async move { resolve_submission(&node, &job).await });
}

/// Takes on a submission whose write took effect after its caller was told that it may.
pub async fn resolve_submission<D: Dialect>(node: &Rc<Node<D>>, job: &str) {
    for _ in 0..MAX_RESOLUTIONS {
        match read_state(node, job).await {
            Ok(Some((_, state))) if state.owner == node.owner => {
                if take_over(node, job, Vec::new()).await {
                    return;
                }
            }
            Ok(Some(_)) => return,
            Ok(None) => {}
            Err(error) => event!(info, "submission not looked up", id = job, why = error),
        }
        sleep(RESOLUTION_PAUSE).await;
    }
    event!(info, "submission not stored", id = job);
}

/// Drops the batch jobs that another node has taken over or ended.
pub async fn verify_all<D: Dialect>(node: Rc<Node<D>>) {
    for owned in node.jobs.all() {
        while owned.is_open.get() && !owned.job.borrow().is_all_listed() {
            match read_state(&node, &owned.id).await {
                Ok(Some((_, state))) if state.owner == node.owner && state.open => break,
                Ok(_) => {
                    node.lose(&owned.id);
                }
                Err(error) => {
                    event!(info, "batch job not verified", id = owned.id, why = error);
                    node.health.pause(VERIFY_PAUSE).await;
                }
            }
        }
    }
    node.jobs.set_verified(true);
}

/// Gives the open batch jobs to other nodes.
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
            event!(warn, "batch jobs not handed over", why = error);
            return;
        }
    };
    let others: Vec<_> = members
        .iter()
        .filter(|member| **member != node.owner)
        .collect();
    for (place, owned) in open.iter().enumerate() {
        let start = rand::random_range(0..others.len().max(1));
        let Some(heir) = others.get((start + place) % others.len().max(1)) else {
            continue;
        };
        // The row stays locked while the heir takes it: no commit of this node crosses.
        let _row = owned.row.lock().await;
        let question = Question::Adopt {
            job: owned.id.clone(),
            parts: owned.parts(),
        };
        let reply = ask(node, heir.address, &question).await;
        event!(
            info,
            "batch job handed over",
            id = owned.id,
            to = heir.vm,
            reply = format!("{reply:?}")
        );
        node.jobs.remove(&owned.id);
        node.jobs.set_owner(&owned.id, Some((*heir).clone()));
    }
}
