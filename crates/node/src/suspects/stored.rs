//! Rows of quarantined requests in the store, for the case that all nodes end at once.

use std::rc::Rc;
use std::time::Duration;

use wisteriapoint_route::CrashReport;
use wisteriapoint_store::{
    Backoff, CommitOutcome, Error, Freshness, Transaction, TransactionalStore,
};
use wisteriapoint_types::Digest;

use super::{apply_reports, count};
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// Prefix of the keys of the rows; the digest of the request follows.
const PREFIX: &str = "wp/crash/";
/// Time after which the store removes a row: that of a quarantine, and the longest that the platform
/// accepts.
const TTL: Duration = Duration::from_secs(600);
/// Number of attempts to write a row.
const MAX_ATTEMPTS: u32 = 8;

/// Stores the crashes of a request that has just been quarantined.
pub(super) async fn store<D: Dialect>(node: Rc<Node<D>>, digest: Digest) {
    let mut backoff = Backoff::new();
    for _ in 0..MAX_ATTEMPTS {
        match try_store(&node, digest).await {
            Ok(()) => return count(&node, "stored"),
            Err(error) => event!(
                info,
                "crashes of quarantined request not stored; retrying",
                digest = digest,
                error = error
            ),
        }
        node.store_health.pause(backoff.next_pause()).await;
    }
    event!(
        warn,
        "crashes of quarantined request not stored; known to running nodes only",
        digest = digest
    );
}

async fn try_store<D: Dialect>(node: &Node<D>, digest: Digest) -> Result<(), Error> {
    let reports = node.suspects.reports(node.now_ms(), digest);
    let value = postcard::to_stdvec(&reports);
    let value = value.map_err(|error| Error::Malformed(error.to_string().into()))?;
    let lease = node.store.grant_lease(TTL).await;
    node.record_store_call("grant", &lease);
    let transaction =
        Transaction::new().with_leased_put(format!("{PREFIX}{digest}"), value, lease?);
    let committed = node.store.commit(&transaction).await;
    node.record_store_call("crash", &committed);
    match committed? {
        CommitOutcome::Done(_) => Ok(()),
        CommitOutcome::LeaseEnded | CommitOutcome::Conflict => Err(Error::LeaseExpired),
    }
}

/// Applies the stored crashes of quarantined requests.
pub(super) async fn load<D: Dialect>(node: &Node<D>) {
    let rows = node.store.range(PREFIX, Freshness::Linearizable).await;
    node.record_store_call("crashes", &rows);
    let rows = match rows {
        Ok((rows, _)) => rows,
        Err(error) => {
            event!(info, "stored crashes could not be read", error = error);
            return;
        }
    };
    for row in rows {
        match postcard::from_bytes::<Vec<CrashReport>>(&row.value) {
            Ok(reports) => apply_reports(node, "store", &reports),
            Err(_) if !node.malformed_rows.is_new(&row) => {}
            Err(error) => event!(
                error,
                "stored crashes malformed; ignored",
                key = row.key,
                error = error
            ),
        }
    }
}
