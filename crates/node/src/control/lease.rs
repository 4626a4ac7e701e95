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
const RENEWALS_PER_TTL: u64 = 4;
/// What must be left of a lease for an order to go out, in milliseconds: its way to the engine.
const ORDER_MARGIN_MS: u64 = 300;

/// Longest pause between attempts: this task finds out that the store answers again, for all
/// others, and a configuration is to be in force two seconds later.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time between reads of who the other nodes are; a stale read costs a tenth of a call.
const MEMBERS_READ_INTERVAL: Duration = Duration::from_secs(6);

/// The lease of a node.
#[derive(Debug, Default)]
pub struct Lease {
    id: Cell<Option<LeaseId>>,
    valid_until_boot_ms: Cell<u64>,
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
    pub fn is_valid(&self) -> bool {
        self.id.get().is_some() && boot_ms() + ORDER_MARGIN_MS < self.valid_until_boot_ms.get()
    }

    /// Whether this very lease is sure to hold for a while: a later one of this node says nothing of
    /// a duty that hung on it.
    pub fn holds(&self, lease: LeaseId) -> bool {
        self.id.get() == Some(lease) && self.is_valid()
    }

    /// Waits until the lease is had or lost.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Gives the lease up.
    pub fn take_id(&self) -> Option<LeaseId> {
        self.valid_until_boot_ms.set(0);
        self.id.take()
    }

    /// Notes that a lease was obtained or renewed by a call that began at a time.
    pub fn record_renewal(&self, id: LeaseId, call_boot_ms: u64, ttl_ms: u64) {
        self.valid_until_boot_ms.set(call_boot_ms + ttl_ms);
        if self.id.replace(Some(id)) != Some(id) {
            self.changed.notify_waiters();
        }
    }

    /// Notes that the lease has lapsed.
    pub fn record_expiry(&self) {
        self.id.set(None);
        self.valid_until_boot_ms.set(0);
        self.changed.notify_waiters();
    }
}

/// Keeps a lease and the member row under it, until the node stops.
pub async fn maintain_lease<D: Dialect>(node: Rc<Node<D>>) {
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
                    members_due = Instant::now() + MEMBERS_READ_INTERVAL;
                    update_others(&node).await;
                }
                sleep(Duration::from_millis(ttl_ms / RENEWALS_PER_TTL)).await;
            }
            Err(error) => {
                event!(debug, "lease not held", why = error);
                sleep(backoff.next_pause().min(MAX_RETRY_PAUSE)).await;
            }
        }
    }
}

/// Learns through which nodes the store may be reached.
async fn update_others<D: Dialect>(node: &Rc<Node<D>>) {
    match members::members(node, Freshness::Stale).await {
        Ok(members) => {
            let others = members.iter().filter(|member| **member != node.owner);
            node.store
                .set_peers(others.map(|member| member.address).collect());
        }
        Err(error) => event!(debug, "members not read", why = error),
    }
}

async fn obtain<D: Dialect>(node: &Rc<Node<D>>, ttl_ms: u64) -> Result<(), Error> {
    let call_boot_ms = boot_ms();
    let lease = node.store.grant_lease(Duration::from_millis(ttl_ms)).await;
    node.record_store_call("grant", &lease);
    let lease = lease?;
    let (key, value) = members::member_row(&node.owner)?;
    let transaction = Transaction::new().with_leased_put(key, value, lease);
    let committed = node.store.commit(&transaction).await;
    node.record_store_call("member", &committed);
    committed?;
    node.lease.record_renewal(lease, call_boot_ms, ttl_ms);
    event!(info, "lease obtained", lease = lease.0);
    // Without a lease the batch jobs may have been taken over.
    tokio::task::spawn_local(jobs::verify_ownership(node.clone()));
    Ok(())
}

async fn renew<D: Dialect>(node: &Rc<Node<D>>, lease: LeaseId, ttl_ms: u64) -> Result<(), Error> {
    let call_boot_ms = boot_ms();
    let renewed = node.store.renew_lease(lease).await;
    node.record_store_call("renew", &renewed);
    match renewed {
        Ok(()) => {
            node.lease.record_renewal(lease, call_boot_ms, ttl_ms);
            Ok(())
        }
        Err(error) if error.is_lease_lapsed() => {
            event!(warn, "lease lost", lease = lease.0);
            node.lease.record_expiry();
            node.jobs.set_verified(false);
            obtain(node, ttl_ms).await
        }
        Err(error) => Err(error),
    }
}
