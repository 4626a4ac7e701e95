//! The policy behind an asynchronous interface.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slotmap::SecondaryMap;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};
use wisteriapoint_route::{
    Admission, Demand, Dispatch, EndpointKey, EndpointState, Load, Outcome, Pool, Reason, Refusal,
    Strike, Subset, TicketKey, Woken,
};
use wisteriapoint_settings::{Endpoint, ServiceDocument};
use wisteriapoint_types::{EndpointName, FailureDomain, VmName};

/// What is needed to reach an endpoint.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name in the service document.
    pub endpoint: EndpointName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it echoes the request id.
    pub echoes_request_id: bool,
}

impl From<&Endpoint> for Target {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            endpoint: endpoint.endpoint.clone(),
            address: endpoint.address,
            failure_domain: endpoint.failure_domain.clone(),
            echoes_request_id: endpoint.echoes_request_id,
        }
    }
}

/// Routes the requests of one service; only traffic threads use it.
#[derive(Debug, Clone)]
pub struct Router {
    inner: Arc<Mutex<Inner>>,
    epoch: Instant,
}

#[derive(Debug)]
struct Inner {
    pool: Pool,
    targets: SecondaryMap<EndpointKey, Target>,
    leaves: SecondaryMap<EndpointKey, Leave>,
    subset: Option<Subset>,
    waiting: BTreeMap<TicketKey, oneshot::Sender<Result<EndpointKey, Refusal>>>,
    preempted: BTreeMap<TicketKey, oneshot::Sender<()>>,
}

/// Why an endpoint takes no new work.
#[derive(Debug, Clone, Copy, Default)]
struct Leave {
    vm_is_leaving: bool,
    says_draining: bool,
}

/// The right to send one request to one endpoint.
#[derive(Debug)]
pub struct Permit {
    router: Router,
    dispatch: Dispatch,
    preempted: oneshot::Receiver<()>,
    target: Target,
    outcome: Outcome,
    begun: Instant,
}

/// A place in the queue; dropping it gives back whatever it was called for.
struct Waiting<'a> {
    router: &'a Router,
    ticket: TicketKey,
    called: oneshot::Receiver<Result<EndpointKey, Refusal>>,
}

const QUEUE_LENGTH: usize = 64;
const RETRY_AFTER_MS: u64 = 1_000;

impl Router {
    /// Makes a router without endpoints; `seed` drives its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                pool: Pool::new(QUEUE_LENGTH, seed),
                targets: SecondaryMap::new(),
                leaves: SecondaryMap::new(),
                subset: None,
                waiting: BTreeMap::new(),
                preempted: BTreeMap::new(),
            })),
            epoch: Instant::now(),
        }
    }

    /// Milliseconds of the router's clock.
    pub fn now_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    /// The deadline of a request that may take `limit` from now, for a [`Demand`].
    pub fn deadline_ms(&self, limit: Duration) -> u64 {
        self.now_ms() + limit.as_millis() as u64
    }

    /// Takes a service document in force and the VMs that are leaving.
    ///
    /// Which endpoints are used is worked out before the lock is taken, since that takes
    /// time in a large service.
    pub fn update(&self, document: &ServiceDocument, leaving: &BTreeSet<VmName>) {
        let subset = self.lock().subset.clone();
        let names = used_names(subset.as_ref(), document);
        let mut inner = self.lock();
        inner
            .pool
            .set_queue_length(document.limits.queue_length as usize);
        inner.pool.set_retry_ratio(document.limits.retry_ratio);
        inner.remove_absent(&names);
        let used = |endpoint: &&Endpoint| names.contains(&endpoint.endpoint);
        for endpoint in document.endpoints.iter().filter(used) {
            let key = inner.key(endpoint);
            let earlier = inner.targets.insert(key, endpoint.into());
            let owned = inner.owns(&endpoint.endpoint);
            let moved = earlier.is_some_and(|earlier| earlier.address != endpoint.address);
            if let Some(state) = inner.pool.endpoint_mut(key) {
                state.max_concurrency = endpoint.max_concurrency;
                state.owned = owned;
            }
            inner.set_leave(key, |leave| {
                leave.vm_is_leaving = leaving.contains(&endpoint.vm);
                leave.says_draining &= !moved;
            });
        }
        let woken = inner.pool.wake(self.now_ms());
        inner.deliver(self.now_ms(), woken);
    }

    /// Takes an engine's own report.
    pub fn report(&self, endpoint: &EndpointName, running: u32, waiting: u32, draining: bool) {
        let at_ms = self.now_ms();
        let mut inner = self.lock();
        let Some(key) = inner.find(endpoint) else {
            return;
        };
        let load = Load {
            running,
            waiting,
            at_ms,
        };
        inner.pool.report(at_ms, key, load);
        inner.set_leave(key, |leave| leave.says_draining = draining);
    }

    /// Takes an endpoint's own word on whether it takes no new work.
    pub fn set_draining(&self, endpoint: &EndpointName, draining: bool) {
        let mut inner = self.lock();
        if let Some(key) = inner.find(endpoint) {
            inner.set_leave(key, |leave| leave.says_draining = draining);
        }
    }

    /// The endpoints that said that they take no new work.
    pub fn draining(&self) -> Vec<Target> {
        let inner = self.lock();
        let leaves = inner.leaves.iter();
        leaves
            .filter(|(_, leave)| leave.says_draining)
            .filter_map(|(key, _)| inner.targets.get(key).cloned())
            .collect()
    }

    /// Sets which endpoints this daemon uses; [`Router::update`] puts it in force.
    pub fn set_subset(&self, subset: Subset) {
        self.lock().subset = Some(subset);
    }

    /// Asks for one retry of a request that failed; it comes out of the service's budget.
    pub fn may_retry(&self) -> bool {
        self.lock().pool.may_retry()
    }

    /// Recent crashes and the requests that ran there, for the other daemons.
    pub fn strikes(&self) -> Vec<Strike> {
        let now_ms = self.now_ms();
        self.lock().pool.strikes(now_ms)
    }

    /// Takes the strikes of another daemon.
    pub fn learn_strikes(&self, strikes: &[Strike]) {
        let now_ms = self.now_ms();
        self.lock().pool.learn_strikes(now_ms, strikes);
    }

    /// Wakes requests whose time has come; to be called a few times a second.
    pub fn tick(&self) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let woken = inner.pool.wake(now_ms);
        inner.deliver(now_ms, woken);
    }

    /// The endpoints.
    pub fn targets(&self) -> Vec<Target> {
        self.lock().targets.values().cloned().collect()
    }

    /// What the policy knows of the endpoints now.
    pub fn endpoints(&self) -> Vec<EndpointState> {
        let inner = self.lock();
        inner
            .pool
            .endpoints()
            .map(|(_, state)| state.clone())
            .collect()
    }

    /// The keys of those endpoints that are in service, for [`Demand::tried`].
    pub fn keys(&self, endpoints: &[EndpointName]) -> Vec<EndpointKey> {
        let inner = self.lock();
        let keys = endpoints.iter();
        keys.filter_map(|endpoint| inner.find(endpoint)).collect()
    }

    /// Waits for the right to dispatch.
    ///
    /// # Errors
    ///
    /// Refuses at once what can't be served; a refused request has not run.
    pub async fn acquire(&self, demand: Demand) -> Result<Permit, Refusal> {
        let deadline = self.epoch + Duration::from_millis(demand.deadline_ms);
        let mut waiting = {
            let mut inner = self.lock();
            match inner.pool.admit(self.now_ms(), demand) {
                Admission::Go(dispatch) => return inner.permit(self, dispatch),
                Admission::Refuse(refusal) => return Err(refusal),
                Admission::Wait(ticket) => inner.wait(self, ticket),
            }
        };
        let ticket = waiting.ticket;
        match timeout_at(deadline, &mut waiting.called).await {
            Ok(Ok(Ok(endpoint))) => self.lock().permit(self, Dispatch { ticket, endpoint }),
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) | Err(_) => Err(self.lock().pool.expire(self.now_ms(), ticket)),
        }
    }

    fn finish(&self, ticket: TicketKey, outcome: Outcome) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        inner.preempted.remove(&ticket);
        let woken = inner.pool.finish(now_ms, ticket, outcome);
        inner.deliver(now_ms, woken);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn find(&self, endpoint: &EndpointName) -> Option<EndpointKey> {
        let mut endpoints = self.pool.endpoints();
        endpoints
            .find(|(_, state)| state.endpoint == *endpoint)
            .map(|(key, _)| key)
    }

    fn key(&mut self, endpoint: &Endpoint) -> EndpointKey {
        match self.find(&endpoint.endpoint) {
            Some(key) => key,
            None => self.pool.insert(EndpointState::new(
                endpoint.endpoint.as_str(),
                endpoint.failure_domain.as_str(),
                endpoint.max_concurrency,
            )),
        }
    }

    fn owns(&self, endpoint: &EndpointName) -> bool {
        let subset = self.subset.as_ref();
        subset.is_none_or(|subset| subset.owns(endpoint))
    }

    fn remove_absent(&mut self, names: &BTreeSet<&EndpointName>) {
        let absent: Vec<EndpointKey> = self
            .pool
            .endpoints()
            .filter(|(_, state)| !names.contains(&state.endpoint))
            .map(|(key, _)| key)
            .collect();
        for key in absent {
            self.pool.remove(key);
            self.targets.remove(key);
            self.leaves.remove(key);
        }
    }

    fn set_leave(&mut self, key: EndpointKey, change: impl FnOnce(&mut Leave)) {
        let mut leave = self.leaves.get(key).copied().unwrap_or_default();
        change(&mut leave);
        self.leaves.insert(key, leave);
        if let Some(state) = self.pool.endpoint_mut(key) {
            state.leaving = leave.vm_is_leaving || leave.says_draining;
        }
    }

    fn wait<'a>(&mut self, router: &'a Router, ticket: TicketKey) -> Waiting<'a> {
        let (sender, called) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        self.preempt();
        Waiting {
            router,
            ticket,
            called,
        }
    }

    fn permit(&mut self, router: &Router, dispatch: Dispatch) -> Result<Permit, Refusal> {
        let Some(target) = self.targets.get(dispatch.endpoint).cloned() else {
            let now_ms = router.now_ms();
            let woken = self
                .pool
                .finish(now_ms, dispatch.ticket, Outcome::Cancelled);
            self.deliver(now_ms, woken);
            return Err(Refusal {
                reason: Reason::NoEndpoint,
                retry_after_ms: RETRY_AFTER_MS,
            });
        };
        let (sender, preempted) = oneshot::channel();
        self.preempted.insert(dispatch.ticket, sender);
        self.preempt();
        Ok(Permit {
            router: router.clone(),
            dispatch,
            preempted,
            target,
            outcome: Outcome::Cancelled,
            begun: Instant::now(),
        })
    }

    /// Passes calls on; a call that nobody waits for frees its place for others.
    fn deliver(&mut self, now_ms: u64, woken: Vec<Woken>) {
        let mut calls = woken;
        while let Some(Woken { ticket, endpoint }) = calls.pop() {
            let sender = self.waiting.remove(&ticket);
            let delivered = sender.map(|sender| sender.send(endpoint));
            match (delivered, endpoint) {
                (Some(Ok(())), _) | (_, Err(_)) => {}
                (_, Ok(_)) => calls.extend(self.pool.finish(now_ms, ticket, Outcome::Cancelled)),
            }
        }
        self.preempt();
    }

    /// Tells the rollouts that make way for callers.
    fn preempt(&mut self) {
        for ticket in self.pool.take_preempted() {
            if let Some(sender) = self.preempted.remove(&ticket) {
                // A request that has just ended needs no word.
                let _ = sender.send(());
            }
        }
    }
}

/// Names of the endpoints that this daemon uses.
fn used_names<'a>(
    subset: Option<&Subset>,
    document: &'a ServiceDocument,
) -> BTreeSet<&'a EndpointName> {
    let endpoints = document.endpoints.iter();
    let all: Vec<&EndpointName> = endpoints.map(|endpoint| &endpoint.endpoint).collect();
    match subset {
        Some(subset) => subset.select(&all).into_iter().collect(),
        None => all.into_iter().collect(),
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut inner = self.router.lock();
        inner.waiting.remove(&self.ticket);
        inner.pool.withdraw(self.ticket);
        drop(inner);
        if let Ok(Ok(_)) = self.called.try_recv() {
            self.router.finish(self.ticket, Outcome::Cancelled);
        }
    }
}

impl Permit {
    /// The endpoint's key, for [`Demand::tried`].
    pub fn key(&self) -> EndpointKey {
        self.dispatch.endpoint
    }

    /// Completes when the request shall make way for a caller's.
    pub async fn preempted(&mut self) {
        if (&mut self.preempted).await.is_err() {
            std::future::pending().await
        }
    }

    /// Where to send the request.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Ends the request with a whole answer.
    pub fn answered(mut self, tokens: u32) {
        let elapsed_ms = self.begun.elapsed().as_millis() as u64;
        self.outcome = Outcome::Answered { elapsed_ms, tokens };
    }

    /// Ends the request with a failure of the endpoint.
    pub fn failed(mut self) {
        self.outcome = Outcome::Failed;
    }

    /// Ends the request, in which the endpoint broke off.
    pub fn crashed(mut self) {
        self.outcome = Outcome::Crashed;
    }

    /// Ends the request, which the endpoint refused because it takes no new work.
    pub fn drained(self) {
        let (router, endpoint) = (self.router.clone(), self.target.endpoint.clone());
        self.refused();
        router.set_draining(&endpoint, true);
    }

    /// Ends the request, which the endpoint refused to run.
    pub fn refused(mut self) {
        self.outcome = Outcome::Refused;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.router.finish(self.dispatch.ticket, self.outcome);
    }
}
