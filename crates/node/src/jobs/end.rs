//! Ends of batch jobs, which every node accepts, and of which the owner learns.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wisteriapoint_batch::JobState;
use wisteriapoint_store::{Backoff, Change, CommitOutcome, Index, Transaction, TransactionalStore};

use super::read::{Lookup, OwnerResponse, query_owner};
use super::takeover::read_state;
use super::{commit, keys};
use crate::control::watch::{RowUpdate, read_all, read_changes_within};
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;
use crate::peers::{PeerRequest, PeerResponse};

/// Timeout for the end of a batch job; after that the caller receives "the store does not answer".
const END_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of attempts to write the end of a batch job while other writes change its row.
const MAX_END_ATTEMPTS: u32 = 6;
/// Longest wait of a watch of ends. Its connection may deliver nothing any more; the time limit of the call
/// and a read of all rows follow, before an item of an ended batch job may no longer start.
const ENDS_WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Interval between searches for ended batch jobs in memory.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between these attempts.
const END_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of rows that one transaction of the store removes.
const MAX_REMOVED_ROWS: usize = 32;

/// Ends a batch job at its owner, or in the store if the owner does not answer.
pub async fn end<D: Dialect>(node: &Rc<Node<D>>, (host, job): (&str, &str)) -> Lookup<()> {
    let ended = {
        let (node, job) = (node.clone(), Box::<str>::from(job));
        let host = Box::<str>::from(host);
        // A separate task, so that the write continues if the caller disconnects.
        spawn_local(async move {
            match node.jobs.get(&job) {
                Some(owned) => commit::end_owned(&node, &owned).await,
                None => end_elsewhere(&node, (&host, &job)).await,
            }
        })
    };
    match timeout(END_TIMEOUT, ended).await {
        Ok(Ok(lookup)) => lookup,
        Ok(Err(error)) => Lookup::Unavailable(error.to_string().into()),
        Err(_) => Lookup::Unavailable("the store does not answer".into()),
    }
}

/// Ends a batch job that this node does not own.
pub async fn end_elsewhere<D: Dialect>(
    node: &Rc<Node<D>>,
    (host, job): (&str, &str),
) -> Lookup<()> {
    let query = PeerRequest::End { job: job.into() };
    match query_owner(node, (host, job), &query).await {
        Lookup::Found(OwnerResponse::Answered(PeerResponse::Done)) => Lookup::Found(()),
        Lookup::Found(_) => end_in_store(node, job).await,
        Lookup::NotFound => Lookup::NotFound,
        Lookup::Unavailable(reason) => Lookup::Unavailable(reason),
    }
}

/// Ends a batch job in the store, with a row that tells its owner.
///
/// The owner may be alive and unreachable from here, or not run the batch job yet.
async fn end_in_store<D: Dialect>(node: &Node<D>, job: &str) -> Lookup<()> {
    for _ in 0..MAX_END_ATTEMPTS {
        let (revision, state) = match read_state(node, job).await {
            Ok(None) => return Lookup::NotFound,
            Ok(Some((_, state))) if !state.open => return Lookup::Found(()),
            Ok(Some(row)) => row,
            Err(error) => {
                event!(warn, "end of batch job not stored", id = job, error = error);
                sleep(END_RETRY_PAUSE).await;
                continue;
            }
        };
        let ended = JobState {
            open: false,
            nonce: rand::random(),
            ..state
        };
        let value = match serde_json::to_vec(&ended) {
            Ok(value) => value,
            Err(error) => return Lookup::Unavailable(error.to_string().into()),
        };
        let transaction = Transaction::new()
            .with_expected(keys::state(job), revision)
            .with_put(keys::state(job), value)
            .with_put(keys::end(ended.owner.run, job), Vec::new());
        let committed = node.store.commit(&transaction).await;
        node.record_store_call("end", &committed);
        match committed {
            Ok(CommitOutcome::Done(_)) => {
                event!(
                    info,
                    "batch job ended",
                    id = job,
                    by_owner = false,
                    owner = ended.owner.vm
                );
                return Lookup::Found(());
            }
            Ok(_) => {}
            Err(error) => event!(warn, "end of batch job not stored", id = job, error = error),
        }
        sleep(END_RETRY_PAUSE).await;
    }
    Lookup::Unavailable("the store does not answer".into())
}

/// Forgets the batch jobs of this node that were ended or done long enough ago; their results are read from
/// the store until its rows are removed.
pub async fn forget_ended<D: Dialect>(node: Rc<Node<D>>) {
    let retention_ms = node.settings.bounds.ended_retention_ms();
    loop {
        sleep(FORGET_INTERVAL).await;
        let now_ms = node.now_ms();
        for owned in node.jobs.all() {
            let is_done = !owned.is_open.get() || owned.job.borrow().is_all_listed();
            let since_ms = match owned.done_at_ms.get() {
                Some(since_ms) => since_ms,
                None if is_done => {
                    owned.done_at_ms.set(Some(now_ms));
                    now_ms
                }
                None => continue,
            };
            if now_ms >= since_ms.saturating_add(retention_ms) {
                event!(debug, "ended batch job forgotten", id = owned.id);
                node.jobs.remove(&owned.id);
            }
        }
    }
}

/// Removes the rows of a batch job whose state row has a revision; returns `true` if all are removed.
pub async fn remove_job<D: Dialect>(
    node: &Node<D>,
    (job, revision, state): &(Box<str>, Index, JobState),
) -> bool {
    let parts = match state.record_bytes {
        Some(record_bytes) => record_bytes.div_ceil(keys::MAX_PART_BYTES),
        // A row of an earlier build, which stored all parts in one transaction.
        None => MAX_REMOVED_ROWS,
    };
    let parts = (0..parts).map(|part| keys::record_part(job, part));
    let results = (1..=state.commits).map(|commit| keys::results_of_commit(job, commit));
    let others = [
        keys::partial_outputs(job),
        keys::failures(job),
        keys::end(state.owner.run, job),
        // Last, so that the other rows are found again until they are removed.
        keys::state(job),
    ];
    let rows: Vec<Box<str>> = parts.chain(results).chain(others).map(Into::into).collect();
    for rows in rows.chunks(MAX_REMOVED_ROWS - 1) {
        let transaction = Transaction {
            removes: rows.to_vec(),
            ..Transaction::new().with_expected(keys::state(job), *revision)
        };
        let committed = node.store.commit(&transaction).await;
        node.record_store_call("remove", &committed);
        if !matches!(committed, Ok(CommitOutcome::Done(_))) {
            event!(
                info,
                "rows of an ended batch job not removed",
                id = job,
                result = format!("{committed:?}")
            );
            return false;
        }
    }
    event!(info, "rows of an ended batch job removed", id = job);
    true
}

/// Watches for batch jobs of this node that other nodes have ended, while any is open.
pub async fn watch_ends<D: Dialect>(node: Rc<Node<D>>) {
    let prefix = keys::ends_prefix(node.owner.run);
    let apply = |rows: RowUpdate<'_>| apply_ends(&node, &prefix, rows);
    let mut backoff = Backoff::new();
    let mut after = None;
    loop {
        if node.jobs.first_open_revision().is_none() {
            node.jobs.inserted().await;
            after = node.jobs.first_open_revision();
        }
        let result = match after {
            Some(revision) => {
                read_changes_within(&node, &prefix, revision, ENDS_WATCH_WAIT, &apply).await
            }
            None => read_all(&node, &prefix, &apply).await,
        };
        after = match result {
            Ok(revision) => {
                backoff = Backoff::new();
                Some(revision)
            }
            Err(error) => {
                event!(
                    info,
                    "watch of ended batch jobs failed; reading all",
                    error = error
                );
                if !error.is_history_gone() {
                    node.store_health.pause(backoff.next_pause()).await;
                }
                None
            }
        };
    }
}

fn apply_ends<D: Dialect>(node: &Rc<Node<D>>, prefix: &str, rows: RowUpdate<'_>) {
    let keys: Vec<_> = match rows {
        RowUpdate::All(rows, _) => rows.iter().map(|row| row.key.clone()).collect(),
        RowUpdate::Changes(changes, _) => {
            let written = changes.iter().filter_map(|change| match change {
                Change::Written(row) => Some(row.key.clone()),
                Change::Removed(_) => None,
            });
            written.collect()
        }
    };
    for job in keys.iter().filter_map(|key| key.strip_prefix(prefix)) {
        node.jobs.record_end(job);
        if node.jobs.get(job).is_some() {
            node.drop_job(job);
        }
    }
    for keys in keys.chunks(MAX_REMOVED_ROWS) {
        spawn_local(remove_rows(node.clone(), keys.to_vec()));
    }
}

/// Removes rows that have been applied; one that stays has no further effect.
async fn remove_rows<D: Dialect>(node: Rc<Node<D>>, keys: Vec<Box<str>>) {
    let transaction = Transaction {
        removes: keys,
        ..Transaction::new()
    };
    let committed = node.store.commit(&transaction).await;
    node.record_store_call("end", &committed);
    if let Err(error) = committed {
        event!(info, "row of an ended batch job not removed", error = error);
    }
}
