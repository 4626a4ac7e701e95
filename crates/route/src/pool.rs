//! The endpoints of one service and the requests that wait for them or run there.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;
use wisteriapoint_types::EndpointName;

use crate::choice::{Choice, Chooser};
use crate::queue::{Place, Queue};
use crate::suspect::{Standing, Strike, Suspects};
use crate::{
    Admission, Class, Demand, Dispatch, EndpointKey, Load, Outcome, Reason, Refusal, RetryBudget,
    Seat, TicketKey,
};

const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;
const MIN_RETRY_AFTER_MS: u64 = 100;
const MAX_RETRY_AFTER_MS: u64 = 60_000;
const QUARANTINE_RETRY_AFTER_MS: u64 = 600_000;
/// Time within which crashes in one failure domain count as one event, in milliseconds.
const TOGETHER_MS: u64 = 100;
const STRIKE_EXPORT_MS: u64 = 60_000;
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Waiting requests that one wake looks at beyond those that it dispatches.
const LOOK_AHEAD: usize = 16;
/// One endpoint in so many may be kept for a suspect.
const SOLO_DIVISOR: usize = 4;
/// Number of the first dispatch; an endpoint starts with a random lower one.
const FIRST_DISPATCH: u64 = 1 << 32;
const TOKEN_SHARE_SMOOTHING: f64 = 0.02;

/// A waiting request that may now be dispatched, or is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Woken {
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
    seats: SlotMap<EndpointKey, Seat>,
    tickets: SlotMap<TicketKey, Ticket>,
    queue: Queue,
    queue_length: usize,
    solo: Vec<TicketKey>,
    preempted: Vec<TicketKey>,
    preempting: usize,
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
            seats: SlotMap::with_key(),
            tickets: SlotMap::with_key(),
            queue: Queue::default(),
            queue_length,
            solo: Vec::new(),
            preempted: Vec::new(),
            preempting: 0,
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
    pub fn insert(&mut self, mut seat: Seat) -> EndpointKey {
        // Daemons that start together take the endpoints in different orders.
        seat.used_at = self.random.random_range(0..FIRST_DISPATCH);
        self.seats.insert(seat)
    }

    /// Removes an endpoint; its requests in flight go on.
    pub fn remove(&mut self, key: EndpointKey) {
        self.seats.remove(key);
    }

    /// The endpoints.
    pub fn seats(&self) -> impl Iterator<Item = (EndpointKey, &Seat)> {
        self.seats.iter()
    }

    /// One endpoint.
    pub fn seat(&self, key: EndpointKey) -> Option<&Seat> {
        self.seats.get(key)
    }

    /// Changes the settings of one endpoint.
    pub fn seat_mut(&mut self, key: EndpointKey) -> Option<&mut Seat> {
        self.seats.get_mut(key)
    }

    /// Takes an endpoint's load report.
    pub fn report(&mut self, now_ms: u64, key: EndpointKey, load: Load) {
        if let Some(seat) = self.seats.get_mut(key) {
            seat.report(now_ms, load);
        }
    }

    /// Asks for one retry; first attempts earn them.
    pub fn may_retry(&mut self) -> bool {
        self.retries.withdraw()
    }

    /// Recent crashes and the requests that ran there, for the other daemons.
    pub fn strikes(&self, now_ms: u64) -> Vec<Strike> {
        self.suspects.export(now_ms, STRIKE_EXPORT_MS)
    }

    /// Takes the strikes of another daemon.
    pub fn learn_strikes(&mut self, now_ms: u64, strikes: &[Strike]) {
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
        if !self.seats.values().any(|seat| !seat.leaving) {
            return Admission::Refuse(self.refusal(now_ms, Reason::NoEndpoint, &demand));
        }
        if demand.tried.is_empty() {
            self.retries.deposit();
        }
        match self.standing(now_ms, &demand) {
            Standing::Quarantined => {
                Admission::Refuse(self.refusal(now_ms, Reason::Quarantined, &demand))
            }
            Standing::Suspect => self.admit_suspect(now_ms, demand),
            Standing::Clean => self.admit_clean(now_ms, demand),
        }
    }

    fn admit_clean(&mut self, now_ms: u64, demand: Demand) -> Admission {
        let class = demand.class;
        let first_in_line = self.queue.len(Class::Caller) == 0
            && (class == Class::Caller || self.queue.len(class) == 0);
        match self.choose(now_ms, &demand) {
            Choice::Take(endpoint) if first_in_line => {
                Admission::Go(self.start(now_ms, demand, endpoint))
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

    fn admit_suspect(&mut self, now_ms: u64, demand: Demand) -> Admission {
        if self.solo.len() >= self.queue_length {
            return Admission::Refuse(self.refusal(now_ms, Reason::QueueFull, &demand));
        }
        let state = State::Solo;
        let ticket = self.tickets.insert(Ticket { demand, state });
        self.solo.push(ticket);
        match self.start_solo(now_ms, ticket) {
            Some(endpoint) => {
                self.solo.retain(|&other| other != ticket);
                Admission::Go(Dispatch { ticket, endpoint })
            }
            None => Admission::Wait(ticket),
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
        self.occupy(now_ms, endpoint);
        Dispatch { ticket, endpoint }
    }

    fn occupy(&mut self, now_ms: u64, endpoint: EndpointKey) {
        self.dispatches += 1;
        self.seats[endpoint].occupy(now_ms, self.dispatches);
    }

    /// Takes back a waiting request.
    pub fn withdraw(&mut self, ticket: TicketKey) {
        let state = self.tickets.get(ticket).map(|held| held.state);
        if matches!(state, Some(State::Queued(_) | State::Solo)) {
            self.forget(ticket);
        }
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
            State::Running { .. } => {}
            State::Preempted { .. } => self.preempting -= 1,
        }
    }

    fn unreserve(&mut self, ticket: TicketKey) {
        for seat in self.seats.values_mut() {
            if seat.reserved == Some(ticket) {
                seat.reserved = None;
            }
        }
    }

    /// Ends a dispatched request; gives the waiting ones that may now go.
    pub fn finish(&mut self, now_ms: u64, ticket: TicketKey, outcome: Outcome) -> Vec<Woken> {
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
        if let Some(seat) = self.seats.get_mut(endpoint) {
            seat.release(now_ms, outcome, bound_ms_per_token);
            let alone = seat.reserved == Some(ticket);
            if alone {
                seat.reserved = None;
            }
            match (outcome, digest) {
                (Outcome::Crashed, Some(digest)) => {
                    self.suspects.strike(now_ms, digest, &seat.endpoint, alone);
                    self.pardon_crashed_together(now_ms, endpoint);
                }
                (Outcome::Answered { .. }, Some(digest)) => self.suspects.acquit(now_ms, digest),
                _ => {}
            }
        }
        if let Outcome::Answered { tokens, .. } = outcome {
            let share = f64::from(tokens) / f64::from(cost_tokens.max(1));
            self.answers += 1;
            let weight = (1.0 / self.answers as f64).max(TOKEN_SHARE_SMOOTHING);
            self.token_share += weight * (share.min(1.0) - self.token_share);
        }
        self.wake(now_ms)
    }

    /// Endpoints of one failure domain that crash together were not crashed by a request.
    fn pardon_crashed_together(&mut self, now_ms: u64, endpoint: EndpointKey) {
        self.crashes
            .retain(|&(at_ms, other)| at_ms + TOGETHER_MS > now_ms && other != endpoint);
        self.crashes.push((now_ms, endpoint));
        let failure_domain = self.seats[endpoint].failure_domain.clone();
        let recent = self.crashes.iter();
        let together: Vec<EndpointName> = recent
            .filter_map(|&(_, other)| self.seats.get(other))
            .filter(|seat| seat.failure_domain == failure_domain)
            .map(|seat| seat.endpoint.clone())
            .collect();
        if together.len() > 1 {
            let since_ms = now_ms.saturating_sub(TOGETHER_MS);
            self.suspects.pardon(since_ms, &together);
        }
    }

    /// Gives the waiting requests that may go now; to be called when anything changed.
    pub fn wake(&mut self, now_ms: u64) -> Vec<Woken> {
        let mut woken = Vec::new();
        self.wake_solo(now_ms, &mut woken);
        self.wake_class(now_ms, Class::Caller, &mut woken);
        if self.queue.len(Class::Caller) == 0 {
            self.wake_class(now_ms, Class::Rollout { trainer: 0 }, &mut woken);
        }
        self.preempt();
        woken
    }

    fn wake_solo(&mut self, now_ms: u64, woken: &mut Vec<Woken>) {
        for ticket in self.solo.clone() {
            let demand = &self.tickets[ticket].demand;
            let endpoint = match self.standing(now_ms, demand) {
                Standing::Quarantined => Err(self.refusal(now_ms, Reason::Quarantined, demand)),
                _ if demand.deadline_ms <= now_ms => {
                    Err(self.refusal(now_ms, Reason::Deadline, demand))
                }
                Standing::Clean => {
                    self.requeue(ticket);
                    continue;
                }
                Standing::Suspect => match self.start_solo(now_ms, ticket) {
                    Some(endpoint) => Ok(endpoint),
                    None => continue,
                },
            };
            self.solo.retain(|&other| other != ticket);
            if endpoint.is_err() {
                self.forget(ticket);
            }
            woken.push(Woken { ticket, endpoint });
        }
    }

    /// Puts a suspect that is cleared in line with the others.
    fn requeue(&mut self, ticket: TicketKey) {
        self.solo.retain(|&other| other != ticket);
        self.unreserve(ticket);
        let held = &mut self.tickets[ticket];
        held.state = State::Queued(self.queue.push(ticket, &held.demand));
    }

    fn wake_class(&mut self, now_ms: u64, class: Class, woken: &mut Vec<Woken>) {
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
                Some(endpoint) => woken.push(Woken { ticket, endpoint }),
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
        self.occupy(now_ms, endpoint);
        self.tickets[ticket].state = State::Running {
            endpoint,
            since_ms: now_ms,
        };
        Some(Ok(endpoint))
    }

    fn any_room(&self, now_ms: u64, class: Class) -> bool {
        let rollout = class.is_rollout();
        let mut open = self.seats.values().filter(|seat| seat.is_open(now_ms));
        let default = self.default_ms_per_token();
        open.any(|seat| seat.has_room(now_ms, rollout, default))
    }

    /// Marks the youngest rollouts in flight for cancellation, one for each waiting caller.
    fn preempt(&mut self) {
        while self.preempting < self.queue.len(Class::Caller) {
            let running = self
                .tickets
                .iter()
                .filter_map(|(key, held)| match held.state {
                    State::Running { endpoint, since_ms } if held.demand.class.is_rollout() => {
                        Some((since_ms, key, endpoint))
                    }
                    _ => None,
                });
            let Some((_, ticket, endpoint)) = running.max() else {
                return;
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

    fn standing(&self, now_ms: u64, demand: &Demand) -> Standing {
        let standing = demand
            .digest
            .map(|digest| self.suspects.standing(now_ms, digest));
        standing.unwrap_or(Standing::Clean)
    }

    fn choose(&mut self, now_ms: u64, demand: &Demand) -> Choice {
        let chooser = Chooser {
            seats: &self.seats,
            now_ms,
            default_ms_per_token: self.default_ms_per_token(),
        };
        chooser.choose(demand)
    }

    /// Reserves an endpoint for a suspect and starts it there once it is empty.
    fn start_solo(&mut self, now_ms: u64, ticket: TicketKey) -> Option<EndpointKey> {
        let held = self
            .seats
            .iter()
            .find(|(_, seat)| seat.reserved == Some(ticket));
        let endpoint = match held.map(|(key, _)| key) {
            Some(key) if self.seats[key].is_open(now_ms) => key,
            _ => self.reserve(now_ms, ticket)?,
        };
        if self.seats[endpoint].in_flight > 0 {
            return None;
        }
        self.occupy(now_ms, endpoint);
        self.tickets[ticket].state = State::Running {
            endpoint,
            since_ms: now_ms,
        };
        Some(endpoint)
    }

    fn reserve(&mut self, now_ms: u64, ticket: TicketKey) -> Option<EndpointKey> {
        self.unreserve(ticket);
        let digest = self.tickets[ticket].demand.digest?;
        let open = || self.seats.iter().filter(|(_, seat)| seat.is_open(now_ms));
        let reserved = open().filter(|(_, seat)| seat.reserved.is_some()).count();
        if reserved >= (open().count() / SOLO_DIVISOR).max(1) {
            return None;
        }
        let free = open().filter(|(_, seat)| seat.reserved.is_none());
        let (key, _) = free.min_by_key(|(_, seat)| {
            let struck = self.suspects.has_struck(digest, &seat.endpoint);
            (
                struck,
                !seat.owned,
                seat.in_flight + seat.peers(now_ms) as u32,
            )
        })?;
        self.seats[key].reserved = Some(ticket);
        Some(key)
    }

    /// Time for one token that an endpoint without measurement is given credit for, that
    /// of the fastest; 0 if none is measured.
    fn default_ms_per_token(&self) -> f64 {
        let measured = self.seats.values().map(|seat| seat.ms_per_token);
        let least = measured
            .filter(|&speed| speed > 0.0)
            .fold(f64::INFINITY, f64::min);
        match least {
            least if least.is_finite() => least,
            _ => 0.0,
        }
    }

    /// Time until the queue before a new request of a class is dispatched, in milliseconds.
    fn wait_ms(&self, now_ms: u64, class: Class) -> f64 {
        let default = self.default_ms_per_token();
        let open = self.seats.values().filter(|seat| seat.is_open(now_ms));
        let rates = open.map(|seat| match seat.best_speed(now_ms, default) {
            speed if speed > 0.0 => seat.share(now_ms) / speed,
            _ => 0.0,
        });
        let tokens_per_ms: f64 = rates.sum();
        match tokens_per_ms {
            rate if rate > 0.0 => self.queue.tokens(class) as f64 * self.token_share / rate,
            _ => 0.0,
        }
    }

    /// Expected time of a request on the fastest open endpoint, in milliseconds.
    fn service_ms(&self, now_ms: u64, demand: &Demand) -> f64 {
        let default = self.default_ms_per_token();
        let open = self.seats.values().filter(|seat| seat.is_open(now_ms));
        let fastest = open
            .map(|seat| seat.speed(now_ms, default))
            .fold(f64::INFINITY, f64::min);
        match fastest {
            speed if speed.is_finite() => f64::from(demand.cost_tokens) * self.token_share * speed,
            _ => 0.0,
        }
    }

    fn is_hopeless(&self, now_ms: u64, demand: &Demand, wait_ms: f64) -> bool {
        let expected_ms = wait_ms + self.service_ms(now_ms, demand);
        now_ms as f64 + expected_ms >= demand.deadline_ms as f64
    }

    fn refusal(&self, now_ms: u64, reason: Reason, demand: &Demand) -> Refusal {
        let allowed_ms = demand.deadline_ms.saturating_sub(now_ms) as f64;
        let wait_ms = self.wait_ms(now_ms, demand.class);
        let retry_after_ms = match reason {
            Reason::NoEndpoint => DEFAULT_RETRY_AFTER_MS,
            Reason::Quarantined => QUARANTINE_RETRY_AFTER_MS,
            Reason::QueueFull => wait_ms as u64,
            Reason::Deadline => {
                (wait_ms + self.service_ms(now_ms, demand) - allowed_ms).max(0.0) as u64
            }
        };
        Refusal {
            reason,
            retry_after_ms: match reason {
                Reason::Quarantined => retry_after_ms,
                _ => retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
            },
        }
    }
}
