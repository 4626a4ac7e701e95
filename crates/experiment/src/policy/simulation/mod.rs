//! Discrete-event simulation of requests, endpoints, load reports and faults.

mod arrivals;
mod faults;

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use wisteriapoint_types::Digest;

use crate::policy::endpoint::{Attempt, Endpoint};
use crate::policy::request::{Request, State};
use crate::policy::scenario::{Fault, Group, Kind, Scenario, Stream};
use crate::policy::variant::{Action, AttemptOutcome, EndpointSpec, Policy, RequestInfo};

const MAX_ATTEMPTS: u32 = 3;
const DISPATCH_INTERVAL_MS: u64 = 50;
const GOSSIP_INTERVAL_MS: u64 = 1_000;
const FAILURE_DELAY_MS: u64 = 1;
const CRASH_DELAY_MS: u64 = 50;
const RESEND_DELAY_MS: u64 = 1_000;
/// Time after the end of arrivals in which requests may still finish, in milliseconds.
const TAIL_MS: u64 = 30_000;

#[derive(Debug, Clone)]
enum Event {
    Arrive(usize),
    GenerateArrival(usize),
    Completed(Attempt),
    CrashByRequest(Attempt),
    Failed(Attempt, AttemptOutcome),
    Expire(usize),
    DispatchWaiting,
    Gossip,
    SendReport(usize),
    ReceiveReport {
        endpoint: usize,
        running: u32,
        waiting: u32,
        leaving: bool,
    },
    Fault(usize),
    Recover(usize),
    Terminate(usize),
    EndCut,
}

/// State of one run of one variant.
pub(crate) struct Simulation<'a, P> {
    scenario: &'a Scenario,
    policies: Vec<P>,
    endpoints: Vec<Endpoint>,
    pub(crate) requests: Vec<Request>,
    events: BTreeMap<(u64, u64), Event>,
    next_arrival_ms: Vec<f64>,
    sequence: u64,
    now_ms: u64,
    arrival_rng: SmallRng,
    rng: SmallRng,
    unreachable_domain: Option<usize>,
    pub(crate) crashed_by_request: u64,
    pub(crate) prefix_lookups: u64,
    pub(crate) prefix_hits: u64,
}

/// Returns the endpoints of a scenario in the order of their indices.
pub(crate) fn endpoint_specs(scenario: &Scenario) -> Vec<EndpointSpec> {
    let groups = scenario.endpoints.iter();
    let all = groups.flat_map(|group| std::iter::repeat_n(group, group.count));
    let numbered = all.enumerate();
    let spec = |(index, group): (usize, &Group)| EndpointSpec {
        failure_domain: index % 3,
        slots: group.slots,
        ms_per_token: group.ms_per_token,
    };
    numbered.map(spec).collect()
}

impl<'a, P: Policy> Simulation<'a, P> {
    pub(crate) fn new(scenario: &'a Scenario, seed: u64, policies: Vec<P>) -> Self {
        let endpoint =
            |spec: EndpointSpec| Endpoint::new(spec.failure_domain, spec.slots, spec.ms_per_token);
        Self {
            scenario,
            policies,
            endpoints: endpoint_specs(scenario).into_iter().map(endpoint).collect(),
            requests: Vec::new(),
            events: BTreeMap::new(),
            next_arrival_ms: vec![0.0; scenario.streams.len()],
            sequence: 0,
            now_ms: 0,
            arrival_rng: SmallRng::seed_from_u64(seed),
            rng: SmallRng::seed_from_u64(!seed),
            unreachable_domain: None,
            crashed_by_request: 0,
            prefix_lookups: 0,
            prefix_hits: 0,
        }
    }

    /// Processes events until `TAIL_MS` after the end of arrivals.
    pub(crate) fn run(&mut self) {
        self.schedule_initial_events();
        let end_ms = self.scenario.duration_ms + TAIL_MS;
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
    }

    fn schedule_initial_events(&mut self) {
        for stream in 0..self.scenario.streams.len() {
            self.schedule_at(
                self.scenario.streams[stream].from_ms,
                Event::GenerateArrival(stream),
            );
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.schedule_at(fault.at_ms(), Event::Fault(index));
        }
        for endpoint in 0..self.endpoints.len() {
            let offset = self.rng.random_range(0..self.scenario.reports.interval_ms);
            self.schedule_at(offset, Event::SendReport(endpoint));
        }
        self.schedule_at(DISPATCH_INTERVAL_MS, Event::DispatchWaiting);
        self.schedule_at(GOSSIP_INTERVAL_MS, Event::Gossip);
    }

    fn schedule_at(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_ms, self.sequence), event);
    }

    fn schedule_after(&mut self, delay_ms: u64, event: Event) {
        self.schedule_at(self.now_ms + delay_ms, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::GenerateArrival(stream) => self.generate_arrival(stream),
            Event::Arrive(request) => self.arrive(request),
            Event::Completed(attempt) => self.complete(attempt),
            Event::CrashByRequest(attempt) => self.crash_by_request(attempt),
            Event::Failed(attempt, outcome) => self.handle_failure(attempt, outcome),
            Event::Expire(request) => self.expire(request),
            Event::DispatchWaiting => self.dispatch_waiting(),
            Event::Gossip => self.gossip(),
            Event::SendReport(endpoint) => self.send_load_report(endpoint),
            Event::ReceiveReport {
                endpoint,
                running,
                waiting,
                leaving,
            } => {
                self.receive_load_report(endpoint, running, waiting, leaving);
            }
            Event::Fault(index) => self.inject_fault(index),
            Event::Recover(endpoint) => self.endpoints[endpoint].up = true,
            Event::Terminate(endpoint) => self.crash(endpoint),
            Event::EndCut => self.unreachable_domain = None,
        }
    }

    fn arrive(&mut self, index: usize) {
        if self.requests[index].state != State::Open {
            return;
        }
        let daemon = self.rng.random_range(0..self.policies.len());
        let request = &mut self.requests[index];
        request.daemon = daemon;
        request.avoided_endpoints.clear();
        request.avoided_domain = None;
        request.attempts_left = MAX_ATTEMPTS;
        self.admit(index);
    }

    fn admit(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.queued = true;
        let info: RequestInfo = request.info();
        let actions = self.policies[request.daemon].admit(self.now_ms, index, &info);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { request, endpoint } => self.dispatch(request, endpoint),
                Action::Refuse {
                    request,
                    retry_after_ms,
                } => self.refuse(request, retry_after_ms),
                Action::Cancel { request } => self.preempt(request),
            }
        }
    }

    fn dispatch(&mut self, index: usize, target: usize) {
        let request = &mut self.requests[index];
        request.queued = false;
        request.endpoint = Some(target);
        request.attempt += 1;
        request.dispatched_ms = self.now_ms;
        request.attempts_left = request.attempts_left.saturating_sub(1);
        let attempt = Attempt {
            request: index,
            number: request.attempt,
        };
        let in_cut_half = request.daemon >= self.policies.len().div_ceil(2);
        let is_caller = request.kind == Kind::Caller;
        let endpoint = &mut self.endpoints[target];
        let reachable = self.unreachable_domain != Some(endpoint.failure_domain) || !in_cut_half;
        match endpoint {
            endpoint if !endpoint.up || !reachable => {
                self.schedule_after(
                    FAILURE_DELAY_MS,
                    Event::Failed(attempt, AttemptOutcome::Unreachable),
                );
            }
            endpoint if endpoint.leaving => {
                self.schedule_after(
                    FAILURE_DELAY_MS,
                    Event::Failed(attempt, AttemptOutcome::Refused),
                );
            }
            endpoint => {
                endpoint.enqueue(attempt, is_caller);
                self.start_queued(target);
            }
        }
    }

    fn start_queued(&mut self, target: usize) {
        while let Some(attempt) = self.endpoints[target].start_next() {
            let request = &self.requests[attempt.request];
            let mut cost = f64::from(request.tokens);
            if let Some(prefix) = request.prefix {
                self.prefix_lookups += 1;
                match self.endpoints[target].lookup_prefix(prefix) {
                    true => self.prefix_hits += 1,
                    false => cost += f64::from(request.prefill_tokens),
                }
            }
            let crashes_endpoint = request.crashes_endpoint;
            let service_ms = (cost * self.endpoints[target].ms_per_token).max(1.0) as u64;
            match crashes_endpoint {
                true => self.schedule_after(CRASH_DELAY_MS, Event::CrashByRequest(attempt)),
                false => self.schedule_after(service_ms, Event::Completed(attempt)),
            }
        }
    }

    fn is_current(&self, attempt: Attempt) -> bool {
        let request = &self.requests[attempt.request];
        request.attempt == attempt.number && request.endpoint.is_some()
    }

    fn complete(&mut self, attempt: Attempt) {
        let Some(target) = self.current_endpoint(attempt) else {
            return;
        };
        self.endpoints[target].remove(attempt);
        let request = &mut self.requests[attempt.request];
        request.state = State::Answered { at_ms: self.now_ms };
        let elapsed_ms = self.now_ms - request.dispatched_ms;
        let tokens = request.tokens;
        self.finish_attempt(
            attempt.request,
            AttemptOutcome::Completed { elapsed_ms, tokens },
        );
        self.start_queued(target);
    }

    fn current_endpoint(&self, attempt: Attempt) -> Option<usize> {
        match self.is_current(attempt) {
            true => self.requests[attempt.request].endpoint,
            false => None,
        }
    }

    /// Passes the outcome of the current attempt to its daemon.
    fn finish_attempt(&mut self, index: usize, outcome: AttemptOutcome) {
        let request = &mut self.requests[index];
        let daemon = request.daemon;
        if let Some(endpoint) = request.endpoint.take() {
            let actions = self.policies[daemon].finish(self.now_ms, index, endpoint, outcome);
            self.execute(actions);
        }
    }

    fn handle_failure(&mut self, attempt: Attempt, outcome: AttemptOutcome) {
        let Some(target) = self.current_endpoint(attempt) else {
            return;
        };
        self.finish_attempt(attempt.request, outcome);
        let failure_domain = self.endpoints[target].failure_domain;
        let request = &mut self.requests[attempt.request];
        if request.state != State::Open {
            return;
        }
        request.avoided_endpoints.push(target);
        request.avoided_domain = Some(failure_domain);
        let daemon = request.daemon;
        let is_rollout = request.kind != Kind::Caller;
        let has_attempts_left = request.attempts_left > 0;
        match outcome {
            AttemptOutcome::Refused => {
                request.attempts_left += 1;
                self.admit(attempt.request);
            }
            _ if has_attempts_left && self.policies[daemon].try_take_retry() => {
                self.admit(attempt.request)
            }
            _ if is_rollout => self.schedule_after(RESEND_DELAY_MS, Event::Arrive(attempt.request)),
            _ => self.refuse(attempt.request, Some(RESEND_DELAY_MS)),
        }
    }

    /// Returns an error to the caller, which sends the request again if it has resends left.
    ///
    /// Rollouts are always sent again, unless they are quarantined without resends.
    fn refuse(&mut self, index: usize, retry_after_ms: Option<u64>) {
        let jitter_ms = self.rng.random_range(0..100);
        let request = &mut self.requests[index];
        request.queued = false;
        request.refused = true;
        let is_rollout = request.kind != Kind::Caller;
        let delay_ms = retry_after_ms.unwrap_or(RESEND_DELAY_MS) + jitter_ms;
        match retry_after_ms {
            None if request.resends == 0 => request.state = State::Quarantined,
            _ if is_rollout => self.schedule_after(delay_ms, Event::Arrive(index)),
            _ if request.resends == 0 => request.state = State::Refused,
            _ => {
                request.resends -= 1;
                self.schedule_after(delay_ms, Event::Arrive(index));
            }
        }
    }

    fn preempt(&mut self, index: usize) {
        self.cancel(index);
        self.requests[index].preempted += 1;
        self.arrive(index);
    }

    /// Cancels the running attempt of a request or removes the request from the queue.
    fn cancel(&mut self, index: usize) {
        let request = &self.requests[index];
        let attempt = Attempt {
            request: index,
            number: request.attempt,
        };
        match request.endpoint {
            Some(target) => {
                self.endpoints[target].remove(attempt);
                self.finish_attempt(index, AttemptOutcome::Cancelled);
                self.start_queued(target);
            }
            None if request.queued => self.policies[request.daemon].cancel_waiting(index),
            None => {}
        }
    }

    fn expire(&mut self, index: usize) {
        if self.requests[index].state != State::Open {
            return;
        }
        self.requests[index].state = State::Missed;
        self.cancel(index);
    }

    fn dispatch_waiting(&mut self) {
        for daemon in 0..self.policies.len() {
            let actions = self.policies[daemon].dispatch_waiting(self.now_ms);
            self.execute(actions);
        }
        self.schedule_after(DISPATCH_INTERVAL_MS, Event::DispatchWaiting);
    }
}
