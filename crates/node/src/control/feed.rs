//! Changes of endpoints, told by the keeper to all other nodes.
//!
//! One node watches the rows of the endpoints for all: what a change costs in calls to the store
//! does not grow with the number of nodes. Of large services each node is told its subset only.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::timeout_at;
use wisteriapoint_batch::Work;
use wisteriapoint_directory::{EndpointRecord, Registry, ServiceSizes, Speeds, Subset};
use wisteriapoint_store::Index;
use wisteriapoint_types::{EndpointName, ServiceName};

use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;
use crate::peers::{Question, Reply, ask};

use super::endpoints::{learn_endpoint, lose_endpoint};

/// Changes that are kept; one that asks for older ones gets all endpoints. Some seconds of a
/// fleet of thousands of engines that change their weights.
const MAX_CHANGES: usize = 8_192;
/// Longest wait of one question, in milliseconds: with the time for its answer, a keeper that
/// vanished is noticed within the time in which an endpoint that drains has to be left.
pub const WAIT_MS: u64 = 1_000;

/// Age at which a node's word of its work counts no more, in milliseconds: some questions of a
/// node that lives.
const WORK_MAX_AGE_MS: u64 = 10_000;

/// Up to where a node knows the endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The revision of the store; `None` if an endpoint is known whose row is gone.
    pub revision: Option<Index>,
    /// What a keeper has told.
    pub told: Option<Told>,
}

/// The last change that a keeper has told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The keeper's run of the daemon.
    pub run: u64,
    /// Number of the change at that keeper.
    pub number: u64,
    /// Number of the newest speed at that keeper.
    pub speed: u64,
}

/// A question for changes of endpoints.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointQuestion {
    /// VM of the asker, which uses a subset of large services.
    pub vm: Box<str>,
    /// Up to where it knows the endpoints; `None` asks for all.
    pub after: Option<Mark>,
    /// Sizes of services by which it worked out its subset.
    pub sizes: ServiceSizes,
    /// Work that it has accepted of late, by model.
    pub work: Work,
    /// Mean times for a unit of work that it measured since its last question, in milliseconds.
    pub speeds: Vec<(EndpointName, f64)>,
}

/// Endpoints as the keeper knows them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Endpoints {
    /// Up to where this reaches.
    pub mark: Mark,
    /// Sizes of services by which the asker's subset was worked out.
    pub sizes: ServiceSizes,
    /// Whether these are all endpoints that the asker uses; else only those that changed.
    pub is_all: bool,
    /// The endpoints; without a record, one is gone.
    pub endpoints: Vec<(EndpointName, Option<EndpointRecord>)>,
    /// Mean times for a unit of work, of all nodes, that changed; in milliseconds.
    pub speeds: Vec<(EndpointName, f64)>,
}

/// The changes that this node has seen in the store.
#[derive(Debug, Default)]
pub struct Feed {
    changes: RefCell<VecDeque<Noted>>,
    last: Cell<u64>,
    revision: Cell<Index>,
    /// The change and the revision before the oldest that is kept.
    floor: Cell<(u64, Index)>,
    is_fresh: Cell<bool>,
    changed: Notify,
    work: RefCell<BTreeMap<Box<str>, (u64, Work)>>,
    speeds: RefCell<Speeds>,
    /// Up to when this node's own measurements have been told, in milliseconds.
    measured_told_ms: Cell<u64>,
}

/// A change: its number, the revision at which it was seen, and the endpoint.
#[derive(Debug)]
struct Noted {
    number: u64,
    revision: Index,
    endpoint: EndpointName,
}

impl Feed {
    /// Has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether this node follows the rows of the endpoints itself.
    pub fn set_fresh(&self, is_fresh: bool) {
        if self.is_fresh.replace(is_fresh) && !is_fresh {
            self.changed.notify_waiters();
        }
    }

    /// Notes that all rows were read: what changed before is not known.
    pub fn start_over(&self, revision: Index) {
        self.changes.borrow_mut().clear();
        self.last.set(self.last.get() + 1);
        self.floor.set((self.last.get(), revision));
        self.revision.set(revision);
    }

    /// Notes that the rows are known up to a revision.
    pub fn reach(&self, revision: Index) {
        self.revision.set(revision);
    }

    /// Notes that an endpoint has changed or is gone.
    pub fn push(&self, endpoint: &EndpointName, revision: Index) {
        self.last.set(self.last.get() + 1);
        let mut changes = self.changes.borrow_mut();
        changes.push_back(Noted {
            number: self.last.get(),
            revision,
            endpoint: endpoint.clone(),
        });
        if changes.len() > MAX_CHANGES
            && let Some(oldest) = changes.pop_front()
        {
            self.floor.set((oldest.number, oldest.revision));
        }
    }

    /// The revision up to which the rows are known.
    pub fn revision(&self) -> Index {
        self.revision.get()
    }

    /// Notes the work that a node has accepted.
    fn note_work(&self, now_ms: u64, asked: &EndpointQuestion) {
        let told = (now_ms, asked.work.clone());
        self.work.borrow_mut().insert(asked.vm.clone(), told);
    }

    /// The work that other nodes have accepted, by model.
    pub fn work(&self, now_ms: u64) -> Work {
        let mut all = Work::new();
        let mut told = self.work.borrow_mut();
        told.retain(|_, (at_ms, _)| now_ms < *at_ms + WORK_MAX_AGE_MS);
        for (model, tokens) in told.values().flat_map(|(_, work)| work) {
            *all.entry(model.clone()).or_default() += tokens;
        }
        all
    }

    /// Notes the mean times of all endpoints.
    pub fn note_speeds(&self, registry: &Registry) {
        let mut speeds = self.speeds.borrow_mut();
        speeds.retain(|endpoint| registry.get(endpoint).is_some());
        for (endpoint, known) in registry.iter() {
            speeds.update(endpoint, known.unit_ms);
        }
    }

    /// Wakes those who wait for changes.
    pub fn publish(&self) {
        self.changed.notify_waiters();
    }

    /// The endpoints that changed after a mark; `None` if these are no longer known.
    fn changed_after(&self, run: u64, after: Mark) -> Option<BTreeSet<EndpointName>> {
        let (floor_number, floor_revision) = self.floor.get();
        let told = after.told.filter(|told| told.run == run);
        match (told, after.revision) {
            (Some(told), _) if told.number >= floor_number => {
                Some(self.changed(|noted| noted.number > told.number))
            }
            (None, Some(revision)) if revision >= floor_revision => {
                Some(self.changed(|noted| noted.revision > revision))
            }
            _ => None,
        }
    }

    fn changed(&self, is_newer: impl Fn(&Noted) -> bool) -> BTreeSet<EndpointName> {
        let changes = self.changes.borrow();
        let newer = changes.iter().filter(|noted| is_newer(noted));
        newer.map(|noted| noted.endpoint.clone()).collect()
    }
}

/// Answers another node, at once or after a change that concerns it; `None` if this node can't
/// tell.
pub async fn answer<D: Dialect>(node: &Node<D>, asked: &EndpointQuestion) -> Option<Endpoints> {
    let now_ms = node.now_ms();
    node.feed.note_work(now_ms, asked);
    hear_speeds(node, &asked.speeds);
    let end = node.clock.at(now_ms + WAIT_MS);
    loop {
        let changed = node.feed.changed.notified();
        if !is_fresh(node) {
            return None;
        }
        let told = tell(node, asked);
        if told.is_all || !told.endpoints.is_empty() || timeout_at(end, changed).await.is_err() {
            return is_fresh(node).then_some(told);
        }
    }
}

fn is_fresh<D: Dialect>(node: &Node<D>) -> bool {
    node.feed.is_fresh.get() && !node.health.is_failing()
}

/// Takes the speeds that another node has measured.
fn hear_speeds<D: Dialect>(node: &Node<D>, speeds: &[(EndpointName, f64)]) {
    let mut directory = node.directory.borrow_mut();
    let mut told = node.feed.speeds.borrow_mut();
    for (endpoint, unit_ms) in speeds {
        if let Some(known) = directory.registry.get_mut(endpoint) {
            known.merge_peer_mean(*unit_ms);
            told.update(endpoint, known.unit_ms);
        }
    }
}

/// The speeds that an asker does not know yet, of the endpoints that it uses.
fn tell_speeds<D: Dialect>(node: &Node<D>, asked: &EndpointQuestion) -> Vec<(EndpointName, f64)> {
    let told = asked.after.and_then(|after| after.told);
    let known = match told {
        Some(told) if told.run == node.owner.run => told.speed,
        _ => 0,
    };
    let directory = node.directory.borrow();
    let subset = Subset::new(&asked.vm);
    let is_used = |name: &EndpointName| {
        let known = directory.registry.get(name);
        known.is_some_and(|known| subset.contains(&directory.sizes, &known.record.service, name))
    };
    let speeds = node.feed.speeds.borrow();
    let newer = speeds.after(known).filter(|(name, _)| is_used(name));
    newer
        .map(|(name, unit_ms)| (name.clone(), unit_ms))
        .collect()
}

/// What an asker does not know yet of the endpoints that it uses.
fn tell<D: Dialect>(node: &Node<D>, asked: &EndpointQuestion) -> Endpoints {
    let directory = node.directory.borrow();
    let subset = Subset::new(&asked.vm);
    let uses = |service: &ServiceName, name: &EndpointName| {
        subset.contains(&directory.sizes, service, name)
    };
    let after = asked.after.filter(|_| asked.sizes == directory.sizes);
    let changed = after.and_then(|after| node.feed.changed_after(node.owner.run, after));
    let all = || {
        let all = directory.registry.iter();
        let used = all.filter(|(name, known)| uses(&known.record.service, name));
        used.map(|(name, known)| (name.clone(), Some(known.record.clone())))
    };
    let is_all = changed.is_none();
    let endpoints = match changed {
        Some(names) => names
            .into_iter()
            .filter_map(|name| match directory.registry.get(&name) {
                Some(known) => {
                    let is_used = uses(&known.record.service, &name);
                    is_used.then(|| (name, Some(known.record.clone())))
                }
                None => Some((name, None)),
            })
            .collect(),
        None => all().collect(),
    };
    let is_settled = !directory.registry.has_absent_endpoints();
    Endpoints {
        mark: Mark {
            revision: is_settled.then(|| node.feed.revision()),
            told: Some(Told {
                run: node.owner.run,
                number: node.feed.last.get(),
                speed: node.feed.speeds.borrow().last_sequence(),
            }),
        },
        sizes: directory.sizes.clone(),
        is_all,
        endpoints,
        speeds: tell_speeds(node, asked),
    }
}

/// Asks the keeper for changes after a mark, and takes them; gives up to where they reach.
pub async fn follow<D: Dialect>(
    node: &Rc<Node<D>>,
    keeper: std::net::SocketAddr,
    after: Option<Mark>,
) -> Option<Mark> {
    let asked = EndpointQuestion {
        vm: node.settings.vm.clone(),
        after,
        sizes: node.directory.borrow().sizes.clone(),
        work: node.jobs.work(node.now_ms()),
        speeds: measured(node),
    };
    match ask(node, keeper, &Question::Endpoints(asked)).await {
        Some(Reply::Endpoints(Some(endpoints))) => {
            let mark = endpoints.mark;
            take(node, endpoints);
            Some(mark)
        }
        _ => None,
    }
}

/// The speeds that this node has measured since it told them last.
fn measured<D: Dialect>(node: &Node<D>) -> Vec<(EndpointName, f64)> {
    let after_ms = node.feed.measured_told_ms.replace(node.now_ms());
    let directory = node.directory.borrow();
    let all = directory.registry.iter();
    all.filter_map(|(name, known)| Some((name.clone(), known.measured_after(after_ms)?)))
        .collect()
}

fn take<D: Dialect>(node: &Rc<Node<D>>, told: Endpoints) {
    node.directory.borrow_mut().sizes = told.sizes;
    take_endpoints(node, told.is_all, told.endpoints);
    let now_ms = node.now_ms();
    let mut directory = node.directory.borrow_mut();
    for (name, unit_ms) in told.speeds {
        if let Some(known) = directory.registry.get_mut(&name) {
            known.apply_shared_mean(now_ms, unit_ms);
        }
    }
}

fn take_endpoints<D: Dialect>(
    node: &Rc<Node<D>>,
    is_all: bool,
    endpoints: Vec<(EndpointName, Option<EndpointRecord>)>,
) {
    if endpoints.is_empty() && !is_all {
        return;
    }
    match is_all {
        true => replace(node, endpoints),
        false => {
            for (name, record) in endpoints {
                match record {
                    Some(record) => learn_endpoint(node, &name, record, "keeper"),
                    None => lose_endpoint(node, &name, None, "keeper"),
                }
            }
        }
    }
    node.check_ready();
    node.directory_changed.notify_waiters();
}

fn replace<D: Dialect>(node: &Node<D>, endpoints: Vec<(EndpointName, Option<EndpointRecord>)>) {
    let now_ms = node.now_ms();
    let records = endpoints.into_iter();
    let records: Vec<_> = records
        .filter_map(|(name, record)| Some((name, record?)))
        .collect();
    event!(info, "endpoints told", count = records.len());
    let mut directory = node.directory.borrow_mut();
    directory.registry.replace(now_ms, records, None);
    directory.endpoints_known = true;
}
