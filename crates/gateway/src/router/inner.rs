//! State of the router, protected by its lock.

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SecondaryMap;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wisteriapoint_route::{
    Dequeued, Dispatch, EndpointKey, EndpointState, Outcome, Pool, Reason, Refusal, Subset,
    TicketKey,
};
use wisteriapoint_settings::Endpoint;
use wisteriapoint_types::EndpointName;

use super::waiter::Waiter;
use super::{Permit, Router, Target};

const DEFAULT_QUEUE_LENGTH: usize = 64;
const RETRY_AFTER_MS: u64 = 1_000;

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) pool: Pool,
    pub(super) targets: SecondaryMap<EndpointKey, Target>,
    pub(super) leaving_states: SecondaryMap<EndpointKey, LeavingState>,
    pub(super) subset: Option<Subset>,
    pub(super) waiters: BTreeMap<TicketKey, oneshot::Sender<Result<EndpointKey, Refusal>>>,
    pub(super) preempted: BTreeMap<TicketKey, oneshot::Sender<()>>,
}

/// The reasons for which an endpoint gets no new requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LeavingState {
    pub(super) vm_is_leaving: bool,
    pub(super) reported_draining: bool,
}

impl Inner {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            pool: Pool::new(DEFAULT_QUEUE_LENGTH, seed),
            targets: SecondaryMap::new(),
            leaving_states: SecondaryMap::new(),
            subset: None,
            waiters: BTreeMap::new(),
            preempted: BTreeMap::new(),
        }
    }

    pub(super) fn find(&self, endpoint: &EndpointName) -> Option<EndpointKey> {
        let mut endpoints = self.pool.endpoints();
        endpoints
            .find(|(_, state)| state.endpoint == *endpoint)
            .map(|(key, _)| key)
    }

    pub(super) fn find_or_insert(&mut self, endpoint: &Endpoint) -> EndpointKey {
        match self.find(&endpoint.endpoint) {
            Some(key) => key,
            None => self.pool.insert(EndpointState::new(
                endpoint.endpoint.as_str(),
                endpoint.failure_domain.as_str(),
                endpoint.max_concurrency,
            )),
        }
    }

    pub(super) fn owns(&self, endpoint: &EndpointName) -> bool {
        let subset = self.subset.as_ref();
        subset.is_none_or(|subset| subset.owns(endpoint))
    }

    pub(super) fn remove_absent(&mut self, names: &BTreeSet<&EndpointName>) {
        let absent: Vec<EndpointKey> = self
            .pool
            .endpoints()
            .filter(|(_, state)| !names.contains(&state.endpoint))
            .map(|(key, _)| key)
            .collect();
        for key in absent {
            self.pool.remove(key);
            self.targets.remove(key);
            self.leaving_states.remove(key);
        }
    }

    pub(super) fn update_leaving_state(
        &mut self,
        key: EndpointKey,
        change: impl FnOnce(&mut LeavingState),
    ) {
        let mut leaving = self.leaving_states.get(key).copied().unwrap_or_default();
        change(&mut leaving);
        self.leaving_states.insert(key, leaving);
        if let Some(state) = self.pool.endpoint_mut(key) {
            state.leaving = leaving.vm_is_leaving || leaving.reported_draining;
        }
    }

    pub(super) fn add_waiter<'a>(&mut self, router: &'a Router, ticket: TicketKey) -> Waiter<'a> {
        let (sender, result) = oneshot::channel();
        self.waiters.insert(ticket, sender);
        self.notify_preempted();
        Waiter {
            router,
            ticket,
            result,
        }
    }

    pub(super) fn permit(
        &mut self,
        router: &Router,
        dispatch: Dispatch,
    ) -> Result<Permit, Refusal> {
        let Some(target) = self.targets.get(dispatch.endpoint).cloned() else {
            let now_ms = router.now_ms();
            let dequeued = self
                .pool
                .finish(now_ms, dispatch.ticket, Outcome::Cancelled);
            self.deliver_dequeued(now_ms, dequeued);
            return Err(Refusal {
                reason: Reason::NoEndpoint,
                retry_after_ms: RETRY_AFTER_MS,
            });
        };
        let (sender, preempted) = oneshot::channel();
        self.preempted.insert(dispatch.ticket, sender);
        self.notify_preempted();
        Ok(Permit {
            router: router.clone(),
            dispatch,
            preempted,
            target,
            outcome: Outcome::Cancelled,
            started_at: Instant::now(),
        })
    }

    /// Sends each result to its waiter.
    ///
    /// If the waiter was dropped, its dispatch is cancelled, which may dequeue further requests.
    pub(super) fn deliver_dequeued(&mut self, now_ms: u64, dequeued: Vec<Dequeued>) {
        let mut pending = dequeued;
        while let Some(Dequeued { ticket, endpoint }) = pending.pop() {
            let sender = self.waiters.remove(&ticket);
            let delivered = sender.map(|sender| sender.send(endpoint));
            match (delivered, endpoint) {
                (Some(Ok(())), _) | (_, Err(_)) => {}
                (_, Ok(_)) => pending.extend(self.pool.finish(now_ms, ticket, Outcome::Cancelled)),
            }
        }
        self.notify_preempted();
    }

    /// Notifies the rollouts that are preempted by callers.
    pub(super) fn notify_preempted(&mut self) {
        for ticket in self.pool.take_preempted() {
            if let Some(sender) = self.preempted.remove(&ticket) {
                // The receiver was dropped if the request has just ended.
                let _ = sender.send(());
            }
        }
    }
}
