//! Choice of an endpoint for one request.

use slotmap::SlotMap;
use wisteriapoint_types::hash64;

use crate::{Demand, EndpointKey, EndpointState};

/// Safety of the expected time of an answer against its deadline.
const LATE_MARGIN: f64 = 1.1;
/// How much worse than the best an endpoint may be to be chosen in its turn.
const NEAR_RATIO: f64 = 1.1;
/// How much worse than the best an endpoint may be to be chosen for its prefix cache.
const AFFINITY_RATIO: f64 = 1.5;

/// What the endpoints can do for a request now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Choice {
    /// This endpoint.
    Take(EndpointKey),
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
    tier: u8,
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
        if first.tier & LATE != 0 && self.could_be_in_time(demand) {
            return Choice::Wait;
        }
        match self.best(&candidates, demand.prefix) {
            Some(key) => Choice::Take(key),
            None => Choice::Wait,
        }
    }

    /// The candidates of the best tier.
    fn candidates(&self, demand: &Demand) -> Vec<Candidate> {
        let rollout = demand.class.is_rollout();
        let mut best = u8::MAX;
        let mut candidates = Vec::new();
        for (key, state) in self.endpoints {
            if !state.is_open(self.now_ms)
                || !state.has_room(self.now_ms, rollout, self.default_ms_per_token)
            {
                continue;
            }
            let tier = self.tier(key, state, demand);
            if tier < best {
                best = tier;
                candidates.clear();
            }
            if tier == best {
                let score = state.score(self.now_ms, self.default_ms_per_token);
                candidates.push(Candidate { key, tier, score });
            }
        }
        candidates
    }

    fn tier(&self, key: EndpointKey, state: &EndpointState, demand: &Demand) -> u8 {
        let mut tier = 0;
        if demand.avoid.as_ref() == Some(&state.failure_domain) {
            tier |= AVOIDED;
        }
        if demand.tried.contains(&key) {
            tier |= TRIED;
        }
        if self.is_late(state, demand) {
            tier |= LATE;
        }
        tier
    }

    fn is_late(&self, state: &EndpointState, demand: &Demand) -> bool {
        let service_ms = f64::from(demand.cost_tokens)
            * state.best_speed(self.now_ms, self.default_ms_per_token);
        self.now_ms as f64 + service_ms * LATE_MARGIN > demand.deadline_ms as f64
    }

    /// Whether an endpoint without room would still be in time.
    fn could_be_in_time(&self, demand: &Demand) -> bool {
        let mut open = self
            .endpoints
            .values()
            .filter(|state| state.is_open(self.now_ms));
        open.any(|state| !self.is_late(state, demand))
    }

    /// Among the candidates that are nearly as good as the best, the one that a prompt's
    /// beginning leads to, or else the one that has waited longest for a request.
    fn best(&self, candidates: &[Candidate], prefix: Option<u64>) -> Option<EndpointKey> {
        let scores = candidates.iter().map(|candidate| candidate.score);
        let least = scores.fold(f64::INFINITY, f64::min);
        let near = |ratio: f64| {
            let bound = least * ratio;
            candidates
                .iter()
                .filter(move |c| c.score <= bound)
                .map(|c| c.key)
        };
        match prefix {
            Some(prefix) => near(AFFINITY_RATIO)
                .max_by_key(|&key| hash64(self.endpoints[key].hash, &prefix.to_le_bytes())),
            None => near(NEAR_RATIO).min_by_key(|&key| self.endpoints[key].used_at),
        }
    }
}

const AVOIDED: u8 = 1;
const TRIED: u8 = 2;
const LATE: u8 = 4;
