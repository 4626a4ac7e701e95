//! Overload of a service: more requests than its endpoints can complete within the objective.

use std::collections::BTreeMap;

use wisteriapoint_directory::{
    Endpoint, EndpointRecord, EndpointStage, Load, Priority, Registry, Requirements,
};
use wisteriapoint_types::{EndpointName, FailureDomain, ServiceName, StreamOrigin};

const SLOTS: u32 = 6;
const SERVICE_MS: u64 = 25;
const OBJECTIVE_MS: u64 = 150;

/// Simulated endpoint that serves requests in the order of arrival.
#[derive(Default)]
struct Server {
    /// Time at which each slot becomes free.
    free_at_ms: Vec<u64>,
}

impl Server {
    fn finish_ms(&mut self, now_ms: u64, service_ms: u64) -> u64 {
        self.free_at_ms.resize(SLOTS as usize, 0);
        let slot = self.free_at_ms.iter_mut().min().unwrap();
        *slot = now_ms.max(*slot) + service_ms;
        *slot
    }
}

fn record() -> EndpointRecord {
    EndpointRecord {
        service: ServiceName::new("shop"),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: FailureDomain::new("dk-east-a"),
        slots: SLOTS,
        stage: EndpointStage::Ready,
        models: Vec::new(),
        born_unix_ms: 1,
        software: None,
    }
}

struct Outcome {
    in_time: usize,
    late: usize,
    refused: usize,
}

/// Simulates `per_s` requests per second to three endpoints for ten seconds.
fn simulate(per_s: u64, service_ms: u64, objective_ms: Option<u64>) -> Outcome {
    let (service, sender_domain) = (ServiceName::new("shop"), FailureDomain::new("dk-east-a"));
    let mut registry = Registry::new();
    let mut servers: BTreeMap<EndpointName, Server> = BTreeMap::new();
    for number in 0..3 {
        let name = EndpointName::new(format!("shop-{number}"));
        registry.apply_record(&name, record(), 0);
        servers.insert(name, Server::default());
    }
    let requirements = Requirements {
        service: &service,
        model: None,
        requires_free_slot: false,
        objective_ms,
        sender_domain: &sender_domain,
        priority: Priority::Caller,
        origin: &StreamOrigin::None,
    };
    let mut outcome = Outcome {
        in_time: 0,
        late: 0,
        refused: 0,
    };
    // End time, endpoint, arrival time, and the requests at the endpoint on arrival.
    let mut running: Vec<(u64, EndpointName, u64, u32)> = Vec::new();
    for number in 0..per_s * 10 {
        let now_ms = number * 1_000 / per_s;
        running.sort();
        while running
            .first()
            .is_some_and(|(end_ms, ..)| *end_ms <= now_ms)
        {
            let (end_ms, name, since_ms, occupancy) = running.remove(0);
            let endpoint = registry.get_mut(&name).unwrap();
            endpoint.in_flight -= 1;
            endpoint.record_response(end_ms - since_ms, occupancy);
            match end_ms - since_ms <= OBJECTIVE_MS {
                true => outcome.in_time += 1,
                false => outcome.late += 1,
            }
        }
        let Some(name) = registry.choose(now_ms, requirements, &[]).cloned() else {
            outcome.refused += 1;
            continue;
        };
        let endpoint = registry.get_mut(&name).unwrap();
        endpoint.in_flight += 1;
        let occupancy = endpoint.in_flight;
        let end_ms = servers
            .get_mut(&name)
            .unwrap()
            .finish_ms(now_ms, service_ms);
        running.push((end_ms, name, now_ms, occupancy));
    }
    outcome
}

/// Guards against queues that make all responses late: for ten seconds, a third more requests
/// arrive than the endpoints can serve.
#[test]
fn requests_that_would_miss_the_objective_are_refused_and_the_others_meet_it() {
    let capacity = u64::from(SLOTS) * 3 * 1_000 / SERVICE_MS;
    let bounded = simulate(capacity * 4 / 3, SERVICE_MS, Some(OBJECTIVE_MS));
    let served = bounded.in_time + bounded.late;
    assert!(
        bounded.in_time * 100 >= served * 99,
        "{} late",
        bounded.late
    );
    assert!(served as u64 >= capacity * 10 * 95 / 100, "{served} served");
    assert!(bounded.refused > 0);
    let unbounded = simulate(capacity * 4 / 3, SERVICE_MS, None);
    assert!(
        unbounded.late > unbounded.in_time,
        "without an objective the queue grows and most responses are late"
    );
}

/// Guards against refusals at normal load.
#[test]
fn no_request_is_refused_below_capacity() {
    let outcome = simulate(600, SERVICE_MS, Some(OBJECTIVE_MS));
    assert_eq!((outcome.refused, outcome.late), (0, 0));
}

/// Guards against refusing all requests when every endpoint is slower than the objective but has
/// free slots.
#[test]
fn a_free_slot_is_used_even_if_the_endpoint_is_slow() {
    let outcome = simulate(40, 400, Some(OBJECTIVE_MS));
    assert_eq!((outcome.refused, outcome.in_time), (0, 0));
    assert!(outcome.late > 380);
}

/// Guards against a load at the edge of its type, which an endpoint may state in any response.
#[test]
fn a_load_of_any_size_is_only_a_full_endpoint() {
    let mut endpoint = Endpoint::new(record());
    endpoint.record_response(SERVICE_MS, 1);
    let load = Load {
        running: u32::MAX,
        waiting: u32::MAX,
    };
    endpoint.record_load(0, load);
    assert_eq!(endpoint.occupancy(0), u32::MAX);
    assert!(!endpoint.has_free_slot(0));
    assert!(!endpoint.can_meet_objective(0, OBJECTIVE_MS));
}
