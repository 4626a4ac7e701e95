//! Changes of endpoints, told by the keeper to all other nodes.
//!
//! One node watches the rows of the endpoints for all: what a change costs in calls to the store
//! does not grow with the number of nodes.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::timeout;
use wisteriapoint_directory::EndpointRecord;
use wisteriapoint_types::EndpointName;

use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;
use crate::peers::{Question, Reply, ask};

/// Changes that are kept; one that asks for older ones gets all endpoints.
const MAX_CHANGES: usize = 1_024;
/// Longest wait of one question, in milliseconds: with the time for its answer, a keeper that
/// vanished is noticed within the time in which an endpoint that drains has to be left.
const WAIT_MS: u64 = 1_000;

/// The changes that this node has seen in the store.
#[derive(Debug, Default)]
pub struct Feed {
    changes: RefCell<VecDeque<(u64, EndpointName)>>,
    last: Cell<u64>,
    is_fresh: Cell<bool>,
    changed: Notify,
}

/// Endpoints as the keeper knows them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Endpoints {
    /// Number of the last change that is in here.
    pub last: u64,
    /// Whether these are all endpoints; else only those that changed.
    pub is_all: bool,
    /// The endpoints; without a record, one is gone.
    pub endpoints: Vec<(EndpointName, Option<EndpointRecord>)>,
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

    /// Notes that an endpoint has changed or is gone.
    pub fn push(&self, endpoint: &EndpointName) {
        self.last.set(self.last.get() + 1);
        let mut changes = self.changes.borrow_mut();
        changes.push_back((self.last.get(), endpoint.clone()));
        if changes.len() > MAX_CHANGES {
            changes.pop_front();
        }
    }

    /// Wakes those who wait for changes.
    pub fn publish(&self) {
        self.changed.notify_waiters();
    }

    /// The endpoints that changed after a number; `None` if these are no longer known.
    fn changed_after(&self, after: u64) -> Option<Vec<EndpointName>> {
        let changes = self.changes.borrow();
        let oldest = changes
            .front()
            .map_or(self.last.get() + 1, |(number, _)| *number);
        if after + 1 < oldest || after > self.last.get() {
            return None;
        }
        let newer = changes.iter().filter(|(number, _)| *number > after);
        let mut names: Vec<_> = newer.map(|(_, name)| name.clone()).collect();
        names.sort();
        names.dedup();
        Some(names)
    }
}

/// Answers another node, at once or after a change; `None` if this node can't tell.
pub async fn answer<D: Dialect>(node: &Node<D>, after: Option<u64>) -> Option<Endpoints> {
    let changed = node.feed.changed.notified();
    if after == Some(node.feed.last.get()) && is_fresh(node) {
        // Nothing new within the wait is an answer too.
        let _is_over = timeout(Duration::from_millis(WAIT_MS), changed)
            .await
            .is_err();
    }
    if !is_fresh(node) {
        return None;
    }
    let directory = node.directory.borrow();
    let names = after.and_then(|after| node.feed.changed_after(after));
    let record = |name: &EndpointName| {
        let known = directory.registry.get(name);
        known.map(|endpoint| endpoint.record.clone())
    };
    let endpoints = match &names {
        Some(names) => names
            .iter()
            .map(|name| (name.clone(), record(name)))
            .collect(),
        None => {
            let all = directory.registry.iter();
            all.map(|(name, known)| (name.clone(), Some(known.record.clone())))
                .collect()
        }
    };
    Some(Endpoints {
        last: node.feed.last.get(),
        is_all: names.is_none(),
        endpoints,
    })
}

fn is_fresh<D: Dialect>(node: &Node<D>) -> bool {
    node.feed.is_fresh.get() && !node.health.is_failing()
}

/// Asks the keeper for changes after a number, and takes them; gives the number of the last one.
pub async fn follow<D: Dialect>(
    node: &Rc<Node<D>>,
    keeper: std::net::SocketAddr,
    after: Option<u64>,
) -> Option<u64> {
    let question = Question::Endpoints {
        after,
        wait_ms: WAIT_MS,
    };
    match ask(node, keeper, &question).await {
        Some(Reply::Endpoints(Some(endpoints))) => {
            let last = endpoints.last;
            take(node, endpoints);
            Some(last)
        }
        _ => None,
    }
}

fn take<D: Dialect>(node: &Rc<Node<D>>, told: Endpoints) {
    if told.endpoints.is_empty() && !told.is_all {
        return;
    }
    let now_ms = node.now_ms();
    let mut directory = node.directory.borrow_mut();
    if told.is_all {
        let records = told.endpoints.into_iter();
        let records = records.filter_map(|(name, record)| Some((name, record?)));
        directory.registry.replace(now_ms, records.collect(), None);
        directory.endpoints_known = true;
    } else {
        for (name, record) in told.endpoints {
            match record {
                Some(record) => {
                    let stage = record.stage;
                    if directory.registry.learn(&name, record) {
                        event!(
                            info,
                            "endpoint changed",
                            endpoint = name,
                            stage = format!("{stage:?}"),
                            told_by = "keeper"
                        );
                    }
                }
                None => {
                    event!(info, "endpoint gone", endpoint = name, told_by = "keeper");
                    directory.registry.vanish(now_ms, &name, None);
                    node.pool.forget(&name);
                }
            }
        }
    }
    drop(directory);
    node.check_ready();
    node.directory_changed.notify_waiters();
}
