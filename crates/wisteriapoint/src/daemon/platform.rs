//! The daemon's calls to the platform: its lease, its watches, proposals of views.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::time::sleep;
use wisteriapoint_catalog::{Document, Leaving, Update};
use wisteriapoint_membership::{Member, View};
use wisteriapoint_store::{Backoff, Entry, Error, Index, Lease, Store, VmState, keys};
use wisteriapoint_types::{Nonce, ServiceName};

use super::Shared;
use super::control::Command;
use super::transfer;
use crate::record::{ServiceRecord, WeightRecord};

const WATCH_WAIT: Duration = Duration::from_secs(30);
const ROLE_PAUSE: Duration = Duration::from_millis(500);
const VMS_PAUSE: Duration = Duration::from_secs(3);
const RENEWALS_PER_TTL: u32 = 3;

/// Proposes the next view; whatever the platform then holds is told to control.
///
/// Does nothing while an earlier proposal is on its way: the calls of one wait for the budget,
/// and those of many would hold up all others.
pub fn spawn_proposal(shared: &Arc<Shared>, next: View) {
    if shared.proposing.swap(true, Ordering::AcqRel) {
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let proposed = propose(&shared, next).await;
        shared.proposing.store(false, Ordering::Release);
        count(&shared, "propose", proposed.is_ok());
        if let Ok(view) = proposed {
            // Control is gone only when the daemon stops.
            let _ = shared.control.send(Command::View(view)).await;
        }
    });
}

/// Writes a view if the platform holds the one before it; gives the view that it holds.
async fn propose(shared: &Arc<Shared>, next: View) -> Result<View, Error> {
    let store = &shared.store;
    let (held, index) = read_view(store).await?;
    if held.number.0 + 1 != next.number.0 {
        return Ok(held);
    }
    // Read after the view: who left it had given its lease back before.
    let (holders, _) = store.list(keys::LEASES, None, Duration::ZERO).await?;
    let Some(next) = next.without_lapsed(&held, &leases(shared, &holders)) else {
        return Ok(held);
    };
    let next = transfer::trim(shared, &held, next).await;
    let value = serde_json::to_vec(&next).map_err(malformed)?;
    match store.compare_and_swap(keys::VIEW, index, value).await {
        Ok(true) => Ok(next),
        Ok(false) => Ok(read_view(store).await?.0),
        Err(error) if error.may_have_taken_effect() => Ok(read_view(store).await?.0),
        Err(error) => Err(error),
    }
}

/// Gives back the lease and leaves the view.
///
/// # Errors
///
/// Fails if the platform does not answer; then the lease lapses, and the proposers remove
/// this daemon.
pub async fn leave(shared: &Arc<Shared>) -> Result<(), Error> {
    // These last calls may follow a start closely, and should not queue behind its calls.
    let store = shared.store.unlimited();
    shared.leaving.store(true, Ordering::Release);
    if let Some(lease) = shared.lease.swap(None) {
        store.release_lease(&lease).await?;
    }
    loop {
        let (view, index) = read_view(store).await?;
        if view.member(shared.me.id).is_none() {
            return Ok(());
        }
        let next = view.without_members(&[shared.me.id], Nonce(rand::random()));
        let next = transfer::trim(shared, &view, next).await;
        let value = serde_json::to_vec(&next).map_err(malformed)?;
        if store.compare_and_swap(keys::VIEW, index, value).await? {
            transfer::hand_over(shared, next).await;
            return Ok(());
        }
    }
}

async fn read_view<S: Store>(store: &S) -> Result<(View, Index), Error> {
    match store.get(keys::VIEW).await? {
        Some(entry) => Ok((parse_view(&entry)?, entry.index)),
        None => Ok((View::default(), Index(0))),
    }
}

fn parse_view(entry: &Entry) -> Result<View, Error> {
    serde_json::from_slice(&entry.value).map_err(malformed)
}

fn malformed(error: serde_json::Error) -> Error {
    Error::Malformed(error.to_string().into())
}

fn count(shared: &Shared, kind: &str, ok: bool) {
    let result = if ok { "ok" } else { "failed" };
    let calls = &shared.metrics.platform_calls;
    calls.with_label_values(&[kind, result]).inc();
}

/// A prefix of keys that some daemons watch on behalf of all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watch {
    /// The view.
    View,
    /// Service documents.
    Services,
    /// Published weight versions.
    Weights,
    /// Leases of VMs.
    Leases,
}

impl Watch {
    fn prefix(self) -> &'static str {
        match self {
            Self::View => keys::VIEW,
            Self::Services => keys::SERVICES,
            Self::Weights => keys::WEIGHTS,
            Self::Leases => keys::LEASES,
        }
    }

    /// Whether this daemon watches: a few of each failure domain, for leases the proposers.
    fn is_mine(self, shared: &Shared) -> bool {
        let snapshot = shared.snapshot.load();
        let (view, me) = (&snapshot.view, shared.me.id);
        match self {
            Self::Leases => view.member(me).is_none() || view.proposer_rank(me).is_some(),
            _ => view.is_watcher(me),
        }
    }

    /// Waits until it is no longer this daemon's turn.
    async fn turn_ends(self, shared: &Shared) {
        while self.is_mine(shared) {
            sleep(ROLE_PAUSE).await;
        }
    }

    fn command(self, shared: &Shared, entries: &[Entry]) -> Option<Command> {
        match self {
            Self::View => Some(Command::View(parsed(shared, entries.first()?)?)),
            Self::Services => Some(Command::Update(services(shared, entries))),
            Self::Weights => Some(Command::Update(weights(shared, entries))),
            Self::Leases => Some(Command::Leases(Some(leases(shared, entries)))),
        }
    }

    /// The command that tells control of a platform that does not answer.
    fn failed(self) -> Option<Command> {
        (self == Self::Leases).then_some(Command::Leases(None))
    }

    /// Watches while it is this daemon's turn, until control is gone.
    pub async fn run(self, shared: Arc<Shared>) {
        let mut since = None;
        let mut backoff = Backoff::new();
        loop {
            if !self.is_mine(&shared) {
                since = None;
                sleep(ROLE_PAUSE).await;
                continue;
            }
            let listed = tokio::select! {
                listed = shared.store.list(self.prefix(), since, WATCH_WAIT) => listed,
                () = self.turn_ends(&shared) => continue,
            };
            count(&shared, "watch", listed.is_ok());
            let command = match &listed {
                Ok((entries, _)) => self.command(&shared, entries),
                Err(_) => self.failed(),
            };
            if let Some(command) = command
                && shared.control.send(command).await.is_err()
            {
                return;
            }
            match listed {
                Ok((_, index)) => {
                    // An index that falls tells of a platform that was restored.
                    since = (Some(index) >= since).then_some(index);
                    backoff = Backoff::new();
                }
                Err(_) => {
                    since = None;
                    sleep(backoff.next_pause()).await;
                }
            }
        }
    }
}

/// The value of an entry; one that can't be read is counted and passed over.
fn parsed<T: DeserializeOwned>(shared: &Shared, entry: &Entry) -> Option<T> {
    let value = serde_json::from_slice(&entry.value);
    if value.is_err() {
        shared.metrics.malformed_records.inc();
    }
    value.ok()
}

fn services(shared: &Shared, entries: &[Entry]) -> Update {
    let documents = entries.iter().filter_map(|entry| {
        let name = entry.key.strip_prefix(keys::SERVICES)?;
        let current = parsed::<ServiceRecord>(shared, entry)?.current;
        let document = Document {
            revision: current.revision,
            text: current.document,
        };
        Some((ServiceName::new(name), document))
    });
    Update {
        documents: documents.collect(),
        ..Update::default()
    }
}

fn weights(shared: &Shared, entries: &[Entry]) -> Update {
    let versions = entries.iter().filter_map(|entry| {
        let name = entry.key.strip_prefix(keys::WEIGHTS)?;
        let record = parsed::<WeightRecord>(shared, entry)?;
        Some((ServiceName::new(name), record.version))
    });
    Update {
        versions: versions.collect(),
        ..Update::default()
    }
}

fn leases(shared: &Shared, entries: &[Entry]) -> Vec<Member> {
    let members = entries.iter().filter_map(|entry| parsed(shared, entry));
    members.collect()
}

/// Reads the list of VMs again and again while it is this daemon's turn.
pub async fn poll_vms(shared: Arc<Shared>) {
    loop {
        if Watch::Services.is_mine(&shared) {
            let listed = shared.store.vms().await;
            count(&shared, "vms", listed.is_ok());
            let leaving = listed.map(|vms| Leaving {
                observed_at_ms: shared.clock.now_ms(),
                vms: vms
                    .into_iter()
                    .filter(|entry| entry.state == VmState::Leaving)
                    .map(|entry| entry.vm)
                    .collect(),
            });
            if let Ok(leaving) = leaving {
                let update = Command::Update(Update::of_leaving(leaving));
                if shared.control.send(update).await.is_err() {
                    return;
                }
            }
        }
        sleep(VMS_PAUSE).await;
    }
}

/// Keeps the VM's lease, and asks for a new one when it lapsed, until the daemon leaves.
///
/// The lease's value is the daemon's record as a member.
pub async fn keep_lease(shared: Arc<Shared>, ttl: Duration) {
    let mut backoff = Backoff::new();
    while !shared.leaving.load(Ordering::Acquire) {
        match shared.lease.load_full() {
            Some(held) => renew(&shared, &held).await,
            None => grant(&shared, ttl).await,
        }
        match shared.lease.load_full() {
            Some(_) => {
                backoff = Backoff::new();
                sleep(ttl / RENEWALS_PER_TTL).await;
            }
            None => sleep(backoff.next_pause()).await,
        }
    }
}

async fn renew(shared: &Arc<Shared>, lease: &Lease) {
    let renewed = shared.store.renew_lease(lease).await;
    count(shared, "renew", renewed.is_ok());
    if let Err(Error::LeaseLapsed) = renewed {
        shared.lease.store(None);
    }
}

async fn grant(shared: &Arc<Shared>, ttl: Duration) {
    let key = keys::lease(&shared.me.vm);
    let value = serde_json::to_vec(&shared.me).unwrap_or_default();
    let granted = shared.store.grant_lease(&key, value, ttl).await;
    count(shared, "grant", granted.is_ok());
    match granted {
        // Nobody else would give back what was granted while the daemon left.
        Ok(lease) if shared.leaving.load(Ordering::Acquire) => {
            let released = shared.store.release_lease(&lease).await;
            count(shared, "release", released.is_ok());
        }
        Ok(lease) => shared.lease.store(Some(Arc::new(lease))),
        Err(error) => log::debug!("lease not granted: {error}"),
    }
}
