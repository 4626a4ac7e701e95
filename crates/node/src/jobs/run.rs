//! Items of a batch job: which runs next, where, and what follows from how it ended.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{AbortHandle, JoinSet, spawn_local};
use tokio::time::sleep;
use wisteriapoint_batch::migration::{FreeSlots, GeneratingItem, items_to_migrate};
use wisteriapoint_batch::{ItemKey, Job, Outcome};
use wisteriapoint_directory::{Requirements, Route};
use wisteriapoint_types::ServiceName;

use super::attempt::{Attempt, AttemptEnd, Ended};
use super::{Owned, commit, parts};
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// Pause between looks for room while items wait: other nodes fill and empty endpoints unseen.
const ROOM_POLL: Duration = Duration::from_millis(30);
/// Pause between looks while nothing waits: stragglers may move.
const IDLE_POLL: Duration = Duration::from_millis(200);

/// Time between looks for stragglers, in milliseconds: a few events.
const MOVE_PAUSE_MS: u64 = 200;

/// Starts the tasks of a batch job.
pub fn start<D: Dialect>(node: &Rc<Node<D>>, owned: Rc<Owned>) {
    node.metrics.set_state("open_jobs", node.jobs.open() as i64);
    spawn_local(commit::run(node.clone(), owned.clone()));
    spawn_local(parts::run(node.clone(), owned.clone()));
    spawn_local(run(node.clone(), owned));
}

/// The route of a batch job in the configuration in force.
pub fn route_of<D: Dialect>(node: &Node<D>, owned: &Owned) -> Option<Route> {
    let configuration = node.configuration()?;
    configuration.route(&owned.host, &owned.path).cloned()
}

async fn run<D: Dialect>(node: Rc<Node<D>>, owned: Rc<Owned>) {
    // Dropped at the end, which closes the connections of all items that run.
    let mut attempts: JoinSet<AttemptEnd> = JoinSet::new();
    let mut handles: BTreeMap<ItemKey, AbortHandle> = BTreeMap::new();
    let mut moved_ms = 0;
    while owned.is_open.get() && !owned.job.borrow().is_done() {
        owned.job.borrow_mut().expire(node.now_ms());
        start_items(&node, &owned, &mut attempts, &mut handles);
        if node.now_ms() >= moved_ms + MOVE_PAUSE_MS {
            moved_ms = node.now_ms();
            move_stragglers(&node, &owned, &handles);
        }
        let poll = match owned.job.borrow().waiting() {
            0 => IDLE_POLL,
            _ => ROOM_POLL,
        };
        let ended = tokio::select! {
            Some(ended) = attempts.join_next() => ended,
            () = owned.work.notified() => continue,
            () = node.directory_changed.notified() => continue,
            () = sleep(poll) => continue,
        };
        match ended {
            Ok(end) => take_end(&node, &owned, end),
            // A straggler that goes on elsewhere.
            Err(error) if error.is_cancelled() => {}
            Err(error) => event!(error, "attempt failed", id = owned.id, why = error),
        }
        owned.finished.notify_one();
        node.directory_changed.notify_waiters();
    }
    owned.finished.notify_one();
    node.metrics.set_state("open_jobs", node.jobs.open() as i64);
}

fn start_items<D: Dialect>(
    node: &Rc<Node<D>>,
    owned: &Rc<Owned>,
    attempts: &mut JoinSet<AttemptEnd>,
    handles: &mut BTreeMap<ItemKey, AbortHandle>,
) {
    let Some(route) = route_of(node, owned) else {
        return;
    };
    let Some(service) = route.select_service(rand::random()).cloned() else {
        return;
    };
    loop {
        let now_ms = node.now_ms();
        if owned.job.borrow().next_runnable(now_ms).is_none() {
            return;
        }
        let chosen = node.choose(need(node, &owned.job.borrow(), &service), &[]);
        let Some((endpoint, address)) = chosen else {
            return;
        };
        let Some(key) = owned.job.borrow_mut().start_next(now_ms) else {
            return;
        };
        let attempt = Attempt::new(node, owned, key, endpoint, address);
        let handle = attempts.spawn_local(attempt.run(node.clone(), route.clone()));
        handles.insert(key, handle);
    }
}

/// Lets stragglers go on at faster engines, once no item waits for a first start.
fn move_stragglers<D: Dialect>(
    node: &Node<D>,
    owned: &Owned,
    handles: &BTreeMap<ItemKey, AbortHandle>,
) {
    if owned.job.borrow().waiting() > 0 {
        return;
    }
    let now_ms = node.now_ms();
    for key in items_to_migrate(now_ms, &generating(node, owned), &free(node, owned, now_ms)) {
        let Some(handle) = handles.get(&key) else {
            continue;
        };
        handle.abort();
        owned.job.borrow_mut().requeue(now_ms, key);
        node.metrics.items.with_label_values(&["moved"]).inc();
        event!(info, "straggler moves", id = owned.id, item = key.0);
    }
}

fn generating<D: Dialect>(node: &Node<D>, owned: &Owned) -> Vec<GeneratingItem> {
    let directory = node.directory.borrow();
    let texts = owned.generating.borrow();
    let texts = texts
        .iter()
        .map(|(&key, (endpoint, since_ms))| GeneratingItem {
            key,
            since_ms: *since_ms,
            unit_ms: directory
                .registry
                .get(endpoint)
                .map_or(0.0, |endpoint| endpoint.unit_ms),
        });
    texts.collect()
}

fn free<D: Dialect>(node: &Node<D>, owned: &Owned, now_ms: u64) -> Vec<FreeSlots> {
    let service = route_of(node, owned).and_then(|route| route.select_service(0.0).cloned());
    let Some(service) = service else {
        return Vec::new();
    };
    let job = owned.job.borrow();
    let directory = node.directory.borrow();
    let need = need(node, &job, &service);
    let fitting = directory
        .registry
        .iter()
        .filter(|(_, endpoint)| endpoint.satisfies(now_ms, &need) && !endpoint.is_paused(now_ms));
    let free = fitting.map(|(_, endpoint)| FreeSlots {
        unit_ms: endpoint.unit_ms,
        slots: endpoint.record.slots - endpoint.occupancy(now_ms).min(endpoint.record.slots),
    });
    free.collect()
}

fn need<'a, D: Dialect>(
    node: &'a Node<D>,
    job: &'a Job,
    service: &'a ServiceName,
) -> Requirements<'a> {
    let step = job.submission().step.as_ref();
    Requirements {
        model: step.map(|step| (&*step.model, step.min_version)),
        requires_free_slot: true,
        ..node.need(service)
    }
}

fn take_end<D: Dialect>(node: &Node<D>, owned: &Owned, end: AttemptEnd) {
    let now_ms = node.now_ms();
    let mut job = owned.job.borrow_mut();
    let outcome = match end.ended {
        Ended::Completed {
            output,
            versions,
            score,
        } => {
            job.finish(
                now_ms,
                end.key,
                Outcome::Completed {
                    output,
                    versions,
                    score,
                },
            );
            "completed"
        }
        Ended::Hopeless => {
            job.finish(now_ms, end.key, Outcome::Dead);
            "dead"
        }
        Ended::Failed if job.record_failure(end.key) => {
            job.finish(now_ms, end.key, Outcome::Dead);
            "dead"
        }
        Ended::Failed => {
            job.requeue(now_ms, end.key);
            "failed"
        }
        Ended::Unfinished => {
            job.requeue(now_ms, end.key);
            "unfinished"
        }
    };
    if job.is_item_done(end.key) {
        owned.progress.borrow_mut().remove(&end.key);
    }
    node.metrics.items.with_label_values(&[outcome]).inc();
}
