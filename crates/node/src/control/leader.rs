//! Election of the leader, the one node that sends orders and takes over ownerless batch jobs.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use wisteriapoint_batch::{Owner, Retention};
use wisteriapoint_store::{
    Backoff, CommitOutcome, Error, Freshness, Index, LeaseId, Transaction, TransactionalStore,
};

use super::members::{self, MEMBERS_PREFIX};
use super::orders;
use super::term::Term;
use super::watch::{self, MAX_WATCH_WAIT};
use crate::dialect::Dialect;
use crate::event;
use crate::jobs;
use crate::node::{Node, Stage};
use crate::streams;

/// Key of the row that names the leader.
const LEADER_KEY: &str = "wp/keeper";
/// Longest random pause before the first claim, in milliseconds. Nodes start together; once one
/// has claimed leadership, the others need no write.
const MAX_FIRST_PAUSE_MS: u64 = 400;
/// Pause before a claim of a node that is cut off from the endpoints, or whose runs end soon after they
/// lead: others claim first, if there are any.
const LATE_CLAIM_PAUSE: Duration = Duration::from_millis(1_500);
/// Longest wait for a lease under which leadership may be claimed.
const MAX_LEASE_WAIT: Duration = Duration::from_secs(1);
/// Time for a member whose row was removed to write it again: it may be alive and have lost its
/// lease.
const MEMBER_RETURN_PAUSE: Duration = Duration::from_millis(700);

/// Longest wait of a watch of the members, or of the leader row while there is no leader or it does not
/// answer. Its connection may deliver nothing any more, while rows of dead nodes are removed.
const ROWS_WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Interval between searches of the leader for open batch jobs without a live owner. An owner may be gone
/// without a change of the members: it had no row, or its write of a batch job took effect after its end. The
/// read may be seconds old, and an item must not wait for an endpoint longer than some seconds.
const OWNERS_CHECK_INTERVAL: Duration = Duration::from_millis(2_000);
/// Number of batch jobs whose rows are removed at each of these searches.
const MAX_REMOVED_JOBS: usize = 8;

/// Claims leadership whenever there is no leader, and leads until it is lost.
pub async fn run_election<D: Dialect>(node: Rc<Node<D>>) {
    let pause_ms = rand::random_range(0..MAX_FIRST_PAUSE_MS);
    sleep(Duration::from_millis(pause_ms)).await;
    let mut backoff = Backoff::new();
    let mut yields = false;
    while node.stage.get() != Stage::Stopping {
        if node.lease.id().is_none() {
            tokio::select! {
                () = node.lease.changed() => {}
                () = node.shutdown.begun() => {}
            }
            continue;
        }
        if node.pool.is_cut_off() || std::mem::take(&mut yields) {
            sleep(LATE_CLAIM_PAUSE).await;
        }
        let result = match claim_leadership(&node).await {
            Ok(ClaimOutcome::Leader {
                fence,
                lease,
                as_of,
            }) => {
                node.metrics.set_state("keeper", 1);
                event!(info, "became leader", fence = fence.0);
                node.lease.record_leadership(fence, lease);
                set_leader(&node, Some(node.owner.clone()));
                node.directory_changed.notify_waiters();
                tokio::select! {
                    () = lead(&node, fence, lease, as_of) => {}
                    // Others can still send orders.
                    () = node.pool.wait_for_cut_off() => {}
                }
                if node.stage.get() == Stage::Stopping || node.pool.is_cut_off() {
                    release_leadership(&node, fence).await;
                }
                set_leader(&node, None);
                node.metrics.set_state("keeper", 0);
                event!(info, "no longer leader", fence = fence.0);
                Ok(())
            }
            Ok(ClaimOutcome::Follower(leader, revision)) => {
                if let Some(leader) = &leader {
                    node.store.add_peer(leader.address);
                    if leader.address != node.owner.address {
                        node.suspects.peers.add(node.now_ms(), leader.address);
                    }
                }
                let is_known = leader.is_some();
                set_leader(&node, leader);
                match is_known {
                    true => wait_for_successor(&node, revision).await,
                    false => wait_for_change(&node, LEADER_KEY, revision).await.map(drop),
                }
            }
            Ok(ClaimOutcome::Yielded(revision)) => {
                yields = true;
                event!(
                    warn,
                    "lead left to other nodes; runs on this VM ended soon after they took it"
                );
                set_leader(&node, None);
                let changed = wait_for_change(&node, LEADER_KEY, revision).await;
                changed.map(drop)
            }
            Err(error) => Err(error),
        };
        match result {
            Ok(()) => backoff = Backoff::new(),
            Err(error) => {
                event!(
                    debug,
                    "claim or watch of the leader row failed; retrying",
                    error = error
                );
                node.store_health.pause(backoff.next_pause()).await;
            }
        }
    }
}

/// Sets the leader; tasks that wait for a leader are woken only if it is another one.
fn set_leader<D: Dialect>(node: &Node<D>, leader: Option<Owner>) {
    node.leader.send_if_modified(|current| {
        let is_other = *current != leader;
        *current = leader;
        is_other
    });
}

enum ClaimOutcome {
    /// This node is the leader.
    Leader {
        /// Fencing token of its leadership.
        fence: Index,
        /// Lease under which the row was claimed.
        lease: LeaseId,
        /// Revision of the store at which the row was confirmed.
        as_of: Index,
    },
    /// This node is not the leader. Contains the leader, if it is known, and the revision of the
    /// store after which to watch the row.
    Follower(Option<Owner>, Index),
    /// The row is of a previous run on this VM, and this run leaves the lead to other nodes. Contains the
    /// revision of the store after which to watch the row.
    Yielded(Index),
}

async fn claim_leadership<D: Dialect>(node: &Rc<Node<D>>) -> Result<ClaimOutcome, Error> {
    // A row that is found to be this node's own was claimed under no later lease than this one.
    let lease_before_read = node.lease.id().ok_or(Error::LeaseExpired)?;
    let row = node.store.row(LEADER_KEY, Freshness::Linearizable).await;
    node.record_store_call("keeper", &row);
    let (row, revision) = row?;
    let now_unix_ms = node.clock.unix_ms();
    let (expected, term) = match row {
        Some(row) => match members::parse_leader(node, &row) {
            Some((leader, _)) if leader == node.owner => {
                return Ok(ClaimOutcome::Leader {
                    fence: row.revision,
                    lease: lease_before_read,
                    as_of: revision,
                });
            }
            // A previous run of the node on this VM has definitely ended.
            Some((previous, term)) if previous.vm == node.owner.vm => {
                match term.next(now_unix_ms) {
                    Some(term) => (row.revision, term),
                    None => return Ok(ClaimOutcome::Yielded(revision)),
                }
            }
            leader => {
                let leader = leader.map(|(leader, _)| leader);
                return Ok(ClaimOutcome::Follower(leader, revision));
            }
        },
        None => (Index(0), Term::new(now_unix_ms)),
    };
    let value = members::leader_row(&node.owner, term)?;
    node.lease.request_short();
    let min_ms = node.settings.store.min_lease_ms;
    while node.lease.id().is_some() && !node.lease.is_short(min_ms) {
        tokio::select! {
            () = node.lease.changed() => {}
            () = sleep(MAX_LEASE_WAIT) => return Err(Error::LeaseExpired),
        }
    }
    let Some(lease) = node.lease.id() else {
        return Err(Error::LeaseExpired);
    };
    let transaction = Transaction::new()
        .with_expected(LEADER_KEY, expected)
        .with_leased_put(LEADER_KEY, value, lease);
    let committed = node.store.commit(&transaction).await;
    node.record_store_call("claim", &committed);
    match committed? {
        CommitOutcome::Done(fence) => Ok(ClaimOutcome::Leader {
            fence,
            lease,
            as_of: fence,
        }),
        // Another node claimed leadership first; the next read returns that node.
        CommitOutcome::Conflict => Ok(ClaimOutcome::Follower(None, expected)),
        CommitOutcome::LeaseEnded => Err(Error::LeaseExpired),
    }
}

/// Waits until the leader row changes, which is watched only while the leader does not answer, or until
/// this node has another lease or stops.
async fn wait_for_successor<D: Dialect>(
    node: &Rc<Node<D>>,
    mut revision: Index,
) -> Result<(), Error> {
    loop {
        // A leader that answers is still the leader or knows the same endpoints.
        tokio::select! {
            () = node.leader_doubted.notified() => {}
            () = node.lease.changed() => return Ok(()),
            () = node.shutdown.begun() => return Ok(()),
        }
        match wait_for_change(node, LEADER_KEY, revision).await? {
            Some(unchanged) => revision = unchanged,
            None => return Ok(()),
        }
    }
}

/// Waits for a change under a prefix, or until the store no longer keeps the history after `after`.
///
/// Returns the revision up to which nothing has changed, or `None` after a change.
async fn wait_for_change<D: Dialect>(
    node: &Rc<Node<D>>,
    prefix: &str,
    after: Index,
) -> Result<Option<Index>, Error> {
    let changes = node.store.watch(prefix, after, ROWS_WATCH_WAIT).await;
    node.record_store_call("watch", &changes);
    match changes {
        Err(error) if error.is_history_gone() => Ok(None),
        Err(error) => Err(error),
        Ok((changes, revision)) => Ok(changes.is_empty().then_some(revision)),
    }
}

/// Runs the tasks of the leader until the row or the lease is lost.
async fn lead<D: Dialect>(node: &Rc<Node<D>>, fence: Index, lease: LeaseId, as_of: Index) {
    tokio::select! {
        () = orders::send_orders(node.clone(), (fence, lease), order_delay(node)) => {}
        () = watch_members(node) => {}
        () = watch::watch_operator_rows(node.clone()) => {}
        () = streams::maintain_rows(node) => {}
        () = wisteriapoint_duties::hold(node.clone(), fence.0, duty_delay(node)) => {}
        () = wait_until_lost(node, (fence, lease), as_of) => {}
    }
}

/// Returns the time for which a new leader sends no orders.
///
/// Engines that check fencing tokens refuse orders of the previous leader themselves. Other engines
/// may still execute its orders for the duration of a lease.
fn order_delay<D: Dialect>(node: &Node<D>) -> Duration {
    match node.settings.bounds.engines_check_fences {
        true => Duration::ZERO,
        false => Duration::from_millis(node.settings.bounds.lease_ms),
    }
}

/// Returns the time for which a new leader makes no call to the platform's API.
///
/// A platform that checks fencing tokens still forbids that holders take turns within a lease.
fn duty_delay<D: Dialect>(node: &Node<D>) -> Duration {
    Duration::from_millis(node.settings.bounds.lease_ms)
}

/// Removes the leader row, so that the successor need not wait for the lease to expire.
async fn release_leadership<D: Dialect>(node: &Rc<Node<D>>, fence: Index) {
    let transaction = Transaction::new()
        .with_expected(LEADER_KEY, fence)
        .with_remove(LEADER_KEY);
    let committed = node.store.commit(&transaction).await;
    node.record_store_call("release", &committed);
    event!(
        info,
        "leadership released",
        fence = fence.0,
        result = format!("{committed:?}")
    );
}

/// Returns once the leader row has changed, the lease is lost or the node stops.
async fn wait_until_lost<D: Dialect>(
    node: &Rc<Node<D>>,
    (fence, lease): (Index, LeaseId),
    mut as_of: Index,
) {
    loop {
        tokio::select! {
            checked = watch_leader_row(node, fence, as_of) => match checked {
                Ok(Some(revision)) => as_of = revision,
                Ok(None) => return,
                Err(error) => {
                    event!(
                        debug,
                        "watch of the leader row failed; retrying",
                        prefix = LEADER_KEY,
                        error = error
                    );
                    sleep(MEMBER_RETURN_PAUSE).await;
                }
            },
            () = node.lease.changed() => {}
            () = node.shutdown.begun() => {}
        }
        if node.lease.id() != Some(lease) || node.stage.get() == Stage::Stopping {
            return;
        }
    }
}

/// Watches the leader row after `as_of`.
///
/// Returns the revision up to which this node is still the leader, or `None` if it no longer is.
async fn watch_leader_row<D: Dialect>(
    node: &Rc<Node<D>>,
    fence: Index,
    as_of: Index,
) -> Result<Option<Index>, Error> {
    let changes = node.store.watch(LEADER_KEY, as_of, MAX_WATCH_WAIT).await;
    node.record_store_call("watch", &changes);
    match changes {
        Ok((changes, revision)) => Ok(changes.is_empty().then_some(revision)),
        Err(error) if error.is_history_gone() => {
            let row = node.store.row(LEADER_KEY, Freshness::Linearizable).await;
            node.record_store_call("keeper", &row);
            let (row, revision) = row?;
            let is_unchanged = row.is_some_and(|row| row.revision == fence);
            Ok(is_unchanged.then_some(revision))
        }
        Err(error) => Err(error),
    }
}

/// Watches the members, and takes over the batch jobs of those that are removed.
async fn watch_members<D: Dialect>(node: &Rc<Node<D>>) {
    let mut backoff = Backoff::new();
    let mut previous = BTreeSet::new();
    let mut retention = Retention::new(node.settings.bounds.ended_retention_ms());
    loop {
        match check_members(node, &mut previous, &mut retention).await {
            Ok(()) => backoff = Backoff::new(),
            Err(error) => {
                event!(
                    info,
                    "check for ownerless batch jobs failed; retrying",
                    error = error
                );
                node.store_health.pause(backoff.next_pause()).await;
            }
        }
    }
}

/// Returns the number of open batch jobs whose owner is not live, according to a read that may be seconds
/// old, and removes some of those that are no longer needed.
async fn check_jobs<D: Dialect>(
    node: &Rc<Node<D>>,
    live: &BTreeSet<Owner>,
    retention: &mut Retention,
) -> Result<usize, Error> {
    let jobs = jobs::takeover::read_states(node, Freshness::Stale).await?;
    let revisions: Vec<_> = jobs
        .iter()
        .map(|(id, revision, state)| (id.clone(), revision.0, state.clone()))
        .collect();
    let expired = retention.expired(node.now_ms(), &revisions);
    for &index in expired.iter().take(MAX_REMOVED_JOBS) {
        if !jobs::end::remove_job(node, &jobs[index]).await {
            retention.postpone(&jobs[index].0);
        }
    }
    let is_absent = |owner: &Owner| !live.contains(owner);
    let ownerless = jobs
        .iter()
        .filter(|job| jobs::takeover::is_ownerless(node, job, is_absent));
    Ok(ownerless.count())
}

async fn check_members<D: Dialect>(
    node: &Rc<Node<D>>,
    previous: &mut BTreeSet<Owner>,
    retention: &mut Retention,
) -> Result<(), Error> {
    let (members, revision) = members::members_with_revision(node, Freshness::Linearizable).await?;
    members::set_peers(node, members.runs());
    let members: BTreeSet<_> = members.runs().cloned().collect();
    let is_first = previous.is_empty();
    let is_member_missing = !previous.is_subset(&members);
    if is_first || is_member_missing {
        sleep(MEMBER_RETURN_PAUSE).await;
        let (live, _) = members::members_with_revision(node, Freshness::Linearizable).await?;
        members::set_peers(node, live.runs());
        let left = jobs::take_over_ownerless_jobs(node, &live).await?;
        node.metrics.set_state("ownerless_jobs", left as i64);
        if left > 0 {
            event!(
                info,
                "ownerless batch jobs not all taken over; retrying",
                left = left
            );
            return Ok(());
        }
    }
    // Updated only after success, so that a failed check is repeated.
    *previous = members;
    let mut unchanged = Some(revision);
    let mut owners_due = Instant::now() + OWNERS_CHECK_INTERVAL;
    while let Some(revision) = unchanged {
        unchanged = wait_for_change(node, MEMBERS_PREFIX, revision).await?;
        if Instant::now() < owners_due {
            continue;
        }
        owners_due = Instant::now() + OWNERS_CHECK_INTERVAL;
        let ownerless = check_jobs(node, previous, retention).await?;
        if ownerless > 0 {
            event!(
                info,
                "open batch jobs seem to have no live owner; reading again",
                jobs = ownerless
            );
            // The next check is made as by a new leader.
            previous.clear();
            return Ok(());
        }
    }
    Ok(())
}
