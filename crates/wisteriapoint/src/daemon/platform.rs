//! The daemon's calls to the platform: its lease, its place in the view, its watches.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use wisteriapoint_membership::View;
use wisteriapoint_platform::{Entry, Error, Index, Lease, Store, keys};
use wisteriapoint_types::Nonce;

use super::Shared;
use super::control::Command;
use super::transfer;

const WATCH_WAIT: Duration = Duration::from_secs(30);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const VMS_PAUSE: Duration = Duration::from_secs(5);
const RENEWALS_PER_TTL: u32 = 3;

/// Joins the view: adds this daemon and removes earlier runs on the same VM.
pub async fn join<S: Store>(shared: Arc<Shared>, store: S) {
    loop {
        match try_join(&shared, &store).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => log::debug!("joining the view failed: {error}"),
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn try_join<S: Store>(shared: &Arc<Shared>, store: &S) -> Result<bool, Error> {
    let (view, index) = read_view(store).await?;
    if view.member(shared.me.id).is_some() {
        return Ok(tell(shared, view).await);
    }
    let view = transfer::without_earlier(shared, view).await;
    let next = view.with_member(shared.me.clone(), Nonce(rand::random()));
    let value = serde_json::to_vec(&next).map_err(malformed)?;
    match store.compare_and_swap(keys::VIEW, index, value).await? {
        true => Ok(tell(shared, next).await),
        false => Ok(false),
    }
}

/// Leaves the view.
///
/// # Errors
///
/// Fails if the platform does not answer.
pub async fn leave<S: Store>(shared: &Arc<Shared>, store: &S) -> Result<(), Error> {
    loop {
        let (view, index) = read_view(store).await?;
        if view.member(shared.me.id).is_none() {
            return Ok(());
        }
        let view = transfer::without_earlier(shared, view).await;
        let next = view.without_members(&[shared.me.id], Nonce(rand::random()));
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

async fn tell(shared: &Arc<Shared>, view: View) -> bool {
    shared.control.send(Command::View(view)).await.is_ok()
}

/// Watches a prefix and tells control of every change.
pub async fn watch<S, F>(shared: Arc<Shared>, store: S, prefix: &'static str, command: F)
where
    S: Store,
    F: Fn(Vec<Entry>) -> Option<Command>,
{
    let mut since = None;
    loop {
        let listed = store.list(prefix, since, WATCH_WAIT).await;
        let result = if listed.is_ok() { "ok" } else { "failed" };
        let calls = &shared.metrics.platform_calls;
        calls.with_label_values(&["watch", result]).inc();
        let Ok((entries, index)) = listed else {
            since = None;
            sleep(RETRY_PAUSE).await;
            continue;
        };
        since = Some(index);
        if let Some(command) = command(entries)
            && shared.control.send(command).await.is_err()
        {
            return;
        }
    }
}

/// The command that tells control of a new view.
pub fn view_command(entries: Vec<Entry>) -> Option<Command> {
    let entry = entries.first()?;
    match parse_view(entry) {
        Ok(view) => Some(Command::View(view)),
        Err(error) => {
            log::warn!("{}: {error}", entry.key);
            None
        }
    }
}

/// Reads the list of VMs again and again.
pub async fn poll_vms<S: Store>(shared: Arc<Shared>, store: S) {
    loop {
        if let Ok(vms) = store.vms().await
            && shared.control.send(Command::Vms(vms)).await.is_err()
        {
            return;
        }
        sleep(VMS_PAUSE).await;
    }
}

/// Keeps the VM's lease, and asks for a new one when it lapsed.
pub async fn keep_lease<S: Store>(shared: Arc<Shared>, store: S, ttl: Duration) {
    let mut lease: Option<Lease> = None;
    loop {
        lease = match lease {
            Some(held) => match store.renew_lease(&held).await {
                Err(Error::LeaseLapsed) => None,
                _ => Some(held),
            },
            None => grant(&shared, &store, ttl).await,
        };
        let pause = match lease {
            Some(_) => ttl / RENEWALS_PER_TTL,
            None => RETRY_PAUSE,
        };
        sleep(pause).await;
    }
}

async fn grant<S: Store>(shared: &Arc<Shared>, store: &S, ttl: Duration) -> Option<Lease> {
    let key = keys::lease(&shared.me.vm);
    let value = shared.me.id.to_string().into_bytes();
    store.grant_lease(&key, value, ttl).await.ok()
}
