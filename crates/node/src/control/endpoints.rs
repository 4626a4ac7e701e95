//! The endpoint registry of a node, kept current from the store or from the leader.

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
use crate::streams;

/// Least time between two watches of the endpoints: changes in quick succession cost one call, and
/// nodes still stop using a draining endpoint within its two seconds.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(900);

/// Interval at which a node that watches the rows itself checks for a leader to follow.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps the registry current: from the store at the leader, from the leader at other nodes.
///
/// Before its first complete read, and while no leader answers, a node reads and watches the rows
/// itself.
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
                node.directory.borrow_mut().endpoints_current_ms = node.now_ms();
                node.feed.set_fresh(false);
                SyncState::Leader(position)
            }
            None => match sync_from_store(&node, state).await {
                Ok(state) => {
                    backoff = Backoff::new();
                    state
                }
                Err(error) => {
                    event!(
                        info,
                        "endpoints could not be read from the store; retrying",
                        error = error
                    );
                    node.feed.set_fresh(false);
                    node.store_health.pause(backoff.next_pause()).await;
                    SyncState::Unknown
                }
            },
        };
        let count = node.directory.borrow().registry.iter().count();
        node.metrics.set_state("endpoints", count as i64);
    }
}

/// The source and position up to which the registry is current.
#[derive(Debug, Clone, Copy)]
enum SyncState {
    Unknown,
    /// All endpoints, read from the store at this revision.
    All(Index),
    /// The endpoints that this node uses, read from the store at this revision.
    Used(Index),
    /// The endpoints that this node uses, received from a leader.
    Leader(FeedPosition),
}

impl SyncState {
    /// Returns the position from which a leader can send changes.
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

    /// Returns the revision from which the rows can be watched.
    fn revision(self, is_leader: bool) -> Option<Index> {
        match self {
            Self::All(revision) if is_leader => Some(revision),
            Self::Used(revision) if !is_leader => Some(revision),
            Self::Leader(position) if !is_leader => position.revision,
            _ => None,
        }
    }
}

/// Reads all rows of the endpoints, or waits once for changes after the last revision.
async fn sync_from_store<D: Dialect>(
    node: &Rc<Node<D>>,
    state: SyncState,
) -> Result<SyncState, Error> {
    let prefix = D::ENDPOINTS_PREFIX;
    let apply = |rows: RowUpdate<'_>| apply_row_update(node, rows);
    let is_leader = node.is_leader();
    let revision = match state.revision(is_leader) {
        Some(revision) => {
            node.feed.set_fresh(is_leader);
            // A leader may become known at any time.
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

fn apply_row_update<D: Dialect>(node: &Rc<Node<D>>, rows: RowUpdate<'_>) {
    match rows {
        RowUpdate::All(rows, revision) => replace_from_rows(node, rows, revision),
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

/// Updates the sizes of the services from all endpoints.
fn update_sizes(directory: &mut Directory) {
    let Directory {
        registry, sizes, ..
    } = directory;
    sizes.update(registry.iter().map(|(_, entry)| &entry.record.service));
}

fn replace_from_rows<D: Dialect>(node: &Node<D>, rows: &[Row], revision: Index) {
    let mut records = Vec::new();
    for row in rows {
        match (
            D::endpoint_name(&row.key),
            D::parse_endpoint_row(&row.value),
        ) {
            (Some(name), Ok(record)) => records.push((name, record)),
            (_, Err(error)) => event!(
                warn,
                "endpoint row could not be parsed; ignored",
                key = row.key,
                error = error
            ),
            (None, _) => event!(
                warn,
                "endpoint row has an invalid key; ignored",
                key = row.key
            ),
        }
    }
    let mut directory = node.directory.borrow_mut();
    let directory = &mut *directory;
    let services = records.iter().map(|(_, record)| &record.service);
    directory.sizes.update(services);
    let count = records.len();
    records.retain(|(name, record)| node.uses(&directory.sizes, &record.service, name));
    event!(
        info,
        "endpoints read from the store",
        count = count,
        used = records.len()
    );
    node.feed.reset(revision);
    let now_ms = node.now_ms();
    let outage_end_ms = node.store_health.outage_end_ms(now_ms);
    directory.registry.replace(now_ms, records, outage_end_ms);
    directory.endpoints_loaded = true;
}

fn apply_change<D: Dialect>(node: &Node<D>, change: &Change, revision: Index) {
    let key = match change {
        Change::Written(row) => &row.key,
        Change::Removed(key) => key,
    };
    let Some(name) = D::endpoint_name(key) else {
        event!(warn, "endpoint row has an invalid key; ignored", key = key);
        return;
    };
    node.feed.record_change(&name, revision);
    match change {
        Change::Written(row) => match D::parse_endpoint_row(&row.value) {
            Ok(record) => update_endpoint(node, &name, record, "store"),
            Err(error) => {
                event!(
                    warn,
                    "endpoint row could not be parsed; removing the endpoint",
                    key = key,
                    error = error
                );
                remove_endpoint(node, &name, None, "store");
            }
        },
        Change::Removed(_) => {
            let outage_end_ms = node.store_health.outage_end_ms(node.now_ms());
            remove_endpoint(node, &name, outage_end_ms, "store");
        }
    }
}

/// Applies a record to the registry if this node uses the endpoint.
///
/// `source` is written to the log.
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
    // Other changes are of weight versions, of which there may be hundreds a second.
    match is_changed && before != Some(stage) {
        true => event!(
            info,
            "endpoint changed",
            endpoint = name,
            stage = format!("{stage:?}"),
            source = source
        ),
        false => event!(
            debug,
            "endpoint record received",
            endpoint = name,
            source = source
        ),
    }
}

/// Removes an endpoint whose row has been removed.
///
/// With `outage_end_ms`, the end of a recent outage of the store, the endpoint stays in the
/// registry for a grace period, as its row may be written again. `source` is written to the log.
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
        "endpoint no longer listed",
        endpoint = name,
        after_outage = outage_end_ms.is_some(),
        source = source
    );
    directory
        .registry
        .handle_row_removal(node.now_ms(), name, outage_end_ms);
    if directory.registry.get(name).is_none() {
        node.pool.forget(name);
    }
}

/// Removes endpoints whose rows were not written again within the grace period after an outage.
async fn expire_absent_endpoints<D: Dialect>(node: Rc<Node<D>>) {
    const EXPIRY_POLL_INTERVAL: Duration = Duration::from_millis(200);
    loop {
        sleep(EXPIRY_POLL_INTERVAL).await;
        streams::observe_versions(&node);
        let now_ms = node.now_ms();
        let mut directory = node.directory.borrow_mut();
        if let Some(end_ms) = node.store_health.outage_end_ms(now_ms) {
            directory.registry.extend_grace_periods(end_ms);
        }
        for name in directory.registry.expire(now_ms) {
            event!(
                info,
                "endpoint still absent after the grace period; removed",
                endpoint = name
            );
            node.feed.record_change(&name, node.feed.revision());
            node.feed.publish();
            node.pool.forget(&name);
        }
    }
}
