//! Choice of an endpoint for one request.

use slotmap::SlotMap;
use wisteriapoint_types::hash64;

use crate::{Demand, EndpointKey, EndpointState};

/// Safety of the expected time of an answer against its deadline.
const DEADLINE_MARGIN: f64 = 1.1;
/// How much worse than the best an endpoint may be to be chosen in its turn.
const TIE_RATIO: f64 = 1.1;
/// How much worse than the best an endpoint may be to be chosen for its prefix cache.
const AFFINITY_RATIO: f64 = 1.5;

/// What the endpoints can do for a request now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Choice {
    /// This endpoint.
    Dispatch(EndpointKey),
    /// None has room, or only such that would answer too late.
    Wait,
}

/// State of the pool that a choice looks at.
pub(crate) struct Chooser<'a> {
    pub(crate) endpoints: &'a SlotMap<EndpointKey, EndpointState>,
    pub(crate) now_ms: u64,
    pub(crate) default_ms_per_token: f64,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: EndpointKey,
    penalty: u8,
    score: f64,
}

impl Chooser<'_> {
    /// Power of two choices among the best that have room; among those that are nearly as
    /// good, the one that a prompt's beginning leads to.
    pub(crate) fn choose(&self, demand: &Demand) -> Choice {
        let candidates = self.candidates(demand);
        let Some(first) = candidates.first() else {
            return Choice::Wait;
        };
        if first.penalty & LATE != 0 && self.could_meet_deadline(demand) {
            return Choice::Wait;
        }
        match self.best(&candidates, demand.prefix) {
            Some(key) => Choice::Dispatch(key),
            None => Choice::Wait,
        }
    }

    /// The candidates of the best penalty.
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
                let score = state.score(self.now_ms, self.default_ms_per_token);
                candidates.push(Candidate {
                    key,
                    penalty,
                    score,
                });
            }
        }
        candidates
    }

    fn penalty(&self, key: EndpointKey, state: &EndpointState, demand: &Demand) -> u8 {
        let mut penalty = 0;
        if demand.avoid.as_ref() == Some(&state.failure_domain) {
            penalty |= AVOIDED;
        }
        if demand.tried.contains(&key) {
            penalty |= TRIED;
        }
        if self.misses_deadline(state, demand) {
            penalty |= LATE;
        }
        penalty
    }

    fn misses_deadline(&self, state: &EndpointState, demand: &Demand) -> bool {
        let service_ms = f64::from(demand.cost_tokens)
            * state.unloaded_ms_per_token(self.now_ms, self.default_ms_per_token);
        self.now_ms as f64 + service_ms * DEADLINE_MARGIN > demand.deadline_ms as f64
    }

    /// Whether an endpoint without room would still be in time.
    fn could_meet_deadline(&self, demand: &Demand) -> bool {
        let mut available = self
            .endpoints
            .values()
            .filter(|state| state.is_available(self.now_ms));
        available.any(|state| !self.misses_deadline(state, demand))
    }

    /// Among the candidates that are nearly as good as the best, the one that a prompt's
    /// beginning leads to, or else the one that has waited longest for a request.
    fn best(&self, candidates: &[Candidate], prefix: Option<u64>) -> Option<EndpointKey> {
        let scores = candidates.iter().map(|candidate| candidate.score);
        let least = scores.fold(f64::INFINITY, f64::min);
        let within = |ratio: f64| {
            let bound = least * ratio;
            candidates
                .iter()
                .filter(move |c| c.score <= bound)
                .map(|c| c.key)
        };
        match prefix {
            Some(prefix) => within(AFFINITY_RATIO)
                .max_by_key(|&key| hash64(self.endpoints[key].hash, &prefix.to_le_bytes())),
            None => within(TIE_RATIO).min_by_key(|&key| self.endpoints[key].last_dispatch),
        }
    }
}

const AVOIDED: u8 = 1;
const TRIED: u8 = 2;
const LATE: u8 = 4;
