//! Asynchronous interface to the routing policy.

mod inner;
mod permit;
mod target;
mod waiter;

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

/// Routes the requests of one service. Only traffic threads use it.
#[derive(Debug, Clone)]
pub struct Router {
    inner: Arc<Mutex<Inner>>,
    epoch: Instant,
}

impl Router {
    /// Creates a router without endpoints; `seed` seeds its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner::new(seed))),
            epoch: Instant::now(),
        }
    }

    /// Returns the time on the router's clock, in milliseconds since its creation.
    pub fn now_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    /// Returns the deadline for a [`Demand`] that may take `timeout` from now, in milliseconds on
    /// the router's clock.
    pub fn deadline_ms(&self, timeout: Duration) -> u64 {
        self.now_ms() + timeout.as_millis() as u64
    }

    /// Applies the current service document and the set of leaving VMs.
    ///
    /// The endpoints to use are selected before the lock is taken, since the selection is slow
    /// for a large service.
    pub fn update(&self, document: &ServiceDocument, leaving: &BTreeSet<VmName>) {
        let subset = self.lock().subset.clone();
        let names = selected_endpoints(subset.as_ref(), document);
        let mut inner = self.lock();
        inner
            .pool
            .set_queue_length(document.limits.queue_length as usize);
        inner.pool.set_retry_ratio(document.limits.retry_ratio);
        inner.remove_absent(&names);
        let used = |endpoint: &&Endpoint| names.contains(&endpoint.endpoint);
        for endpoint in document.endpoints.iter().filter(used) {
            let key = inner.find_or_insert(endpoint);
            let previous = inner.targets.insert(key, endpoint.into());
            let owned = inner.owns(&endpoint.endpoint);
            let address_changed =
                previous.is_some_and(|previous| previous.address != endpoint.address);
            if let Some(state) = inner.pool.endpoint_mut(key) {
                state.max_concurrency = endpoint.max_concurrency;
                state.owned = owned;
            }
            inner.update_leaving_state(key, |state| {
                state.vm_is_leaving = leaving.contains(&endpoint.vm);
                state.reported_draining &= !address_changed;
            });
        }
        let dequeued = inner.pool.dispatch_waiting(self.now_ms());
        inner.deliver_dequeued(self.now_ms(), dequeued);
    }

    /// Records the load and the draining state that an engine reported.
    pub fn record_engine_status(
        &self,
        endpoint: &EndpointName,
        running: u32,
        waiting: u32,
        draining: bool,
    ) {
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
        inner.update_leaving_state(key, |state| state.reported_draining = draining);
    }

    /// Records whether an endpoint reported that it is draining.
    pub fn set_draining(&self, endpoint: &EndpointName, draining: bool) {
        let mut inner = self.lock();
        if let Some(key) = inner.find(endpoint) {
            inner.update_leaving_state(key, |state| state.reported_draining = draining);
        }
    }

    /// Returns the endpoints that reported that they are draining.
    pub fn draining_targets(&self) -> Vec<Target> {
        let inner = self.lock();
        let leaving_states = inner.leaving_states.iter();
        leaving_states
            .filter(|(_, state)| state.reported_draining)
            .filter_map(|(key, _)| inner.targets.get(key).cloned())
            .collect()
    }

    /// Sets the subset of endpoints that this daemon uses, from the next [`Router::update`] on.
    pub fn set_subset(&self, subset: Subset) {
        self.lock().subset = Some(subset);
    }

    /// Takes one retry from the service's budget and returns `true` if one was left.
    pub fn try_take_retry(&self) -> bool {
        self.lock().pool.try_take_retry()
    }

    /// Returns the recent crash reports of this daemon, to be sent to the others.
    pub fn crash_reports(&self) -> Vec<CrashReport> {
        let now_ms = self.now_ms();
        self.lock().pool.crash_reports(now_ms)
    }

    /// Records the crash reports of another daemon.
    pub fn apply_crash_reports(&self, reports: &[CrashReport]) {
        let now_ms = self.now_ms();
        self.lock().pool.apply_crash_reports(now_ms, reports);
    }

    /// Dispatches or refuses waiting requests as time passes; call it a few times a second.
    pub fn tick(&self) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let dequeued = inner.pool.dispatch_waiting(now_ms);
        inner.deliver_dequeued(now_ms, dequeued);
    }

    /// Returns the endpoints that this daemon uses, as targets for requests.
    pub fn targets(&self) -> Vec<Target> {
        self.lock().targets.values().cloned().collect()
    }

    /// Returns the current state of the endpoints in the routing policy.
    pub fn endpoint_states(&self) -> Vec<EndpointState> {
        let inner = self.lock();
        inner
            .pool
            .endpoints()
            .map(|(_, state)| state.clone())
            .collect()
    }

    /// Returns the keys of the listed endpoints that are in use, for [`Demand::avoided_endpoints`].
    pub fn endpoint_keys(&self, endpoints: &[EndpointName]) -> Vec<EndpointKey> {
        let inner = self.lock();
        let keys = endpoints.iter();
        keys.filter_map(|endpoint| inner.find(endpoint)).collect()
    }

    /// Waits until the request may be sent to an endpoint.
    ///
    /// # Errors
    ///
    /// Fails with a [`Refusal`] if the request can't be served, without a wait if this is known on
    /// admission. A refused request has not run.
    pub async fn acquire(&self, demand: Demand) -> Result<Permit, Refusal> {
        let deadline = self.epoch + Duration::from_millis(demand.deadline_ms);
        let mut waiting = {
            let mut inner = self.lock();
            match inner.pool.admit(self.now_ms(), demand) {
                Admission::Dispatch(dispatch) => return inner.permit(self, dispatch),
                Admission::Refuse(refusal) => return Err(refusal),
                Admission::Wait(ticket) => inner.add_waiter(self, ticket),
            }
        };
        let ticket = waiting.ticket;
        match timeout_at(deadline, &mut waiting.result).await {
            Ok(Ok(Ok(endpoint))) => self.lock().permit(self, Dispatch { ticket, endpoint }),
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) | Err(_) => Err(self.lock().pool.expire(self.now_ms(), ticket)),
        }
    }

    fn finish(&self, ticket: TicketKey, outcome: Outcome) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        inner.preempted.remove(&ticket);
        let dequeued = inner.pool.finish(now_ms, ticket, outcome);
        inner.deliver_dequeued(now_ms, dequeued);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the names of the endpoints that this daemon uses.
fn selected_endpoints<'a>(
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
