//! Requests of callers that are suspected of crashing endpoints, over all nodes.
//!
//! A node that sees a crash tells all others before the caller gets a failure, so that the request
//! is known wherever it is resent. [`Suspects`] decides which requests run, isolated or at all.

mod crash;
pub mod exchange;
pub mod peers;
pub mod run;
pub mod silent;
pub mod stored;

pub use peers::KnownPeers;
pub use run::{Isolation, Placement, Quarantine, Run, place};

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::Notify;
use wisteriapoint_route::{
    Crash, CrashReport, Recorded, SilentRun, SilentRuns, SuspectStatus, Suspects,
};
use wisteriapoint_types::{Digest, EndpointName};

use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// Time for which an endpoint is kept for a suspect of a node that does not release it, in
/// milliseconds: the time of most requests.
const RESERVATION_MS: u64 = 500;

/// State of a node about suspects.
#[derive(Debug)]
pub struct SuspectRequests {
    crashes: RefCell<Suspects>,
    /// Suspects that run at this node, or are about to, with their endpoints.
    isolated: RefCell<BTreeMap<Digest, EndpointName>>,
    /// Endpoints that other nodes keep for suspects, with the time in milliseconds until which.
    kept: RefCell<BTreeMap<EndpointName, (Digest, u64)>>,
    /// Number of callers' requests that run at each endpoint.
    running: RefCell<BTreeMap<EndpointName, u32>>,
    /// Requests whose crashes a peer has not acknowledged.
    undelivered: RefCell<BTreeMap<SocketAddr, BTreeSet<Digest>>>,
    undelivered_added: Notify,
    /// Runs that ended without an answer of the endpoint.
    silent_runs: RefCell<SilentRuns>,
    silent_run_added: Notify,
    /// Number of these of which other nodes are being told.
    silent_runs_being_told: Cell<usize>,
    /// The nodes that get crash reports, and are asked for connections to endpoints.
    pub peers: Rc<KnownPeers>,
    is_history_loaded: Cell<bool>,
}

impl Default for SuspectRequests {
    fn default() -> Self {
        Self {
            crashes: RefCell::new(Suspects::default().with_exclusive_isolation()),
            isolated: RefCell::default(),
            kept: RefCell::default(),
            running: RefCell::default(),
            undelivered: RefCell::default(),
            undelivered_added: Notify::new(),
            silent_runs: RefCell::default(),
            silent_run_added: Notify::new(),
            silent_runs_being_told: Cell::default(),
            peers: Rc::default(),
            is_history_loaded: Cell::default(),
        }
    }
}

impl SuspectRequests {
    /// Creates a state without crashes and peers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns `true` once the crashes that other nodes know have been requested.
    pub fn is_history_loaded(&self) -> bool {
        self.is_history_loaded.get()
    }

    /// Returns the status of a request.
    pub fn status(&self, now_ms: u64, digest: Digest) -> SuspectStatus {
        self.crashes.borrow().status(now_ms, digest)
    }

    /// Returns the endpoints that are kept for suspects, by this node or another one.
    pub fn reserved_endpoints(&self, now_ms: u64) -> Vec<EndpointName> {
        let mut kept = self.kept.borrow_mut();
        kept.retain(|_, (_, until_ms)| now_ms < *until_ms);
        let own = self.isolated.borrow();
        own.values().chain(kept.keys()).cloned().collect()
    }

    /// Keeps an endpoint for the suspect of another node for a while.
    ///
    /// Returns `false` if it [conflicts](Self::conflicts).
    pub fn keep_for_peer(&self, now_ms: u64, digest: Digest, endpoint: &EndpointName) -> bool {
        let is_free = !self.conflicts(now_ms, digest, endpoint);
        if is_free {
            let until_ms = now_ms + RESERVATION_MS;
            let mut kept = self.kept.borrow_mut();
            kept.insert(endpoint.clone(), (digest, until_ms));
        }
        is_free
    }

    /// Ends what [`keep_for_peer`](Self::keep_for_peer) began.
    pub fn release(&self, digest: Digest) {
        let mut kept = self.kept.borrow_mut();
        kept.retain(|_, (other, _)| *other != digest);
    }

    /// Returns the number of callers' requests that run at an endpoint.
    pub fn running(&self, endpoint: &EndpointName) -> u32 {
        self.running.borrow().get(endpoint).copied().unwrap_or(0)
    }

    /// Records that an endpoint has sent a part of an answer, so it has not crashed under requests that
    /// were given up before.
    pub fn record_answer(&self, endpoint: &EndpointName) {
        let mut silent_runs = self.silent_runs.borrow_mut();
        if !silent_runs.is_empty() {
            silent_runs.record_answer(endpoint);
        }
    }

    fn add_silent_run(&self, now_ms: u64, endpoint: &EndpointName, run: SilentRun) {
        self.silent_runs.borrow_mut().insert(now_ms, endpoint, run);
        self.silent_run_added.notify_one();
    }

    fn begin_run(&self, endpoint: &EndpointName) {
        let mut running = self.running.borrow_mut();
        *running.entry(endpoint.clone()).or_default() += 1;
    }

    fn end_run(&self, endpoint: &EndpointName) {
        let mut running = self.running.borrow_mut();
        match running.get_mut(endpoint) {
            Some(count) if *count > 1 => *count -= 1,
            _ => {
                running.remove(endpoint);
            }
        }
    }

    /// Reserves an endpoint for a suspect, unless it [conflicts](Self::conflicts).
    fn try_reserve(&self, now_ms: u64, digest: Digest, endpoint: &EndpointName) -> bool {
        let is_free = !self.conflicts(now_ms, digest, endpoint);
        if is_free {
            let mut isolated = self.isolated.borrow_mut();
            isolated.insert(digest, endpoint.clone());
        }
        is_free
    }

    /// Returns `true` if the request runs isolated at this node, or the endpoint is kept for another
    /// suspect.
    pub fn conflicts(&self, now_ms: u64, digest: Digest, endpoint: &EndpointName) -> bool {
        let isolated = self.isolated.borrow();
        let kept = self.kept.borrow();
        let is_kept = |&(other, until_ms): &(Digest, u64)| now_ms < until_ms && other != digest;
        isolated.contains_key(&digest)
            || isolated.values().any(|other| other == endpoint)
            || kept.get(endpoint).is_some_and(is_kept)
    }

    fn record_crash(&self, at_ms: u64, digest: Digest, crash: Crash<'_>) -> Recorded {
        let mut crashes = self.crashes.borrow_mut();
        crashes.record_crash(at_ms, digest, crash)
    }

    fn record_shared(&self, digest: Digest, crash_id: u64) {
        self.crashes.borrow_mut().record_shared(digest, crash_id);
    }

    /// Returns reports of the crashes of a request.
    pub fn reports(&self, now_ms: u64, digest: Digest) -> Vec<CrashReport> {
        self.crashes.borrow().reports(now_ms, digest)
    }

    /// Returns reports of all crashes.
    pub fn history(&self, now_ms: u64) -> Vec<CrashReport> {
        self.crashes.borrow().export(now_ms, u64::MAX)
    }
}

/// Records the crash reports of another node, or of the store; `source` is written to the log.
pub fn apply_reports<D: Dialect>(
    node: &Node<D>,
    source: impl fmt::Display,
    reports: &[CrashReport],
) {
    for report in reports {
        let recorded = node
            .suspects
            .crashes
            .borrow_mut()
            .import(node.now_ms(), report);
        if !recorded.is_new {
            continue;
        }
        event!(
            info,
            "crash report received",
            digest = report.digest,
            crash = format_args!("{:x}", report.id),
            endpoint = report.endpoint,
            age_ms = report.age_ms,
            isolated = report.isolated,
            shared = report.shared,
            correlated = report.correlated,
            source = source,
        );
        count(node, "received");
        log_eviction(node, recorded);
        record_down(node, &report.endpoint);
    }
}

/// Records that an endpoint has crashed, so that no stream goes on there until its record is renewed.
fn record_down<D: Dialect>(node: &Node<D>, endpoint: &EndpointName) {
    let mut directory = node.directory.borrow_mut();
    if let Some(entry) = directory.registry.get_mut(endpoint) {
        entry.record_down(node.now_ms());
    }
}

/// Clears a request that was completed at another node.
pub fn apply_completion<D: Dialect>(node: &Node<D>, digest: Digest) {
    let mut silent_runs = node.suspects.silent_runs.borrow_mut();
    silent_runs.record_completion(digest);
    drop(silent_runs);
    let mut crashes = node.suspects.crashes.borrow_mut();
    if crashes.clear(node.now_ms(), digest) {
        event!(
            info,
            "crash suspect cleared by another node",
            digest = digest
        );
    }
}

fn log_eviction<D: Dialect>(node: &Node<D>, recorded: Recorded) {
    if let Some(digest) = recorded.evicted {
        event!(
            warn,
            "too many crash suspects; oldest one discarded",
            digest = digest
        );
        count(node, "evicted");
    }
}

/// Counts a decision about a suspect.
fn count<D: Dialect>(node: &Node<D>, decision: &str) {
    node.metrics.suspects.with_label_values(&[decision]).inc();
}
