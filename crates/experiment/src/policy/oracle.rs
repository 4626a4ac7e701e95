//! Oracle variant: exact load and speed of all endpoints and one queue ordered by deadline.

use std::collections::BTreeMap;

use wisteriapoint_route::CrashReport;

use super::scenario::Kind;
use super::variant::{Action, AttemptOutcome, EndpointSpec, Policy, RequestInfo};

/// Single policy instance that serves the requests of all daemons.
#[derive(Debug)]
pub struct Oracle {
    endpoint_specs: Vec<EndpointSpec>,
    free_slots: Vec<u32>,
    paused_until_ms: Vec<u64>,
    queue: BTreeMap<(bool, u64, usize), RequestInfo>,
}

const PAUSE_MS: u64 = 1_000;

impl Oracle {
    /// Creates the variant with all slots free.
    pub fn new(endpoint_specs: &[EndpointSpec]) -> Self {
        Self {
            endpoint_specs: endpoint_specs.to_vec(),
            free_slots: endpoint_specs.iter().map(|spec| spec.slots).collect(),
            paused_until_ms: vec![0; endpoint_specs.len()],
            queue: BTreeMap::new(),
        }
    }

    /// Returns the fastest endpoint with a free slot that can finish before the deadline.
    fn choose(&self, now_ms: u64, info: &RequestInfo) -> Option<usize> {
        let in_time = |index: &usize| {
            let service_ms = f64::from(info.true_tokens) * self.endpoint_specs[*index].ms_per_token;
            now_ms as f64 + service_ms <= info.deadline_ms as f64
        };
        (0..self.endpoint_specs.len())
            .filter(|&index| self.free_slots[index] > 0 && self.paused_until_ms[index] <= now_ms)
            .filter(in_time)
            .min_by(|&a, &b| {
                let ms_per_token = |index: usize| self.endpoint_specs[index].ms_per_token;
                ms_per_token(a).total_cmp(&ms_per_token(b))
            })
    }
}

impl Policy for Oracle {
    fn admit(&mut self, now_ms: u64, request: usize, info: &RequestInfo) -> Vec<Action> {
        let key = (info.kind != Kind::Caller, info.deadline_ms, request);
        self.queue.insert(key, info.clone());
        self.dispatch_waiting(now_ms)
    }

    fn finish(
        &mut self,
        now_ms: u64,
        _: usize,
        endpoint: usize,
        outcome: AttemptOutcome,
    ) -> Vec<Action> {
        self.free_slots[endpoint] += 1;
        match outcome {
            AttemptOutcome::Unreachable | AttemptOutcome::Crashed => {
                self.paused_until_ms[endpoint] = now_ms + PAUSE_MS;
            }
            AttemptOutcome::Completed { .. }
            | AttemptOutcome::Refused
            | AttemptOutcome::Cancelled => {}
        }
        self.dispatch_waiting(now_ms)
    }

    fn dispatch_waiting(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        let waiting: Vec<_> = self.queue.keys().copied().collect();
        for key in waiting {
            if self.free_slots.iter().all(|&free| free == 0) {
                break;
            }
            let (_, _, request) = key;
            if let Some(endpoint) = self.choose(now_ms, &self.queue[&key]) {
                self.queue.remove(&key);
                self.free_slots[endpoint] -= 1;
                actions.push(Action::Dispatch { request, endpoint });
            }
        }
        actions
    }

    fn cancel_waiting(&mut self, request: usize) {
        self.queue.retain(|&(_, _, waiting), _| waiting != request);
    }

    fn record_load(&mut self, _: u64, _: u64, _: usize, _: u32, _: u32) {}

    fn set_leaving(&mut self, endpoint: usize) {
        self.paused_until_ms[endpoint] = u64::MAX;
    }

    fn try_take_retry(&mut self) -> bool {
        true
    }

    fn crash_reports(&self) -> Vec<CrashReport> {
        Vec::new()
    }

    fn apply_crash_reports(&mut self, _now_ms: u64, _reports: &[CrashReport]) {}
}
