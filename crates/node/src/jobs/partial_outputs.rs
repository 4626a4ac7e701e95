//! Partial outputs and failures of unfinished items, stored for the next owner of the batch job.

use std::rc::Rc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::time::sleep;
use wisteriapoint_batch::{ItemFailures, PartialOutput};
use wisteriapoint_store::{Freshness, Transaction, TransactionalStore};

use super::{OwnedJob, keys};
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// Interval between writes. Generation of an output takes a few seconds, and each write counts
/// as a full call to the store.
const WRITE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Maximum size of the partial outputs in the row, in bytes. A row is limited to one megabyte, and
/// its encoding as base64 text adds a third.
const MAX_BYTES: usize = 700 << 10;

/// Stores the partial outputs and failures of unfinished items until the batch job is closed or done.
///
/// The writes are unconditional, since the partial outputs of any owner are valid prefixes, and an
/// owner that was replaced records few failures.
pub async fn store_periodically<D: Dialect>(node: Rc<Node<D>>, owned: Rc<OwnedJob>) {
    let mut stored_event_count = 0;
    let mut stored_failures = Vec::new();
    loop {
        sleep(WRITE_INTERVAL).await;
        if !owned.is_open.get() || owned.job.borrow().is_done() {
            return;
        }
        let outputs = owned.partial_outputs();
        let failures = owned.failures();
        if failures != stored_failures && node.is_definite_owner(&owned.id) {
            stored_failures = failures;
            store_failures(&node, &owned).await;
        }
        let event_count: u64 = outputs
            .iter()
            .filter_map(|output| output.progress.last_event)
            .sum();
        if event_count == stored_event_count || !node.is_definite_owner(&owned.id) {
            continue;
        }
        stored_event_count = event_count;
        store(&node, &owned, &outputs).await;
    }
}

async fn store<D: Dialect>(node: &Node<D>, owned: &OwnedJob, outputs: &[PartialOutput]) {
    let value = match postcard::to_stdvec(outputs) {
        Ok(value) if value.len() <= MAX_BYTES => value,
        Ok(value) => {
            event!(
                info,
                "partial outputs too large; not stored",
                id = owned.id,
                bytes = value.len()
            );
            return;
        }
        Err(error) => {
            event!(
                error,
                "partial outputs could not be encoded; not stored",
                id = owned.id,
                error = error
            );
            return;
        }
    };
    write_row(node, owned, keys::partial_outputs(&owned.id), value).await;
}

/// Stores the failures of unfinished items.
pub async fn store_failures<D: Dialect>(node: &Node<D>, owned: &OwnedJob) {
    let failures = owned.failures();
    if failures.is_empty() {
        return;
    }
    match postcard::to_stdvec(&failures) {
        Ok(value) => write_row(node, owned, keys::failures(&owned.id), value).await,
        Err(error) => event!(
            error,
            "failures could not be encoded; not stored",
            id = owned.id,
            error = error
        ),
    }
}

async fn write_row<D: Dialect>(node: &Node<D>, owned: &OwnedJob, key: String, value: Vec<u8>) {
    let transaction = Transaction::new().with_put(&*key, value);
    let committed = node.store.commit(&transaction).await;
    node.record_store_call("parts", &committed);
    if let Err(error) = committed {
        event!(
            info,
            "state of unfinished items not stored",
            id = owned.id,
            key = key,
            error = error
        );
    }
}

/// Returns the partial outputs that a previous owner stored.
///
/// Returns an empty list if they cannot be read; items then restart from the beginning.
pub async fn read_stored<D: Dialect>(node: &Node<D>, job: &str) -> Vec<PartialOutput> {
    read_row(node, job, &keys::partial_outputs(job)).await
}

/// Returns the failures that a previous owner stored.
///
/// Returns an empty list if they cannot be read; they are then counted anew.
pub async fn read_failures<D: Dialect>(node: &Node<D>, job: &str) -> Vec<ItemFailures> {
    read_row(node, job, &keys::failures(job)).await
}

async fn read_row<D: Dialect, T: DeserializeOwned>(node: &Node<D>, job: &str, key: &str) -> Vec<T> {
    let row = node.store.row(key, Freshness::Linearizable).await;
    node.record_store_call("read-parts", &row);
    match row {
        Ok((Some(row), _)) => match postcard::from_bytes(&row.value) {
            Ok(entries) => entries,
            Err(error) => {
                event!(
                    error,
                    "stored state of unfinished items malformed; ignored",
                    id = job,
                    key = key,
                    error = error
                );
                Vec::new()
            }
        },
        Ok((None, _)) => Vec::new(),
        Err(error) => {
            event!(
                info,
                "stored state of unfinished items not read; ignored",
                id = job,
                key = key,
                error = error
            );
            Vec::new()
        }
    }
}
