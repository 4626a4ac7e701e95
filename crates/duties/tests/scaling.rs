//! Orders of endpoints by the holder of the duties, under one failure each.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{BOOT_MS, Node, Order, Platform};
use tokio::time::timeout;
use wisteriapoint_duties::{Duty, DutyOutcome, hold};

const LEASE: Duration = Duration::from_secs(3);

/// Lets a node hold the duties for a time.
async fn hold_for(node: &Rc<Node>, fence: u64, seconds: u64) {
    let work = async {
        tokio::join!(hold(node.clone(), fence, LEASE), node.clone().report());
    };
    let ended = timeout(Duration::from_secs(seconds), work).await;
    assert!(ended.is_err(), "the holder ended by itself");
}

fn orders(platform: &Platform) -> Vec<Order> {
    platform.orders.borrow().clone()
}

fn assert_rate(orders: &[Order]) {
    for pair in orders.windows(5) {
        let took_ms = pair[4].at_ms - pair[0].at_ms;
        assert!(took_ms >= 1_000, "5 calls in {took_ms} ms");
    }
}

/// Guards against a holder that orders nothing, or more often than a few times a second.
#[tokio::test(start_paused = true)]
async fn the_holder_orders_endpoints_for_waiting_work() {
    let platform = Platform::new(2);
    platform.requests.set(100);
    let node = Node::new(&platform, "vm-1", &[Duty::Scaling]);
    hold_for(&node, 7, 30).await;
    assert!(platform.ready_slots() >= 110);
    let orders = orders(&platform);
    assert!(orders.iter().all(|order| order.fence == 7));
    assert!(
        orders[0].at_ms >= 10_000,
        "ordered after {} ms",
        orders[0].at_ms
    );
    assert_rate(&orders);
}

/// Guards against orders where only the reports of use are wanted.
#[tokio::test(start_paused = true)]
async fn without_the_duty_nothing_is_ordered() {
    let platform = Platform::new(2);
    platform.requests.set(100);
    let node = Node::new(&platform, "vm-1", &[Duty::Usage, Duty::Unknown]);
    hold_for(&node, 7, 30).await;
    assert_eq!(orders(&platform), []);
}

/// Guards against two holders that act at the same time, and against a successor that repeats or takes
/// back the orders of its predecessor.
#[tokio::test(start_paused = true)]
async fn a_new_holder_goes_on_where_the_last_one_ended() {
    let platform = Platform::new(2);
    platform.requests.set(100);
    let first = Node::new(&platform, "vm-1", &[Duty::Scaling]);
    hold_for(&first, 7, 11).await;
    let by_first = orders(&platform);
    assert!(!by_first.is_empty());
    first.may_act.set(false);
    platform.requests.set(300);
    hold_for(&first, 7, 20).await;
    assert_eq!(orders(&platform), by_first, "ordered without a valid lease");
    assert!(first.gauges.borrow().values().all(|&value| value == 0));

    let taken_over_ms = platform.now_ms();
    let second = Node::new(&platform, "vm-2", &[Duty::Scaling]);
    hold_for(&second, 8, 30).await;
    let by_second = orders(&platform).split_off(by_first.len());
    assert!(by_second.iter().all(|order| order.fence == 8));
    assert!(by_second[0].at_ms >= taken_over_ms + LEASE.as_millis() as u64);
    assert!(by_second[0].at_ms >= taken_over_ms + 10_000);
    let ready = platform.ready();
    assert!(ready.values().all(|&count| count == 20), "{ready:?}");

    let count = orders(&platform).len();
    let third = Node::new(&platform, "vm-1", &[Duty::Scaling]);
    hold_for(&third, 9, 60).await;
    assert_eq!(orders(&platform).len(), count);
}

/// Guards against a holder that acts within the lease of its predecessor where leases are long.
#[tokio::test(start_paused = true)]
async fn no_order_is_sent_before_the_delay() {
    let platform = Platform::new(2);
    platform.requests.set(100);
    let node = Node::new(&platform, "vm-1", &[Duty::Scaling]);
    let delay = Duration::from_secs(20);
    let work = async {
        tokio::join!(hold(node.clone(), 7, delay), node.clone().report());
    };
    assert!(timeout(Duration::from_secs(25), work).await.is_err());
    let orders = orders(&platform);
    assert!(
        orders[0].at_ms >= 20_000,
        "ordered after {} ms",
        orders[0].at_ms
    );
}

/// Guards against endpoints that are given up as the holder is cut off from the nodes that use them.
#[tokio::test(start_paused = true)]
async fn nothing_is_given_up_without_the_demand_of_all_members() {
    let platform = Platform::new(10);
    let node = Node::new(&platform, "vm-1", &[Duty::Scaling]);
    node.members.set(2);
    hold_for(&node, 7, 60).await;
    assert_eq!(orders(&platform), []);
    node.members.set(1);
    hold_for(&node, 8, 60).await;
    let orders = orders(&platform);
    assert!(!orders.is_empty());
    assert!(
        orders
            .windows(2)
            .all(|pair| pair[1].at_ms - pair[0].at_ms >= 3_000)
    );
}

/// Guards against a holder that asks for endpoints where there are none until it has them, while others
/// could be had elsewhere.
#[tokio::test(start_paused = true)]
async fn a_refused_order_is_made_elsewhere() {
    let platform = Platform::new(2);
    platform.requests.set(100);
    let refused = DutyOutcome::Refused;
    platform.outcomes.borrow_mut().insert("a".into(), refused);
    let node = Node::new(&platform, "vm-1", &[Duty::Scaling]);
    hold_for(&node, 7, 40).await;
    assert!(platform.ready_slots() >= 110);
    assert_eq!(platform.ready()["a"], 2);
    let orders = orders(&platform);
    let asked = orders.iter().filter(|order| order.outcome == refused);
    assert!(asked.count() <= 6);
    assert_rate(&orders);
}

/// Guards against an order that is lost with its answer, and against a holder that sends others meanwhile as
/// if it had no effect.
#[tokio::test(start_paused = true)]
async fn an_order_without_an_answer_is_repeated() {
    let platform = Platform::new(2);
    platform.requests.set(100);
    platform.set_outcome(DutyOutcome::Unanswered);
    let node = Node::new(&platform, "vm-1", &[Duty::Scaling]);
    hold_for(&node, 7, 20).await;
    let lost = orders(&platform);
    assert!(lost.len() >= 2);
    assert_rate(&lost);
    for order in &lost {
        let mut same = lost.iter();
        let domain = &order.failure_domain;
        let same = same.all(|other| {
            other.failure_domain != *domain || other == order || other.count == order.count
        });
        assert!(same, "other orders while none was answered: {lost:?}");
    }
    platform.set_outcome(DutyOutcome::Accepted);
    let second = Node::new(&platform, "vm-1", &[Duty::Scaling]);
    hold_for(&second, 8, 11 + BOOT_MS / 1_000).await;
    assert!(platform.ready_slots() >= 110);
}

/// Guards against a platform that is pressed harder because it refuses calls for their rate.
#[tokio::test(start_paused = true)]
async fn failed_calls_are_repeated_slowly() {
    let platform = Platform::new(2);
    platform.requests.set(100);
    platform.set_outcome(DutyOutcome::Failed);
    let node = Node::new(&platform, "vm-1", &[Duty::Scaling]);
    hold_for(&node, 7, 20).await;
    let calls = orders(&platform).len();
    assert!((2..=16).contains(&calls), "{calls} calls in 10 s");
}

/// Guards against orders by a leader that has not read all endpoints, or whose view of them is old: it
/// would take those it does not know for missing.
#[tokio::test(start_paused = true)]
async fn without_a_current_view_of_the_endpoints_nothing_is_ordered() {
    let platform = Platform::new(2);
    platform.requests.set(100);
    let node = Node::new(&platform, "vm-1", &[Duty::Scaling]);
    node.knows_endpoints.set(false);
    hold_for(&node, 7, 30).await;
    node.knows_endpoints.set(true);
    node.view_age_ms.set(5_000);
    hold_for(&node, 7, 30).await;
    assert_eq!(orders(&platform), []);
}
