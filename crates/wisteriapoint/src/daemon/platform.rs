//! Calls of the daemon to the platform: lease, watches and proposals of views.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::time::sleep;
use wisteriapoint_catalog::{Document, LeavingVms, Update};
use wisteriapoint_membership::{Member, View};
use wisteriapoint_store::{Backoff, Entry, Error, Index, Lease, Store, VmState, keys};
use wisteriapoint_types::{Nonce, ServiceName};

use super::Shared;
use super::control::Command;
use super::transfer;
use crate::record::{ServiceRecord, WeightRecord};

const WATCH_WAIT: Duration = Duration::from_secs(30);
const ROLE_CHECK_PAUSE: Duration = Duration::from_millis(500);
const VMS_PAUSE: Duration = Duration::from_secs(3);
const RENEWALS_PER_TTL: u32 = 3;

/// Proposes the next view, and sends the view that the platform stores afterwards to the control
/// loop.
///
/// Does nothing while an earlier proposal is in progress: the calls of a proposal wait for the rate
/// limit, and several proposals would delay all other calls.
pub fn spawn_proposal(shared: &Arc<Shared>, next: View) {
    if shared.proposing.swap(true, Ordering::AcqRel) {
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let proposed = propose(&shared, next).await;
        shared.proposing.store(false, Ordering::Release);
        count_call(&shared, "propose", proposed.is_ok());
        if let Ok(view) = proposed {
            // The send fails only when the daemon stops.
            let _ = shared.control.send(Command::View(view)).await;
        }
    });
}

/// Writes a view if the platform stores its predecessor; returns the view that is then stored.
async fn propose(shared: &Arc<Shared>, next: View) -> Result<View, Error> {
    let store = &shared.store;
    let (current, index) = read_view(store).await?;
    if current.number.0 + 1 != next.number.0 {
        return Ok(current);
    }
    // Read after the view, since a daemon releases its lease before it leaves the view.
    let (leases, _) = store.list(keys::LEASES, None, Duration::ZERO).await?;
    let Some(next) = next.without_expired(&current, &parse_leases(shared, &leases)) else {
        return Ok(current);
    };
    let next = transfer::trim_earlier_views(shared, &current, next).await;
    let value = serde_json::to_vec(&next).map_err(malformed)?;
    match store.compare_and_swap(keys::VIEW, index, value).await {
        Ok(true) => Ok(next),
        Ok(false) => Ok(read_view(store).await?.0),
        Err(error) if error.may_have_taken_effect() => Ok(read_view(store).await?.0),
        Err(error) => Err(error),
    }
}

/// Releases the lease and leaves the view.
///
/// # Errors
///
/// Fails if a call to the platform fails. The proposers then remove this daemon after its lease
/// expires.
pub async fn leave(shared: &Arc<Shared>) -> Result<(), Error> {
    // These calls bypass the rate limit: a stop shortly after a start must not wait behind the
    // calls of the start.
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
        let next = transfer::trim_earlier_views(shared, &view, next).await;
        let value = serde_json::to_vec(&next).map_err(malformed)?;
        if store.compare_and_swap(keys::VIEW, index, value).await? {
            transfer::wait_for_hand_over(shared, next).await;
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

fn count_call(shared: &Shared, kind: &str, ok: bool) {
    let result = if ok { "ok" } else { "failed" };
    let calls = &shared.metrics.platform_calls;
    calls.with_label_values(&[kind, result]).inc();
}

/// A key prefix that a few daemons watch on behalf of all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watch {
    /// Current view.
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

    /// Returns `true` if this daemon watches the prefix.
    ///
    /// The proposers watch the leases; a few daemons of each failure domain watch the others.
    fn is_assigned(self, shared: &Shared) -> bool {
        let snapshot = shared.snapshot.load();
        let (view, me) = (&snapshot.view, shared.me.id);
        match self {
            Self::Leases => view.member(me).is_none() || view.proposer_rank(me).is_some(),
            _ => view.is_watcher(me),
        }
    }

    /// Waits until the watch is no longer assigned to this daemon.
    async fn unassigned(self, shared: &Shared) {
        while self.is_assigned(shared) {
            sleep(ROLE_CHECK_PAUSE).await;
        }
    }

    fn command(self, shared: &Shared, entries: &[Entry]) -> Option<Command> {
        match self {
            Self::View => Some(Command::View(parse(shared, entries.first()?)?)),
            Self::Services => Some(Command::Update(service_update(shared, entries))),
            Self::Weights => Some(Command::Update(weight_update(shared, entries))),
            Self::Leases => Some(Command::Leases(Some(parse_leases(shared, entries)))),
        }
    }

    /// Returns the command for the control loop after a failed call, if this prefix has one.
    fn failure_command(self) -> Option<Command> {
        (self == Self::Leases).then_some(Command::Leases(None))
    }

    /// Watches the prefix whenever it is assigned to this daemon, until the control loop stops.
    pub async fn follow_prefix(self, shared: Arc<Shared>) {
        let mut since = None;
        let mut backoff = Backoff::new();
        loop {
            if !self.is_assigned(&shared) {
                since = None;
                sleep(ROLE_CHECK_PAUSE).await;
                continue;
            }
            let listed = tokio::select! {
                listed = shared.store.list(self.prefix(), since, WATCH_WAIT) => listed,
                () = self.unassigned(&shared) => continue,
            };
            count_call(&shared, "watch", listed.is_ok());
            let command = match &listed {
                Ok((entries, _)) => self.command(&shared, entries),
                Err(_) => self.failure_command(),
            };
            if let Some(command) = command
                && shared.control.send(command).await.is_err()
            {
                return;
            }
            match listed {
                Ok((_, index)) => {
                    // A decreasing index means that the platform was restored.
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

/// Parses the value of an entry; counts a malformed one and returns `None`.
fn parse<T: DeserializeOwned>(shared: &Shared, entry: &Entry) -> Option<T> {
    let value = serde_json::from_slice(&entry.value);
    if value.is_err() {
        shared.metrics.malformed_records.inc();
    }
    value.ok()
}

fn service_update(shared: &Shared, entries: &[Entry]) -> Update {
    let documents = entries.iter().filter_map(|entry| {
        let name = entry.key.strip_prefix(keys::SERVICES)?;
        let current = parse::<ServiceRecord>(shared, entry)?.current;
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

fn weight_update(shared: &Shared, entries: &[Entry]) -> Update {
    let versions = entries.iter().filter_map(|entry| {
        let name = entry.key.strip_prefix(keys::WEIGHTS)?;
        let record = parse::<WeightRecord>(shared, entry)?;
        Some((ServiceName::new(name), record.version))
    });
    Update {
        versions: versions.collect(),
        ..Update::default()
    }
}

fn parse_leases(shared: &Shared, entries: &[Entry]) -> Vec<Member> {
    let members = entries.iter().filter_map(|entry| parse(shared, entry));
    members.collect()
}

/// Polls the platform's list of VMs while this daemon watches the configuration.
pub async fn poll_vms(shared: Arc<Shared>) {
    loop {
        if Watch::Services.is_assigned(&shared) {
            let listed = shared.store.vms().await;
            count_call(&shared, "vms", listed.is_ok());
            let leaving = listed.map(|vms| LeavingVms {
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

/// Renews the VM's lease, and requests a new one after it expired, until the daemon leaves.
///
/// The lease's value is this daemon's [`Member`] record.
pub async fn maintain_lease(shared: Arc<Shared>, ttl: Duration) {
    let mut backoff = Backoff::new();
    while !shared.leaving.load(Ordering::Acquire) {
        match shared.lease.load_full() {
            Some(lease) => renew(&shared, &lease).await,
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
    count_call(shared, "renew", renewed.is_ok());
    if let Err(Error::LeaseExpired) = renewed {
        shared.lease.store(None);
    }
}

async fn grant(shared: &Arc<Shared>, ttl: Duration) {
    let key = keys::lease(&shared.me.vm);
    let value = serde_json::to_vec(&shared.me).unwrap_or_default();
    let granted = shared.store.grant_lease(&key, value, ttl).await;
    count_call(shared, "grant", granted.is_ok());
    match granted {
        // A lease that was granted after the daemon began to leave has to be released here.
        Ok(lease) if shared.leaving.load(Ordering::Acquire) => {
            let released = shared.store.release_lease(&lease).await;
            count_call(shared, "release", released.is_ok());
        }
        Ok(lease) => shared.lease.store(Some(Arc::new(lease))),
        Err(error) => log::debug!("lease request failed: {error}; retrying"),
    }
}
