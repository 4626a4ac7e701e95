//! State of the batch jobs that this node owns.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use tokio::sync::{Mutex, Notify};
use wisteriapoint_batch::{
    BodyRange, ItemFailures, ItemKey, Job, JobState, Owner, PartialOutput, Progress, RecordHeader,
    RequestedWork, Submission, Work,
};
use wisteriapoint_directory::Configuration;
use wisteriapoint_intake::Reserved;
use wisteriapoint_store::Index;
use wisteriapoint_types::{EndpointName, ServiceName, SoftwareVersion, StreamOrigin};

use super::body::JobBody;

/// Number of batch jobs of other nodes whose owners and workspaces are remembered; one that is forgotten
/// costs a read.
const MAX_KNOWN_JOBS: usize = 4_096;

/// All batch jobs that this node owns, and a cache of the owners of others.
#[derive(Debug, Default)]
pub struct Jobs {
    owned: RefCell<BTreeMap<Box<str>, Rc<OwnedJob>>>,
    cached_owners: RefCell<BTreeMap<Box<str>, Owner>>,
    /// Workspaces of batch jobs of other nodes.
    workspaces: RefCell<BTreeMap<Box<str>, Option<Box<str>>>>,
    /// Batch jobs whose submissions can't be read, with the revisions of their state rows.
    unreadable: RefCell<BTreeMap<Box<str>, Index>>,
    is_unverified: Cell<bool>,
    /// Number of verifications of the ownership that have begun.
    verification: Cell<u64>,
    /// Batch jobs that this node is acquiring, and whether another node has ended them meanwhile.
    acquiring: Rc<RefCell<BTreeMap<Box<str>, bool>>>,
    demand: RefCell<RequestedWork>,
    inserted: Notify,
}

/// Guard that marks a batch job as being accepted or taken over until it is dropped.
#[derive(Debug)]
pub struct AcquisitionGuard {
    acquiring: Rc<RefCell<BTreeMap<Box<str>, bool>>>,
    id: Box<str>,
}

impl AcquisitionGuard {
    /// Returns `true` if another node has ended the batch job since the acquisition began.
    pub fn is_ended(&self) -> bool {
        self.acquiring.borrow().get(&self.id) == Some(&true)
    }
}

impl Drop for AcquisitionGuard {
    fn drop(&mut self) {
        self.acquiring.borrow_mut().remove(&self.id);
    }
}

/// A batch job that this node owns.
#[derive(Debug)]
pub struct OwnedJob {
    /// Id under which it was submitted.
    pub id: Box<str>,
    /// Host that selects its route.
    pub host: Box<str>,
    /// Path under which it was submitted.
    pub path: Box<str>,
    /// Workspace that submitted it; `None` if it has none.
    pub workspace: Option<Box<str>>,
    /// Store revision at which this node became its owner.
    pub acquired_revision: Index,
    /// Bodies of its items.
    pub body: JobBody,
    /// State of its items and results.
    pub job: RefCell<Job>,
    /// Partial outputs of items that run or wait to resume.
    pub progress: RefCell<BTreeMap<ItemKey, Progress>>,
    /// Number of failures of the scorers of unfinished items.
    pub scorer_failures: RefCell<BTreeMap<ItemKey, u32>>,
    /// Endpoint at which each output is being generated, and the time in milliseconds of the node's
    /// clock at which that started.
    pub generating: RefCell<BTreeMap<ItemKey, (EndpointName, u64)>>,
    /// Time at which the last event of each running item arrived, in milliseconds.
    pub last_event_at_ms: RefCell<BTreeMap<ItemKey, u64>>,
    /// Time in milliseconds since which an item with a partial output waits for an endpoint that may go
    /// on with it.
    pub waiting_since_ms: RefCell<BTreeMap<ItemKey, u64>>,
    /// Items whose output an endpoint that was to go on with it had nothing to add to.
    pub empty_resumes: RefCell<BTreeSet<ItemKey>>,
    /// State row as this node last wrote or read it; locked during writes.
    pub row: Mutex<StateRow>,
    /// Memory of its items, outputs and results.
    memory: Reserved,
    /// Time at which this node noticed that it is ended or done, in milliseconds.
    pub done_at_ms: Cell<Option<u64>>,
    /// `true` while more items may run.
    pub is_open: Cell<bool>,
    /// `true` from the time at which this node asks another one to take the batch job over.
    pub is_handed_over: Cell<bool>,
    /// Wakes readers when results are listed or the batch job is closed.
    pub results_listed: Notify,
    /// Wakes the task that commits results when an attempt at an item has ended or the batch job is
    /// closed.
    pub item_finished: Notify,
    /// Wakes the task that starts items when the batch job is closed.
    pub closed: Notify,
}

/// State row of a batch job as its owner last wrote or read it.
#[derive(Debug, Clone)]
pub struct StateRow {
    /// Revision of the row in the store.
    pub revision: Index,
    /// Decoded value of the row.
    pub state: JobState,
}

impl Jobs {
    /// Creates a set without batch jobs or cached owners.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the batch job if this node owns it.
    pub fn get(&self, id: &str) -> Option<Rc<OwnedJob>> {
        self.owned.borrow().get(id).cloned()
    }

    /// Returns `true` if this node owns the batch job or has cached its owner.
    pub fn has_owner(&self, id: &str) -> bool {
        self.owned.borrow().contains_key(id) || self.cached_owners.borrow().contains_key(id)
    }

    /// Returns `true` if the ownership of all batch jobs was read from the store since this node
    /// last lost its lease.
    pub fn is_verified(&self) -> bool {
        !self.is_unverified.get()
    }

    /// Returns the number of the last verification of the ownership that has begun.
    pub fn verification(&self) -> u64 {
        self.verification.get()
    }

    /// Begins a verification of the ownership and returns its number.
    pub fn begin_verification(&self) -> u64 {
        self.verification.set(self.verification.get() + 1);
        self.verification.get()
    }

    /// Sets the value that [`is_verified`](Self::is_verified) returns.
    pub fn set_verified(&self, is_verified: bool) {
        self.is_unverified.set(!is_verified);
    }

    /// Returns `true` while a task of this node accepts the batch job or takes it over.
    pub fn is_being_acquired(&self, id: &str) -> bool {
        self.acquiring.borrow().contains_key(id)
    }

    /// Marks a batch job as being acquired, until the returned guard is dropped.
    ///
    /// The caller must check [`is_being_acquired`](Self::is_being_acquired) first, since only one
    /// task at a time may acquire a batch job.
    pub fn begin_acquiring(&self, id: &str) -> AcquisitionGuard {
        let id = Box::<str>::from(id);
        self.acquiring.borrow_mut().insert(id.clone(), false);
        let acquiring = self.acquiring.clone();
        AcquisitionGuard { acquiring, id }
    }

    /// Records that another node has ended a batch job that this node may be acquiring.
    pub fn record_end(&self, id: &str) {
        if let Some(is_ended) = self.acquiring.borrow_mut().get_mut(id) {
            *is_ended = true;
        }
    }

    /// Returns all batch jobs that this node owns, including ended ones.
    pub fn all(&self) -> Vec<Rc<OwnedJob>> {
        self.owned.borrow().values().cloned().collect()
    }

    /// Adds a batch job that this node now owns, and removes its cached owner.
    pub fn insert(&self, owned: Rc<OwnedJob>) {
        self.cached_owners.borrow_mut().remove(&owned.id);
        self.owned.borrow_mut().insert(owned.id.clone(), owned);
        self.inserted.notify_waiters();
    }

    /// Waits until this node owns another batch job.
    pub async fn inserted(&self) {
        self.inserted.notified().await;
    }

    /// Returns the store revision at which this node acquired the first of its open batch jobs that
    /// have unlisted items.
    pub fn first_open_revision(&self) -> Option<Index> {
        let owned = self.owned.borrow();
        let is_unfinished =
            |owned: &&Rc<OwnedJob>| owned.is_open.get() && !owned.job.borrow().is_all_listed();
        let open = owned.values().filter(is_unfinished);
        open.map(|owned| owned.acquired_revision).min()
    }

    /// Closes and removes a batch job that this node no longer owns.
    pub fn remove(&self, id: &str) {
        if let Some(owned) = self.owned.borrow_mut().remove(id) {
            owned.close();
        }
    }

    /// Returns the cached owner of a batch job, which may be out of date.
    pub fn cached_owner(&self, id: &str) -> Option<Owner> {
        self.cached_owners.borrow().get(id).cloned()
    }

    /// Caches the owner of a batch job, or removes the cached owner.
    pub fn set_cached_owner(&self, id: &str, owner: Option<Owner>) {
        let mut cached_owners = self.cached_owners.borrow_mut();
        match owner {
            Some(owner) => {
                cached_owners.insert(id.into(), owner);
                if cached_owners.len() > MAX_KNOWN_JOBS {
                    cached_owners.pop_first();
                }
            }
            None => {
                cached_owners.remove(id);
            }
        }
    }

    /// Records the work of a batch job that this node has accepted, if the batch job belongs to a
    /// step of a trainer.
    pub fn record_work(&self, now_ms: u64, submission: &Submission) {
        if let Some(step) = &submission.step {
            let tokens = submission.items.iter().map(|item| item.expected_tokens);
            let tokens = tokens.map(f64::from).sum();
            self.demand.borrow_mut().add(now_ms, &step.model, tokens);
        }
    }

    /// Returns the recently accepted work by model, in expected output tokens with exponential
    /// decay.
    pub fn work(&self, now_ms: u64) -> Work {
        self.demand.borrow().work(now_ms)
    }

    /// Returns the number of waiting items of open batch jobs for a service.
    pub fn waiting_items(&self, configuration: &Configuration, service: &ServiceName) -> u32 {
        let owned = self.owned.borrow();
        let open = owned.values().filter(|owned| owned.is_open.get());
        let of_service = open.filter(|owned| {
            let route = configuration.route(&owned.host, &owned.path);
            let splits = route.into_iter().flat_map(|route| &route.splits);
            splits.into_iter().any(|split| split.service == *service)
        });
        of_service
            .map(|owned| owned.job.borrow().waiting() as u32)
            .sum()
    }

    /// Returns the workspace of a batch job that this node owns, or has read of; `None` if it does not
    /// know it.
    pub fn workspace(&self, id: &str) -> Option<Option<Box<str>>> {
        match self.owned.borrow().get(id) {
            Some(owned) => Some(owned.workspace.clone()),
            None => self.workspaces.borrow().get(id).cloned(),
        }
    }

    /// Records the workspace of a batch job, which never changes.
    pub fn record_workspace(&self, id: &str, workspace: Option<Box<str>>) {
        let mut workspaces = self.workspaces.borrow_mut();
        workspaces.insert(id.into(), workspace);
        if workspaces.len() > MAX_KNOWN_JOBS {
            workspaces.pop_first();
        }
    }

    /// Records that the submission of a batch job can't be read, whose state row has a revision.
    pub fn record_unreadable(&self, id: &str, revision: Index) {
        let mut unreadable = self.unreadable.borrow_mut();
        unreadable.insert(id.into(), revision);
        if unreadable.len() > MAX_KNOWN_JOBS {
            unreadable.pop_first();
        }
    }

    /// Returns `true` if the submission of a batch job can't be read, and its state row has not changed since
    /// that was found.
    pub fn is_unreadable(&self, id: &str, revision: Index) -> bool {
        self.unreadable.borrow().get(id) == Some(&revision)
    }

    /// Returns the number of batch jobs of this node whose items may run.
    pub fn open_count(&self) -> usize {
        let owned = self.owned.borrow();
        owned.values().filter(|owned| owned.is_open.get()).count()
    }
}

impl OwnedJob {
    /// Creates the state of a batch job from its submission and its state row; `memory` counts its items.
    pub fn new(
        id: &str,
        header: &RecordHeader,
        (body, memory): (JobBody, Reserved),
        job: Job,
        row: StateRow,
    ) -> Rc<Self> {
        Rc::new(Self {
            id: id.into(),
            host: header.host.clone(),
            path: header.path.clone(),
            body,
            memory,
            workspace: row.state.workspace.clone(),
            acquired_revision: row.revision,
            done_at_ms: Cell::new(None),
            is_open: Cell::new(row.state.open),
            is_handed_over: Cell::new(false),
            job: RefCell::new(job),
            progress: RefCell::default(),
            scorer_failures: RefCell::default(),
            generating: RefCell::default(),
            last_event_at_ms: RefCell::default(),
            waiting_since_ms: RefCell::default(),
            empty_resumes: RefCell::default(),
            row: Mutex::new(row),
            results_listed: Notify::new(),
            item_finished: Notify::new(),
            closed: Notify::new(),
        })
    }

    /// Counts the memory of the items, outputs and results anew.
    pub fn count_memory(&self) {
        let progress = self.progress.borrow();
        let outputs = progress.values().map(|progress| progress.text.len());
        let job = self.job.borrow();
        self.memory.set(job.memory_bytes() + outputs.sum::<usize>());
    }

    /// Stops all items, and wakes all tasks and readers of the batch job.
    pub fn close(&self) {
        self.is_open.set(false);
        self.body.release();
        self.closed.notify_one();
        self.item_finished.notify_one();
        self.results_listed.notify_waiters();
    }

    /// Returns the partial outputs of unfinished items that have received at least one event.
    pub fn partial_outputs(&self) -> Vec<PartialOutput> {
        let job = self.job.borrow();
        let progress = self.progress.borrow();
        let started = progress
            .iter()
            .filter(|(_, progress)| progress.last_event.is_some());
        started
            .filter_map(|(&key, progress)| {
                let item = job.item(key)?.id.clone();
                let progress = progress.clone();
                Some(PartialOutput { item, progress })
            })
            .collect()
    }

    /// Returns the time for which an item has waited to go on with its output, in milliseconds.
    pub fn waited_ms(&self, now_ms: u64, key: ItemKey) -> u64 {
        let mut waiting = self.waiting_since_ms.borrow_mut();
        now_ms - *waiting.entry(key).or_insert(now_ms)
    }

    /// Returns the number of the last event of an item's partial output, or 0.
    pub fn last_event(&self, key: ItemKey) -> u64 {
        let progress = self.progress.borrow();
        let progress = progress.get(&key);
        progress
            .and_then(|progress| progress.last_event)
            .unwrap_or(0)
    }

    /// Records the arrival of an event of an item.
    pub fn record_event_at(&self, key: ItemKey, now_ms: u64) {
        self.last_event_at_ms.borrow_mut().insert(key, now_ms);
    }

    /// Returns what generated the partial output of an item.
    pub fn origin(&self, key: ItemKey) -> StreamOrigin {
        let progress = self.progress.borrow();
        let progress = progress.get(&key);
        progress.map_or(StreamOrigin::None, |progress| progress.origin.clone())
    }

    /// Discards the partial output of an item unless a software version may go on with it.
    ///
    /// Returns the number of the last event that is lost.
    pub fn discard_foreign_output(
        &self,
        key: ItemKey,
        software: Option<&SoftwareVersion>,
    ) -> Option<u64> {
        let mut progress = self.progress.borrow_mut();
        match progress.get_mut(&key) {
            Some(progress) if !progress.origin.admits(software) => {
                std::mem::take(progress).last_event
            }
            _ => None,
        }
    }

    /// Returns the number of failures of an item's scorer.
    pub fn scorer_failures(&self, key: ItemKey) -> u32 {
        let failures = self.scorer_failures.borrow();
        failures.get(&key).copied().unwrap_or(0)
    }

    /// Returns the failures of the unfinished items that have any.
    pub fn failures(&self) -> Vec<ItemFailures> {
        let job = self.job.borrow();
        let items = job.submission().items.iter().enumerate();
        let unfinished = items
            .map(|(index, item)| (ItemKey(index as u32), item))
            .filter(|&(key, _)| !job.is_item_done(key));
        unfinished
            .map(|(key, item)| ItemFailures {
                item: item.id.clone(),
                failures: job.failures(key),
                scorer_failures: self.scorer_failures(key),
            })
            .filter(|failures| failures.failures + failures.scorer_failures > 0)
            .collect()
    }

    /// Restores failures that a previous owner has recorded, before any item runs.
    pub fn restore_failures(&self, previous: Vec<ItemFailures>) {
        let mut job = self.job.borrow_mut();
        let mut scorer_failures = self.scorer_failures.borrow_mut();
        for failures in previous {
            if let Some(key) = job.key_of(&failures.item) {
                job.restore_failures(key, failures.failures);
                scorer_failures.insert(key, failures.scorer_failures);
            }
        }
    }

    /// Merges partial outputs from a previous owner; the longer one of two for an item is used.
    pub fn merge_partial_outputs(&self, outputs: Vec<PartialOutput>) {
        let job = self.job.borrow();
        let mut progress = self.progress.borrow_mut();
        for output in outputs {
            let Some(key) = job
                .key_of(&output.item)
                .filter(|&key| !job.is_item_done(key))
            else {
                continue;
            };
            let progress = progress.entry(key).or_default();
            if progress.last_event < output.progress.last_event {
                *progress = output.progress;
            }
        }
    }

    /// Returns the place of the body of an item, or `None` if there is no such item.
    pub fn body_range(&self, item: &str) -> Option<BodyRange> {
        let job = self.job.borrow();
        let key = job.key_of(item)?;
        job.item(key).map(|item| item.body)
    }
}
