//! The endpoints as a node knows them: the keeper by their rows, the others by the keeper.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use wisteriapoint_directory::EndpointRecord;
use wisteriapoint_store::{Backoff, Change, Error, Index, Row};
use wisteriapoint_types::EndpointName;

use super::feed::{self, FeedPosition};
use super::watch::{RowUpdate, read_all, read_changes};
use crate::dialect::Dialect;
use crate::event;
use crate::node::{Directory, Node};

/// Least time between two watches of the endpoints: a change that several follow costs one call,
/// and an endpoint that drains is still left within its two seconds.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(900);

/// Pause after which a node that reads the rows itself looks again for a keeper that tells it.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the endpoints: the keeper their rows, the others the keeper.
pub async fn sync_endpoints<D: Dialect>(node: Rc<Node<D>>) {
    tokio::task::spawn_local(expire_absent_endpoints(node.clone()));
    let mut backoff = Backoff::new();
    let mut state = SyncState::Unknown;
    loop {
        let leader = node.leader.borrow().clone();
        let position = match &leader {
            Some(leader) if *leader != node.owner && node.directory.borrow().endpoints_loaded => {
                feed::poll_leader(&node, leader.address, state.position()).await
            }
            _ => None,
        };
        state = match position {
            Some(position) => {
                node.feed.set_fresh(false);
                SyncState::Leader(position)
            }
            None => match sync_from_store(&node, state).await {
                Ok(state) => {
                    backoff = Backoff::new();
                    state
                }
                Err(error) => {
                    event!(info, "endpoints not read", why = error);
                    node.feed.set_fresh(false);
                    node.health.pause(backoff.next_pause()).await;
                    SyncState::Unknown
                }
            },
        };
        let count = node.directory.borrow().registry.iter().count();
        node.metrics.set_state("endpoints", count as i64);
    }
}

/// Up to where the endpoints are known.
#[derive(Debug, Clone, Copy)]
enum SyncState {
    Unknown,
    /// All of them, at a revision of the store.
    All(Index),
    /// Those that this node uses, at a revision of the store.
    Used(Index),
    /// Those that this node uses, as a keeper told them.
    Leader(FeedPosition),
}

impl SyncState {
    /// What a keeper may go on from.
    fn position(self) -> Option<FeedPosition> {
        match self {
            Self::Used(revision) => Some(FeedPosition {
                revision: Some(revision),
                leader: None,
            }),
            Self::Leader(position) => Some(position),
            Self::Unknown | Self::All(_) => None,
        }
    }

    /// The revision from which a node may go on to watch the rows.
    fn revision(self, is_leader: bool) -> Option<Index> {
        match self {
            Self::All(revision) if is_leader => Some(revision),
            Self::Used(revision) if !is_leader => Some(revision),
            Self::Leader(position) if !is_leader => position.revision,
            _ => None,
        }
    }
}

/// Reads or watches the rows of the endpoints once.
async fn sync_from_store<D: Dialect>(
    node: &Rc<Node<D>>,
    state: SyncState,
) -> Result<SyncState, Error> {
    let prefix = D::ENDPOINTS_PREFIX;
    let apply = |rows: RowUpdate<'_>| apply_endpoints(node, rows);
    let is_leader = node.is_leader();
    let revision = match state.revision(is_leader) {
        Some(revision) => {
            node.feed.set_fresh(is_leader);
            // Another keeper may be known any time.
            tokio::select! {
            changes = read_changes(node, prefix, revision, &apply) => changes?,
            () = sleep(LEADER_POLL_INTERVAL), if !is_leader => revision,
            }
        }
        None => read_all(node, prefix, &apply).await?,
    };
    node.feed.set_revision(revision);
    node.feed.set_fresh(is_leader);
    if node.directory.borrow().endpoints_loaded {
        sleep(MIN_WATCH_INTERVAL).await;
    }
    Ok(match is_leader {
        true => SyncState::All(revision),
        false => SyncState::Used(revision),
    })
}

fn apply_endpoints<D: Dialect>(node: &Rc<Node<D>>, rows: RowUpdate<'_>) {
    match rows {
        RowUpdate::All(rows, revision) => replace_endpoints(node, rows, revision),
        RowUpdate::Changes(changes, revision) => {
            for change in changes {
                apply_change(node, change, revision);
            }
        }
    }
    if node.is_leader() {
        update_sizes(&mut node.directory.borrow_mut());
    }
    node.feed.publish();
    node.directory_changed.notify_waiters();
}

/// Works out how large the services are, from all endpoints.
fn update_sizes(directory: &mut Directory) {
    let Directory {
        registry, sizes, ..
    } = directory;
    sizes.update(registry.iter().map(|(_, entry)| &entry.record.service));
}

fn replace_endpoints<D: Dialect>(node: &Node<D>, rows: &[Row], revision: Index) {
    let mut records = Vec::new();
    for row in rows {
        match (
            D::endpoint_name(&row.key),
            D::parse_endpoint_row(&row.value),
        ) {
            (Some(name), Ok(record)) => records.push((name, record)),
            (_, Err(error)) => event!(warn, "row names no endpoint", key = row.key, why = error),
            (None, _) => event!(warn, "row names no endpoint", key = row.key),
        }
    }
    let mut directory = node.directory.borrow_mut();
    let directory = &mut *directory;
    let services = records.iter().map(|(_, record)| &record.service);
    directory.sizes.update(services);
    let count = records.len();
    records.retain(|(name, record)| node.uses(&directory.sizes, &record.service, name));
    event!(info, "endpoints read", count = count, used = records.len());
    node.feed.reset(revision);
    let now_ms = node.now_ms();
    let outage_end_ms = node.health.outage_end_ms(now_ms);
    directory.registry.replace(now_ms, records, outage_end_ms);
    directory.endpoints_loaded = true;
}

fn apply_change<D: Dialect>(node: &Node<D>, change: &Change, revision: Index) {
    let key = match change {
        Change::Written(row) => &row.key,
        Change::Removed(key) => key,
    };
    let Some(name) = D::endpoint_name(key) else {
        event!(warn, "row names no endpoint", key = key);
        return;
    };
    node.feed.record_change(&name, revision);
    match change {
        Change::Written(row) => match D::parse_endpoint_row(&row.value) {
            Ok(record) => update_endpoint(node, &name, record, "store"),
            Err(error) => {
                event!(warn, "row names no endpoint", key = key, why = error);
                remove_endpoint(node, &name, None, "store");
            }
        },
        Change::Removed(_) => {
            let outage_end_ms = node.health.outage_end_ms(node.now_ms());
            remove_endpoint(node, &name, outage_end_ms, "store");
        }
    }
}

/// Takes what is told of an endpoint, if this node uses it.
pub fn update_endpoint<D: Dialect>(
    node: &Node<D>,
    name: &EndpointName,
    record: EndpointRecord,
    source: &str,
) {
    let mut directory = node.directory.borrow_mut();
    if !node.uses(&directory.sizes, &record.service, name) {
        return;
    }
    let stage = record.stage;
    let before = directory.registry.get(name).map(|entry| entry.record.stage);
    let is_changed = directory.registry.apply_record(name, record);
    // Other changes are those of weights, of which there may be hundreds a second.
    match is_changed && before != Some(stage) {
        true => event!(
            info,
            "endpoint changed",
            endpoint = name,
            stage = format!("{stage:?}"),
            told_by = source
        ),
        false => event!(debug, "endpoint told", endpoint = name, told_by = source),
    }
}

/// Notes that an endpoint has left; around an outage of the store it may come back.
pub fn remove_endpoint<D: Dialect>(
    node: &Node<D>,
    name: &EndpointName,
    outage_end_ms: Option<u64>,
    source: &str,
) {
    let mut directory = node.directory.borrow_mut();
    if directory.registry.get(name).is_none() {
        return;
    }
    event!(
        info,
        "endpoint gone",
        endpoint = name,
        after_outage = outage_end_ms.is_some(),
        told_by = source
    );
    directory
        .registry
        .handle_row_removal(node.now_ms(), name, outage_end_ms);
    if directory.registry.get(name).is_none() {
        node.pool.close_idle(name);
    }
}

/// Forgets endpoints that did not come back after trouble of the store.
async fn expire_absent_endpoints<D: Dialect>(node: Rc<Node<D>>) {
    const POLL: Duration = Duration::from_millis(200);
    loop {
        sleep(POLL).await;
        let now_ms = node.now_ms();
        let mut directory = node.directory.borrow_mut();
        if let Some(end_ms) = node.health.outage_end_ms(now_ms) {
            directory.registry.extend_grace_periods(end_ms);
        }
        for name in directory.registry.expire(now_ms) {
            event!(info, "endpoint did not come back", endpoint = name);
            node.feed.record_change(&name, node.feed.revision());
            node.feed.publish();
            node.pool.close_idle(&name);
        }
    }
}
