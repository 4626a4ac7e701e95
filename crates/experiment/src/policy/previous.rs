//! First version of the policy: power of two choices, fixed limits and a FIFO queue.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use wisteriapoint_route::CrashReport;

use super::scenario::Kind;
use super::variant::{Action, AttemptOutcome, EndpointSpec, Policy, RequestInfo};

const QUEUE_LENGTH: usize = 64;
const PAUSE_MS: u64 = 1_000;
const RETRY_AFTER_MS: u64 = 1_000;
const SMOOTHING: f64 = 0.1;

#[derive(Debug, Clone, Copy)]
struct EndpointState {
    failure_domain: usize,
    slots: u32,
    in_flight: u32,
    reported: u32,
    paused_until_ms: u64,
    ms_per_token: f64,
    leaving: bool,
}

/// Copy of the first version of the policy, kept unchanged for comparison.
#[derive(Debug)]
pub struct Previous {
    endpoints: Vec<EndpointState>,
    queue: BTreeMap<(bool, u64), (usize, RequestInfo)>,
    sequence: u64,
    random: SmallRng,
}

impl Previous {
    /// Creates the variant; `seed` determines its random choices.
    pub fn new(endpoint_specs: &[EndpointSpec], seed: u64) -> Self {
        let state = |spec: &EndpointSpec| EndpointState {
            failure_domain: spec.failure_domain,
            slots: spec.slots,
            in_flight: 0,
            reported: 0,
            paused_until_ms: 0,
            ms_per_token: 0.0,
            leaving: false,
        };
        Self {
            endpoints: endpoint_specs.iter().map(state).collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    fn choose(&mut self, now_ms: u64, info: &RequestInfo) -> Option<usize> {
        let endpoints = &self.endpoints;
        let is_available = |state: &EndpointState| {
            !state.leaving && state.paused_until_ms <= now_ms && state.in_flight < state.slots
        };
        let available: Vec<usize> = (0..endpoints.len())
            .filter(|&i| is_available(&endpoints[i]))
            .collect();
        let untried = available
            .iter()
            .copied()
            .filter(|i| !info.avoided_endpoints.contains(i));
        let untried: Vec<usize> = untried.collect();
        let other_domains = untried.iter().copied();
        let other_domains =
            other_domains.filter(|&i| Some(endpoints[i].failure_domain) != info.avoided_domain);
        let candidates = [other_domains.collect(), untried, available]
            .into_iter()
            .find(|indices: &Vec<usize>| !indices.is_empty())?;
        let first = candidates[self.random.random_range(0..candidates.len())];
        let second = candidates[self.random.random_range(0..candidates.len())];
        let better = score(&self.endpoints[second]) < score(&self.endpoints[first]);
        Some(if better { second } else { first })
    }

    fn try_dispatch(&mut self, now_ms: u64, request: usize, info: &RequestInfo) -> Option<Action> {
        let endpoint = self.choose(now_ms, info)?;
        self.endpoints[endpoint].in_flight += 1;
        Some(Action::Dispatch { request, endpoint })
    }
}

impl Policy for Previous {
    fn admit(&mut self, now_ms: u64, request: usize, info: &RequestInfo) -> Vec<Action> {
        let is_rollout = info.kind != Kind::Caller;
        let waiting = self
            .queue
            .range((is_rollout, 0)..=(is_rollout, u64::MAX))
            .count();
        if let Some(action) = self.try_dispatch(now_ms, request, info) {
            return vec![action];
        }
        if waiting >= QUEUE_LENGTH {
            let retry_after_ms = Some(RETRY_AFTER_MS);
            return vec![Action::Refuse {
                request,
                retry_after_ms,
            }];
        }
        self.sequence += 1;
        self.queue
            .insert((is_rollout, self.sequence), (request, info.clone()));
        Vec::new()
    }

    fn finish(
        &mut self,
        now_ms: u64,
        _: usize,
        endpoint: usize,
        outcome: AttemptOutcome,
    ) -> Vec<Action> {
        let state = &mut self.endpoints[endpoint];
        state.in_flight = state.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Completed { elapsed_ms, tokens } => {
                let sample = elapsed_ms.max(1) as f64 / f64::from(tokens.max(1));
                state.ms_per_token = match state.ms_per_token {
                    mean if mean > 0.0 => mean + SMOOTHING * (sample - mean),
                    _ => sample,
                };
            }
            AttemptOutcome::Unreachable | AttemptOutcome::Crashed => {
                state.paused_until_ms = now_ms + PAUSE_MS
            }
            AttemptOutcome::Refused | AttemptOutcome::Cancelled => {}
        }
        self.dispatch_waiting(now_ms)
    }

    fn dispatch_waiting(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        let keys: Vec<(bool, u64)> = self.queue.keys().copied().collect();
        for key in keys {
            let Some((request, info)) = self.queue.get(&key).cloned() else {
                continue;
            };
            let Some(action) = self.try_dispatch(now_ms, request, &info) else {
                continue;
            };
            self.queue.remove(&key);
            actions.push(action);
        }
        actions
    }

    fn cancel_waiting(&mut self, request: usize) {
        self.queue.retain(|_, (waiting, _)| *waiting != request);
    }

    fn record_load(&mut self, _: u64, _: u64, endpoint: usize, running: u32, waiting: u32) {
        self.endpoints[endpoint].reported = running + waiting;
    }

    fn set_leaving(&mut self, endpoint: usize) {
        self.endpoints[endpoint].leaving = true;
    }

    fn try_take_retry(&mut self) -> bool {
        true
    }

    fn crash_reports(&self) -> Vec<CrashReport> {
        Vec::new()
    }

    fn apply_crash_reports(&mut self, _now_ms: u64, _reports: &[CrashReport]) {}
}

fn score(state: &EndpointState) -> f64 {
    let queued = f64::from(state.in_flight.max(state.reported));
    let ms_per_token = match state.ms_per_token {
        mean if mean > 0.0 => mean,
        _ => 1.0,
    };
    (queued + 1.0) * ms_per_token
}
