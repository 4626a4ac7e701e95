//! The endpoints of one service and the requests that wait for them.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;

use crate::queue::Queue;
use crate::{
    Admission, Class, Demand, EndpointKey, Load, Outcome, Reason, Refusal, Seat, TicketKey,
};

const EJECTION_MS: u64 = 1_000;
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;
const SPEED_SMOOTHING: f64 = 0.1;

/// A waiting request that may now be dispatched, or is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Woken {
    /// The request's ticket.
    pub ticket: TicketKey,
    /// The endpoint to dispatch to.
    pub endpoint: Result<EndpointKey, Refusal>,
}

/// The endpoints of one service, as one daemon uses them.
#[derive(Debug)]
pub struct Pool {
    seats: SlotMap<EndpointKey, Seat>,
    queue: Queue,
    queue_length: usize,
    random: SmallRng,
}

impl Pool {
    /// Makes a pool without endpoints; `seed` drives its random choices.
    pub fn new(queue_length: usize, seed: u64) -> Self {
        Self {
            seats: SlotMap::with_key(),
            queue: Queue::default(),
            queue_length,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets how many requests of a class may wait.
    pub fn set_queue_length(&mut self, queue_length: usize) {
        self.queue_length = queue_length;
    }

    /// Adds an endpoint.
    pub fn insert(&mut self, seat: Seat) -> EndpointKey {
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
    pub fn report(&mut self, key: EndpointKey, load: Load) {
        if let Some(seat) = self.seats.get_mut(key) {
            seat.load = load;
        }
    }

    /// Admits, queues or refuses a request.
    pub fn admit(&mut self, now_ms: u64, demand: Demand) -> Admission {
        if demand.deadline_ms <= now_ms {
            return refuse(Reason::Deadline);
        }
        if !self.seats.values().any(|seat| !seat.leaving) {
            return refuse(Reason::NoEndpoint);
        }
        match self.choose(now_ms, &demand) {
            Some(key) => Admission::Go(self.occupy(key)),
            None if self.queue.len(demand.class) >= self.queue_length => refuse(Reason::QueueFull),
            None => Admission::Wait(self.queue.push(demand)),
        }
    }

    /// Takes back a waiting request.
    pub fn withdraw(&mut self, ticket: TicketKey) {
        self.queue.remove(ticket);
    }

    /// Ends a dispatched request; gives the waiting ones that may now go.
    pub fn finish(&mut self, now_ms: u64, key: EndpointKey, outcome: Outcome) -> Vec<Woken> {
        if let Some(seat) = self.seats.get_mut(key) {
            seat.in_flight = seat.in_flight.saturating_sub(1);
            match outcome {
                Outcome::Answered { elapsed_ms, tokens } => learn_speed(seat, elapsed_ms, tokens),
                Outcome::Failed => seat.ejected_until_ms = now_ms + EJECTION_MS,
                Outcome::Refused | Outcome::Cancelled => {}
            }
        }
        self.wake(now_ms)
    }

    /// Gives the waiting requests that may go now; to be called when anything changed.
    pub fn wake(&mut self, now_ms: u64) -> Vec<Woken> {
        let mut woken = Vec::new();
        for ticket in self.queue.tickets() {
            let Some(demand) = self.queue.get(ticket).cloned() else {
                continue;
            };
            let endpoint = match self.choose(now_ms, &demand) {
                _ if demand.deadline_ms <= now_ms => Err(refusal(Reason::Deadline)),
                Some(key) => Ok(self.occupy(key)),
                None => continue,
            };
            self.queue.remove(ticket);
            woken.push(Woken { ticket, endpoint });
        }
        woken
    }

    /// Number of waiting requests of a class.
    pub fn waiting(&self, class: Class) -> usize {
        self.queue.len(class)
    }

    fn occupy(&mut self, key: EndpointKey) -> EndpointKey {
        if let Some(seat) = self.seats.get_mut(key) {
            seat.in_flight += 1;
        }
        key
    }

    /// Power of two choices among the open endpoints that have room.
    fn choose(&mut self, now_ms: u64, demand: &Demand) -> Option<EndpointKey> {
        let open: Vec<EndpointKey> = self
            .seats
            .iter()
            .filter(|(_, seat)| seat.is_open(now_ms) && seat.has_room())
            .map(|(key, _)| key)
            .collect();
        let untried: Vec<EndpointKey> = open
            .iter()
            .copied()
            .filter(|key| !demand.tried.contains(key))
            .collect();
        let elsewhere: Vec<EndpointKey> = untried
            .iter()
            .copied()
            .filter(|&key| demand.avoid.as_ref() != Some(&self.seats[key].failure_domain))
            .collect();
        let candidates = [elsewhere, untried, open]
            .into_iter()
            .find(|keys| !keys.is_empty())?;
        let first = candidates[self.random.random_range(0..candidates.len())];
        let second = candidates[self.random.random_range(0..candidates.len())];
        let better = self.seats[second].score() < self.seats[first].score();
        Some(if better { second } else { first })
    }
}

fn learn_speed(seat: &mut Seat, elapsed_ms: u64, tokens: u32) {
    let sample = elapsed_ms.max(1) as f64 / f64::from(tokens.max(1));
    seat.ms_per_token = match seat.ms_per_token {
        known if known > 0.0 => known + SPEED_SMOOTHING * (sample - known),
        _ => sample,
    };
}

fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after_ms: DEFAULT_RETRY_AFTER_MS,
    }
}

fn refuse(reason: Reason) -> Admission {
    Admission::Refuse(refusal(reason))
}
