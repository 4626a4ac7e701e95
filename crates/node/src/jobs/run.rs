//! Items of a batch job: which runs next, where, and what follows from how it ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinSet, spawn_local};
use tokio::time::sleep;
use wisteriapoint_batch::Outcome;
use wisteriapoint_directory::{Need, Route};
use wisteriapoint_types::{EndpointName, ServiceName};

use super::attempt::{Attempt, AttemptEnd, Ended};
use super::{Owned, commit, parts};
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// Pause between looks for room while items wait: other nodes fill and empty endpoints unseen.
const ROOM_POLL: Duration = Duration::from_millis(30);
/// Pause between looks while nothing waits; only the end of the retention is found so.
const IDLE_POLL: Duration = Duration::from_millis(500);

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
    while owned.is_open.get() && !owned.job.borrow().is_done() {
        owned.job.borrow_mut().give_up(node.now_ms());
        start_items(&node, &owned, &mut attempts);
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
) {
    let Some(route) = route_of(node, owned) else {
        return;
    };
    let Some(service) = route.service_at(rand::random()).cloned() else {
        return;
    };
    loop {
        let now_ms = node.now_ms();
        if owned.job.borrow().peek(now_ms).is_none() {
            return;
        }
        let Some((endpoint, address)) = choose(node, owned, &service) else {
            return;
        };
        let Some(key) = owned.job.borrow_mut().next(now_ms) else {
            return;
        };
        let attempt = Attempt::new(node, owned, key, endpoint, address);
        attempts.spawn_local(attempt.run(node.clone(), route.clone()));
    }
}

fn choose<D: Dialect>(
    node: &Node<D>,
    owned: &Owned,
    service: &ServiceName,
) -> Option<(EndpointName, SocketAddr)> {
    let job = owned.job.borrow();
    let step = job.submission().step.as_ref();
    let directory = node.directory.borrow();
    let need = Need {
        service,
        model: step.map(|step| (&*step.model, step.min_version)),
        within_slots: true,
        near: &node.settings.failure_domain,
    };
    let registry = &directory.registry;
    let name = registry.choose(node.now_ms(), need, &[])?.clone();
    let address = registry.get(&name)?.record.address;
    Some((name, address))
}

fn take_end<D: Dialect>(
    node: &Node<D>,
    owned: &Owned,
    end: AttemptEnd,
) {
    let now_ms = node.now_ms();
    let mut job = owned.job.borrow_mut();
    let outcome = match end.ended {
        Ended::Completed { output, versions, score } => {
            job.finish(now_ms, end.key, Outcome::Completed { output, versions, score });
            "completed"
        }
        Ended::Hopeless => {
            job.finish(now_ms, end.key, Outcome::Dead);
            "dead"
        }
        Ended::Failed if job.failed(end.key) => {
            job.finish(now_ms, end.key, Outcome::Dead);
            "dead"
        }
        Ended::Failed => {
            job.put_back(now_ms, end.key);
            "failed"
        }
        Ended::Unfinished => {
            job.put_back(now_ms, end.key);
            "unfinished"
        }
    };
    if job.is_item_done(end.key) {
        owned.progress.borrow_mut().remove(&end.key);
    }
    node.metrics.items.with_label_values(&[outcome]).inc();
}
