//! The feed of endpoint changes from the leader to all other nodes.
//!
//! The leader watches the rows of the endpoints for all nodes, so the number of store calls per
//! change does not grow with the number of nodes. Of a large service, each node receives only its
//! subset.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::{Instant, timeout_at};
use wisteriapoint_batch::Work;
use wisteriapoint_directory::{EndpointRecord, EventTimes, Registry, ServiceSizes, Subset};
use wisteriapoint_store::Index;
use wisteriapoint_types::{EndpointName, ServiceName};

use crate::clock::boot_ms;
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;
use crate::peers::{PeerRequest, PeerResponse, call_peer_within};

use super::endpoints::{remove_endpoint, update_endpoint};

/// Number of changes that are kept; a requester that needs older ones gets all endpoints. Holds
/// some seconds of weight changes in a fleet of thousands of engines.
const MAX_KEPT_CHANGES: usize = 8_192;
/// Longest time that a request waits for a change, in milliseconds: less than the time after which the
/// requester has to read the store.
const MAX_WAIT_MS: u64 = 600;

/// Time for the answer of the leader beyond that: some network hops, and a leader that waits for CPU
/// time.
const ANSWER_TRANSIT_MS: u64 = 200;
/// Least time in which a leader that works has answered.
pub const MIN_POLL_TIME: Duration = Duration::from_millis(MAX_WAIT_MS + ANSWER_TRANSIT_MS);

/// Age at which a node's report of its work is discarded, in milliseconds. A live node sends
/// several requests in this time.
const WORK_MAX_AGE_MS: u64 = 10_000;

/// The position in the feed up to which a node has received changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPosition {
    /// Revision of the store that the endpoints match; `None` while the registry holds an endpoint
    /// whose row has been removed.
    pub revision: Option<Index>,
    /// Position among the changes that a leader has sent; `None` if the rows came from the store.
    #[serde(rename = "told")]
    pub leader: Option<LeaderPosition>,
}

/// The last change and the last speed that a leader has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderPosition {
    /// Run of the leader's node; numbers of different runs can't be compared.
    pub run: u64,
    /// Sequence number of the change at that leader.
    pub number: u64,
    /// Sequence number of the newest speed at that leader.
    #[serde(rename = "speed")]
    pub speed_sequence: u64,
}

/// A request to the leader for changes of endpoints.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FeedRequest {
    /// VM of the requester; determines its subset of large services.
    pub vm: Box<str>,
    /// Position after which changes are requested; `None` requests all endpoints.
    pub after: Option<FeedPosition>,
    /// Sizes of services from which the requester computed its subset.
    pub sizes: ServiceSizes,
    /// Work that the requester has accepted recently, by model.
    pub work: Work,
    /// Mean times per event of a generated text, measured since the last request, in milliseconds.
    pub speeds: Vec<(EndpointName, f64)>,
}

/// The leader's response: all endpoints that the requester uses, or the changes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FeedResponse {
    /// Position after the changes in this response.
    #[serde(rename = "mark")]
    pub position: FeedPosition,
    /// Sizes of services from which the requester's subset was computed.
    pub sizes: ServiceSizes,
    /// `true` if `endpoints` holds all that the requester uses; `false` if only those that changed.
    pub is_all: bool,
    /// The endpoints; one without a record has been removed.
    pub endpoints: Vec<(EndpointName, Option<EndpointRecord>)>,
    /// Changed mean times per event of a generated text over all nodes, in milliseconds.
    pub speeds: Vec<(EndpointName, f64)>,
}

/// The endpoint changes that this node has recorded for other nodes.
#[derive(Debug, Default)]
pub struct Feed {
    changes: RefCell<VecDeque<EndpointChange>>,
    last_number: Cell<u64>,
    revision: Cell<Index>,
    /// Number and revision of the last change before the oldest kept one.
    floor: Cell<(u64, Index)>,
    is_fresh: Cell<bool>,
    changed: Notify,
    work: RefCell<BTreeMap<Box<str>, (u64, Work)>>,
    speeds: RefCell<EventTimes>,
    /// Time up to which this node's own measurements have been sent, in milliseconds.
    measurements_sent_ms: Cell<u64>,
}

/// A change of an endpoint, and the store revision at which this node observed it.
#[derive(Debug)]
struct EndpointChange {
    number: u64,
    revision: Index,
    endpoint: EndpointName,
}

impl Feed {
    /// Creates an empty feed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether this node, as the leader, watches the rows and so can answer requests.
    ///
    /// Requests that wait for a change end as soon as it no longer does.
    pub fn set_fresh(&self, is_fresh: bool) {
        if self.is_fresh.replace(is_fresh) && !is_fresh {
            self.changed.notify_waiters();
        }
    }

    /// Returns `true` if this node, as the leader, has and watches the rows of all endpoints.
    pub fn is_fresh(&self) -> bool {
        self.is_fresh.get()
    }

    /// Discards all changes after a read of all rows at `revision`.
    pub fn reset(&self, revision: Index) {
        self.changes.borrow_mut().clear();
        self.last_number.set(self.last_number.get() + 1);
        self.floor.set((self.last_number.get(), revision));
        self.revision.set(revision);
    }

    /// Records the store revision up to which the rows have been read.
    pub fn set_revision(&self, revision: Index) {
        self.revision.set(revision);
    }

    /// Appends a change or removal of an endpoint; evicts the oldest change if there are too many.
    pub fn record_change(&self, endpoint: &EndpointName, revision: Index) {
        self.last_number.set(self.last_number.get() + 1);
        let mut changes = self.changes.borrow_mut();
        changes.push_back(EndpointChange {
            number: self.last_number.get(),
            revision,
            endpoint: endpoint.clone(),
        });
        if changes.len() > MAX_KEPT_CHANGES
            && let Some(oldest) = changes.pop_front()
        {
            self.floor.set((oldest.number, oldest.revision));
        }
    }

    /// Returns the store revision up to which the rows have been read.
    pub fn revision(&self) -> Index {
        self.revision.get()
    }

    /// Records the work that the requester has accepted.
    fn record_work(&self, now_ms: u64, request: &FeedRequest) {
        let entry = (now_ms, request.work.clone());
        self.work.borrow_mut().insert(request.vm.clone(), entry);
    }

    /// Returns the work that other nodes have accepted recently, by model.
    pub fn accepted_work(&self, now_ms: u64) -> Work {
        let mut all = Work::new();
        let mut by_vm = self.work.borrow_mut();
        by_vm.retain(|_, (at_ms, _)| now_ms < *at_ms + WORK_MAX_AGE_MS);
        for (model, tokens) in by_vm.values().flat_map(|(_, work)| work) {
            *all.entry(model.clone()).or_default() += tokens;
        }
        all
    }

    /// Records the mean times of all endpoints, and drops those of removed endpoints.
    pub fn record_speeds(&self, registry: &Registry) {
        let mut speeds = self.speeds.borrow_mut();
        speeds.retain(|endpoint| registry.get(endpoint).is_some());
        for (endpoint, entry) in registry.iter() {
            speeds.update(endpoint, entry.ms_per_event);
        }
    }

    /// Wakes the requests that wait for changes.
    pub fn publish(&self) {
        self.changed.notify_waiters();
    }

    /// Returns the endpoints that changed after a position; `None` if the kept changes don't reach
    /// back to it.
    fn changed_after(&self, run: u64, after: FeedPosition) -> Option<BTreeSet<EndpointName>> {
        let (floor_number, floor_revision) = self.floor.get();
        let position = after.leader.filter(|position| position.run == run);
        match (position, after.revision) {
            (Some(position), _) if position.number >= floor_number => {
                Some(self.changed_endpoints(|change| change.number > position.number))
            }
            (None, Some(revision)) if revision >= floor_revision => {
                Some(self.changed_endpoints(|change| change.revision > revision))
            }
            _ => None,
        }
    }

    fn changed_endpoints(
        &self,
        is_newer: impl Fn(&EndpointChange) -> bool,
    ) -> BTreeSet<EndpointName> {
        let changes = self.changes.borrow();
        let newer = changes.iter().filter(|change| is_newer(change));
        newer.map(|change| change.endpoint.clone()).collect()
    }
}

/// Responds to another node as soon as there are changes for it, or after [`MAX_WAIT_MS`].
///
/// Returns `None` if this node does not watch the rows, or has not heard from the store for too long.
pub async fn handle_request<D: Dialect>(
    node: &Node<D>,
    request: &FeedRequest,
) -> Option<FeedResponse> {
    let now_ms = node.now_ms();
    node.feed.record_work(now_ms, request);
    merge_speeds(node, &request.speeds);
    let end = node.clock.instant_at(now_ms + MAX_WAIT_MS);
    loop {
        let changed = node.feed.changed.notified();
        if source_left(node).is_zero() {
            return None;
        }
        let response = response_for(node, request);
        if response.is_all || !response.endpoints.is_empty() || Instant::now() >= end {
            return Some(response);
        }
        wait_for_change(node, changed, end).await;
    }
}

/// Waits for a change until `end`, or until this node has not heard from the store for too long.
async fn wait_for_change<D: Dialect>(node: &Node<D>, changed: Notified<'_>, end: Instant) {
    let mut changed = std::pin::pin!(changed);
    while Instant::now() < end {
        let left = source_left(node);
        let look_at = end.min(Instant::now() + left);
        if left.is_zero() || timeout_at(look_at, changed.as_mut()).await.is_ok() {
            return;
        }
    }
}

/// Returns the time for which this node may answer requests with its endpoints.
fn source_left<D: Dialect>(node: &Node<D>) -> Duration {
    match node.feed.is_fresh.get() {
        true => Duration::from_millis(node.view_source_left_ms()),
        false => Duration::ZERO,
    }
}

/// Merges speeds measured by another node into the registry and the feed.
fn merge_speeds<D: Dialect>(node: &Node<D>, speeds: &[(EndpointName, f64)]) {
    let mut directory = node.directory.borrow_mut();
    let mut shared = node.feed.speeds.borrow_mut();
    for (endpoint, ms_per_event) in speeds {
        if let Some(entry) = directory.registry.get_mut(endpoint) {
            entry.merge_peer_mean(*ms_per_event);
            shared.update(endpoint, entry.ms_per_event);
        }
    }
}

/// Returns the speeds not yet sent to the requester, for the endpoints that it uses.
fn speeds_for<D: Dialect>(node: &Node<D>, request: &FeedRequest) -> Vec<(EndpointName, f64)> {
    let position = request.after.and_then(|after| after.leader);
    let sequence = match position {
        Some(position) if position.run == node.owner.run => position.speed_sequence,
        _ => 0,
    };
    let directory = node.directory.borrow();
    let subset = Subset::new(&request.vm);
    let is_used = |name: &EndpointName| {
        let entry = directory.registry.get(name);
        entry.is_some_and(|entry| subset.contains(&directory.sizes, &entry.record.service, name))
    };
    let speeds = node.feed.speeds.borrow();
    let newer = speeds.after(sequence).filter(|(name, _)| is_used(name));
    newer
        .map(|(name, ms_per_event)| (name.clone(), ms_per_event))
        .collect()
}

/// Returns the changes not yet sent to the requester, for the endpoints that it uses.
fn response_for<D: Dialect>(node: &Node<D>, request: &FeedRequest) -> FeedResponse {
    let directory = node.directory.borrow();
    let subset = Subset::new(&request.vm);
    let uses = |service: &ServiceName, name: &EndpointName| {
        subset.contains(&directory.sizes, service, name)
    };
    let after = request.after.filter(|_| request.sizes == directory.sizes);
    let changed = after.and_then(|after| node.feed.changed_after(node.owner.run, after));
    let all = || {
        let all = directory.registry.iter();
        let used = all.filter(|(name, entry)| uses(&entry.record.service, name));
        used.map(|(name, entry)| (name.clone(), Some(entry.record.clone())))
    };
    let is_all = changed.is_none();
    let endpoints = match changed {
        Some(names) => names
            .into_iter()
            .filter_map(|name| match directory.registry.get(&name) {
                Some(entry) => {
                    let is_used = uses(&entry.record.service, &name);
                    is_used.then(|| (name, Some(entry.record.clone())))
                }
                None => Some((name, None)),
            })
            .collect(),
        None => all().collect(),
    };
    let matches_store = !directory.registry.has_absent_endpoints();
    FeedResponse {
        position: FeedPosition {
            revision: matches_store.then(|| node.feed.revision()),
            leader: Some(LeaderPosition {
                run: node.owner.run,
                number: node.feed.last_number.get(),
                speed_sequence: node.feed.speeds.borrow().last_sequence(),
            }),
        },
        sizes: directory.sizes.clone(),
        is_all,
        endpoints,
        speeds: speeds_for(node, request),
    }
}

/// How a request for changes ended.
#[derive(Debug, Clone, Copy)]
pub enum PollOutcome {
    /// The changes up to this position have been applied.
    Applied(FeedPosition),
    /// The node has no current view, or is not the leader.
    Refused,
    /// The node did not answer in time.
    Silent,
}

/// Requests changes after a position from the leader and applies them.
pub async fn poll_leader<D: Dialect>(
    node: &Rc<Node<D>>,
    leader: SocketAddr,
    after: Option<FeedPosition>,
    limit: Duration,
) -> PollOutcome {
    let request = PeerRequest::Endpoints(FeedRequest {
        vm: node.settings.vm.clone(),
        after,
        sizes: node.directory.borrow().sizes.clone(),
        work: node.jobs.work(node.now_ms()),
        speeds: new_measurements(node),
    });
    let sent_ms = boot_ms();
    match call_peer_within(node, leader, &request, limit).await {
        Some(PeerResponse::Endpoints(Some(response))) => {
            let position = response.position;
            // The answer may have waited for this node, if it was frozen.
            let passed_on_ms = boot_ms().min(sent_ms + MIN_POLL_TIME.as_millis() as u64);
            let mut directory = node.directory.borrow_mut();
            directory.view.confirm_from_peer(passed_on_ms);
            drop(directory);
            apply_response(node, response);
            PollOutcome::Applied(position)
        }
        Some(_) => PollOutcome::Refused,
        None => PollOutcome::Silent,
    }
}

/// Returns the speeds that this node has measured since it last sent them.
fn new_measurements<D: Dialect>(node: &Node<D>) -> Vec<(EndpointName, f64)> {
    let after_ms = node.feed.measurements_sent_ms.replace(node.now_ms());
    let directory = node.directory.borrow();
    let all = directory.registry.iter();
    all.filter_map(|(name, entry)| Some((name.clone(), entry.measured_after(after_ms)?)))
        .collect()
}

fn apply_response<D: Dialect>(node: &Rc<Node<D>>, response: FeedResponse) {
    node.directory.borrow_mut().sizes = response.sizes;
    let revision = response.position.revision.unwrap_or_default();
    apply_endpoints(node, response.is_all, response.endpoints, revision);
    let now_ms = node.now_ms();
    let mut directory = node.directory.borrow_mut();
    for (name, ms_per_event) in response.speeds {
        if let Some(entry) = directory.registry.get_mut(&name) {
            entry.apply_shared_mean(now_ms, ms_per_event);
        }
    }
}

fn apply_endpoints<D: Dialect>(
    node: &Rc<Node<D>>,
    is_all: bool,
    endpoints: Vec<(EndpointName, Option<EndpointRecord>)>,
    revision: Index,
) {
    if endpoints.is_empty() && !is_all {
        return;
    }
    match is_all {
        true => replace_endpoints(node, endpoints, revision),
        false => {
            for (name, record) in endpoints {
                match record {
                    Some(record) => update_endpoint(node, &name, record, ("leader", revision)),
                    None => remove_endpoint(node, &name, None, "leader"),
                }
            }
        }
    }
    node.update_readiness();
    node.directory_changed.notify_waiters();
}

fn replace_endpoints<D: Dialect>(
    node: &Node<D>,
    endpoints: Vec<(EndpointName, Option<EndpointRecord>)>,
    revision: Index,
) {
    let now_ms = node.now_ms();
    let records = endpoints.into_iter();
    let records: Vec<_> = records
        .filter_map(|(name, record)| Some((name, record?)))
        .collect();
    event!(
        info,
        "endpoints received from the leader",
        count = records.len()
    );
    let mut directory = node.directory.borrow_mut();
    directory
        .registry
        .replace(now_ms, records, None, revision.0);
    directory.endpoints_loaded = true;
}
