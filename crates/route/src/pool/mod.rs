//! Endpoint pool of one service, with its queued and running requests.

mod estimate;
mod isolation;

use std::collections::BTreeSet;

use crate::choice::{Choice, Chooser};
use crate::queue::{Queue, QueueKey};
use crate::suspect::{Crash, CrashReport, SuspectStatus, Suspects};
use crate::{
    Admission, Class, Demand, Dispatch, EndpointKey, EndpointState, Load, Outcome, Reason, Refusal,
    RetryBudget, TicketKey,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;

const CRASH_REPORT_MAX_AGE_MS: u64 = 60_000;
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Waiting requests that one call to [`Pool::dispatch_waiting`] may skip per class because no
/// suitable endpoint has capacity.
const MAX_SKIPPED: usize = 16;
/// Dispatch sequence numbers start above this; a new endpoint gets a random lower one.
const FIRST_DISPATCH: u64 = 1 << 32;
const TOKEN_SHARE_SMOOTHING: f64 = 0.02;

/// A request that left the queue, to be dispatched or refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dequeued {
    /// Ticket of the request, as returned by [`Pool::admit`].
    pub ticket: TicketKey,
    /// Endpoint to send the request to, or the refusal.
    pub endpoint: Result<EndpointKey, Refusal>,
}

#[derive(Debug)]
struct Ticket {
    demand: Demand,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Queued(QueueKey),
    AwaitingIsolation,
    Running {
        endpoint: EndpointKey,
        since_ms: u64,
    },
    Preempted {
        endpoint: EndpointKey,
    },
}

/// Routes the requests of one daemon to the endpoints of one service.
#[derive(Debug)]
pub struct Pool {
    endpoints: SlotMap<EndpointKey, EndpointState>,
    tickets: SlotMap<TicketKey, Ticket>,
    queue: Queue,
    queue_length: usize,
    awaiting_isolation: Vec<TicketKey>,
    preempted: Vec<TicketKey>,
    preempting: usize,
    /// Rollouts in flight by the time of their dispatch, in milliseconds.
    rollouts: BTreeSet<(u64, TicketKey)>,
    suspects: Suspects,
    retry_budget: RetryBudget,
    /// Smoothed ratio of generated tokens to [`Demand::max_tokens`].
    token_share: f64,
    responses: u64,
    dispatches: u64,
    random: SmallRng,
}

impl Pool {
    /// Creates a pool without endpoints in which `queue_length` requests of each class may wait;
    /// `seed` initialises its random number generator.
    pub fn new(queue_length: usize, seed: u64) -> Self {
        Self {
            endpoints: SlotMap::with_key(),
            tickets: SlotMap::with_key(),
            queue: Queue::default(),
            queue_length,
            awaiting_isolation: Vec::new(),
            preempted: Vec::new(),
            preempting: 0,
            rollouts: BTreeSet::new(),
            suspects: Suspects::default(),
            retry_budget: RetryBudget::new(DEFAULT_RETRY_RATIO),
            token_share: 1.0,
            responses: 0,
            dispatches: FIRST_DISPATCH,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets how many requests of each class may wait.
    pub fn set_queue_length(&mut self, queue_length: usize) {
        self.queue_length = queue_length;
    }

    /// Sets the ratio of retries to first attempts, from 0 to 1.
    pub fn set_retry_ratio(&mut self, ratio: f64) {
        self.retry_budget.set_ratio(ratio);
    }

    /// Adds an endpoint and returns its key.
    pub fn insert(&mut self, mut state: EndpointState) -> EndpointKey {
        // Randomised so that daemons that start at the same time use the endpoints in different
        // orders.
        state.last_dispatch = self.random.random_range(0..FIRST_DISPATCH);
        self.endpoints.insert(state)
    }

    /// Removes an endpoint; its requests in flight continue.
    pub fn remove(&mut self, key: EndpointKey) {
        self.endpoints.remove(key);
    }

    /// Returns an iterator over the endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &EndpointState)> {
        self.endpoints.iter()
    }

    /// Returns an endpoint, or `None` if it was removed.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&EndpointState> {
        self.endpoints.get(key)
    }

    /// Returns an endpoint for changes to its settings, or `None` if it was removed.
    pub fn endpoint_mut(&mut self, key: EndpointKey) -> Option<&mut EndpointState> {
        self.endpoints.get_mut(key)
    }

    /// Records an endpoint's load report; has no effect on a removed endpoint.
    pub fn record_load(&mut self, now_ms: u64, key: EndpointKey, load: Load) {
        if let Some(state) = self.endpoints.get_mut(key) {
            state.record_load(now_ms, load);
        }
    }

    /// Takes one retry from the budget and returns `true` if one was left; first attempts refill
    /// the budget.
    pub fn try_take_retry(&mut self) -> bool {
        self.retry_budget.withdraw()
    }

    /// Returns the crash reports of the last minute about suspects, for the other daemons.
    pub fn crash_reports(&self, now_ms: u64) -> Vec<CrashReport> {
        let mut reports = self.suspects.export(now_ms, CRASH_REPORT_MAX_AGE_MS);
        reports
            .retain(|report| self.suspects.status(now_ms, report.digest) != SuspectStatus::Normal);
        reports
    }

    /// Records the crash reports of another daemon.
    pub fn apply_crash_reports(&mut self, now_ms: u64, reports: &[CrashReport]) {
        for report in reports {
            self.suspects.import(now_ms, report);
        }
    }

    /// Returns the dispatched rollouts to cancel in favour of waiting callers, each only once.
    pub fn take_preempted(&mut self) -> Vec<TicketKey> {
        std::mem::take(&mut self.preempted)
    }

    /// Admits, queues or refuses a request.
    pub fn admit(&mut self, now_ms: u64, demand: Demand) -> Admission {
        if demand.deadline_ms <= now_ms {
            return Admission::Refuse(self.refusal(now_ms, Reason::Deadline, &demand));
        }
        if !self.endpoints.values().any(|state| !state.leaving) {
            return Admission::Refuse(self.refusal(now_ms, Reason::NoEndpoint, &demand));
        }
        if demand.avoided_endpoints.is_empty() {
            self.retry_budget.deposit();
        }
        match self.suspect_status(now_ms, &demand) {
            SuspectStatus::Quarantined => {
                Admission::Refuse(self.refusal(now_ms, Reason::Quarantined, &demand))
            }
            SuspectStatus::Suspect => self.admit_suspect(now_ms, demand),
            SuspectStatus::Normal => self.admit_normal(now_ms, demand),
        }
    }

    fn admit_normal(&mut self, now_ms: u64, demand: Demand) -> Admission {
        let class = demand.class;
        let queue_is_empty = self.queue.len(Class::Caller) == 0
            && (class == Class::Caller || self.queue.len(class) == 0);
        match self.choose(now_ms, &demand) {
            Choice::Dispatch(endpoint) if queue_is_empty => {
                Admission::Dispatch(self.start(now_ms, demand, endpoint))
            }
            _ if self.queue.len(class) >= self.queue_length => {
                Admission::Refuse(self.refusal(now_ms, Reason::QueueFull, &demand))
            }
            _ if self.deadline_unreachable(now_ms, &demand, self.wait_ms(now_ms, class)) => {
                Admission::Refuse(self.refusal(now_ms, Reason::Deadline, &demand))
            }
            _ => {
                let ticket = self.enqueue(demand);
                self.preempt();
                Admission::Wait(ticket)
            }
        }
    }

    fn enqueue(&mut self, demand: Demand) -> TicketKey {
        let queue = &mut self.queue;
        self.tickets.insert_with_key(|ticket| {
            let state = State::Queued(queue.push(ticket, &demand));
            Ticket { demand, state }
        })
    }

    fn start(&mut self, now_ms: u64, demand: Demand, endpoint: EndpointKey) -> Dispatch {
        let state = State::Running {
            endpoint,
            since_ms: now_ms,
        };
        let ticket = self.tickets.insert(Ticket { demand, state });
        self.mark_running(now_ms, ticket, endpoint);
        Dispatch { ticket, endpoint }
    }

    /// Marks a request as in flight on an endpoint.
    fn mark_running(&mut self, now_ms: u64, ticket: TicketKey, endpoint: EndpointKey) {
        self.dispatches += 1;
        self.endpoints[endpoint].record_dispatch(now_ms, self.dispatches);
        let entry = &mut self.tickets[ticket];
        entry.state = State::Running {
            endpoint,
            since_ms: now_ms,
        };
        if entry.demand.class.is_rollout() {
            self.rollouts.insert((now_ms, ticket));
        }
    }

    /// Cancels a waiting request; does nothing if it is running or has ended.
    pub fn cancel_waiting(&mut self, ticket: TicketKey) {
        let state = self.tickets.get(ticket).map(|entry| entry.state);
        if matches!(state, Some(State::Queued(_) | State::AwaitingIsolation)) {
            self.remove_ticket(ticket);
        }
    }

    /// Cancels a waiting request whose deadline has passed and returns its refusal.
    pub fn expire(&mut self, now_ms: u64, ticket: TicketKey) -> Refusal {
        let demand = self.tickets.get(ticket).map(|entry| entry.demand.clone());
        self.cancel_waiting(ticket);
        let demand = demand.unwrap_or_else(|| Demand::caller(now_ms));
        self.refusal(now_ms, Reason::Deadline, &demand)
    }

    fn remove_ticket(&mut self, ticket: TicketKey) {
        let Some(entry) = self.tickets.remove(ticket) else {
            return;
        };
        match entry.state {
            State::Queued(queue_key) => self.queue.remove(queue_key, &entry.demand),
            State::AwaitingIsolation => {
                self.awaiting_isolation.retain(|&other| other != ticket);
                self.unreserve(ticket);
            }
            State::Running { since_ms, .. } => {
                self.rollouts.remove(&(since_ms, ticket));
            }
            State::Preempted { .. } => self.preempting -= 1,
        }
    }

    /// Ends a dispatched request and returns the waiting ones that now leave the queue.
    pub fn finish(&mut self, now_ms: u64, ticket: TicketKey, outcome: Outcome) -> Vec<Dequeued> {
        let Some(entry) = self.tickets.get(ticket) else {
            return Vec::new();
        };
        let (endpoint, since_ms) = match entry.state {
            State::Running { endpoint, since_ms } => (endpoint, since_ms),
            State::Preempted { endpoint } => (endpoint, now_ms),
            State::Queued(_) | State::AwaitingIsolation => return Vec::new(),
        };
        let expected_tokens = (f64::from(entry.demand.max_tokens) * self.token_share).max(1.0);
        let bound_ms_per_token = now_ms.saturating_sub(since_ms) as f64 / expected_tokens;
        let digest = entry.demand.digest;
        let max_tokens = entry.demand.max_tokens;
        self.remove_ticket(ticket);
        self.preempted.retain(|&other| other != ticket);
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.record_outcome(now_ms, outcome, bound_ms_per_token);
            let isolated = state.reserved == Some(ticket);
            if isolated {
                state.reserved = None;
            }
            match (outcome, digest) {
                (Outcome::Crashed, Some(digest)) => {
                    let crash = Crash {
                        id: rand::random(),
                        endpoint: &state.endpoint,
                        failure_domain: &state.failure_domain,
                        isolated,
                        is_leaving: false,
                    };
                    self.suspects.record_crash(now_ms, digest, crash);
                }
                (Outcome::Crashed, None) => {
                    let (endpoint, domain) = (&state.endpoint, &state.failure_domain);
                    self.suspects
                        .record_endpoint_crash(now_ms, endpoint, domain);
                }
                (Outcome::Completed { .. }, Some(digest)) => {
                    self.suspects.clear(now_ms, digest);
                }
                _ => {}
            }
        }
        if let Outcome::Completed { tokens, .. } = outcome {
            let share = f64::from(tokens) / f64::from(max_tokens.max(1));
            self.responses += 1;
            let weight = (1.0 / self.responses as f64).max(TOKEN_SHARE_SMOOTHING);
            self.token_share += weight * (share.min(1.0) - self.token_share);
        }
        self.dispatch_waiting(now_ms)
    }

    /// Returns the waiting requests that leave the queue now, to be dispatched or refused.
    ///
    /// Call it after each change to the pool that may free capacity, and as time passes.
    pub fn dispatch_waiting(&mut self, now_ms: u64) -> Vec<Dequeued> {
        let mut dequeued = Vec::new();
        self.dispatch_isolated(now_ms, &mut dequeued);
        self.dispatch_class(now_ms, Class::Caller, &mut dequeued);
        if self.queue.len(Class::Caller) == 0 {
            self.dispatch_class(now_ms, Class::Rollout { trainer: 0 }, &mut dequeued);
        }
        self.preempt();
        dequeued
    }

    fn dispatch_class(&mut self, now_ms: u64, class: Class, dequeued: &mut Vec<Dequeued>) {
        let mut skipped = 0;
        loop {
            let heads = match class {
                Class::Caller => self.queue.callers(skipped + 1),
                Class::Rollout { .. } => self.queue.rollouts(skipped + 1),
            };
            let Some(&ticket) = heads.get(skipped) else {
                return;
            };
            match self.try_dequeue(now_ms, ticket) {
                Some(endpoint) => dequeued.push(Dequeued { ticket, endpoint }),
                None if skipped >= MAX_SKIPPED || !self.any_capacity(now_ms, class) => return,
                None => skipped += 1,
            }
        }
    }

    /// Dispatches a queued request if an endpoint has capacity, or refuses it if its deadline is
    /// unreachable; otherwise returns `None`.
    fn try_dequeue(
        &mut self,
        now_ms: u64,
        ticket: TicketKey,
    ) -> Option<Result<EndpointKey, Refusal>> {
        let entry = self.tickets.get(ticket)?;
        let State::Queued(queue_key) = entry.state else {
            return None;
        };
        let demand = entry.demand.clone();
        if self.deadline_unreachable(now_ms, &demand, 0.0) {
            self.remove_ticket(ticket);
            return Some(Err(self.refusal(now_ms, Reason::Deadline, &demand)));
        }
        let Choice::Dispatch(endpoint) = self.choose(now_ms, &demand) else {
            return None;
        };
        self.queue.remove(queue_key, &demand);
        if demand.class.is_rollout() {
            self.queue.advance_virtual_time(queue_key);
        }
        self.mark_running(now_ms, ticket, endpoint);
        Some(Ok(endpoint))
    }

    fn any_capacity(&self, now_ms: u64, class: Class) -> bool {
        let rollout = class.is_rollout();
        let mut available = self
            .endpoints
            .values()
            .filter(|state| state.is_available(now_ms));
        let default = self.default_ms_per_token();
        available.any(|state| state.has_capacity(now_ms, rollout, default))
    }

    /// Marks the most recently dispatched rollouts for cancellation, one per waiting caller.
    fn preempt(&mut self) {
        while self.preempting < self.queue.len(Class::Caller) {
            let Some((_, ticket)) = self.rollouts.pop_last() else {
                return;
            };
            let State::Running { endpoint, .. } = self.tickets[ticket].state else {
                continue;
            };
            self.tickets[ticket].state = State::Preempted { endpoint };
            self.preempting += 1;
            self.preempted.push(ticket);
        }
    }

    /// Returns the number of queued requests of a class, without suspects that await isolation.
    pub fn waiting(&self, class: Class) -> usize {
        self.queue.len(class)
    }

    /// Returns the number of requests that wait or run.
    pub fn ticket_count(&self) -> usize {
        self.tickets.len()
    }

    fn choose(&mut self, now_ms: u64, demand: &Demand) -> Choice {
        let chooser = Chooser {
            endpoints: &self.endpoints,
            now_ms,
            default_ms_per_token: self.default_ms_per_token(),
        };
        chooser.choose(demand)
    }
}
