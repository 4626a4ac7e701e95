//! Batch jobs that this node owns.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use tokio::sync::{Mutex, Notify};
use wisteriapoint_batch::{
    Demand, ItemKey, Job, JobRecord, JobState, Owner, PartialOutput, Progress, Submission, Work,
};
use wisteriapoint_store::Index;
use wisteriapoint_types::EndpointName;

/// All batch jobs that this node owns, and the owners of others that it has met.
#[derive(Debug, Default)]
pub struct Jobs {
    owned: RefCell<BTreeMap<Box<str>, Rc<Owned>>>,
    owners: RefCell<BTreeMap<Box<str>, Owner>>,
    is_unverified: Cell<bool>,
    accepting: Rc<RefCell<BTreeSet<Box<str>>>>,
    demand: RefCell<Demand>,
}

/// Marks a batch job as being accepted or taken over for as long as it lives.
#[derive(Debug)]
pub struct Accepting {
    all: Rc<RefCell<BTreeSet<Box<str>>>>,
    id: Box<str>,
}

impl Drop for Accepting {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.id);
    }
}

/// A batch job that this node owns.
#[derive(Debug)]
pub struct Owned {
    /// Its id.
    pub id: Box<str>,
    /// Host of its route.
    pub host: Box<str>,
    /// Path under which it was submitted.
    pub path: Box<str>,
    /// Its items and results.
    pub job: RefCell<Job>,
    /// Texts of items that run or wait to go on.
    pub progress: RefCell<BTreeMap<ItemKey, Progress>>,
    /// Where texts are being generated, and since when.
    pub generating: RefCell<BTreeMap<ItemKey, (EndpointName, u64)>>,
    /// The row in the store as this node wrote or read it last; locked while it is written.
    pub row: Mutex<OwnedRow>,
    /// Whether more items may run.
    pub is_open: Cell<bool>,
    /// Wakes readers that wait for results.
    pub listed: Notify,
    /// Wakes the task that commits results.
    pub finished: Notify,
    /// Wakes the task that starts items.
    pub work: Notify,
}

/// The row of a batch job as its owner knows it.
#[derive(Debug, Clone)]
pub struct OwnedRow {
    /// Its revision.
    pub revision: Index,
    /// Its value.
    pub state: JobState,
}

impl Jobs {
    /// Owns no batch job.
    pub fn new() -> Self {
        Self::default()
    }

    /// A batch job that this node owns.
    pub fn get(&self, id: &str) -> Option<Rc<Owned>> {
        self.owned.borrow().get(id).cloned()
    }

    /// Whether this node owns a batch job or has met its owner.
    pub fn is_known(&self, id: &str) -> bool {
        self.owned.borrow().contains_key(id) || self.owners.borrow().contains_key(id)
    }

    /// Whether the rows of all batch jobs were read since this node was without a lease.
    pub fn is_verified(&self) -> bool {
        !self.is_unverified.get()
    }

    /// Sets whether they were.
    pub fn set_verified(&self, is_verified: bool) {
        self.is_unverified.set(!is_verified);
    }

    /// Whether this node is in the middle of taking a batch job on.
    pub fn is_being_accepted(&self, id: &str) -> bool {
        self.accepting.borrow().contains(id)
    }

    /// Begins to take a batch job on; no other task of this node should do so meanwhile.
    pub fn begin_accepting(&self, id: &str) -> Accepting {
        let id = Box::<str>::from(id);
        self.accepting.borrow_mut().insert(id.clone());
        let all = self.accepting.clone();
        Accepting { all, id }
    }

    /// All batch jobs that this node owns.
    pub fn all(&self) -> Vec<Rc<Owned>> {
        self.owned.borrow().values().cloned().collect()
    }

    /// Takes a batch job on.
    pub fn insert(&self, owned: Rc<Owned>) {
        self.owners.borrow_mut().remove(&owned.id);
        self.owned.borrow_mut().insert(owned.id.clone(), owned);
    }

    /// Drops a batch job that another node owns now.
    pub fn remove(&self, id: &str) {
        if let Some(owned) = self.owned.borrow_mut().remove(id) {
            owned.close();
        }
    }

    /// The owner of a batch job that was met last.
    pub fn owner(&self, id: &str) -> Option<Owner> {
        self.owners.borrow().get(id).cloned()
    }

    /// Notes the owner of a batch job.
    pub fn set_owner(&self, id: &str, owner: Option<Owner>) {
        let mut owners = self.owners.borrow_mut();
        match owner {
            Some(owner) => {
                owners.insert(id.into(), owner);
            }
            None => {
                owners.remove(id);
            }
        }
    }

    /// Notes the work of a batch job that this node has accepted.
    pub fn note_work(&self, now_ms: u64, submission: &Submission) {
        if let Some(step) = &submission.step {
            let tokens = submission.items.iter().map(|item| item.expected_tokens);
            let tokens = tokens.map(f64::from).sum();
            self.demand.borrow_mut().add(now_ms, &step.model, tokens);
        }
    }

    /// The work that this node has accepted of late, by model.
    pub fn work(&self, now_ms: u64) -> Work {
        self.demand.borrow().work(now_ms)
    }

    /// Number of batch jobs of this node whose items may run.
    pub fn open(&self) -> usize {
        let owned = self.owned.borrow();
        owned.values().filter(|owned| owned.is_open.get()).count()
    }
}

impl Owned {
    /// A batch job with its row.
    pub fn new(id: &str, record: &JobRecord, job: Job, row: OwnedRow) -> Rc<Self> {
        Rc::new(Self {
            id: id.into(),
            host: record.host.clone(),
            path: record.path.clone(),
            is_open: Cell::new(row.state.open),
            job: RefCell::new(job),
            progress: RefCell::default(),
            generating: RefCell::default(),
            row: Mutex::new(row),
            listed: Notify::new(),
            finished: Notify::new(),
            work: Notify::new(),
        })
    }

    /// Stops its items.
    pub fn close(&self) {
        self.is_open.set(false);
        self.work.notify_one();
        self.finished.notify_one();
        self.listed.notify_waiters();
    }

    /// The texts of items that are not done.
    pub fn parts(&self) -> Vec<PartialOutput> {
        let job = self.job.borrow();
        let progress = self.progress.borrow();
        let begun = progress
            .iter()
            .filter(|(_, known)| known.last_event.is_some());
        begun
            .filter_map(|(&key, known)| {
                let item = job.item(key)?.id.clone();
                let progress = known.clone();
                Some(PartialOutput { item, progress })
            })
            .collect()
    }

    /// Takes texts that an earlier owner got; of two for an item, the longer one.
    pub fn take_parts(&self, parts: Vec<PartialOutput>) {
        let job = self.job.borrow();
        let mut progress = self.progress.borrow_mut();
        for part in parts {
            let Some(key) = job.key_of(&part.item).filter(|&key| !job.is_item_done(key)) else {
                continue;
            };
            let known = progress.entry(key).or_default();
            if known.last_event < part.progress.last_event {
                *known = part.progress;
            }
        }
    }

    /// The body of an item.
    pub fn body(&self, item: &str) -> Option<Vec<u8>> {
        let job = self.job.borrow();
        let key = job.key_of(item)?;
        job.item(key).map(|item| item.body.clone())
    }
}
