//! The policy that the daemon uses.

use std::collections::BTreeMap;

use slotmap::SecondaryMap;
use wisteriapoint_route::{
    Admission, Class, CrashReport, Demand, Dequeued, EndpointKey, EndpointState, Load, Outcome,
    Pool, Reason, Refusal, Subset, TicketKey,
};
use wisteriapoint_types::{EndpointName, FailureDomain};

use super::scenario::Kind;
use super::variant::{Ask, End, Order, Place, Policy};

const QUEUE_LENGTH: usize = 64;

/// A real pool.
#[derive(Debug)]
pub struct Now {
    pool: Pool,
    keys: Vec<Option<EndpointKey>>,
    indices: SecondaryMap<EndpointKey, usize>,
    tickets: BTreeMap<usize, TicketKey>,
    requests: SecondaryMap<TicketKey, usize>,
    now_ms: u64,
}

impl Now {
    /// Makes the variant.
    pub fn new(places: &[Place], subset: &Subset, seed: u64) -> Self {
        let mut pool = Pool::new(QUEUE_LENGTH, seed);
        let names: Vec<EndpointName> = (0..places.len())
            .map(|index| EndpointName::new(format!("endpoint-{index}")))
            .collect();
        let used = subset.select(&names.iter().collect::<Vec<_>>());
        let mut indices = SecondaryMap::new();
        let mut keys = Vec::new();
        for (index, (place, name)) in places.iter().zip(&names).enumerate() {
            if !used.contains(&name) {
                keys.push(None);
                continue;
            }
            let mut state =
                EndpointState::new(name.as_str(), &domain(place.failure_domain), place.slots);
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

    fn orders(&mut self, woken: Vec<Dequeued>) -> Vec<Order> {
        let mut orders = Vec::new();
        for Dequeued { ticket, endpoint } in woken {
            let Some(&request) = self.requests.get(ticket) else {
                continue;
            };
            orders.push(match endpoint {
                Ok(key) => Order::Dispatch {
                    request,
                    endpoint: self.indices[key],
                },
                Err(refusal) => {
                    self.forget(request);
                    refuse(request, refusal)
                }
            });
        }
        let preempted = self.pool.take_preempted();
        let request = |ticket| self.requests.get(ticket).copied();
        let cancels = preempted.into_iter().filter_map(request);
        orders.extend(cancels.map(|request| Order::Cancel { request }));
        orders
    }

    fn remember(&mut self, request: usize, ticket: TicketKey) {
        self.tickets.insert(request, ticket);
        self.requests.insert(ticket, request);
    }

    fn forget(&mut self, request: usize) -> Option<TicketKey> {
        let ticket = self.tickets.remove(&request)?;
        self.requests.remove(ticket);
        Some(ticket)
    }

    fn demand(&self, ask: &Ask) -> Demand {
        let class = match ask.kind {
            Kind::Caller => Class::Caller,
            Kind::Rollout(trainer) => Class::Rollout { trainer },
        };
        Demand {
            class,
            max_tokens: ask.cost_tokens,
            prefix: ask.prefix,
            digest: Some(ask.digest),
            avoided_endpoints: ask
                .tried
                .iter()
                .filter_map(|&index| self.keys[index])
                .collect(),
            avoided_domain: ask
                .avoid
                .map(|domain_index| FailureDomain::new(domain(domain_index))),
            ..Demand::caller(ask.deadline_ms)
        }
    }
}

fn domain(index: usize) -> String {
    format!("failure-domain-{index}")
}

fn refuse(request: usize, refusal: Refusal) -> Order {
    let retry_after_ms = match refusal.reason {
        Reason::Quarantined => None,
        _ => Some(refusal.retry_after_ms),
    };
    Order::Refuse {
        request,
        retry_after_ms,
    }
}

impl Policy for Now {
    fn admit(&mut self, now_ms: u64, request: usize, ask: &Ask) -> Vec<Order> {
        self.now_ms = now_ms;
        let demand = self.demand(ask);
        match self.pool.admit(now_ms, demand) {
            Admission::Dispatch(dispatch) => {
                self.remember(request, dispatch.ticket);
                let endpoint = self.indices[dispatch.endpoint];
                vec![Order::Dispatch { request, endpoint }]
            }
            Admission::Wait(ticket) => {
                self.remember(request, ticket);
                self.orders(Vec::new())
            }
            Admission::Refuse(refusal) => vec![refuse(request, refusal)],
        }
    }

    fn finish(&mut self, now_ms: u64, request: usize, _: usize, end: End) -> Vec<Order> {
        self.now_ms = now_ms;
        let outcome = match end {
            End::Answered { elapsed_ms, tokens } => Outcome::Completed { elapsed_ms, tokens },
            End::Refused => Outcome::Refused,
            End::Unreachable => Outcome::Failed,
            End::Crashed => Outcome::Crashed,
            End::Cancelled => Outcome::Cancelled,
        };
        let Some(ticket) = self.forget(request) else {
            return Vec::new();
        };
        let woken = self.pool.finish(now_ms, ticket, outcome);
        self.orders(woken)
    }

    fn wake(&mut self, now_ms: u64) -> Vec<Order> {
        self.now_ms = now_ms;
        let woken = self.pool.dispatch_waiting(now_ms);
        self.orders(woken)
    }

    fn withdraw(&mut self, request: usize) {
        if let Some(ticket) = self.forget(request) {
            self.pool.cancel_waiting(ticket);
        }
    }

    fn report(&mut self, at_ms: u64, now_ms: u64, endpoint: usize, running: u32, waiting: u32) {
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

    fn may_retry(&mut self) -> bool {
        self.pool.try_take_retry()
    }

    fn export(&self) -> Vec<CrashReport> {
        self.pool.crash_reports(self.now_ms)
    }

    fn import(&mut self, now_ms: u64, strikes: &[CrashReport]) {
        self.pool.apply_crash_reports(now_ms, strikes);
    }
}
