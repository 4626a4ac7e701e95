//! Orders to engines, and what their reports let follow.

use wisteriapoint_types::{EndpointName, ViewNumber, WeightVersion};
use wisteriapoint_weights::{Controller, Order};

const TTL_MS: u64 = 5_000;
const TARGET: WeightVersion = WeightVersion(8);

fn engine() -> EndpointName {
    EndpointName::new("engine-1")
}

fn keeper(checks_fencing: bool) -> Controller {
    let mut keeper = Controller::new();
    keeper.set_order_ttl(TTL_MS);
    keeper.set_view(ViewNumber(3));
    keeper.add_engine(0, engine(), checks_fencing);
    keeper
}

/// A keeper of an engine at version 7 that was ordered to load version 8 at time 0.
fn with_order() -> (Controller, Order) {
    let mut keeper = keeper(true);
    keeper.set_target(0, TARGET);
    keeper.record_report(&engine(), 0, WeightVersion(7));
    let order = plan(&mut keeper, 0).expect("an order");
    (keeper, order)
}

fn plan(keeper: &mut Controller, now_ms: u64) -> Option<Order> {
    keeper.plan(now_ms, 9, |_| true).pop()
}

#[test]
fn no_engine_is_ordered_before_it_has_reported() {
    let mut keeper = keeper(true);
    keeper.set_target(0, TARGET);
    assert_eq!(plan(&mut keeper, 0), None);
    keeper.record_report(&engine(), 0, TARGET);
    assert_eq!(plan(&mut keeper, 0), None);
    assert!(keeper.is_converged());
}

type Case = (&'static str, &'static [(u64, u64)], u64, bool);

#[test]
fn only_a_report_asked_for_after_the_order_ended_counts() {
    // When the order ended, and reports: when asked, the version, whether a new order goes
    // at once. The engine is given a second to report a new version.
    let cases: [Case; 6] = [
        ("takes effect", &[(200, 8)], 9_000, false),
        ("fails", &[(200, 7), (1_200, 7)], 1_200, true),
        ("reports late", &[(200, 7), (900, 8)], 9_000, false),
        ("not read back", &[], 9_000, false),
        ("only read too early", &[(200, 7), (900, 7)], 900, false),
        (
            "reads from before the end",
            &[(50, 8), (50, 7)],
            9_000,
            false,
        ),
    ];
    for (name, reports, now_ms, is_ordered) in cases {
        let (mut keeper, order) = with_order();
        keeper.record_order_end(100, &engine(), order.fence);
        for &(asked_ms, version) in reports {
            keeper.record_report(&engine(), asked_ms, WeightVersion(version));
        }
        let next = plan(&mut keeper, now_ms);
        assert_eq!(next.is_some(), is_ordered, "{name}");
        assert!(next.is_none_or(|next| next.fence > order.fence), "{name}");
    }
}

#[test]
fn an_open_order_is_not_doubled() {
    let (mut keeper, order) = with_order();
    keeper.record_report(&engine(), 60_000, WeightVersion(7));
    assert_eq!(plan(&mut keeper, 60_000), None);
    keeper.set_target(60_000, WeightVersion(9));
    assert_eq!(plan(&mut keeper, 60_000), None);
    keeper.record_order_end(60_100, &engine(), order.fence);
    keeper.record_report(&engine(), 60_200, TARGET);
    let next = plan(&mut keeper, 60_200);
    assert_eq!(next.map(|next| next.version), Some(WeightVersion(9)));
}

#[test]
fn an_engine_that_falls_back_is_ordered_again() {
    let (mut keeper, order) = with_order();
    keeper.record_order_end(100, &engine(), order.fence);
    keeper.record_report(&engine(), 200, TARGET);
    keeper.record_report(&engine(), 300, WeightVersion(0));
    assert_eq!(plan(&mut keeper, 300).map(|o| o.version), Some(TARGET));
}

#[test]
fn the_end_of_another_order_changes_nothing() {
    let (mut keeper, first) = with_order();
    keeper.record_order_end(100, &engine(), first.fence);
    keeper.record_report(&engine(), 1_200, WeightVersion(7));
    assert!(plan(&mut keeper, 1_200).is_some());
    keeper.record_order_end(1_300, &engine(), first.fence);
    keeper.record_report(&engine(), 9_000, WeightVersion(7));
    assert_eq!(plan(&mut keeper, 9_000), None);
}

#[test]
fn a_new_keeper_waits_out_the_old_orders_of_an_engine_that_ignores_fencing() {
    for (checks_fencing, first_ms) in [(true, 0), (false, TTL_MS)] {
        let mut keeper = keeper(checks_fencing);
        keeper.set_target(0, TARGET);
        keeper.record_report(&engine(), 0, WeightVersion(7));
        let before = first_ms.checked_sub(1);
        assert!(before.is_none_or(|now_ms| plan(&mut keeper, now_ms).is_none()));
        let order = plan(&mut keeper, first_ms).expect("an order");
        assert_eq!(order.valid_until_ms, first_ms + TTL_MS);
    }
}

#[test]
fn an_engine_that_comes_back_is_new() {
    let mut keeper = keeper(false);
    keeper.set_target(0, TARGET);
    keeper.retain(|_| false);
    keeper.add_engine(60_000, engine(), false);
    keeper.record_report(&engine(), 60_000, WeightVersion(7));
    assert_eq!(plan(&mut keeper, 60_000 + TTL_MS - 1), None);
    assert!(plan(&mut keeper, 60_000 + TTL_MS).is_some());
}

#[test]
fn an_order_is_not_sent_after_its_validity() {
    let (_, order) = with_order();
    for (now_ms, is_valid) in [(0, true), (TTL_MS - 1, true), (TTL_MS, false)] {
        assert_eq!(order.is_valid(now_ms), is_valid);
    }
}

#[test]
fn a_later_view_has_higher_fences() {
    let (mut old, first) = with_order();
    old.record_order_end(100, &engine(), first.fence);
    old.record_report(&engine(), 2_000, WeightVersion(7));
    let second = plan(&mut old, 2_000).expect("an order");
    let mut new = keeper(true);
    new.set_view(ViewNumber(4));
    new.set_target(0, TARGET);
    new.record_report(&engine(), 0, WeightVersion(7));
    let third = plan(&mut new, 0).expect("an order");
    assert!(first.fence < second.fence && second.fence < third.fence);
}

#[test]
fn a_report_that_was_overtaken_changes_nothing() {
    let (mut keeper, order) = with_order();
    keeper.record_order_end(100, &engine(), order.fence);
    keeper.record_report(&engine(), 1_500, TARGET);
    keeper.record_report(&engine(), 1_200, WeightVersion(7));
    assert!(keeper.is_converged());
    assert_eq!(plan(&mut keeper, 9_000), None);
}
