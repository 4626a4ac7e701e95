//! The lease that the rows of a node hang on.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep};
use wisteriapoint_store::{Backoff, Error, Freshness, LeaseId, Transaction, TransactionalStore};

use super::members;
use crate::clock::boot_ms;
use crate::dialect::Dialect;
use crate::event;
use crate::jobs;
use crate::node::{Node, Stage};

/// Time to live, in milliseconds: a dead node's batch jobs go on elsewhere well before they are
/// due, and a store that is slow for a moment ends no lease.
const TTL_MS: u64 = 2_000;
/// Renewals in a time to live: two may fail.
const RENEWALS: u64 = 4;
/// What must be left of a lease for an order to go out, in milliseconds: its way to the engine.
const MARGIN_MS: u64 = 300;

/// Longest pause between attempts: this task finds out that the store answers again, for all
/// others, and a configuration is to be in force two seconds later.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Time between reads of who the other nodes are; a stale read costs a tenth of a call.
const MEMBERS_PAUSE: Duration = Duration::from_secs(6);

/// The lease of a node.
#[derive(Debug, Default)]
pub struct Lease {
    id: Cell<Option<LeaseId>>,
    holds_until_boot_ms: Cell<u64>,
    changed: Notify,
}

impl Lease {
    /// No lease yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The lease, if one is thought to hold.
    pub fn id(&self) -> Option<LeaseId> {
        self.id.get()
    }

    /// Whether the lease is sure to hold for a while, also after this VM was suspended.
    pub fn is_sure(&self) -> bool {
        self.id.get().is_some() && boot_ms() + MARGIN_MS < self.holds_until_boot_ms.get()
    }

    /// Whether this very lease is sure to hold for a while: a later one of this node says nothing of
    /// a duty that hung on it.
    pub fn is_sure_of(&self, lease: LeaseId) -> bool {
        self.id.get() == Some(lease) && self.is_sure()
    }

    /// Waits until the lease is had or lost.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Gives the lease up.
    pub fn take(&self) -> Option<LeaseId> {
        self.holds_until_boot_ms.set(0);
        self.id.take()
    }

    /// Notes that a lease was obtained or renewed by a call that began at a time.
    pub fn renewed(&self, id: LeaseId, asked_boot_ms: u64, ttl_ms: u64) {
        self.holds_until_boot_ms.set(asked_boot_ms + ttl_ms);
        if self.id.replace(Some(id)) != Some(id) {
            self.changed.notify_waiters();
        }
    }

    /// Notes that the lease has lapsed.
    pub fn lost(&self) {
        self.id.set(None);
        self.holds_until_boot_ms.set(0);
        self.changed.notify_waiters();
    }
}

/// Keeps a lease and the member row under it, until the node stops.
pub async fn hold<D: Dialect>(node: Rc<Node<D>>) {
    let ttl_ms = TTL_MS.max(node.settings.store.min_lease_ms);
    let mut backoff = Backoff::new();
    let mut members_due = Instant::now();
    while node.stage.get() != Stage::Stopping || node.lease.id().is_some() {
        let result = match node.lease.id() {
            None => obtain(&node, ttl_ms).await,
            Some(lease) => renew(&node, lease, ttl_ms).await,
        };
        match result {
            Ok(()) => {
                backoff = Backoff::new();
                if Instant::now() >= members_due {
                    members_due = Instant::now() + MEMBERS_PAUSE;
                    learn_others(&node).await;
                }
                sleep(Duration::from_millis(ttl_ms / RENEWALS)).await;
            }
            Err(error) => {
                event!(debug, "lease not held", why = error);
                sleep(backoff.next_pause().min(MAX_PAUSE)).await;
            }
        }
    }
}

/// Learns through which nodes the store may be reached.
async fn learn_others<D: Dialect>(node: &Rc<Node<D>>) {
    match members::members(node, Freshness::Stale).await {
        Ok(members) => {
            let others = members.iter().filter(|member| **member != node.owner);
            node.store
                .set_others(others.map(|member| member.address).collect());
        }
        Err(error) => event!(debug, "members not read", why = error),
    }
}

async fn obtain<D: Dialect>(node: &Rc<Node<D>>, ttl_ms: u64) -> Result<(), Error> {
    let asked_boot_ms = boot_ms();
    let lease = node.store.grant_lease(Duration::from_millis(ttl_ms)).await;
    node.note_store("grant", &lease);
    let lease = lease?;
    let (key, value) = members::row(&node.owner)?;
    let transaction = Transaction::new().with_leased_put(key, value, lease);
    let committed = node.store.commit(&transaction).await;
    node.note_store("member", &committed);
    committed?;
    node.lease.renewed(lease, asked_boot_ms, ttl_ms);
    event!(info, "lease obtained", lease = lease.0);
    // Without a lease the batch jobs may have been taken over.
    tokio::task::spawn_local(jobs::verify_all(node.clone()));
    Ok(())
}

async fn renew<D: Dialect>(node: &Rc<Node<D>>, lease: LeaseId, ttl_ms: u64) -> Result<(), Error> {
    let asked_boot_ms = boot_ms();
    let renewed = node.store.renew_lease(lease).await;
    node.note_store("renew", &renewed);
    match renewed {
        Ok(()) => {
            node.lease.renewed(lease, asked_boot_ms, ttl_ms);
            Ok(())
        }
        Err(error) if error.is_lease_lapsed() => {
            event!(warn, "lease lost", lease = lease.0);
            node.lease.lost();
            node.jobs.set_verified(false);
            obtain(node, ttl_ms).await
        }
        Err(error) => Err(error),
    }
}
