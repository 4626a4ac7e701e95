//! The policy behind an asynchronous interface.

mod inner;
mod permit;
mod target;
mod waiting;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use wisteriapoint_route::{
    Admission, CrashReport, Demand, Dispatch, EndpointKey, EndpointState, Load, Outcome, Refusal,
    Subset, TicketKey,
};
use wisteriapoint_settings::{Endpoint, ServiceDocument};
use wisteriapoint_types::{EndpointName, VmName};

use self::inner::Inner;

pub use permit::Permit;
pub use target::Target;

/// Routes the requests of one service; only traffic threads use it.
#[derive(Debug, Clone)]
pub struct Router {
    inner: Arc<Mutex<Inner>>,
    epoch: Instant,
}

impl Router {
    /// Makes a router without endpoints; `seed` drives its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner::new(seed))),
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
        let woken = inner.pool.dispatch_waiting(self.now_ms());
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
        inner.pool.record_load(at_ms, key, load);
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
    pub fn crash_reports(&self) -> Vec<CrashReport> {
        let now_ms = self.now_ms();
        self.lock().pool.crash_reports(now_ms)
    }

    /// Takes the strikes of another daemon.
    pub fn apply_crash_reports(&self, strikes: &[CrashReport]) {
        let now_ms = self.now_ms();
        self.lock().pool.apply_crash_reports(now_ms, strikes);
    }

    /// Wakes requests whose time has come; to be called a few times a second.
    pub fn tick(&self) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let woken = inner.pool.dispatch_waiting(now_ms);
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
                Admission::Dispatch(dispatch) => return inner.permit(self, dispatch),
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
