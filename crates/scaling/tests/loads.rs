//! Orders under loads that are known to come.

mod common;

use common::{Platform, SLOTS, same_price, terms};
use wisteriapoint_scaling::{Kind, Order, Outcome, Reason, Service};

fn is_up(order: &Order) -> bool {
    order.count > order.before
}

/// Returns the requests of a trainer whose step of `requests` begins every 5 s and lasts 3 s.
fn steps(requests: u32) -> impl Fn(u64) -> u32 {
    move |now_ms| match now_ms % 5_000 {
        0..3_000 => requests,
        _ => 0,
    }
}

/// Guards against orders that come so late that a wave of requests is over before endpoints serve.
#[test]
fn a_wave_is_followed_up_at_once_and_down_after_a_while() {
    let mut platform = Platform::new(same_price(1, 20), 4);
    platform.run(30_000, |_| 30);
    let before = platform.ready();
    let rise_ms = platform.now_ms;
    platform.run(15_000, |_| 100);
    let first = platform.orders.iter().find(|(at_ms, ..)| *at_ms >= rise_ms);
    let (at_ms, order, _) = first.expect("an order for the wave");
    assert!(is_up(order));
    assert!(
        at_ms - rise_ms <= 1_500,
        "ordered after {} ms",
        at_ms - rise_ms
    );
    assert!(
        platform.ready() * SLOTS >= 110,
        "{} serve",
        platform.ready()
    );
    assert!(platform.ready() > before);
    let fall_ms = platform.now_ms;
    platform.run(14_750, |_| 30);
    let orders = platform
        .orders
        .iter()
        .filter(|(at_ms, ..)| *at_ms >= fall_ms);
    assert!(orders.clone().all(|(_, order, _)| is_up(order)));
    platform.run(60_000, |_| 30);
    let least = 30 * 110 / 100 / SLOTS;
    assert!(
        (least..=least * 2).contains(&platform.ready()),
        "{} serve",
        platform.ready()
    );
}

/// Guards against orders that follow each step of a trainer up and down.
#[test]
fn steps_of_a_trainer_cause_no_orders_once_they_are_covered() {
    let mut platform = Platform::new(same_price(1, 20), 4);
    platform.run(60_000, steps(80));
    assert!(platform.ready() * SLOTS >= 88, "{} serve", platform.ready());
    let settled = platform.orders.len();
    platform.run(120_000, steps(80));
    assert_eq!(platform.orders[settled..], []);
}

/// Guards against a step that depends on spot endpoints alone, and against the loss of work that has no room
/// left after a reclaim.
#[test]
fn plain_endpoints_cover_half_and_any_domain_may_lose_its_spot_endpoints() {
    let mut platform = Platform::new(same_price(1, 20), 4);
    platform.run(120_000, steps(80));
    assert!(platform.ready_of(Kind::Plain) * SLOTS >= 40);
    assert!(
        platform.ready_of(Kind::Spot) > 0,
        "spot endpoints cost less"
    );
    for domain in ["a", "b", "c"] {
        let left = platform.ready() - platform.ready_in(domain, Kind::Spot);
        assert!(left * SLOTS >= 80, "{left} are left without {domain}");
    }
}

/// Guards against work without room while no spot endpoints are to be had in a failure domain.
#[test]
fn a_reclaimed_domain_that_stays_dry_is_replaced_by_plain_endpoints() {
    let mut platform = Platform::new(same_price(1, 20), 4);
    platform.run(120_000, |_| 80);
    let plain = platform.ready_of(Kind::Plain);
    platform.reclaim("a", 60_000);
    let at_ms = platform.now_ms;
    platform.run(8_000, |_| 80);
    assert!(platform.ready_of(Kind::Plain) > plain);
    assert!(platform.ready() * SLOTS >= 88);
    platform.run(40_000, |_| 80);
    let asked = platform.orders.iter().filter(|(other_ms, order, _)| {
        let is_there = &*order.failure_domain == "a" && order.kind == Kind::Spot;
        is_there && *other_ms >= at_ms
    });
    assert!(asked.count() <= 9, "the dry domain is asked too often");
    platform.run(90_000, |_| 80);
    assert!(platform.ready() * SLOTS >= 88);
    assert!(
        platform.ready_of(Kind::Plain) <= plain,
        "plain ones stay for good"
    );
}

/// Guards against endpoints in an expensive failure domain while a cheaper one has room.
#[test]
fn cheaper_failure_domains_come_first() {
    let prices = [("a", 1.9), ("b", 1.0), ("c", 1.4)];
    let mut platform = Platform::new(terms(0, 20, &prices), 0);
    platform.terms.spot_price = None;
    platform.run(60_000, |_| 60);
    assert!(platform.ready_in("b", Kind::Plain) >= 16);
    assert_eq!(platform.ready_in("a", Kind::Plain), 0);
    platform.run(40_000, |_| 90);
    assert_eq!(platform.ready_in("b", Kind::Plain), 20);
    assert!(platform.ready_in("c", Kind::Plain) > 0);
    assert_eq!(platform.ready_in("a", Kind::Plain), 0);
}

/// Guards against present endpoints of an expensive failure domain that stay although the demand does
/// not change.
#[test]
fn present_endpoints_of_an_expensive_domain_are_exchanged() {
    let prices = [("a", 2.0), ("b", 1.0), ("c", 2.0)];
    let mut platform = Platform::new(terms(0, 20, &prices), 7);
    platform.terms.spot_price = None;
    platform.run(180_000, |_| 60);
    assert_eq!(platform.ready_in("a", Kind::Plain), 0);
    assert!(platform.ready_in("b", Kind::Plain) * SLOTS >= 66);
}

/// Guards against endpoints that are billed while all trainers are idle, and against a fall that leaves
/// nothing for the next step.
#[test]
fn idle_trainers_leave_the_least_number() {
    let mut platform = Platform::new(same_price(1, 20), 10);
    platform.run(14_000, |_| 0);
    assert_eq!(platform.orders, []);
    let mut before = platform.ready();
    for _ in 0..120 {
        platform.run(1_000, |_| 0);
        assert!(
            before - platform.ready() <= 4,
            "{before} to {}",
            platform.ready()
        );
        before = platform.ready();
    }
    assert_eq!(platform.ready(), 3);
    let count = platform.orders.len();
    platform.run(60_000, |_| 0);
    assert_eq!(platform.orders.len(), count);
}

/// Guards against endpoints that are given up while work waits.
#[test]
fn nothing_is_given_up_while_work_waits() {
    let mut platform = Platform::new(same_price(0, 2), 2);
    platform.terms.spot_price = None;
    platform.run(60_000, |_| 100);
    assert_eq!(platform.orders, []);
}

/// Guards against endpoints that are given up as the holder does not hear from the nodes that use them.
#[test]
fn nothing_is_given_up_while_the_demand_of_a_node_is_unknown() {
    let mut platform = Platform::new(same_price(1, 20), 4);
    platform.run(120_000, |_| 80);
    let count = platform.orders.len();
    platform.is_partial = true;
    platform.run(60_000, |_| 20);
    assert_eq!(platform.orders[count..], []);
    platform.is_partial = false;
    platform.run(60_000, |_| 20);
    assert!(platform.orders.len() > count);
}

/// Guards against calls that ask again and again where none are to be had.
#[test]
fn a_refusal_leads_elsewhere_and_is_respected_for_a_while() {
    let prices = [("a", 1.0), ("b", 1.1), ("c", 1.2)];
    let mut platform = Platform::new(terms(0, 20, &prices), 2);
    platform.terms.spot_price = None;
    platform.refuse("a", Kind::Plain, 30_000);
    platform.run(25_000, |_| 60);
    assert!(platform.ready() * SLOTS >= 66, "{} serve", platform.ready());
    let refused = platform.orders.iter();
    let refused: Vec<_> = refused
        .filter(|(.., outcome)| *outcome == Outcome::Refused)
        .map(|(at_ms, ..)| *at_ms)
        .collect();
    assert!(!refused.is_empty());
    assert!(refused.windows(2).all(|pair| pair[1] - pair[0] >= 5_000));
}

/// Guards against orders in a failure domain that only the row of an odd endpoint names, and against an odd
/// number of slots that makes all other endpoints look superfluous.
#[test]
fn odd_rows_of_endpoints_cause_no_orders() {
    let mut platform = Platform::new(same_price(2, 20), 1);
    platform.terms.prices.remove("c");
    let decisions = platform.run(20_000, |_| 4);
    assert!(
        decisions
            .iter()
            .all(|decision| decision.ready.count("c", Kind::Plain) == 0)
    );
    let elsewhere = |order: &Order| &*order.failure_domain == "c";
    assert!(!platform.orders.iter().any(|(_, order, _)| elsewhere(order)));
    assert_eq!(Service::usual_slots(vec![4, u32::MAX, 4, 0, 4]), Some(4));
    assert_eq!(Service::usual_slots(vec![u32::MAX, 4]), Some(4));
    assert_eq!(Service::usual_slots(Vec::new()), None);
}

/// Guards against orders of a new holder that has not heard from all nodes.
#[test]
fn the_first_order_follows_ten_seconds_of_observation() {
    let mut platform = Platform::new(same_price(1, 20), 2);
    let decisions = platform.run(9_750, |_| 100);
    assert_eq!(platform.orders, []);
    assert!(
        decisions
            .iter()
            .all(|decision| decision.reason == Reason::Observing)
    );
    platform.run(1_000, |_| 100);
    assert!(!platform.orders.is_empty());
}

/// Guards against a new holder that orders what its predecessor ordered, or takes it back.
#[test]
fn a_new_holder_goes_on_from_the_present_endpoints() {
    let mut platform = Platform::new(same_price(1, 20), 4);
    platform.run(120_000, |_| 80);
    let count = platform.orders.len();
    platform.replace_holder();
    platform.run(60_000, |_| 80);
    assert_eq!(platform.orders[count..], []);
}

/// Guards against an order that is lost with its answer.
#[test]
fn an_order_without_an_answer_is_repeated() {
    let mut platform = Platform::new(same_price(1, 20), 4);
    platform.run(9_000, |_| 80);
    platform.unanswered = Some(false);
    platform.run(2_000, |_| 80);
    platform.unanswered = None;
    platform.run(20_000, |_| 80);
    assert!(platform.ready() * SLOTS >= 88, "{} serve", platform.ready());
}

/// Guards against an order that is repeated for good although it was carried out.
#[test]
fn an_order_that_was_carried_out_without_an_answer_is_not_repeated_for_good() {
    let mut platform = Platform::new(same_price(1, 20), 4);
    platform.unanswered = Some(true);
    platform.run(30_000, |_| 80);
    assert!(platform.ready() * SLOTS >= 88, "{} serve", platform.ready());
    let count = platform.orders.len();
    platform.unanswered = None;
    platform.run(10_000, |_| 80);
    assert!(
        platform.orders.len() <= count + 6,
        "{:?}",
        &platform.orders[count..]
    );
}
