//! Texts of running items, stored now and then for whoever takes the batch job over.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use wisteriapoint_batch::PartialOutput;
use wisteriapoint_store::{Freshness, Transaction, TransactionalStore};

use super::{Owned, keys};
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// Pause between writes: texts take a few seconds, and a write costs as much as any call.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Most bytes of texts in one row; it holds a megabyte, as base64 text.
const MAX_BYTES: usize = 700 << 10;

/// Stores the texts of running items until the batch job is closed or done.
///
/// The row has no condition: texts of any owner are right beginnings.
pub async fn run<D: Dialect>(node: Rc<Node<D>>, owned: Rc<Owned>) {
    let mut stored_events = 0;
    loop {
        sleep(PAUSE).await;
        if !owned.is_open.get() || owned.job.borrow().is_done() {
            return;
        }
        let parts = owned.parts();
        let events: u64 = parts
            .iter()
            .filter_map(|part| part.progress.last_event)
            .sum();
        if events == stored_events || !node.is_sure_owner(&owned.id) {
            continue;
        }
        stored_events = events;
        store(&node, &owned, &parts).await;
    }
}

async fn store<D: Dialect>(node: &Node<D>, owned: &Owned, parts: &[PartialOutput]) {
    let value = match postcard::to_stdvec(parts) {
        Ok(value) if value.len() <= MAX_BYTES => value,
        Ok(value) => {
            event!(info, "parts too large", id = owned.id, bytes = value.len());
            return;
        }
        Err(error) => {
            event!(error, "parts not encoded", id = owned.id, why = error);
            return;
        }
    };
    let transaction = Transaction::new().with_put(keys::parts(&owned.id), value);
    let committed = node.store.commit(&transaction).await;
    node.note_store("parts", &committed);
    if let Err(error) = committed {
        event!(info, "parts not stored", id = owned.id, why = error);
    }
}

/// The texts that an earlier owner stored; none if they can't be read, since items may run anew.
pub async fn stored<D: Dialect>(node: &Node<D>, job: &str) -> Vec<PartialOutput> {
    let row = node
        .store
        .row(&keys::parts(job), Freshness::Linearizable)
        .await;
    node.note_store("read-parts", &row);
    match row {
        Ok((Some(row), _)) => match postcard::from_bytes(&row.value) {
            Ok(parts) => parts,
            Err(error) => {
                event!(error, "parts not understood", id = job, why = error);
                Vec::new()
            }
        },
        Ok((None, _)) => Vec::new(),
        Err(error) => {
            event!(info, "parts not read", id = job, why = error);
            Vec::new()
        }
    }
}
