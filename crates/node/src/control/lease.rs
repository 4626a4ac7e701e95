//! The lease under which a node writes its rows; the store removes them when it expires.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};
use wisteriapoint_store::{
    Backoff, CommitOutcome, Error, Freshness, Index, LeaseId, Transaction, TransactionalStore,
};

use super::members;
use crate::clock::boot_ms;
use crate::dialect::Dialect;
use crate::event;
use crate::jobs;
use crate::node::{Node, Stage};
use crate::suspects;

/// Time to live of the lease of a node that owns batch jobs or is the leader, in milliseconds: short
/// enough that its work continues on another node well before the deadlines, long enough that a short
/// delay of the store does not end it.
const TTL_MS: u64 = 2_000;
/// The same of other nodes, which nobody waits for: each renewal costs a call to the store.
const IDLE_TTL_MS: u64 = 4_000;
/// Time without work after which a node returns to the longer time to live.
const IDLE_AFTER: Duration = Duration::from_secs(30);
/// Renewals per time to live; two of them may fail.
const RENEWALS_PER_TTL: u64 = 4;
/// Time for which the lease must remain valid for an order to be sent, in milliseconds; covers the
/// transit of the order to the engine.
const ORDER_MARGIN_MS: u64 = 300;

/// Longest pause between attempts. All tasks rely on this one to detect that the store answers
/// again, and a new configuration must be in force two seconds after that.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time between reads of the member rows; a stale read costs a tenth of a linearizable one. A node whose
/// own row is missing notices it within this time and [`MAX_STALENESS`].
const MEMBERS_READ_INTERVAL: Duration = Duration::from_secs(6);
/// Time for which a stale read may lack a row that was written.
const MAX_STALENESS: Duration = Duration::from_secs(3);
/// Number of writes of the member row, each after a read of its revision, before the attempt fails.
const MAX_MEMBER_WRITES: u32 = 3;

/// The lease that a node holds, if any, and the time until which it is valid.
#[derive(Debug, Default)]
pub struct Lease {
    id: Cell<Option<LeaseId>>,
    valid_until_boot_ms: Cell<u64>,
    ttl_ms: Cell<u64>,
    /// Revision at which the member row was last written, and [`Index`] 0 before that; `None` while the
    /// outcome of a write is not known.
    member_revision: Cell<Option<Index>>,
    /// Time of that write in milliseconds since the VM was started.
    member_written_boot_ms: Cell<u64>,
    /// Whether a read of the members lacked the row of this node.
    is_member_doubted: Cell<bool>,
    /// Fencing token of the last leadership, and the lease under which it was claimed.
    leadership: Cell<Option<(Index, LeaseId)>>,
    is_urgent: Cell<bool>,
    requested: Notify,
    changed: Notify,
}

impl Lease {
    /// Creates a state without a lease.
    pub fn new() -> Self {
        Self {
            member_revision: Cell::new(Some(Index(0))),
            ..Self::default()
        }
    }

    /// Returns the lease that was obtained last; it may have expired in the store.
    pub fn id(&self) -> Option<LeaseId> {
        self.id.get()
    }

    /// Returns `true` if the lease stays valid at least for the transit of an order to an engine.
    ///
    /// Time in which this VM was suspended counts.
    pub fn is_valid(&self) -> bool {
        self.id.get().is_some() && boot_ms() + ORDER_MARGIN_MS < self.valid_until_boot_ms.get()
    }

    /// Returns `true` if the last leadership has this fencing token and its lease stays valid for
    /// `duration_ms` at least.
    pub fn holds_leadership_for(&self, fence: Index, duration_ms: u64) -> bool {
        let is_long_enough = boot_ms() + duration_ms < self.valid_until_boot_ms.get();
        is_long_enough && self.holds_leadership(fence)
    }

    /// Returns `true` if `lease` is the current lease and [valid](Self::is_valid).
    ///
    /// Leadership ends with the lease under which it was claimed, even if the node has a later one.
    pub fn holds(&self, lease: LeaseId) -> bool {
        self.id.get() == Some(lease) && self.is_valid()
    }

    /// Records that leadership with a fencing token was claimed under `lease`.
    pub fn record_leadership(&self, fence: Index, lease: LeaseId) {
        self.leadership.set(Some((fence, lease)));
    }

    /// Returns `true` if the last leadership has this fencing token and its lease is still
    /// [held](Self::holds).
    pub fn holds_leadership(&self, fence: Index) -> bool {
        let leadership = self.leadership.get();
        leadership.is_some_and(|(last, lease)| last == fence && self.holds(lease))
    }

    /// Returns `true` if the lease expires soon after this node has died; `min_ms` is the shortest time
    /// to live that the store grants.
    pub fn is_short(&self, min_ms: u64) -> bool {
        self.id.get().is_some() && self.ttl_ms.get() <= TTL_MS.max(min_ms)
    }

    /// Requests a lease that expires soon after this node has died, for as long as it has work.
    pub fn request_short(&self) {
        self.is_urgent.set(true);
        if self.ttl_ms.get() > TTL_MS {
            self.requested.notify_one();
        }
    }

    /// Requests such a lease and waits for it, at most for `limit`; `min_ms` is the shortest time to live
    /// that the store grants.
    ///
    /// The loss of a node that owns work must be noticed as soon as the work is acknowledged.
    pub async fn wait_for_short(&self, min_ms: u64, limit: Duration) {
        self.request_short();
        let obtained = async {
            while self.id.get().is_some() && !self.is_short(min_ms) {
                self.changed().await;
            }
        };
        if timeout(limit, obtained).await.is_err() {
            event!(info, "shorter lease not obtained in time");
        }
    }

    /// Records that a read of the members lacked the row of this node, which is then checked.
    ///
    /// A stale read may be older than the row.
    pub fn doubt_member_row(&self, freshness: Freshness) {
        let age_ms = boot_ms().saturating_sub(self.member_written_boot_ms.get());
        let may_be_older =
            freshness == Freshness::Stale && age_ms < MAX_STALENESS.as_millis() as u64;
        if self.id.get().is_some() && !may_be_older && !self.is_member_doubted.replace(true) {
            self.requested.notify_one();
        }
    }

    /// Waits until a lease is obtained or lost.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Clears the lease and returns its id.
    pub fn take_id(&self) -> Option<LeaseId> {
        self.valid_until_boot_ms.set(0);
        self.id.take()
    }

    /// Records that a call that began at `call_boot_ms` obtained or renewed a lease.
    ///
    /// The validity counts from the beginning of the call.
    pub fn record_renewal(&self, id: LeaseId, call_boot_ms: u64, ttl_ms: u64) {
        self.valid_until_boot_ms.set(call_boot_ms + ttl_ms);
        self.ttl_ms.set(ttl_ms);
        if self.id.replace(Some(id)) != Some(id) {
            self.changed.notify_waiters();
        }
    }

    /// Limits the validity of the lease to the end of another one, to which the member row is being moved.
    ///
    /// The row may be there already while the outcome of the write is not known, and the store removes it
    /// with that lease. Other nodes then take over the work of this one.
    pub fn limit_validity(&self, end_boot_ms: u64) {
        let valid_until_boot_ms = self.valid_until_boot_ms.get().min(end_boot_ms);
        self.valid_until_boot_ms.set(valid_until_boot_ms);
    }

    /// Returns `true` if the outcome of a write of the member row is not known.
    fn is_member_row_unknown(&self) -> bool {
        self.member_revision.get().is_none()
    }

    /// Records that the lease has expired.
    pub fn record_expiry(&self) {
        self.id.set(None);
        self.valid_until_boot_ms.set(0);
        self.changed.notify_waiters();
    }
}

/// Obtains and renews a lease with the member row under it until the node stops.
pub async fn maintain_lease<D: Dialect>(node: Rc<Node<D>>) {
    let min_ms = node.settings.store.min_lease_ms;
    let mut backoff = Backoff::new();
    let mut works_until: Option<Instant> = None;
    let mut members_due = Instant::now();
    while node.stage.get() != Stage::Stopping || node.lease.id().is_some() {
        let is_urgent = node.lease.is_urgent.take();
        if is_urgent || node.is_leader() || node.jobs.open_count() > 0 {
            works_until = Some(Instant::now() + IDLE_AFTER);
        }
        let ttl_ms = match works_until {
            Some(until) if Instant::now() < until => TTL_MS.max(min_ms),
            _ => IDLE_TTL_MS.max(min_ms),
        };
        let result = match node.lease.id() {
            None => obtain(&node, ttl_ms).await,
            // A renewal would keep a lease that may no longer hold the member row.
            Some(_) if node.lease.ttl_ms.get() != ttl_ms || node.lease.is_member_row_unknown() => {
                replace(&node, ttl_ms).await
            }
            Some(lease) => renew(&node, lease, ttl_ms).await,
        };
        match result {
            Ok(()) => {
                backoff = Backoff::new();
                // The leader watches the members.
                if !node.is_leader() && Instant::now() >= members_due {
                    members_due = Instant::now() + MEMBERS_READ_INTERVAL;
                    update_peer_addresses(&node).await;
                }
                check_member_row(&node).await;
                tokio::select! {
                    () = sleep(Duration::from_millis(ttl_ms / RENEWALS_PER_TTL)) => {}
                    () = node.lease.requested.notified() => {}
                }
            }
            Err(error) => {
                event!(
                    debug,
                    "lease not obtained or renewed; retrying",
                    error = error
                );
                sleep(backoff.next_pause().min(MAX_RETRY_PAUSE)).await;
            }
        }
    }
}

/// Updates the addresses of the other nodes, through which the store may be reached.
async fn update_peer_addresses<D: Dialect>(node: &Rc<Node<D>>) {
    match members::members(node, Freshness::Stale).await {
        // A node that became the leader during the read has newer rows.
        Ok(_) if node.is_leader() => {}
        Ok(members) => members::set_peers(node, members.iter()),
        Err(error) => event!(debug, "members could not be read", error = error),
    }
}

async fn obtain<D: Dialect>(node: &Rc<Node<D>>, ttl_ms: u64) -> Result<(), Error> {
    replace(node, ttl_ms).await?;
    rejoin(node);
    Ok(())
}

/// Reads what may have changed while other nodes took this one for lost.
fn rejoin<D: Dialect>(node: &Rc<Node<D>>) {
    // They may have taken over its batch jobs.
    tokio::task::spawn_local(jobs::verify_ownership(node.clone()));
    tokio::task::spawn_local(suspects::exchange::load_history(node.clone()));
}

/// Obtains a lease and moves the member row to it; a lease that the node had expires by itself.
async fn replace<D: Dialect>(node: &Rc<Node<D>>, ttl_ms: u64) -> Result<(), Error> {
    let call_boot_ms = boot_ms();
    let lease = node.store.grant_lease(Duration::from_millis(ttl_ms)).await;
    node.record_store_call("grant", &lease);
    let lease = lease?;
    node.lease.limit_validity(call_boot_ms + ttl_ms);
    let revision = write_member_row(node, lease).await?;
    node.lease.record_renewal(lease, call_boot_ms, ttl_ms);
    event!(
        info,
        "lease obtained",
        lease = lease.0,
        ttl_ms = ttl_ms,
        member_revision = revision.0
    );
    Ok(())
}

/// Writes the member row under a lease, and returns its revision.
///
/// Each write is conditional on the revision of the row. An earlier write without an answer may take effect
/// late, and would move the row back to a lease that nobody renews.
async fn write_member_row<D: Dialect>(node: &Rc<Node<D>>, lease: LeaseId) -> Result<Index, Error> {
    let (key, value) = members::member_row(&node.owner, node.settings.cpu_share)?;
    let mut known = node.lease.member_revision.take();
    for _ in 0..MAX_MEMBER_WRITES {
        let expected = match known {
            Some(revision) => revision,
            None => member_revision(node).await?,
        };
        let transaction = Transaction::new()
            .with_expected(&*key, expected)
            .with_leased_put(&*key, value.clone(), lease);
        let committed = node.store.commit(&transaction).await;
        node.record_store_call("member", &committed);
        match committed? {
            CommitOutcome::Done(revision) => {
                node.lease.member_revision.set(Some(revision));
                node.lease.member_written_boot_ms.set(boot_ms());
                return Ok(revision);
            }
            CommitOutcome::Conflict => known = None,
            CommitOutcome::LeaseEnded => break,
        }
    }
    Err(Error::LeaseExpired)
}

/// Returns the revision of the member row in the store, or [`Index`] 0 if there is none.
async fn member_revision<D: Dialect>(node: &Rc<Node<D>>) -> Result<Index, Error> {
    let key = members::member_key(&node.owner.vm);
    let row = node.store.row(&key, Freshness::Linearizable).await;
    node.record_store_call("read-member", &row);
    Ok(row?.0.map_or(Index(0), |row| row.revision))
}

/// Writes the member row again if it is missing, or is not the one that this node wrote last.
async fn check_member_row<D: Dialect>(node: &Rc<Node<D>>) {
    let Some(lease) = node
        .lease
        .id()
        .filter(|_| node.lease.is_member_doubted.take())
    else {
        return;
    };
    if let Err(error) = try_check_member_row(node, lease).await {
        event!(info, "member row not checked; retrying", error = error);
        node.lease.is_member_doubted.set(true);
    }
}

async fn try_check_member_row<D: Dialect>(node: &Rc<Node<D>>, lease: LeaseId) -> Result<(), Error> {
    let stored = member_revision(node).await?;
    let written = node.lease.member_revision.replace(Some(stored));
    if written == Some(stored) && stored != Index(0) {
        return Ok(());
    }
    event!(
        warn,
        "member row is not the one that was written; writing it again",
        stored_revision = stored.0,
        written_revision = written.map_or(0, |revision| revision.0),
        lease = lease.0
    );
    node.jobs.set_verified(false);
    write_member_row(node, lease).await?;
    rejoin(node);
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
        Err(error) if error.is_lease_expired() => {
            event!(warn, "lease expired; obtaining a new one", lease = lease.0);
            node.lease.record_expiry();
            node.jobs.set_verified(false);
            obtain(node, ttl_ms).await
        }
        Err(error) => Err(error),
    }
}
