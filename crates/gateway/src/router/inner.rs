//! The state behind the router's lock.

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

use super::waiting::Waiting;
use super::{Permit, Router, Target};

const QUEUE_LENGTH: usize = 64;
const RETRY_AFTER_MS: u64 = 1_000;

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) pool: Pool,
    pub(super) targets: SecondaryMap<EndpointKey, Target>,
    pub(super) leaves: SecondaryMap<EndpointKey, Leave>,
    pub(super) subset: Option<Subset>,
    pub(super) waiting: BTreeMap<TicketKey, oneshot::Sender<Result<EndpointKey, Refusal>>>,
    pub(super) preempted: BTreeMap<TicketKey, oneshot::Sender<()>>,
}

/// Why an endpoint takes no new work.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Leave {
    pub(super) vm_is_leaving: bool,
    pub(super) says_draining: bool,
}

impl Inner {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            pool: Pool::new(QUEUE_LENGTH, seed),
            targets: SecondaryMap::new(),
            leaves: SecondaryMap::new(),
            subset: None,
            waiting: BTreeMap::new(),
            preempted: BTreeMap::new(),
        }
    }

    pub(super) fn find(&self, endpoint: &EndpointName) -> Option<EndpointKey> {
        let mut endpoints = self.pool.endpoints();
        endpoints
            .find(|(_, state)| state.endpoint == *endpoint)
            .map(|(key, _)| key)
    }

    pub(super) fn key(&mut self, endpoint: &Endpoint) -> EndpointKey {
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
            self.leaves.remove(key);
        }
    }

    pub(super) fn set_leave(&mut self, key: EndpointKey, change: impl FnOnce(&mut Leave)) {
        let mut leave = self.leaves.get(key).copied().unwrap_or_default();
        change(&mut leave);
        self.leaves.insert(key, leave);
        if let Some(state) = self.pool.endpoint_mut(key) {
            state.leaving = leave.vm_is_leaving || leave.says_draining;
        }
    }

    pub(super) fn wait<'a>(&mut self, router: &'a Router, ticket: TicketKey) -> Waiting<'a> {
        let (sender, called) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        self.preempt();
        Waiting {
            router,
            ticket,
            called,
        }
    }

    pub(super) fn permit(
        &mut self,
        router: &Router,
        dispatch: Dispatch,
    ) -> Result<Permit, Refusal> {
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
    pub(super) fn deliver(&mut self, now_ms: u64, woken: Vec<Dequeued>) {
        let mut calls = woken;
        while let Some(Dequeued { ticket, endpoint }) = calls.pop() {
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
    pub(super) fn preempt(&mut self) {
        for ticket in self.pool.take_preempted() {
            if let Some(sender) = self.preempted.remove(&ticket) {
                // A request that has just ended needs no word.
                let _ = sender.send(());
            }
        }
    }
}
