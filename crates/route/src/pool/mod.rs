//! The endpoints of one service and the requests that wait for them or run there.

mod estimate;
mod solo;

use std::collections::BTreeSet;

use crate::choice::{Choice, Chooser};
use crate::queue::{Place, Queue};
use crate::suspect::{CrashReport, SuspectStatus, Suspects};
use crate::{
    Admission, Class, Demand, Dispatch, EndpointKey, EndpointState, Load, Outcome, Reason, Refusal,
    RetryBudget, TicketKey,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;

const STRIKE_EXPORT_MS: u64 = 60_000;
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Waiting requests that one wake looks at beyond those that it dispatches.
const LOOK_AHEAD: usize = 16;
/// Number of the first dispatch; an endpoint starts with a random lower one.
const FIRST_DISPATCH: u64 = 1 << 32;
const TOKEN_SHARE_SMOOTHING: f64 = 0.02;

/// A waiting request that may now be dispatched, or is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dequeued {
    /// The request's ticket.
    pub ticket: TicketKey,
    /// The endpoint to dispatch to.
    pub endpoint: Result<EndpointKey, Refusal>,
}

#[derive(Debug)]
struct Ticket {
    demand: Demand,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Queued(Place),
    Solo,
    Running {
        endpoint: EndpointKey,
        since_ms: u64,
    },
    Preempted {
        endpoint: EndpointKey,
    },
}

/// The endpoints of one service, as one daemon uses them.
#[derive(Debug)]
pub struct Pool {
    endpoints: SlotMap<EndpointKey, EndpointState>,
    tickets: SlotMap<TicketKey, Ticket>,
    queue: Queue,
    queue_length: usize,
    solo: Vec<TicketKey>,
    preempted: Vec<TicketKey>,
    preempting: usize,
    /// Rollouts in flight by the time of their dispatch, in milliseconds.
    rollouts: BTreeSet<(u64, TicketKey)>,
    suspects: Suspects,
    crashes: Vec<(u64, EndpointKey)>,
    retries: RetryBudget,
    token_share: f64,
    answers: u64,
    dispatches: u64,
    random: SmallRng,
}

impl Pool {
    /// Makes a pool without endpoints; `seed` drives its random choices.
    pub fn new(queue_length: usize, seed: u64) -> Self {
        Self {
            endpoints: SlotMap::with_key(),
            tickets: SlotMap::with_key(),
            queue: Queue::default(),
            queue_length,
            solo: Vec::new(),
            preempted: Vec::new(),
            preempting: 0,
            rollouts: BTreeSet::new(),
            suspects: Suspects::default(),
            crashes: Vec::new(),
            retries: RetryBudget::new(DEFAULT_RETRY_RATIO),
            token_share: 1.0,
            answers: 0,
            dispatches: FIRST_DISPATCH,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets how many requests of a class may wait.
    pub fn set_queue_length(&mut self, queue_length: usize) {
        self.queue_length = queue_length;
    }

    /// Sets the share of requests that may be retries, from 0 to 1.
    pub fn set_retry_ratio(&mut self, ratio: f64) {
        self.retries.set_ratio(ratio);
    }

    /// Adds an endpoint.
    pub fn insert(&mut self, mut state: EndpointState) -> EndpointKey {
        // Daemons that start together take the endpoints in different orders.
        state.used_at = self.random.random_range(0..FIRST_DISPATCH);
        self.endpoints.insert(state)
    }

    /// Removes an endpoint; its requests in flight go on.
    pub fn remove(&mut self, key: EndpointKey) {
        self.endpoints.remove(key);
    }

    /// The endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &EndpointState)> {
        self.endpoints.iter()
    }

    /// One endpoint.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&EndpointState> {
        self.endpoints.get(key)
    }

    /// Changes the settings of one endpoint.
    pub fn endpoint_mut(&mut self, key: EndpointKey) -> Option<&mut EndpointState> {
        self.endpoints.get_mut(key)
    }

    /// Takes an endpoint's load report.
    pub fn record_load(&mut self, now_ms: u64, key: EndpointKey, load: Load) {
        if let Some(state) = self.endpoints.get_mut(key) {
            state.report(now_ms, load);
        }
    }

    /// Asks for one retry; first attempts earn them.
    pub fn may_retry(&mut self) -> bool {
        self.retries.withdraw()
    }

    /// Recent crashes and the requests that ran there, for the other daemons.
    pub fn crash_reports(&self, now_ms: u64) -> Vec<CrashReport> {
        self.suspects.export(now_ms, STRIKE_EXPORT_MS)
    }

    /// Takes the strikes of another daemon.
    pub fn apply_crash_reports(&mut self, now_ms: u64, strikes: &[CrashReport]) {
        self.suspects.import(now_ms, strikes);
    }

    /// The dispatched rollouts to cancel, since callers wait; each is named once.
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
        if demand.tried.is_empty() {
            self.retries.deposit();
        }
        match self.standing(now_ms, &demand) {
            SuspectStatus::Quarantined => {
                Admission::Refuse(self.refusal(now_ms, Reason::Quarantined, &demand))
            }
            SuspectStatus::Suspect => self.admit_suspect(now_ms, demand),
            SuspectStatus::Normal => self.admit_clean(now_ms, demand),
        }
    }

    fn admit_clean(&mut self, now_ms: u64, demand: Demand) -> Admission {
        let class = demand.class;
        let first_in_line = self.queue.len(Class::Caller) == 0
            && (class == Class::Caller || self.queue.len(class) == 0);
        match self.choose(now_ms, &demand) {
            Choice::Take(endpoint) if first_in_line => {
                Admission::Dispatch(self.start(now_ms, demand, endpoint))
            }
            _ if self.queue.len(class) >= self.queue_length => {
                Admission::Refuse(self.refusal(now_ms, Reason::QueueFull, &demand))
            }
            _ if self.is_hopeless(now_ms, &demand, self.wait_ms(now_ms, class)) => {
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
        self.run(now_ms, ticket, endpoint);
        Dispatch { ticket, endpoint }
    }

    /// Counts a request as in flight.
    fn run(&mut self, now_ms: u64, ticket: TicketKey, endpoint: EndpointKey) {
        self.dispatches += 1;
        self.endpoints[endpoint].occupy(now_ms, self.dispatches);
        let held = &mut self.tickets[ticket];
        held.state = State::Running {
            endpoint,
            since_ms: now_ms,
        };
        if held.demand.class.is_rollout() {
            self.rollouts.insert((now_ms, ticket));
        }
    }

    /// Takes back a waiting request.
    pub fn cancel_waiting(&mut self, ticket: TicketKey) {
        let state = self.tickets.get(ticket).map(|held| held.state);
        if matches!(state, Some(State::Queued(_) | State::Solo)) {
            self.forget(ticket);
        }
    }

    /// Takes back a waiting request whose deadline has come; gives its refusal.
    pub fn expire(&mut self, now_ms: u64, ticket: TicketKey) -> Refusal {
        let demand = self.tickets.get(ticket).map(|held| held.demand.clone());
        self.cancel_waiting(ticket);
        let demand = demand.unwrap_or_else(|| Demand::caller(now_ms));
        self.refusal(now_ms, Reason::Deadline, &demand)
    }

    fn forget(&mut self, ticket: TicketKey) {
        let Some(held) = self.tickets.remove(ticket) else {
            return;
        };
        match held.state {
            State::Queued(place) => self.queue.remove(place, &held.demand),
            State::Solo => {
                self.solo.retain(|&other| other != ticket);
                self.unreserve(ticket);
            }
            State::Running { since_ms, .. } => {
                self.rollouts.remove(&(since_ms, ticket));
            }
            State::Preempted { .. } => self.preempting -= 1,
        }
    }

    /// Ends a dispatched request; gives the waiting ones that may now go.
    pub fn finish(&mut self, now_ms: u64, ticket: TicketKey, outcome: Outcome) -> Vec<Dequeued> {
        let Some(held) = self.tickets.get(ticket) else {
            return Vec::new();
        };
        let (endpoint, since_ms) = match held.state {
            State::Running { endpoint, since_ms } => (endpoint, since_ms),
            State::Preempted { endpoint } => (endpoint, now_ms),
            State::Queued(_) | State::Solo => return Vec::new(),
        };
        let expected_tokens = (f64::from(held.demand.cost_tokens) * self.token_share).max(1.0);
        let bound_ms_per_token = now_ms.saturating_sub(since_ms) as f64 / expected_tokens;
        let digest = held.demand.digest;
        let cost_tokens = held.demand.cost_tokens;
        self.forget(ticket);
        self.preempted.retain(|&other| other != ticket);
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.release(now_ms, outcome, bound_ms_per_token);
            let alone = state.reserved == Some(ticket);
            if alone {
                state.reserved = None;
            }
            match (outcome, digest) {
                (Outcome::Crashed, Some(digest)) => {
                    self.suspects
                        .record_crash(now_ms, digest, &state.endpoint, alone);
                    self.pardon_crashed_together(now_ms, endpoint);
                }
                (Outcome::Answered { .. }, Some(digest)) => self.suspects.clear(now_ms, digest),
                _ => {}
            }
        }
        if let Outcome::Answered { tokens, .. } = outcome {
            let share = f64::from(tokens) / f64::from(cost_tokens.max(1));
            self.answers += 1;
            let weight = (1.0 / self.answers as f64).max(TOKEN_SHARE_SMOOTHING);
            self.token_share += weight * (share.min(1.0) - self.token_share);
        }
        self.dispatch_waiting(now_ms)
    }

    /// Gives the waiting requests that may go now; to be called when anything changed.
    pub fn dispatch_waiting(&mut self, now_ms: u64) -> Vec<Dequeued> {
        let mut woken = Vec::new();
        self.wake_solo(now_ms, &mut woken);
        self.wake_class(now_ms, Class::Caller, &mut woken);
        if self.queue.len(Class::Caller) == 0 {
            self.wake_class(now_ms, Class::Rollout { trainer: 0 }, &mut woken);
        }
        self.preempt();
        woken
    }

    fn wake_class(&mut self, now_ms: u64, class: Class, woken: &mut Vec<Dequeued>) {
        let mut passed_over = 0;
        loop {
            let heads = match class {
                Class::Caller => self.queue.callers(passed_over + 1),
                Class::Rollout { .. } => self.queue.rollouts(passed_over + 1),
            };
            let Some(&ticket) = heads.get(passed_over) else {
                return;
            };
            match self.call(now_ms, ticket) {
                Some(endpoint) => woken.push(Dequeued { ticket, endpoint }),
                None if passed_over >= LOOK_AHEAD || !self.any_room(now_ms, class) => return,
                None => passed_over += 1,
            }
        }
    }

    /// Dispatches or refuses one queued request, if it is time.
    fn call(&mut self, now_ms: u64, ticket: TicketKey) -> Option<Result<EndpointKey, Refusal>> {
        let held = self.tickets.get(ticket)?;
        let State::Queued(place) = held.state else {
            return None;
        };
        let demand = held.demand.clone();
        if self.is_hopeless(now_ms, &demand, 0.0) {
            self.forget(ticket);
            return Some(Err(self.refusal(now_ms, Reason::Deadline, &demand)));
        }
        let Choice::Take(endpoint) = self.choose(now_ms, &demand) else {
            return None;
        };
        self.queue.remove(place, &demand);
        if demand.class.is_rollout() {
            self.queue.advance(place);
        }
        self.run(now_ms, ticket, endpoint);
        Some(Ok(endpoint))
    }

    fn any_room(&self, now_ms: u64, class: Class) -> bool {
        let rollout = class.is_rollout();
        let mut open = self
            .endpoints
            .values()
            .filter(|state| state.is_open(now_ms));
        let default = self.default_ms_per_token();
        open.any(|state| state.has_room(now_ms, rollout, default))
    }

    /// Marks the youngest rollouts in flight for cancellation, one for each waiting caller.
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

    /// Number of waiting requests of a class.
    pub fn waiting(&self, class: Class) -> usize {
        self.queue.len(class)
    }

    /// Number of requests that wait or run.
    pub fn tickets(&self) -> usize {
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
