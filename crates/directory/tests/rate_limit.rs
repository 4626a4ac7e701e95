//! Limits of endpoints under load patterns: many senders, two priorities, limits that begin and end.

use wisteriapoint_directory::{
    EndpointRecord, EndpointStage, Permit, Priority, RateLimit, RateLimiter, Registry,
    Requirements, ReturnSchedule, StatedLimit,
};
use wisteriapoint_types::{EndpointName, FailureDomain, ServiceName, StreamOrigin};

const WINDOW_MS: u64 = 4_000;

fn limit(per_s: f64) -> RateLimit {
    RateLimit::new(per_s).unwrap()
}

fn endpoint() -> EndpointName {
    EndpointName::new("shop-1")
}

/// Most requests in a window: one and a half times what the limit allows, and five more.
fn max_in_window(per_s: f64) -> usize {
    (per_s * WINDOW_MS as f64 / 1_000.0 * 1.5 + 5.0) as usize
}

fn largest_window(times_ms: &[u64]) -> usize {
    let windows = times_ms.iter().enumerate().map(|(index, &start_ms)| {
        let within = times_ms[index..].iter();
        within
            .take_while(|&&at_ms| at_ms < start_ms + WINDOW_MS)
            .count()
    });
    windows.max().unwrap_or(0)
}

/// Requests a permit for each time; returns those at which one was granted.
fn granted(
    limiter: &mut RateLimiter,
    limit: RateLimit,
    priority: Priority,
    times_ms: impl IntoIterator<Item = u64>,
) -> Vec<u64> {
    let times_ms = times_ms.into_iter();
    times_ms
        .filter(|&at_ms| limiter.request(at_ms, &endpoint(), limit, priority) == Permit::Granted)
        .collect()
}

#[test]
fn demand_above_the_limit_gets_the_limit_on_average_and_little_more_at_once() {
    for per_s in [0.3, 1.0, 3.7, 9.3, 60.0, 1_000.0] {
        let steady = (0..60_000).step_by(2);
        // Groups of requests after pauses that fill the burst.
        let groups = (0..60_000).filter(|at_ms| at_ms % 6_000 < 1_500).step_by(2);
        for (name, times_ms) in [
            ("steady", steady.collect::<Vec<_>>()),
            ("groups", groups.collect()),
        ] {
            let mut limiter = RateLimiter::new();
            let times_ms = granted(&mut limiter, limit(per_s), Priority::Caller, times_ms);
            let largest = largest_window(&times_ms);
            assert!(
                largest <= max_in_window(per_s),
                "{name}, {per_s}: {largest}"
            );
            // Asked every 2 ms; the first permit is not available at once.
            let expected = per_s.min(500.0) * 60.0 * 0.95 - 1.0;
            if name == "steady" {
                assert!(times_ms.len() as f64 >= expected, "{per_s}");
            }
        }
    }
}

// Guards against a limit that binds twice while it changes hands: the next grantor knows of no permit.
#[test]
fn a_grantor_that_replaces_another_stays_within_the_bound() {
    for per_s in [1.0, 3.7, 9.3, 60.0] {
        let mut times_ms = Vec::new();
        for grantor in 0..4_u64 {
            let mut limiter = RateLimiter::new();
            let from_ms = grantor * 1_500;
            let asked_ms = from_ms..from_ms + 1_500;
            times_ms.extend(granted(
                &mut limiter,
                limit(per_s),
                Priority::Caller,
                asked_ms,
            ));
        }
        let largest = largest_window(&times_ms);
        assert!(largest <= max_in_window(per_s), "{per_s}: {largest}");
    }
}

// Guards against callers that wait behind batch work which takes each permit.
#[test]
fn callers_get_permits_at_once_while_batch_work_takes_the_rest() {
    let (per_s, caller_interval_ms) = (9.0, 160);
    let mut limiter = RateLimiter::new();
    let (mut callers, mut denied_callers, mut batch) = (0, 0, 0);
    for at_ms in 0..60_000 {
        let mut is_granted = |priority| {
            limiter.request(at_ms, &endpoint(), limit(per_s), priority) == Permit::Granted
        };
        batch += u32::from(is_granted(Priority::Batch));
        if at_ms >= 1_000 && at_ms % caller_interval_ms == 0 {
            match is_granted(Priority::Caller) {
                true => callers += 1,
                false => denied_callers += 1,
            }
        }
    }
    assert_eq!(denied_callers, 0, "{callers} callers");
    let rest = 60.0 * per_s - f64::from(callers);
    assert!(f64::from(batch) >= rest * 0.95, "{batch} of {rest}");
}

// Guards against a limit of zero that is never found to have ended.
#[test]
fn an_endpoint_that_accepts_nothing_is_asked_now_and_then() {
    let mut limiter = RateLimiter::new();
    let times_ms = granted(&mut limiter, limit(0.0), Priority::Batch, 0..60_000);
    assert!((5..=20).contains(&times_ms.len()), "{}", times_ms.len());
    assert!(largest_window(&times_ms) <= 5);
}

#[test]
fn a_denial_tells_when_a_permit_is_available() {
    for priority in [Priority::Caller, Priority::Batch] {
        let mut limiter = RateLimiter::new();
        let mut now_ms = 1_000;
        for _ in 0..50 {
            match limiter.request(now_ms, &endpoint(), limit(2.7), priority) {
                Permit::Granted => {}
                Permit::Denied { wait_ms } => {
                    now_ms += wait_ms;
                    let permit = limiter.request(now_ms, &endpoint(), limit(2.7), priority);
                    assert_eq!(permit, Permit::Granted, "{priority:?} after {wait_ms} ms");
                }
            }
        }
    }
}

#[test]
fn refused_callers_return_one_after_the_other() {
    let mut schedule = ReturnSchedule::default();
    let service = ServiceName::new("shop");
    let mut next = |now_ms, left_ms| schedule.next_delay_ms(now_ms, &service, (100, 250), left_ms);
    let delays: Vec<_> = (0..4).map(|_| next(10_000, 1_000)).collect();
    assert_eq!(delays, [100, 350, 600, 850]);
    assert_eq!(next(10_000, 1_000), 1_100, "too late for its caller");
    assert_eq!(next(10_000, 1_200), 1_100, "so the turn is still free");
    assert_eq!(next(60_000, 1_000), 100);
}

#[test]
fn limits_that_no_endpoint_can_mean_are_not_accepted() {
    for per_s in [-0.1, f64::NAN, f64::INFINITY] {
        assert_eq!(RateLimit::new(per_s), None);
    }
}

fn record(born_unix_ms: u64) -> EndpointRecord {
    EndpointRecord {
        service: ServiceName::new("shop"),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: FailureDomain::new("dk-east-a"),
        slots: 6,
        stage: EndpointStage::Ready,
        models: Vec::new(),
        born_unix_ms,
        software: None,
    }
}

fn registry(count: usize) -> Registry {
    let mut registry = Registry::new();
    for number in 1..=count {
        registry.apply_record(&EndpointName::new(format!("shop-{number}")), record(1), 0);
    }
    registry
}

fn choose(registry: &Registry, now_ms: u64, priority: Priority) -> Option<EndpointName> {
    let (service, sender_domain) = (ServiceName::new("shop"), FailureDomain::new("dk-east-a"));
    let requirements = Requirements {
        service: &service,
        model: None,
        requires_free_slot: false,
        objective_ms: None,
        sender_domain: &sender_domain,
        priority,
        origin: &StreamOrigin::None,
    };
    registry.choose(now_ms, requirements, &[]).cloned()
}

// Guards against callers that wait for one denied permit after the other while an endpoint without a
// limit has a free slot.
#[test]
fn endpoints_without_a_limit_are_used_first() {
    let other = EndpointName::new("shop-2");
    // The number of requests at the endpoint without a limit, of six slots.
    let cases = [
        (Priority::Caller, 0, &other),
        (Priority::Caller, 5, &other),
        (Priority::Caller, 7, &endpoint()),
        (Priority::Batch, 0, &other),
        (Priority::Batch, 1, &other),
        (Priority::Batch, 3, &endpoint()),
    ];
    for (priority, in_flight, chosen) in cases {
        let mut registry = registry(2);
        let limited = registry.get_mut(&endpoint()).unwrap();
        assert!(limited.record_limit(StatedLimit::Limit(limit(5.0))));
        registry.get_mut(&other).unwrap().in_flight = in_flight;
        let found = choose(&registry, 0, priority);
        assert_eq!(found.as_ref(), Some(chosen), "{priority:?}, {in_flight}");
    }
}

// Guards against callers that queue behind batch work at the endpoint that has no limit.
#[test]
fn batch_work_joins_no_queue() {
    let mut registry = registry(2);
    let limited = registry.get_mut(&endpoint()).unwrap();
    limited.record_limit(StatedLimit::Limit(limit(5.0)));
    limited.record_denial(1_000, Priority::Caller);
    let other = EndpointName::new("shop-2");
    for (in_flight, chosen) in [(5, Some(&other)), (6, None), (9, None)] {
        registry.get_mut(&other).unwrap().in_flight = in_flight;
        assert_eq!(choose(&registry, 0, Priority::Batch).as_ref(), chosen);
        assert_eq!(choose(&registry, 0, Priority::Caller), Some(other.clone()));
    }
}

#[test]
fn an_endpoint_is_not_chosen_until_a_permit_may_be_available() {
    let mut registry = registry(1);
    let limited = registry.get_mut(&endpoint()).unwrap();
    limited.record_limit(StatedLimit::Limit(limit(5.0)));
    limited.record_denial(200, Priority::Batch);
    assert_eq!(choose(&registry, 100, Priority::Batch), None);
    assert_eq!(choose(&registry, 100, Priority::Caller), Some(endpoint()));
    let limited = registry.get_mut(&endpoint()).unwrap();
    limited.record_denial(300, Priority::Caller);
    assert_eq!(choose(&registry, 250, Priority::Caller), None);
    assert_eq!(choose(&registry, 250, Priority::Batch), None);
    assert_eq!(choose(&registry, 300, Priority::Batch), Some(endpoint()));
}

// Guards against a limit that outlives the responses that state it.
#[test]
fn a_limit_ends_with_a_response_without_one_and_with_the_incarnation() {
    let mut registry = registry(1);
    let stated = StatedLimit::Limit(limit(5.0));
    let limited = registry.get_mut(&endpoint()).unwrap();
    assert!(limited.record_limit(stated));
    assert!(!limited.record_limit(stated));
    assert!(!limited.record_limit(StatedLimit::Malformed));
    assert_eq!(limited.limit(), Some(limit(5.0)));
    limited.record_denial(10_000, Priority::Caller);
    assert!(limited.record_limit(StatedLimit::Absent));
    assert_eq!(limited.limit(), None);
    assert_eq!(choose(&registry, 0, Priority::Caller), Some(endpoint()));
    let limited = registry.get_mut(&endpoint()).unwrap();
    limited.record_limit(stated);
    registry.apply_record(&endpoint(), record(2), 0);
    assert_eq!(registry.get(&endpoint()).unwrap().limit(), None);
}
