//! Scheduling of the items of a batch job: selection of the next item and its endpoint, and
//! handling of the results of attempts.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{AbortHandle, JoinSet, spawn_local};
use tokio::time::sleep;
use wisteriapoint_batch::migration::{FreeSlots, GeneratingItem, items_to_migrate};
use wisteriapoint_batch::relocation::{PacedItem, is_fast, items_to_relocate};
use wisteriapoint_batch::{ItemKey, Job, Outcome, Pace, Precedence};
use wisteriapoint_directory::{Priority, Registry, Requirements, Route};
use wisteriapoint_types::{EndpointName, ServiceName};

use super::abandon::{AbandonReason, abandon_expired, abandon_item};
use super::attempt::{Attempt, AttemptOutcome, AttemptResult};
use super::{OwnedJob, commit, partial_outputs};
use crate::dialect::Dialect;
use crate::node::{ChosenEndpoint, Node};
use crate::{event, limits};

/// Interval between checks for free slots while items wait; other nodes occupy and release slots
/// without notifying this one.
const CAPACITY_POLL: Duration = Duration::from_millis(30);
/// Interval between checks while no item waits, as items may leave engines that turn slow.
const IDLE_POLL: Duration = Duration::from_millis(60);

/// Minimum time between checks for stragglers, and between changes of the order of the items, in
/// milliseconds; engines send a few events in it.
const CHECK_INTERVAL_MS: u64 = 200;

/// Starts the tasks that run the items of a batch job, commit results and store partial outputs.
pub fn start_tasks<D: Dialect>(node: &Rc<Node<D>>, owned: Rc<OwnedJob>) {
    node.metrics
        .set_state("open_jobs", node.jobs.open_count() as i64);
    node.lease.request_short();
    spawn_local(commit::commit_results(node.clone(), owned.clone()));
    spawn_local(partial_outputs::store_periodically(
        node.clone(),
        owned.clone(),
    ));
    spawn_local(run_items(node.clone(), owned));
}

/// Returns the route of a batch job in the current configuration.
pub fn route_of<D: Dialect>(node: &Node<D>, owned: &OwnedJob) -> Option<Route> {
    let configuration = node.configuration()?;
    configuration.route(&owned.host, &owned.path).cloned()
}

async fn run_items<D: Dialect>(node: Rc<Node<D>>, owned: Rc<OwnedJob>) {
    // Dropped on return, which aborts the running attempts and closes their connections.
    let mut attempts: JoinSet<AttemptResult> = JoinSet::new();
    let mut handles: BTreeMap<ItemKey, AbortHandle> = BTreeMap::new();
    let mut checked_at_ms = 0;
    while owned.is_open.get() && !owned.job.borrow().is_done() {
        abandon_expired(&node, &owned);
        let is_check_due = node.now_ms() >= checked_at_ms + CHECK_INTERVAL_MS;
        if is_check_due {
            checked_at_ms = node.now_ms();
            owned.count_memory();
            order_items(&node, &owned);
        }
        start_items(&node, &owned, &mut attempts, &mut handles);
        if is_check_due {
            migrate_stragglers(&node, &owned, &handles);
        }
        relocate_items(&node, &owned, &handles);
        let poll = match owned.job.borrow().waiting() {
            0 => IDLE_POLL,
            _ => CAPACITY_POLL,
        };
        let joined = tokio::select! {
            Some(joined) = attempts.join_next() => joined,
            () = owned.closed.notified() => continue,
            () = node.directory_changed.notified() => continue,
            () = sleep(poll) => continue,
        };
        match joined {
            Ok(result) => handle_attempt_result(&node, &owned, result),
            // The attempt was aborted because the item migrates to another engine.
            Err(error) if error.is_cancelled() => {}
            Err(error) => {
                event!(
                    error,
                    "item attempt task failed; requeueing the item",
                    id = owned.id,
                    error = error
                );
                let mut handles = handles.iter();
                if let Some((&key, _)) = handles.find(|(_, handle)| handle.id() == error.id()) {
                    owned.job.borrow_mut().requeue(node.now_ms(), key);
                }
            }
        }
        owned.item_finished.notify_one();
        node.directory_changed.notify_waiters();
    }
    owned.item_finished.notify_one();
    node.metrics
        .set_state("open_jobs", node.jobs.open_count() as i64);
}

fn start_items<D: Dialect>(
    node: &Rc<Node<D>>,
    owned: &Rc<OwnedJob>,
    attempts: &mut JoinSet<AttemptResult>,
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
        let Some(next) = owned.job.borrow().next_runnable(now_ms) else {
            return;
        };
        let chosen = match place_item(node, owned, next, &service) {
            ItemPlacement::Endpoint(chosen) => chosen,
            ItemPlacement::Later => {
                owned.job.borrow_mut().defer(now_ms, next);
                continue;
            }
            ItemPlacement::NoEndpoint => return,
        };
        if must_yield(node, owned, &service, &chosen.name) {
            // Wakes the batch job that precedes this one, which may not have seen the free slot yet.
            node.directory_changed.notify_waiters();
            return;
        }
        if !limits::try_acquire_batch(node, &chosen.name) {
            continue;
        }
        let Some(key) = owned.job.borrow_mut().start_next(now_ms) else {
            return;
        };
        owned.waiting_since_ms.borrow_mut().remove(&key);
        let attempt = Attempt::new(node, owned, key, chosen);
        let handle = attempts.spawn_local(attempt.run(node.clone(), route.clone()));
        handles.insert(key, handle);
    }
}

/// Orders the waiting items by the groups that can be complete before the due time.
fn order_items<D: Dialect>(node: &Node<D>, owned: &OwnedJob) {
    let route = route_of(node, owned);
    let service = route.as_ref().and_then(|route| route.select_service(0.0));
    let Some((route, service)) = route.as_ref().zip(service) else {
        return;
    };
    let directory = node.directory.borrow();
    let endpoints = directory.registry.iter();
    let of_service = endpoints.filter(|(_, endpoint)| endpoint.record.service == *service);
    let pace = Pace {
        ms_per_token: directory.registry.mean_ms_per_event(service),
        // A row may state any number of slots.
        slots: of_service.fold(0, |sum, (_, other)| other.record.slots.saturating_add(sum)),
    };
    let left_ms = left_ms(node.now_ms(), &owned.job.borrow(), route);
    owned.job.borrow_mut().order_by_groups(left_ms, pace);
}

/// Returns the time until the results of a batch job are due, in milliseconds, or 0 after it.
fn left_ms(now_ms: u64, job: &Job, route: &Route) -> u64 {
    let submitted_at_ms = job.expires_at_ms().saturating_sub(route.retention_ms);
    let due_at_ms = submitted_at_ms.saturating_add(route.due_ms);
    due_at_ms.saturating_sub(now_ms)
}

/// Returns `true` if another batch job precedes this one and could use the endpoint now.
///
/// A batch job whose items wait for other weights or for a pause does not hold up the slot.
fn must_yield<D: Dialect>(
    node: &Node<D>,
    owned: &Rc<OwnedJob>,
    service: &ServiceName,
    endpoint: &EndpointName,
) -> bool {
    let now_ms = node.now_ms();
    let directory = node.directory.borrow();
    let (Some(own), Some(endpoint)) = (
        precedence(node, owned, service, &directory.registry),
        directory.registry.get(endpoint),
    ) else {
        return false;
    };
    node.jobs.all().iter().any(|other| {
        let job = other.job.borrow();
        other.is_open.get()
            && !Rc::ptr_eq(other, owned)
            && precedence(node, other, service, &directory.registry)
                .is_some_and(|precedence| precedence < own)
            && job.next_runnable(now_ms).is_some()
            && endpoint.satisfies(now_ms, &requirements(node, &job, service))
    })
}

/// Returns the precedence of a batch job, or `None` if its route does not use the service.
fn precedence<D: Dialect>(
    node: &Node<D>,
    owned: &OwnedJob,
    service: &ServiceName,
    registry: &Registry,
) -> Option<Precedence> {
    let configuration = node.configuration()?;
    let route = configuration.route(&owned.host, &owned.path)?;
    route
        .splits
        .iter()
        .find(|split| split.service == *service)?;
    let workspace = configuration
        .workspaces
        .as_ref()
        .zip(owned.workspace.as_deref());
    let workspace = workspace.and_then(|(workspaces, name)| workspaces.get(name));
    let priority = workspace.and_then(|workspace| workspace.priority());
    let job = owned.job.borrow();
    let needed_ms = f64::from(job.longest_hint()) * registry.mean_ms_per_event(service);
    Some(Precedence::new(
        priority.unwrap_or(route.priority),
        left_ms(node.now_ms(), &job, route),
        route.due_ms,
        needed_ms as u64,
    ))
}

/// Where an item may start.
enum ItemPlacement {
    /// At this endpoint.
    Endpoint(ChosenEndpoint),
    /// At one that may go on with its output, once it has a free slot; other items may start now.
    Later,
    /// No endpoint has a free slot.
    NoEndpoint,
}

/// Chooses an endpoint that may go on with the output of an item, or else one at which the item begins
/// anew.
///
/// An item waits for the former at most as long as it takes to generate what it would lose.
fn place_item<D: Dialect>(
    node: &Node<D>,
    owned: &OwnedJob,
    key: ItemKey,
    service: &ServiceName,
) -> ItemPlacement {
    let now_ms = node.now_ms();
    let job = owned.job.borrow();
    let any = requirements(node, &job, service);
    let origin = owned.origin(key);
    let suitable = Requirements {
        origin: &origin,
        ..any
    };
    if let Some(chosen) = node.choose_endpoint(suitable, &[]) {
        return ItemPlacement::Endpoint(chosen);
    }
    let directory = node.directory.borrow();
    let is_version_present = origin.software().is_some_and(|software| {
        let mut endpoints = directory.registry.iter();
        endpoints.any(|(_, endpoint)| endpoint.may_serve_later(&any, software))
    });
    let lost_ms = owned.last_event(key) as f64 * directory.registry.mean_ms_per_event(service);
    drop(directory);
    if is_version_present && (owned.waited_ms(now_ms, key) as f64) < lost_ms {
        return ItemPlacement::Later;
    }
    node.choose_endpoint(any, &[])
        .map_or(ItemPlacement::NoEndpoint, ItemPlacement::Endpoint)
}

/// Migrates stragglers to faster engines, unless an item waits to start.
fn migrate_stragglers<D: Dialect>(
    node: &Node<D>,
    owned: &OwnedJob,
    handles: &BTreeMap<ItemKey, AbortHandle>,
) {
    if owned.job.borrow().waiting() > 0 {
        return;
    }
    let now_ms = node.now_ms();
    let migrating = {
        let directory = node.directory.borrow();
        let generating = generating_items(owned, &directory.registry);
        let free = free_slots(node, owned, &directory.registry, now_ms);
        items_to_migrate(now_ms, &generating, &free)
    };
    for key in migrating {
        let Some(handle) = handles.get(&key) else {
            continue;
        };
        handle.abort();
        owned.job.borrow_mut().requeue(now_ms, key);
        node.metrics.items.with_label_values(&["moved"]).inc();
        event!(
            info,
            "straggler requeued to migrate to a faster engine",
            id = owned.id,
            item = key.0
        );
    }
}

/// Lets long items go on elsewhere whose engines are slow at the moment, unless an item waits to start.
fn relocate_items<D: Dialect>(
    node: &Node<D>,
    owned: &OwnedJob,
    handles: &BTreeMap<ItemKey, AbortHandle>,
) {
    if owned.job.borrow().waiting() > 0 {
        return;
    }
    let Some(service) = route_of(node, owned).and_then(|route| route.select_service(0.0).cloned())
    else {
        return;
    };
    let now_ms = node.now_ms();
    let relocating = {
        let directory = node.directory.borrow();
        let registry = &directory.registry;
        let usual_ms = registry.mean_ms_per_event(&service);
        let items = paced_items(owned, registry, now_ms);
        let job = owned.job.borrow();
        let requirements = requirements(node, &job, &service);
        let fast = registry.iter().filter(|(_, endpoint)| {
            let gap_ms = endpoint.recent_gap_ms(now_ms);
            gap_ms.is_some_and(|gap_ms| is_fast(gap_ms, usual_ms))
                && endpoint.satisfies(now_ms, &requirements)
                && !endpoint.is_paused(now_ms)
        });
        items_to_relocate(&items, usual_ms, fast.count())
    };
    for key in relocating {
        let Some(handle) = handles.get(&key) else {
            continue;
        };
        handle.abort();
        owned.job.borrow_mut().requeue_now(key);
        node.metrics.items.with_label_values(&["relocated"]).inc();
        event!(
            debug,
            "item requeued as its engine is slow at the moment",
            id = owned.id,
            item = key.0
        );
    }
}

fn paced_items(owned: &OwnedJob, registry: &Registry, now_ms: u64) -> Vec<PacedItem> {
    let generating = owned.generating.borrow();
    let last_event_at_ms = owned.last_event_at_ms.borrow();
    let paced = generating
        .iter()
        .filter_map(|(&key, (endpoint, since_ms))| {
            let endpoint = registry.get(endpoint)?;
            // Another software version could not go on with the output.
            endpoint.record.software.as_ref()?;
            let last_ms = *last_event_at_ms.get(&key)?;
            // Before its first event here the output is read in.
            if last_ms <= *since_ms {
                return None;
            }
            let recent_ms = endpoint.recent_gap_ms(now_ms).unwrap_or(0.0);
            Some(PacedItem {
                key,
                events: owned.last_event(key),
                on_engine_ms: now_ms.saturating_sub(*since_ms),
                gap_ms: recent_ms.max(now_ms.saturating_sub(last_ms) as f64),
            })
        });
    paced.collect()
}

fn generating_items<'a>(owned: &OwnedJob, registry: &'a Registry) -> Vec<GeneratingItem<'a>> {
    let generating = owned.generating.borrow();
    let generating = generating
        .iter()
        .filter_map(|(&key, (endpoint, since_ms))| {
            let endpoint = registry.get(endpoint)?;
            Some(GeneratingItem {
                key,
                since_ms: *since_ms,
                ms_per_event: endpoint.ms_per_event,
                software: endpoint.record.software.as_ref(),
            })
        });
    generating.collect()
}

fn free_slots<'a, D: Dialect>(
    node: &Node<D>,
    owned: &OwnedJob,
    registry: &'a Registry,
    now_ms: u64,
) -> Vec<FreeSlots<'a>> {
    let service = route_of(node, owned).and_then(|route| route.select_service(0.0).cloned());
    let Some(service) = service else {
        return Vec::new();
    };
    let job = owned.job.borrow();
    let requirements = requirements(node, &job, &service);
    let eligible = registry.iter().filter(|(_, endpoint)| {
        endpoint.satisfies(now_ms, &requirements) && !endpoint.is_paused(now_ms)
    });
    let free = eligible.map(|(_, endpoint)| FreeSlots {
        ms_per_event: endpoint.ms_per_event,
        slots: endpoint.record.slots - endpoint.occupancy(now_ms).min(endpoint.record.slots),
        software: endpoint.record.software.as_ref(),
    });
    free.collect()
}

fn requirements<'a, D: Dialect>(
    node: &'a Node<D>,
    job: &'a Job,
    service: &'a ServiceName,
) -> Requirements<'a> {
    let step = job.submission().step.as_ref();
    Requirements {
        model: step.map(|step| (&*step.model, step.min_version)),
        requires_free_slot: true,
        priority: Priority::Batch,
        ..node.plain_requirements(service)
    }
}

fn handle_attempt_result<D: Dialect>(node: &Node<D>, owned: &OwnedJob, result: AttemptResult) {
    let now_ms = node.now_ms();
    let mut job = owned.job.borrow_mut();
    let outcome = match result.outcome {
        AttemptOutcome::Completed {
            output,
            versions,
            score,
        } => {
            job.finish(
                now_ms,
                result.key,
                Outcome::Completed {
                    output,
                    versions,
                    score,
                },
            );
            "completed"
        }
        AttemptOutcome::Abandoned(reason) => {
            abandon_item(node, owned, &mut job, result.key, reason);
            "dead"
        }
        AttemptOutcome::Failed if job.record_failure(result.key) => {
            abandon_item(node, owned, &mut job, result.key, AbandonReason::Failed);
            "dead"
        }
        AttemptOutcome::Failed => {
            job.requeue(now_ms, result.key);
            "failed"
        }
        AttemptOutcome::Unfinished => {
            job.requeue(now_ms, result.key);
            "unfinished"
        }
    };
    if job.is_item_done(result.key) {
        owned.progress.borrow_mut().remove(&result.key);
    }
    node.metrics.items.with_label_values(&[outcome]).inc();
}
