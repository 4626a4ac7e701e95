//! Selection of an endpoint for one request.

use slotmap::SlotMap;
use wisteriapoint_types::hash64;

use crate::{Demand, EndpointKey, EndpointState};

/// Factor on the expected service time when it is compared with the deadline.
const DEADLINE_MARGIN: f64 = 1.1;
/// Candidates whose expected time per token is within this factor of the lowest are chosen in
/// turn, the least recently used first.
const TIE_RATIO: f64 = 1.1;
/// Candidates whose expected time per token is within this factor of the lowest may be chosen
/// for their prefix cache.
const AFFINITY_RATIO: f64 = 1.5;

/// Result of endpoint selection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Choice {
    Dispatch(EndpointKey),
    /// No endpoint has capacity, or those that have it would miss the deadline while a busy
    /// one could meet it.
    Wait,
}

/// State of the pool that selection reads.
pub(crate) struct Chooser<'a> {
    pub(crate) endpoints: &'a SlotMap<EndpointKey, EndpointState>,
    pub(crate) now_ms: u64,
    pub(crate) default_ms_per_token: f64,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: EndpointKey,
    /// Bit set of [`AVOIDED_DOMAIN`], [`AVOIDED_ENDPOINT`] and [`MISSES_DEADLINE`]; lower is
    /// better.
    penalty: u8,
    /// Expected milliseconds per token; lower is better.
    loaded_ms_per_token: f64,
}

impl Chooser<'_> {
    /// Selects an endpoint among those with capacity and the lowest penalty.
    pub(crate) fn choose(&self, demand: &Demand) -> Choice {
        let candidates = self.candidates(demand);
        let Some(first) = candidates.first() else {
            return Choice::Wait;
        };
        if first.penalty & MISSES_DEADLINE != 0 && self.could_meet_deadline(demand) {
            return Choice::Wait;
        }
        match self.best(&candidates, demand.prefix) {
            Some(key) => Choice::Dispatch(key),
            None => Choice::Wait,
        }
    }

    /// Returns the endpoints with capacity that share the lowest penalty.
    fn candidates(&self, demand: &Demand) -> Vec<Candidate> {
        let rollout = demand.class.is_rollout();
        let mut best = u8::MAX;
        let mut candidates = Vec::new();
        for (key, state) in self.endpoints {
            if !state.is_available(self.now_ms)
                || !state.has_capacity(self.now_ms, rollout, self.default_ms_per_token)
            {
                continue;
            }
            let penalty = self.penalty(key, state, demand);
            if penalty < best {
                best = penalty;
                candidates.clear();
            }
            if penalty == best {
                let loaded_ms_per_token =
                    state.loaded_ms_per_token(self.now_ms, self.default_ms_per_token);
                candidates.push(Candidate {
                    key,
                    penalty,
                    loaded_ms_per_token,
                });
            }
        }
        candidates
    }

    fn penalty(&self, key: EndpointKey, state: &EndpointState, demand: &Demand) -> u8 {
        let mut penalty = 0;
        if demand.avoided_domain.as_ref() == Some(&state.failure_domain) {
            penalty |= AVOIDED_DOMAIN;
        }
        if demand.avoided_endpoints.contains(&key) {
            penalty |= AVOIDED_ENDPOINT;
        }
        if self.misses_deadline(state, demand) {
            penalty |= MISSES_DEADLINE;
        }
        penalty
    }

    fn misses_deadline(&self, state: &EndpointState, demand: &Demand) -> bool {
        let service_ms = f64::from(demand.max_tokens)
            * state.unloaded_ms_per_token(self.now_ms, self.default_ms_per_token);
        self.now_ms as f64 + service_ms * DEADLINE_MARGIN > demand.deadline_ms as f64
    }

    /// Returns `true` if some available endpoint, busy or not, could meet the deadline.
    fn could_meet_deadline(&self, demand: &Demand) -> bool {
        let mut available = self
            .endpoints
            .values()
            .filter(|state| state.is_available(self.now_ms));
        available.any(|state| !self.misses_deadline(state, demand))
    }

    /// Returns the candidate to use among those close to the lowest expected time: with a
    /// prompt prefix, the first by rendezvous hash; without one, the least recently used.
    fn best(&self, candidates: &[Candidate], prefix: Option<u64>) -> Option<EndpointKey> {
        let times = candidates
            .iter()
            .map(|candidate| candidate.loaded_ms_per_token);
        let least = times.fold(f64::INFINITY, f64::min);
        let within = |ratio: f64| {
            let bound = least * ratio;
            candidates
                .iter()
                .filter(move |c| c.loaded_ms_per_token <= bound)
                .map(|c| c.key)
        };
        match prefix {
            Some(prefix) => within(AFFINITY_RATIO)
                .max_by_key(|&key| hash64(self.endpoints[key].hash, &prefix.to_le_bytes())),
            None => within(TIE_RATIO).min_by_key(|&key| self.endpoints[key].last_dispatch),
        }
    }
}

const AVOIDED_DOMAIN: u8 = 1;
const AVOIDED_ENDPOINT: u8 = 2;
const MISSES_DEADLINE: u8 = 4;
