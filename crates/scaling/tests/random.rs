//! Orders under random loads.

mod common;

use common::{Platform, SLOTS, TICK_MS, same_price, terms};
use proptest::prelude::*;
use wisteriapoint_scaling::{Kind, Order, Outcome};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// What happens at the beginning of a phase of a load.
#[derive(Debug, Clone)]
enum Event {
    None,
    Reclaim(usize, u64),
    Refuse(usize, Kind, u64),
    NewHolder,
    Silence(bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => Just(Event::None),
        2 => (0..3_usize, 1_000..20_000_u64).prop_map(|(domain, ms)| Event::Reclaim(domain, ms)),
        1 => (0..3_usize, prop_oneof![Just(Kind::Plain), Just(Kind::Spot)], 1_000..20_000_u64)
            .prop_map(|(domain, kind, ms)| Event::Refuse(domain, kind, ms)),
        1 => Just(Event::NewHolder),
        1 => any::<bool>().prop_map(Event::Silence),
    ]
}

fn phases() -> impl Strategy<Value = Vec<(u64, u32, u32, Event)>> {
    let phase = (1_000..40_000_u64, 0..200_u32, 0..50_u32, event());
    prop::collection::vec(phase, 1..6)
}

/// Returns a load that alternates by a part of itself.
fn jitter(requests: u32, percent: u32) -> impl Fn(u64) -> u32 {
    move |now_ms| match now_ms / TICK_MS % 3 {
        0 => requests,
        _ => requests - requests * percent / 100,
    }
}

fn run(platform: &mut Platform, phases: &[(u64, u32, u32, Event)]) {
    for &(for_ms, requests, percent, ref event) in phases {
        platform.unanswered = None;
        match event {
            Event::None => {}
            Event::Reclaim(domain, ms) => platform.reclaim(DOMAINS[*domain], *ms),
            Event::Refuse(domain, kind, ms) => platform.refuse(DOMAINS[*domain], *kind, *ms),
            Event::NewHolder => platform.replace_holder(),
            Event::Silence(is_executed) => platform.unanswered = Some(*is_executed),
        }
        platform.run(for_ms, jitter(requests, percent));
    }
}

fn is_same(a: &Order, b: &Order) -> bool {
    (&a.failure_domain, a.kind, a.count) == (&b.failure_domain, b.kind, b.count)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// Guards against orders beyond the bounds, which the platform of the tests checks at each order, whatever
    /// it refuses, reclaims or leaves without an answer.
    #[test]
    fn bounds_always_hold(min in 0..3_u32, extra in 1..15_u32, plain in 0..6_u32, phases in phases()) {
        let max = min + extra;
        let mut platform = Platform::new(same_price(min, max), plain.clamp(min, max));
        run(&mut platform, &phases);
    }

    /// Guards against an order that is sent again although it was accepted and nothing was lost.
    #[test]
    fn no_order_is_sent_twice(
        plain in 1..6_u32,
        phases in phases().prop_map(|phases| {
            phases.into_iter().map(|(ms, n, p, _)| (ms, n, p, Event::None)).collect::<Vec<_>>()
        }),
    ) {
        let mut platform = Platform::new(same_price(1, 16), plain);
        run(&mut platform, &phases);
        for (index, (at_ms, order, _)) in platform.orders.iter().enumerate() {
            let mut earlier = platform.orders[..index].iter().rev();
            let last = earlier.find(|(_, other, _)| {
                (&other.failure_domain, other.kind) == (&order.failure_domain, order.kind)
            });
            if let Some((_, last, _)) = last {
                prop_assert!(!is_same(last, order), "{order:?} twice at {at_ms}");
            }
        }
    }

    /// Guards against endpoints that are given up shortly after others were ordered.
    #[test]
    fn no_endpoint_is_given_up_within_15_s_of_an_order_of_more(
        plain in 1..6_u32,
        phases in phases().prop_map(|phases| {
            let keeps = |event: &Event| !matches!(event, Event::NewHolder);
            phases.into_iter().filter(|(.., event)| keeps(event)).collect::<Vec<_>>()
        }),
    ) {
        let mut platform = Platform::new(same_price(1, 16), plain);
        run(&mut platform, &phases);
        let mut last_up_ms = None;
        for (at_ms, order, outcome) in &platform.orders {
            match outcome {
                Outcome::Refused | Outcome::Failed => {}
                _ if order.count > order.before => last_up_ms = Some(*at_ms),
                _ => prop_assert!(last_up_ms.is_none_or(|up_ms| at_ms - up_ms >= 15_000)),
            }
        }
    }

    /// Guards against orders that never end under a load that is the same every few seconds.
    #[test]
    fn a_repeating_load_settles(
        plain in 1..10_u32,
        requests in 0..200_u32,
        base in 0..100_u32,
        period_ms in 500..14_000_u64,
        share in 0.1..1.0_f64,
        prices in prop::array::uniform3(prop_oneof![Just(1.0), 0.5..3.0_f64]),
        max in 2..20_u32,
        is_spot in any::<bool>(),
        refuses in any::<bool>(),
    ) {
        let prices = [("a", prices[0]), ("b", prices[1]), ("c", prices[2])];
        let mut platform = Platform::new(terms(1, max, &prices), plain.min(max));
        if !is_spot {
            platform.terms.spot_price = None;
        }
        if refuses {
            platform.refuse("a", Kind::Spot, u64::MAX);
        }
        let step_ms = (period_ms as f64 * share) as u64;
        let load = |now_ms: u64| match now_ms % period_ms < step_ms {
            true => requests,
            false => base.min(requests),
        };
        platform.run(300_000, load);
        let count = platform.orders.len();
        platform.run(100_000, load);
        let late = platform.orders[count..].iter();
        let late = late.filter(|(.., outcome)| *outcome != Outcome::Refused);
        prop_assert_eq!(late.collect::<Vec<_>>(), Vec::<&(u64, Order, Outcome)>::new());
    }

    /// Guards against a plan that grows in one place and forgets the plain half, or the loss of a failure
    /// domain's spot endpoints.
    #[test]
    fn a_steady_load_is_covered(
        plain in 1..20_u32,
        requests in 0..150_u32,
        prices in prop::array::uniform3(0.5..3.0_f64),
        spot_price in prop::option::of(0.1..1.2_f64),
    ) {
        let prices = [("a", prices[0]), ("b", prices[1]), ("c", prices[2])];
        let mut platform = Platform::new(terms(1, 60, &prices), plain);
        platform.terms.spot_price = spot_price;
        platform.run(300_000, |_| requests);
        let slots = |endpoints: u32| endpoints * SLOTS;
        prop_assert!(slots(platform.ready()) * 10 >= requests * 11);
        prop_assert!(slots(platform.ready_of(Kind::Plain)) * 2 >= requests);
        for domain in DOMAINS {
            let left = platform.ready() - platform.ready_in(domain, Kind::Spot);
            prop_assert!(slots(left) >= requests, "{left} without {domain}");
        }
        let is_cheap = spot_price.is_some_and(|price| price < 1.0);
        prop_assert!(is_cheap || platform.ready_of(Kind::Spot) == 0);
        let most = requests * 15 / 10 + 4 * SLOTS;
        prop_assert!(is_cheap || slots(platform.ready()) <= most);
    }
}
