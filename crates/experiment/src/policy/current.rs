//! Policy of the daemon, run on its own [`Pool`].

use std::collections::BTreeMap;

use slotmap::SecondaryMap;
use wisteriapoint_route::{
    Admission, Class, CrashReport, Demand, Dequeued, EndpointKey, EndpointState, Load, Outcome,
    Pool, Reason, Refusal, Subset, TicketKey,
};
use wisteriapoint_types::{EndpointName, FailureDomain};

use super::scenario::Kind;
use super::variant::{Action, AttemptOutcome, EndpointSpec, Policy, RequestInfo};

const QUEUE_LENGTH: usize = 64;

/// Adapter from the [`Pool`] of the daemon to [`Policy`].
#[derive(Debug)]
pub struct Current {
    pool: Pool,
    keys: Vec<Option<EndpointKey>>,
    indices: SecondaryMap<EndpointKey, usize>,
    tickets: BTreeMap<usize, TicketKey>,
    requests: SecondaryMap<TicketKey, usize>,
    now_ms: u64,
}

impl Current {
    /// Creates the variant with the endpoints that `subset` selects; `seed` determines its random
    /// choices.
    pub fn new(endpoint_specs: &[EndpointSpec], subset: &Subset, seed: u64) -> Self {
        let mut pool = Pool::new(QUEUE_LENGTH, seed);
        let names: Vec<EndpointName> = (0..endpoint_specs.len())
            .map(|index| EndpointName::new(format!("endpoint-{index}")))
            .collect();
        let selected = subset.select(&names.iter().collect::<Vec<_>>());
        let mut indices = SecondaryMap::new();
        let mut keys = Vec::new();
        for (index, (spec, name)) in endpoint_specs.iter().zip(&names).enumerate() {
            if !selected.contains(&name) {
                keys.push(None);
                continue;
            }
            let mut state =
                EndpointState::new(name.as_str(), &domain(spec.failure_domain), spec.slots);
            state.owned = subset.owns(name);
            let key = pool.insert(state);
            indices.insert(key, index);
            keys.push(Some(key));
        }
        Self {
            pool,
            keys,
            indices,
            tickets: BTreeMap::new(),
            requests: SecondaryMap::new(),
            now_ms: 0,
        }
    }

    fn collect_actions(&mut self, dequeued: Vec<Dequeued>) -> Vec<Action> {
        let mut actions = Vec::new();
        for Dequeued { ticket, endpoint } in dequeued {
            let Some(&request) = self.requests.get(ticket) else {
                continue;
            };
            actions.push(match endpoint {
                Ok(key) => Action::Dispatch {
                    request,
                    endpoint: self.indices[key],
                },
                Err(refusal) => {
                    self.remove_ticket(request);
                    refuse(request, refusal)
                }
            });
        }
        let preempted = self.pool.take_preempted();
        let request = |ticket| self.requests.get(ticket).copied();
        let cancels = preempted.into_iter().filter_map(request);
        actions.extend(cancels.map(|request| Action::Cancel { request }));
        actions
    }

    fn insert_ticket(&mut self, request: usize, ticket: TicketKey) {
        self.tickets.insert(request, ticket);
        self.requests.insert(ticket, request);
    }

    fn remove_ticket(&mut self, request: usize) -> Option<TicketKey> {
        let ticket = self.tickets.remove(&request)?;
        self.requests.remove(ticket);
        Some(ticket)
    }

    fn demand(&self, info: &RequestInfo) -> Demand {
        let class = match info.kind {
            Kind::Caller => Class::Caller,
            Kind::Rollout(trainer) => Class::Rollout { trainer },
        };
        Demand {
            class,
            max_tokens: info.max_tokens,
            prefix: info.prefix,
            digest: Some(info.digest),
            avoided_endpoints: info
                .avoided_endpoints
                .iter()
                .filter_map(|&index| self.keys[index])
                .collect(),
            avoided_domain: info
                .avoided_domain
                .map(|domain_index| FailureDomain::new(domain(domain_index))),
            ..Demand::caller(info.deadline_ms)
        }
    }
}

fn domain(index: usize) -> String {
    format!("failure-domain-{index}")
}

fn refuse(request: usize, refusal: Refusal) -> Action {
    let retry_after_ms = match refusal.reason {
        Reason::Quarantined => None,
        _ => Some(refusal.retry_after_ms),
    };
    Action::Refuse {
        request,
        retry_after_ms,
    }
}

impl Policy for Current {
    fn admit(&mut self, now_ms: u64, request: usize, info: &RequestInfo) -> Vec<Action> {
        self.now_ms = now_ms;
        let demand = self.demand(info);
        match self.pool.admit(now_ms, demand) {
            Admission::Dispatch(dispatch) => {
                self.insert_ticket(request, dispatch.ticket);
                let endpoint = self.indices[dispatch.endpoint];
                vec![Action::Dispatch { request, endpoint }]
            }
            Admission::Wait(ticket) => {
                self.insert_ticket(request, ticket);
                self.collect_actions(Vec::new())
            }
            Admission::Refuse(refusal) => vec![refuse(request, refusal)],
        }
    }

    fn finish(
        &mut self,
        now_ms: u64,
        request: usize,
        _: usize,
        outcome: AttemptOutcome,
    ) -> Vec<Action> {
        self.now_ms = now_ms;
        let outcome = match outcome {
            AttemptOutcome::Completed { elapsed_ms, tokens } => {
                Outcome::Completed { elapsed_ms, tokens }
            }
            AttemptOutcome::Refused => Outcome::Refused,
            AttemptOutcome::Unreachable => Outcome::Failed,
            AttemptOutcome::Crashed => Outcome::Crashed,
            AttemptOutcome::Cancelled => Outcome::Cancelled,
        };
        let Some(ticket) = self.remove_ticket(request) else {
            return Vec::new();
        };
        let dequeued = self.pool.finish(now_ms, ticket, outcome);
        self.collect_actions(dequeued)
    }

    fn dispatch_waiting(&mut self, now_ms: u64) -> Vec<Action> {
        self.now_ms = now_ms;
        let dequeued = self.pool.dispatch_waiting(now_ms);
        self.collect_actions(dequeued)
    }

    fn cancel_waiting(&mut self, request: usize) {
        if let Some(ticket) = self.remove_ticket(request) {
            self.pool.cancel_waiting(ticket);
        }
    }

    fn record_load(
        &mut self,
        at_ms: u64,
        now_ms: u64,
        endpoint: usize,
        running: u32,
        waiting: u32,
    ) {
        let load = Load {
            running,
            waiting,
            at_ms,
        };
        if let Some(key) = self.keys[endpoint] {
            self.pool.record_load(now_ms, key, load);
        }
    }

    fn set_leaving(&mut self, endpoint: usize) {
        let key = self.keys[endpoint];
        if let Some(state) = key.and_then(|key| self.pool.endpoint_mut(key)) {
            state.leaving = true;
        }
    }

    fn try_take_retry(&mut self) -> bool {
        self.pool.try_take_retry()
    }

    fn crash_reports(&self) -> Vec<CrashReport> {
        self.pool.crash_reports(self.now_ms)
    }

    fn apply_crash_reports(&mut self, now_ms: u64, reports: &[CrashReport]) {
        self.pool.apply_crash_reports(now_ms, reports);
    }
}
