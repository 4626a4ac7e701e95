//! The endpoints as a node knows them: the keeper by their rows, the others by the keeper.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use wisteriapoint_directory::EndpointRecord;
use wisteriapoint_store::{Backoff, Change, Error, Index, Row};
use wisteriapoint_types::EndpointName;

use super::feed::{self, Mark};
use super::watch::{Rows, read_all, read_changes};
use crate::dialect::Dialect;
use crate::event;
use crate::node::{Directory, Node};

/// Least time between two watches of the endpoints: a change that several follow costs one call,
/// and an endpoint that drains is still left within its two seconds.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(900);

/// Pause after which a node that reads the rows itself looks again for a keeper that tells it.
const KEEPER_POLL: Duration = Duration::from_millis(500);

/// Follows the endpoints: the keeper their rows, the others the keeper.
pub async fn follow<D: Dialect>(node: Rc<Node<D>>) {
    tokio::task::spawn_local(expire(node.clone()));
    let mut backoff = Backoff::new();
    let mut place = Place::Unknown;
    loop {
        let keeper = node.keeper.borrow().clone();
        let told = match &keeper {
            Some(keeper) if *keeper != node.owner && node.directory.borrow().endpoints_known => {
                feed::follow(&node, keeper.address, place.mark()).await
            }
            _ => None,
        };
        place = match told {
            Some(mark) => {
                node.feed.set_fresh(false);
                Place::Keeper(mark)
            }
            None => match follow_rows(&node, place).await {
                Ok(place) => {
                    backoff = Backoff::new();
                    place
                }
                Err(error) => {
                    event!(info, "endpoints not read", why = error);
                    node.feed.set_fresh(false);
                    node.health.pause(backoff.next_pause()).await;
                    Place::Unknown
                }
            },
        };
        let count = node.directory.borrow().registry.iter().count();
        node.metrics.set_state("endpoints", count as i64);
    }
}

/// Up to where the endpoints are known.
#[derive(Debug, Clone, Copy)]
enum Place {
    Unknown,
    /// All of them, at a revision of the store.
    All(Index),
    /// Those that this node uses, at a revision of the store.
    Used(Index),
    /// Those that this node uses, as a keeper told them.
    Keeper(Mark),
}

impl Place {
    /// What a keeper may go on from.
    fn mark(self) -> Option<Mark> {
        match self {
            Self::Used(revision) => Some(Mark {
                revision: Some(revision),
                told: None,
            }),
            Self::Keeper(mark) => Some(mark),
            Self::Unknown | Self::All(_) => None,
        }
    }

    /// The revision from which a node may go on to watch the rows.
    fn revision(self, is_keeper: bool) -> Option<Index> {
        match self {
            Self::All(revision) if is_keeper => Some(revision),
            Self::Used(revision) if !is_keeper => Some(revision),
            Self::Keeper(mark) if !is_keeper => mark.revision,
            _ => None,
        }
    }
}

/// Reads or watches the rows of the endpoints once.
async fn follow_rows<D: Dialect>(node: &Rc<Node<D>>, place: Place) -> Result<Place, Error> {
    let prefix = D::ENDPOINTS_PREFIX;
    let take = |rows: Rows<'_>| take_endpoints(node, rows);
    let is_keeper = node.is_keeper();
    let revision = match place.revision(is_keeper) {
        Some(revision) => {
            node.feed.set_fresh(is_keeper);
            // Another keeper may be known any time.
            tokio::select! {
                changes = read_changes(node, prefix, revision, &take) => changes?,
                () = sleep(KEEPER_POLL), if !is_keeper => revision,
            }
        }
        None => read_all(node, prefix, &take).await?,
    };
    node.feed.reach(revision);
    node.feed.set_fresh(is_keeper);
    if node.directory.borrow().endpoints_known {
        sleep(ENDPOINTS_PAUSE).await;
    }
    Ok(match is_keeper {
        true => Place::All(revision),
        false => Place::Used(revision),
    })
}

fn take_endpoints<D: Dialect>(node: &Rc<Node<D>>, rows: Rows<'_>) {
    match rows {
        Rows::All(rows, revision) => replace_endpoints(node, rows, revision),
        Rows::Changes(changes, revision) => {
            for change in changes {
                change_endpoint(node, change, revision);
            }
        }
    }
    if node.is_keeper() {
        measure(&mut node.directory.borrow_mut());
    }
    node.feed.publish();
    node.directory_changed.notify_waiters();
}

/// Works out how large the services are, from all endpoints.
fn measure(directory: &mut Directory) {
    let Directory {
        registry, sizes, ..
    } = directory;
    sizes.update(registry.iter().map(|(_, known)| &known.record.service));
}

fn replace_endpoints<D: Dialect>(node: &Node<D>, rows: &[Row], revision: Index) {
    let mut records = Vec::new();
    for row in rows {
        match (D::endpoint_name(&row.key), D::endpoint_row(&row.value)) {
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
    node.feed.start_over(revision);
    let now_ms = node.now_ms();
    let outage_end_ms = node.health.outage_end_ms(now_ms);
    directory.registry.replace(now_ms, records, outage_end_ms);
    directory.endpoints_known = true;
}

fn change_endpoint<D: Dialect>(node: &Node<D>, change: &Change, revision: Index) {
    let key = match change {
        Change::Written(row) => &row.key,
        Change::Removed(key) => key,
    };
    let Some(name) = D::endpoint_name(key) else {
        event!(warn, "row names no endpoint", key = key);
        return;
    };
    node.feed.push(&name, revision);
    match change {
        Change::Written(row) => match D::endpoint_row(&row.value) {
            Ok(record) => learn_endpoint(node, &name, record, "store"),
            Err(error) => {
                event!(warn, "row names no endpoint", key = key, why = error);
                lose_endpoint(node, &name, None, "store");
            }
        },
        Change::Removed(_) => {
            let outage_end_ms = node.health.outage_end_ms(node.now_ms());
            lose_endpoint(node, &name, outage_end_ms, "store");
        }
    }
}

/// Takes what is told of an endpoint, if this node uses it.
pub fn learn_endpoint<D: Dialect>(
    node: &Node<D>,
    name: &EndpointName,
    record: EndpointRecord,
    told_by: &str,
) {
    let mut directory = node.directory.borrow_mut();
    if !node.uses(&directory.sizes, &record.service, name) {
        return;
    }
    let stage = record.stage;
    let before = directory.registry.get(name).map(|known| known.record.stage);
    let is_changed = directory.registry.apply_record(name, record);
    // Other changes are those of weights, of which there may be hundreds a second.
    match is_changed && before != Some(stage) {
        true => event!(
            info,
            "endpoint changed",
            endpoint = name,
            stage = format!("{stage:?}"),
            told_by = told_by
        ),
        false => event!(debug, "endpoint told", endpoint = name, told_by = told_by),
    }
}

/// Notes that an endpoint has left; around an outage of the store it may come back.
pub fn lose_endpoint<D: Dialect>(
    node: &Node<D>,
    name: &EndpointName,
    outage_end_ms: Option<u64>,
    told_by: &str,
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
        told_by = told_by
    );
    directory
        .registry
        .handle_row_removal(node.now_ms(), name, outage_end_ms);
    if directory.registry.get(name).is_none() {
        node.pool.forget(name);
    }
}

/// Forgets endpoints that did not come back after trouble of the store.
async fn expire<D: Dialect>(node: Rc<Node<D>>) {
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
            node.feed.push(&name, node.feed.revision());
            node.feed.publish();
            node.pool.forget(&name);
        }
    }
}
