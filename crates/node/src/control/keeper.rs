//! The keeper: the one node that gives orders and finds batch jobs without an owner.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use wisteriapoint_batch::Owner;
use wisteriapoint_store::{
    Backoff, CommitOutcome, Error, Freshness, Index, Transaction, TransactionalStore,
};

use super::members::{self, MEMBERS};
use super::orders;
use super::watch::{self, WAIT};
use crate::dialect::Dialect;
use crate::event;
use crate::jobs;
use crate::node::{Node, Stage};

/// Key of the row that says who is the keeper.
const KEEPER: &str = "wp/keeper";
/// Longest random pause before the first claim, in milliseconds: nodes start together, and the
/// first one spares the others a write.
const FIRST_PAUSE_MS: u64 = 400;
/// Time for a member whose row vanished to come back: its lease may have been taken from it.
const RETURN_PAUSE: Duration = Duration::from_millis(700);

/// Claims the duty whenever nobody has it, and carries it out while it lasts.
pub async fn run<D: Dialect>(node: Rc<Node<D>>) {
    let pause_ms = rand::random_range(0..FIRST_PAUSE_MS);
    sleep(Duration::from_millis(pause_ms)).await;
    let mut backoff = Backoff::new();
    while node.stage.get() != Stage::Stopping {
        if node.lease.id().is_none() {
            tokio::select! {
                () = node.lease.changed() => {}
                () = node.stopping() => {}
            }
            continue;
        }
        let result = match claim(&node).await {
            Ok(Claim::Ours { fence, seen }) => {
                node.metrics.set_state("keeper", 1);
                event!(info, "keeper", fence = fence.0);
                node.keeper.replace(Some(node.owner.clone()));
                node.directory_changed.notify_waiters();
                carry_out(&node, fence, seen).await;
                if node.stage.get() == Stage::Stopping {
                    release(&node, fence).await;
                }
                node.keeper.replace(None);
                node.metrics.set_state("keeper", 0);
                event!(info, "no longer keeper", fence = fence.0);
                Ok(())
            }
            Ok(Claim::Others(keeper, revision)) => {
                node.keeper.replace(keeper);
                wait_for_change(&node, KEEPER, revision).await
            }
            Err(error) => Err(error),
        };
        match result {
            Ok(()) => backoff = Backoff::new(),
            Err(error) => {
                event!(debug, "duty not claimed", why = error);
                node.health.pause(backoff.next_pause()).await;
            }
        }
    }
}

enum Claim {
    /// This node has the duty.
    Ours {
        /// Its fencing token.
        fence: Index,
        /// The revision of the store at which that was so.
        seen: Index,
    },
    /// Another node has it, at this revision of the store.
    Others(Option<Owner>, Index),
}

async fn claim<D: Dialect>(node: &Rc<Node<D>>) -> Result<Claim, Error> {
    let row = node.store.row(KEEPER, Freshness::Linearizable).await;
    node.note_store("keeper", &row);
    let (row, revision) = row?;
    let (key, value) = (KEEPER, members::row(&node.owner)?.1);
    let expected = match row {
        Some(row) if row.value == value => {
            let (fence, seen) = (row.revision, revision);
            return Ok(Claim::Ours { fence, seen });
        }
        Some(row) => match members::member(&row.value) {
            // An earlier run of the daemon on this VM is gone for sure.
            Some(former) if former.vm == node.owner.vm => row.revision,
            keeper => return Ok(Claim::Others(keeper, revision)),
        },
        None => Index(0),
    };
    let Some(lease) = node.lease.id() else {
        return Err(Error::LeaseLapsed);
    };
    let transaction = Transaction::new()
        .with_expected(key, expected)
        .with_leased_put(key, value, lease);
    let committed = node.store.commit(&transaction).await;
    node.note_store("claim", &committed);
    match committed? {
        CommitOutcome::Done(fence) => Ok(Claim::Ours { fence, seen: fence }),
        // Someone was faster; the next look says who.
        CommitOutcome::Conflict => Ok(Claim::Others(None, expected)),
        CommitOutcome::LeaseEnded => Err(Error::LeaseLapsed),
    }
}

/// Waits for a change of a row, or of the history that tells of it.
async fn wait_for_change<D: Dialect>(
    node: &Rc<Node<D>>,
    prefix: &str,
    after: Index,
) -> Result<(), Error> {
    let changes = node.store.watch(prefix, after, WAIT).await;
    node.note_store("watch", &changes);
    match changes {
        Err(error) if error.is_history_gone() => Ok(()),
        other => other.map(|_| ()),
    }
}

/// Carries the duty out until the row or the lease is lost.
async fn carry_out<D: Dialect>(node: &Rc<Node<D>>, fence: Index, seen: Index) {
    tokio::select! {
        () = orders::run(node.clone(), fence, quiet(node)) => {}
        () = adopt_orphans(node) => {}
        () = watch::operator(node.clone()) => {}
        () = until_lost(node, fence, seen) => {}
    }
}

/// Time for which a new keeper gives no order.
///
/// Engines that check fencing tokens refuse the former keeper by themselves. Where they check
/// nothing, its orders may still count for the length of a lease.
fn quiet<D: Dialect>(node: &Node<D>) -> Duration {
    match node.settings.bounds.engines_check_fences {
        true => Duration::ZERO,
        false => Duration::from_millis(node.settings.bounds.lease_ms),
    }
}

/// Gives the duty up at once, so that its successor need not wait for the lease to lapse.
async fn release<D: Dialect>(node: &Rc<Node<D>>, fence: Index) {
    let transaction = Transaction::new()
        .with_expected(KEEPER, fence)
        .with_remove(KEEPER);
    let committed = node.store.commit(&transaction).await;
    node.note_store("release", &committed);
    event!(
        info,
        "duty released",
        fence = fence.0,
        result = format!("{committed:?}")
    );
}

/// Returns once the row is another's or gone, or the lease is lost.
async fn until_lost<D: Dialect>(node: &Rc<Node<D>>, fence: Index, mut seen: Index) {
    let lease = node.lease.id();
    loop {
        tokio::select! {
            checked = still_ours(node, fence, seen) => match checked {
                Ok(Some(revision)) => seen = revision,
                Ok(None) => return,
                Err(error) => {
                    event!(debug, "watch failed", prefix = KEEPER, why = error);
                    sleep(RETURN_PAUSE).await;
                }
            },
            () = node.lease.changed() => {}
            () = node.stopping() => {}
        }
        if node.lease.id() != lease || node.stage.get() == Stage::Stopping {
            return;
        }
    }
}

/// Waits for a change; gives the revision up to which the row is still ours.
async fn still_ours<D: Dialect>(
    node: &Rc<Node<D>>,
    fence: Index,
    seen: Index,
) -> Result<Option<Index>, Error> {
    let changes = node.store.watch(KEEPER, seen, WAIT).await;
    node.note_store("watch", &changes);
    match changes {
        Ok((changes, revision)) => Ok(changes.is_empty().then_some(revision)),
        Err(error) if error.is_history_gone() => {
            let row = node.store.row(KEEPER, Freshness::Linearizable).await;
            node.note_store("keeper", &row);
            let (row, revision) = row?;
            let is_ours = row.is_some_and(|row| row.revision == fence);
            Ok(is_ours.then_some(revision))
        }
        Err(error) => Err(error),
    }
}

/// Follows the members, and takes over the batch jobs of those that are gone.
async fn adopt_orphans<D: Dialect>(node: &Rc<Node<D>>) {
    let mut backoff = Backoff::new();
    let mut known = BTreeSet::new();
    loop {
        match adopt_once(node, &mut known).await {
            Ok(()) => backoff = Backoff::new(),
            Err(error) => {
                event!(info, "orphans not looked for", why = error);
                node.health.pause(backoff.next_pause()).await;
            }
        }
    }
}

async fn adopt_once<D: Dialect>(
    node: &Rc<Node<D>>,
    known: &mut BTreeSet<Owner>,
) -> Result<(), Error> {
    let (members, revision) = members::members_at(node, Freshness::Linearizable).await?;
    let members: BTreeSet<_> = members.into_iter().collect();
    let is_first = known.is_empty();
    let has_lost = !known.is_subset(&members);
    if is_first || has_lost {
        sleep(RETURN_PAUSE).await;
        let (live, _) = members::members_at(node, Freshness::Linearizable).await?;
        let live: BTreeSet<_> = live.into_iter().collect();
        if !jobs::take_over_orphans(node, &live).await? {
            event!(info, "orphans left");
            return Ok(());
        }
    }
    // Only now: a look that failed is made again.
    *known = members;
    wait_for_change(node, MEMBERS, revision).await
}
