//! Orders to engines, and the effect of reports on the next order.

use wisteriapoint_types::{EndpointName, ViewNumber, WeightVersion};
use wisteriapoint_weights::{Controller, Order};

const TTL_MS: u64 = 5_000;
const TARGET: WeightVersion = WeightVersion(8);

fn engine() -> EndpointName {
    EndpointName::new("engine-1")
}

fn controller(checks_fencing: bool) -> Controller {
    let mut controller = Controller::new();
    controller.set_order_ttl(TTL_MS);
    controller.set_view(ViewNumber(3));
    controller.add_engine(0, engine(), checks_fencing);
    controller
}

/// Returns a controller whose engine has version 7 and was ordered to load version 8 at time 0.
fn with_order() -> (Controller, Order) {
    let mut controller = controller(true);
    controller.set_target(0, TARGET);
    controller.record_report(&engine(), 0, WeightVersion(7));
    let order = plan(&mut controller, 0).expect("an order");
    (controller, order)
}

fn plan(controller: &mut Controller, now_ms: u64) -> Option<Order> {
    controller.plan(now_ms, 9, |_| true).pop()
}

#[test]
fn no_engine_gets_an_order_before_its_first_report() {
    let mut controller = controller(true);
    controller.set_target(0, TARGET);
    assert_eq!(plan(&mut controller, 0), None);
    controller.record_report(&engine(), 0, TARGET);
    assert_eq!(plan(&mut controller, 0), None);
    assert!(controller.is_converged());
}

type Case = (&'static str, &'static [(u64, u64)], u64, bool);

#[test]
fn only_a_report_requested_after_the_order_ended_counts() {
    // The order ends at 100 ms. Each case has a name, reports (time of the request, version),
    // the time of the next plan, and whether that plan has an order. The engine has one second
    // to report a new version.
    let cases: [Case; 6] = [
        ("takes effect", &[(200, 8)], 9_000, false),
        ("fails", &[(200, 7), (1_200, 7)], 1_200, true),
        ("reports late", &[(200, 7), (900, 8)], 9_000, false),
        ("no report", &[], 9_000, false),
        ("only reported too early", &[(200, 7), (900, 7)], 900, false),
        (
            "reports requested before the end",
            &[(50, 8), (50, 7)],
            9_000,
            false,
        ),
    ];
    for (name, reports, now_ms, is_ordered) in cases {
        let (mut controller, order) = with_order();
        controller.record_order_end(100, &engine(), order.fence);
        for &(requested_at_ms, version) in reports {
            controller.record_report(&engine(), requested_at_ms, WeightVersion(version));
        }
        let next = plan(&mut controller, now_ms);
        assert_eq!(next.is_some(), is_ordered, "{name}");
        assert!(next.is_none_or(|next| next.fence > order.fence), "{name}");
    }
}

#[test]
fn no_second_order_is_sent_while_one_is_open() {
    let (mut controller, order) = with_order();
    controller.record_report(&engine(), 60_000, WeightVersion(7));
    assert_eq!(plan(&mut controller, 60_000), None);
    controller.set_target(60_000, WeightVersion(9));
    assert_eq!(plan(&mut controller, 60_000), None);
    controller.record_order_end(60_100, &engine(), order.fence);
    controller.record_report(&engine(), 60_200, TARGET);
    let next = plan(&mut controller, 60_200);
    assert_eq!(next.map(|next| next.version), Some(WeightVersion(9)));
}

#[test]
fn an_engine_that_reverts_to_an_older_version_gets_a_new_order() {
    let (mut controller, order) = with_order();
    controller.record_order_end(100, &engine(), order.fence);
    controller.record_report(&engine(), 200, TARGET);
    controller.record_report(&engine(), 300, WeightVersion(0));
    assert_eq!(plan(&mut controller, 300).map(|o| o.version), Some(TARGET));
}

#[test]
fn the_end_of_an_earlier_order_is_ignored() {
    let (mut controller, first) = with_order();
    controller.record_order_end(100, &engine(), first.fence);
    controller.record_report(&engine(), 1_200, WeightVersion(7));
    assert!(plan(&mut controller, 1_200).is_some());
    controller.record_order_end(1_300, &engine(), first.fence);
    controller.record_report(&engine(), 9_000, WeightVersion(7));
    assert_eq!(plan(&mut controller, 9_000), None);
}

#[test]
fn a_new_controller_waits_until_earlier_orders_expire_if_an_engine_ignores_fencing() {
    for (checks_fencing, first_ms) in [(true, 0), (false, TTL_MS)] {
        let mut controller = controller(checks_fencing);
        controller.set_target(0, TARGET);
        controller.record_report(&engine(), 0, WeightVersion(7));
        let before = first_ms.checked_sub(1);
        assert!(before.is_none_or(|now_ms| plan(&mut controller, now_ms).is_none()));
        let order = plan(&mut controller, first_ms).expect("an order");
        assert_eq!(order.valid_until_ms, first_ms + TTL_MS);
    }
}

#[test]
fn an_engine_that_is_added_again_starts_without_state() {
    let mut controller = controller(false);
    controller.set_target(0, TARGET);
    controller.retain(|_| false);
    controller.add_engine(60_000, engine(), false);
    controller.record_report(&engine(), 60_000, WeightVersion(7));
    assert_eq!(plan(&mut controller, 60_000 + TTL_MS - 1), None);
    assert!(plan(&mut controller, 60_000 + TTL_MS).is_some());
}

#[test]
fn an_order_is_invalid_once_it_has_expired() {
    let (_, order) = with_order();
    for (now_ms, is_valid) in [(0, true), (TTL_MS - 1, true), (TTL_MS, false)] {
        assert_eq!(order.is_valid(now_ms), is_valid);
    }
}

#[test]
fn orders_of_a_later_view_have_higher_fencing_tokens() {
    let (mut old, first) = with_order();
    old.record_order_end(100, &engine(), first.fence);
    old.record_report(&engine(), 2_000, WeightVersion(7));
    let second = plan(&mut old, 2_000).expect("an order");
    let mut new = controller(true);
    new.set_view(ViewNumber(4));
    new.set_target(0, TARGET);
    new.record_report(&engine(), 0, WeightVersion(7));
    let third = plan(&mut new, 0).expect("an order");
    assert!(first.fence < second.fence && second.fence < third.fence);
}

#[test]
fn a_report_older_than_the_newest_is_ignored() {
    let (mut controller, order) = with_order();
    controller.record_order_end(100, &engine(), order.fence);
    controller.record_report(&engine(), 1_500, TARGET);
    controller.record_report(&engine(), 1_200, WeightVersion(7));
    assert!(controller.is_converged());
    assert_eq!(plan(&mut controller, 9_000), None);
}
