//! Results and ends of batch jobs on their way into the store.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep_until, timeout};
use wisteriapoint_batch::{CommitBatch, JobState};
use wisteriapoint_store::{Backoff, CommitOutcome, Transaction};

use super::owned::OwnedRow;
use super::{Owned, keys, takeover};
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// Time after which a caller that ends a batch job is told that the store does not answer.
const END_TIMEOUT: Duration = Duration::from_secs(3);

/// What became of a change of a batch job's row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Changed {
    Done,
    /// Another node owns the batch job, or it has ended.
    Lost,
}

/// Commits results as they become due, until the batch job is closed or fully listed.
pub async fn run<D: Dialect>(node: Rc<Node<D>>, owned: Rc<Owned>) {
    while owned.is_open.get() && !owned.job.borrow().is_all_listed() {
        let commit_at_ms = owned.job.borrow().commit_at_ms();
        match commit_at_ms {
            Some(at_ms) => tokio::select! {
                () = sleep_until(node.clock.at(at_ms)) => {}
                () = owned.finished.notified() => {}
            },
            None => owned.finished.notified().await,
        }
        let batch = owned.job.borrow_mut().begin_commit(node.now_ms());
        if let Some(batch) = batch
            && commit(&node, &owned, &batch).await == Changed::Lost
        {
            node.lose(&owned.id);
            return;
        }
    }
}

async fn commit<D: Dialect>(node: &Node<D>, owned: &Owned, batch: &CommitBatch) -> Changed {
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
            event!(error, "results not encoded", id = owned.id, why = error);
            return Changed::Lost;
        }
    };
    let key = keys::results_of(&owned.id, state.commits);
    let changed = change(node, owned, &mut row, state, |transaction| {
        transaction.with_put(key, results)
    })
    .await;
    if changed == Changed::Done {
        owned.job.borrow_mut().finish_commit();
        owned.listed.notify_waiters();
        event!(
            info,
            "results listed",
            id = owned.id,
            from = batch.first,
            count = batch.results.len(),
            revision = row.revision.0,
        );
    }
    changed
}

/// Ends a batch job of this node; gives whether the store has it.
pub async fn end<D: Dialect>(node: &Rc<Node<D>>, owned: &Rc<Owned>) -> bool {
    owned.close();
    let (node, owned) = (node.clone(), owned.clone());
    // Goes on if the caller leaves.
    let ended = tokio::task::spawn_local(async move {
        let mut row = owned.row.lock().await;
        if !row.state.open {
            return true;
        }
        let state = JobState {
            open: false,
            nonce: rand::random(),
            ..row.state.clone()
        };
        let parts = keys::parts(&owned.id);
        let changed = change(&node, &owned, &mut row, state, |transaction| {
            transaction.with_remove(parts)
        })
        .await;
        event!(
            info,
            "batch job ended",
            id = owned.id,
            by_owner = changed == Changed::Done
        );
        match changed {
            Changed::Done => true,
            Changed::Lost => {
                drop(row);
                node.lose(&owned.id);
                super::read::end_in_store(&node, &owned.id).await.is_some()
            }
        }
    });
    matches!(timeout(END_TIMEOUT, ended).await, Ok(Ok(true)))
}

/// Writes the next state of a batch job, until it is known whether that took place.
///
/// The transaction stays the same: an earlier copy of it may still take effect.
async fn change<D: Dialect>(
    node: &Node<D>,
    owned: &Owned,
    row: &mut OwnedRow,
    state: JobState,
    add: impl FnOnce(Transaction) -> Transaction,
) -> Changed {
    let key = keys::state(&owned.id);
    let value = match serde_json::to_vec(&state) {
        Ok(value) => value,
        Err(error) => {
            event!(error, "state not encoded", id = owned.id, why = error);
            return Changed::Lost;
        }
    };
    let transaction = Transaction::new()
        .with_expected(key.as_str(), row.revision)
        .with_put(key.as_str(), value);
    let transaction = add(transaction);
    let mut backoff = Backoff::new();
    loop {
        let committed = takeover::commit_state(node, &owned.id, &transaction, &state).await;
        node.note_store("commit", &committed);
        match committed {
            Ok(CommitOutcome::Done(revision)) => {
                *row = OwnedRow { revision, state };
                return Changed::Done;
            }
            Ok(CommitOutcome::Conflict | CommitOutcome::LeaseEnded) => {
                match takeover::read_state(node, &owned.id).await {
                    Ok(Some((revision, stored))) if stored == state => {
                        *row = OwnedRow { revision, state };
                        return Changed::Done;
                    }
                    Ok(_) => return Changed::Lost,
                    Err(error) => event!(warn, "conflict not resolved", id = owned.id, why = error),
                }
            }
            Err(error) => {
                event!(
                    warn,
                    "commit failed",
                    id = owned.id,
                    commit = state.commits,
                    why = error
                );
            }
        }
        node.health.pause(backoff.next_pause()).await;
    }
}
