//! The endpoint registry of a node, kept current from the store or from the leader.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};
use wisteriapoint_batch::Owner;
use wisteriapoint_directory::EndpointRecord;
use wisteriapoint_store::{Backoff, Change, Error, Index, Row};
use wisteriapoint_types::EndpointName;

use super::feed::{self, FeedPosition, PollOutcome};
use super::watch::{RowUpdate, read_all, read_changes_within};
use crate::clock::boot_ms;
use crate::dialect::Dialect;
use crate::event;
use crate::node::{Directory, Node};
use crate::streams;

/// Least time between two calls of the leader to the store for the endpoints: changes in quick succession
/// cost one call.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(500);
/// The same of other nodes, which matters only if endpoints drain in less than a second.
const MIN_FOLLOWER_CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Time before its view is too old at which a node without a leader that answers reads the store, in
/// milliseconds: many times the duration of a call.
const READ_AHEAD_MS: u64 = 600;
/// Pause before a leader that has no current view is asked again.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);
/// Longest wait of a watch of a node that is not the leader. Its end shows that the store answers, and
/// then the leader is asked again.
const FOLLOWER_WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Time for which a leader that did not answer is not asked again: most are replaced in it.
const SILENT_LEADER_PAUSE: Duration = Duration::from_millis(2_500);

/// Longest time by which the clock of an endpoint may be ahead, in milliseconds: many times what clocks
/// differ that are set at all.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 3_600_000;

/// Keeps the registry current: from the store at the leader, from the leader at other nodes.
///
/// Before its first complete read, and while no leader answers, a node reads and watches the rows
/// itself. It does so before its view is too old, however long the leader's answer takes.
pub async fn sync_endpoints<D: Dialect>(node: Rc<Node<D>>) {
    tokio::task::spawn_local(expire_absent_endpoints(node.clone()));
    let mut leader_changes = node.leader.subscribe();
    let mut backoff = Backoff::new();
    let mut state = SyncState::Unknown;
    let mut silent: Option<(Owner, Instant)> = None;
    let mut called_at: Option<Instant> = None;
    let mut has_store_failed = false;
    loop {
        let leader = leader_changes.borrow_and_update().clone();
        let was_silent = leader.as_ref().is_some_and(|leader| {
            let mut silent = silent.iter();
            silent.any(|(other, until)| other == leader && Instant::now() < *until)
        });
        // A view that is too old is read from the store first, and else from the leader all the same.
        let limit = match Duration::from_millis(node.view_left_ms()) {
            left if has_store_failed => left.max(feed::MIN_POLL_TIME),
            left => left,
        };
        let outcome = match &leader {
            Some(leader)
                if *leader != node.owner
                    && node.directory.borrow().endpoints_loaded
                    && !was_silent
                    && limit >= feed::MIN_POLL_TIME =>
            {
                tokio::select! {
                    outcome = feed::poll_leader(&node, leader.address, state.position(), limit) => {
                        if let PollOutcome::Silent = outcome {
                            silent = Some((leader.clone(), Instant::now() + SILENT_LEADER_PAUSE));
                        }
                        outcome
                    }
                    _ = leader_changes.changed() => continue,
                }
            }
            _ => PollOutcome::Refused,
        };
        // A view that is too old to wait for an answer says nothing of the leader.
        let is_doubted = match outcome {
            PollOutcome::Applied(_) => false,
            _ => leader.is_some_and(|leader| {
                leader != node.owner && (was_silent || limit >= feed::MIN_POLL_TIME)
            }),
        };
        if is_doubted {
            node.leader_doubted.notify_one();
        }
        state = match outcome {
            PollOutcome::Applied(position) => {
                has_store_failed = false;
                node.feed.set_fresh(false);
                SyncState::Leader(position)
            }
            // All nodes may have lost the leader at once, so each calls the store only when it has to.
            _ if !node.is_leader() && node.view_left_ms() > READ_AHEAD_MS => {
                tokio::select! {
                    () = sleep(REFUSED_PAUSE) => {}
                    _ = leader_changes.changed() => {}
                }
                continue;
            }
            PollOutcome::Refused | PollOutcome::Silent => {
                if let Some(called_at) = called_at {
                    let interval = match node.is_leader() {
                        true => MIN_CALL_INTERVAL,
                        false => MIN_FOLLOWER_CALL_INTERVAL,
                    };
                    sleep_until(called_at + interval).await;
                }
                called_at = Some(Instant::now());
                tokio::select! {
                    synced = sync_from_store(&node, state) => match synced {
                        Ok(state) => {
                            has_store_failed = false;
                            backoff = Backoff::new();
                            state
                        }
                        Err(error) => {
                            event!(
                                info,
                                "endpoints could not be read from the store; retrying",
                                error = error
                            );
                            has_store_failed = true;
                            node.feed.set_fresh(false);
                            let pause = backoff.next_pause().min(FOLLOWER_WATCH_WAIT);
                            node.store_health.pause(pause).await;
                            SyncState::Unknown
                        }
                    },
                    _ = leader_changes.changed(), if state != SyncState::Unknown => state,
                }
            }
        };
        let count = node.directory.borrow().registry.iter().count();
        node.metrics.set_state("endpoints", count as i64);
    }
}

/// The source and position up to which the registry is current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
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
    let called_ms = boot_ms();
    let (revision, as_of_ms) = match state.revision(is_leader) {
        Some(revision) => {
            node.feed.set_fresh(is_leader);
            let wait = match is_leader {
                true => Duration::from_millis(node.view_source_wait_ms()),
                false => FOLLOWER_WATCH_WAIT,
            };
            let revision = read_changes_within(node, prefix, revision, wait, &apply).await?;
            // The answer may have waited for this node, if it was frozen.
            let answered_by_ms = called_ms + wait.as_millis() as u64;
            (revision, boot_ms().min(answered_by_ms))
        }
        None => (read_all(node, prefix, &apply).await?, called_ms),
    };
    node.directory.borrow_mut().view.confirm(as_of_ms);
    node.feed.set_revision(revision);
    node.feed.set_fresh(is_leader);
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
    let mut spot_endpoints = BTreeSet::new();
    for row in rows {
        match (D::endpoint_name(&row.key), parse_row(node, row)) {
            (Some(name), Ok(record)) => {
                if D::is_spot_row(&row.value) {
                    spot_endpoints.insert(name.clone());
                }
                records.push((name, record));
            }
            _ if !node.malformed_rows.is_new(row) => {}
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
    directory
        .registry
        .replace(now_ms, records, outage_end_ms, revision.0);
    directory.spot_endpoints = spot_endpoints;
    directory.endpoints_loaded = true;
}

/// Parses the row of an endpoint.
///
/// # Errors
///
/// Fails if it is malformed, or states a start so far in the future that it would make later rows count as
/// those of an earlier instance.
fn parse_row<D: Dialect>(node: &Node<D>, row: &Row) -> Result<EndpointRecord, Error> {
    let malformed = |reason: &str| Error::Malformed(reason.into());
    let record = D::parse_endpoint_row(&row.value);
    let record = record.map_err(|error| malformed(&error.to_string()))?;
    match record.born_unix_ms {
        born if born > node.clock.unix_ms() + MAX_CLOCK_DIFFERENCE_MS => {
            Err(malformed("it states a start in the future"))
        }
        _ => Ok(record),
    }
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
        Change::Written(row) => match parse_row(node, row) {
            Ok(record) => {
                let is_spot = D::is_spot_row(&row.value);
                node.directory.borrow_mut().set_spot(&name, is_spot);
                update_endpoint(node, &name, record, ("store", row.revision));
            }
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
/// `source` is written to the log, and `revision` is that of the store as of which the record holds.
pub fn update_endpoint<D: Dialect>(
    node: &Node<D>,
    name: &EndpointName,
    record: EndpointRecord,
    (source, revision): (&str, Index),
) {
    let mut directory = node.directory.borrow_mut();
    if !node.uses(&directory.sizes, &record.service, name) {
        return;
    }
    let (stage, born_unix_ms) = (record.stage, record.born_unix_ms);
    let current = directory.registry.get(name).map(|entry| &entry.record);
    let before = current.map(|record| record.stage);
    let is_set_back = current.is_some_and(|record| born_unix_ms < record.born_unix_ms);
    let is_changed = directory.registry.apply_record(name, record, revision.0);
    if is_set_back {
        event!(
            info,
            "endpoint record with an earlier start",
            endpoint = name,
            born_unix_ms = born_unix_ms,
            revision = revision.0,
            is_applied = is_changed
        );
    }
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
        directory.set_spot(name, false);
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
            directory.set_spot(&name, false);
            node.pool.forget(&name);
        }
    }
}
