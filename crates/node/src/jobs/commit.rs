//! Commits of results and ends of batch jobs to the store.

use std::rc::Rc;

use tokio::time::sleep_until;
use wisteriapoint_batch::{CommitBatch, JobState};
use wisteriapoint_store::{Backoff, CommitOutcome, Transaction};

use super::owned::StateRow;
use super::{Lookup, OwnedJob, end, keys, takeover};
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// Outcome of a write of a batch job's state row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteOutcome {
    Written,
    /// Another node owns the batch job, or another write has ended it.
    ///
    /// Also the outcome for a state or results that cannot be encoded, as they cannot be stored.
    OwnershipLost,
}

/// Commits results when they are due, until the batch job is closed or all results are listed.
pub async fn commit_results<D: Dialect>(node: Rc<Node<D>>, owned: Rc<OwnedJob>) {
    while owned.is_open.get() && !owned.job.borrow().is_all_listed() {
        let commit_at_ms = owned.job.borrow().commit_at_ms();
        match commit_at_ms {
            Some(at_ms) => tokio::select! {
                () = sleep_until(node.clock.instant_at(at_ms)) => {}
                () = owned.item_finished.notified() => {}
            },
            None => owned.item_finished.notified().await,
        }
        let batch = owned.job.borrow_mut().begin_commit(node.now_ms());
        if let Some(batch) = batch
            && commit_batch(&node, &owned, &batch).await == WriteOutcome::OwnershipLost
        {
            node.drop_job(&owned.id);
            return;
        }
    }
}

async fn commit_batch<D: Dialect>(
    node: &Node<D>,
    owned: &OwnedJob,
    batch: &CommitBatch,
) -> WriteOutcome {
    let mut row = owned.row.lock().await;
    let state = JobState {
        listed: batch.first + batch.results.len() as u32,
        commits: row.state.commits + 1,
        nonce: rand::random(),
        ..row.state.clone()
    };
    let results = match postcard::to_stdvec(&batch.results) {
        Ok(results) => results,
        Err(error) => {
            event!(
                error,
                "batch job results could not be encoded; abandoning the batch job",
                id = owned.id,
                error = error
            );
            return WriteOutcome::OwnershipLost;
        }
    };
    let key = keys::results_of_commit(&owned.id, state.commits);
    let outcome = write_state(node, owned, &mut row, state, |transaction| {
        transaction.with_put(key, results)
    })
    .await;
    if outcome == WriteOutcome::Written {
        owned.job.borrow_mut().finish_commit();
        owned.count_memory();
        if owned.job.borrow().is_all_listed() {
            // Bodies are read of unlisted items only.
            owned.body.release();
        }
        owned.results_listed.notify_waiters();
        event!(
            info,
            "results listed",
            id = owned.id,
            from = batch.first,
            count = batch.results.len(),
            revision = row.revision.0,
        );
    }
    outcome
}

/// Ends a batch job that this node owns, or has owned until another node took it over unnoticed.
pub async fn end_owned<D: Dialect>(node: &Rc<Node<D>>, owned: &OwnedJob) -> Lookup<()> {
    owned.close();
    let mut row = owned.row.lock().await;
    if !row.state.open {
        return Lookup::Found(());
    }
    let state = JobState {
        open: false,
        nonce: rand::random(),
        ..row.state.clone()
    };
    let outputs_key = keys::partial_outputs(&owned.id);
    let failures_key = keys::failures(&owned.id);
    let outcome = write_state(node, owned, &mut row, state, |transaction| {
        transaction
            .with_remove(outputs_key)
            .with_remove(failures_key)
    })
    .await;
    match outcome {
        WriteOutcome::Written => {
            event!(info, "batch job ended", id = owned.id, by_owner = true);
            Lookup::Found(())
        }
        WriteOutcome::OwnershipLost => {
            drop(row);
            node.drop_job(&owned.id);
            end::end_elsewhere(node, (&owned.host, &owned.id)).await
        }
    }
}

/// Writes the next state of a batch job, and retries until the outcome is definite.
///
/// Every retry sends the same transaction, since an earlier copy of it may still take effect.
async fn write_state<D: Dialect>(
    node: &Node<D>,
    owned: &OwnedJob,
    row: &mut StateRow,
    state: JobState,
    add_writes: impl FnOnce(Transaction) -> Transaction,
) -> WriteOutcome {
    let key = keys::state(&owned.id);
    let value = match serde_json::to_vec(&state) {
        Ok(value) => value,
        Err(error) => {
            event!(
                error,
                "batch job state could not be encoded; abandoning the batch job",
                id = owned.id,
                error = error
            );
            return WriteOutcome::OwnershipLost;
        }
    };
    let transaction = Transaction::new()
        .with_expected(key.as_str(), row.revision)
        .with_put(key.as_str(), value);
    let transaction = add_writes(transaction);
    let mut backoff = Backoff::new();
    loop {
        let committed = takeover::commit_state(node, &owned.id, &transaction, &state).await;
        node.record_store_call("commit", &committed);
        match committed {
            Ok(CommitOutcome::Done(revision)) => {
                *row = StateRow { revision, state };
                return WriteOutcome::Written;
            }
            Ok(CommitOutcome::Conflict | CommitOutcome::LeaseEnded) => {
                match takeover::read_state(node, &owned.id).await {
                    Ok(Some((revision, stored))) if stored == state => {
                        *row = StateRow { revision, state };
                        return WriteOutcome::Written;
                    }
                    Ok(_) => return WriteOutcome::OwnershipLost,
                    Err(error) => event!(
                        warn,
                        "batch job state not read after a write conflict; retrying",
                        id = owned.id,
                        error = error
                    ),
                }
            }
            Err(error) => {
                event!(
                    warn,
                    "batch job commit failed; retrying",
                    id = owned.id,
                    commit = state.commits,
                    error = error
                );
            }
        }
        node.store_health.pause(backoff.next_pause()).await;
    }
}
