//! Waiting, deadlines and permits of the router, on a paused clock.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{Instant, advance, sleep};
use wisteriapoint_gateway::{Permit, Router};
use wisteriapoint_route::{Demand, Reason, Refusal, Subset};
use wisteriapoint_settings::{Endpoint, ServiceDocument};
use wisteriapoint_types::{EndpointName, MemberId};

const LONG: Duration = Duration::from_secs(60);

fn document(endpoints: usize, max_concurrency: u32) -> ServiceDocument {
    let endpoints: Vec<Endpoint> = (0..endpoints)
        .map(|index| {
            serde_json::from_value(serde_json::json!({
                "endpoint": format!("e{index}"),
                "address": format!("127.0.0.1:{}", 9_000 + index),
                "failure_domain": "dk-east-a",
                "vm": format!("vm{index}"),
                "max_concurrency": max_concurrency,
            }))
            .expect("the endpoint is well formed")
        })
        .collect();
    let document = serde_json::json!({
        "service": "shopfront",
        "owner": "web",
        "kind": "plain",
        "endpoints": endpoints,
    });
    serde_json::from_value(document).expect("the document is well formed")
}

fn router(endpoints: usize, max_concurrency: u32) -> Router {
    let router = Router::new(1);
    router.update(&document(endpoints, max_concurrency), &BTreeSet::new());
    router
}

async fn acquire(router: &Router, limit: Duration) -> Result<Permit, Refusal> {
    router
        .acquire(Demand::caller(router.deadline_ms(limit)))
        .await
}

fn spawn_acquire(router: &Router) -> JoinHandle<Result<Permit, Refusal>> {
    let router = router.clone();
    tokio::spawn(async move { acquire(&router, LONG).await })
}

/// A way to end a permit.
type End = fn(Permit);

/// Lets the other tasks run.
async fn settle() {
    sleep(Duration::from_millis(1)).await;
}

#[tokio::test(start_paused = true)]
async fn each_end_of_a_permit_calls_the_next_in_line() {
    let ends: [(&str, End); 3] = [
        ("answered", |permit| permit.answered(1)),
        ("refused", Permit::refused),
        ("dropped", drop),
    ];
    for (name, end) in ends {
        let router = router(1, 1);
        let permit = acquire(&router, LONG).await.expect("the endpoint is idle");
        let next = spawn_acquire(&router);
        settle().await;
        assert!(!next.is_finished(), "{name}");
        end(permit);
        let next = next.await.expect("no panic");
        assert!(next.is_ok(), "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_dropped_waiter_leaves_its_place_to_others() {
    let router = router(1, 1);
    let permit = acquire(&router, LONG).await.expect("the endpoint is idle");
    let dropped = spawn_acquire(&router);
    settle().await;
    let next = spawn_acquire(&router);
    settle().await;
    dropped.abort();
    settle().await;
    permit.answered(1);
    assert!(next.await.expect("no panic").is_ok());
    assert!(acquire(&router, LONG).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_waiter_dropped_after_its_call_gives_the_endpoint_back() {
    let router = router(1, 1);
    let permit = acquire(&router, LONG).await.expect("the endpoint is idle");
    let called = spawn_acquire(&router);
    settle().await;
    permit.answered(1);
    called.abort();
    settle().await;
    let again = acquire(&router, Duration::from_millis(100)).await;
    assert!(again.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_waiter_is_refused_at_its_deadline() {
    let router = router(1, 1);
    let _permit = acquire(&router, LONG).await.expect("the endpoint is idle");
    let begun = Instant::now();
    let refusal = acquire(&router, Duration::from_millis(300))
        .await
        .expect_err("the endpoint is busy");
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_after_ms > 0);
    assert!(begun.elapsed() <= Duration::from_millis(301));
}

#[tokio::test(start_paused = true)]
async fn a_late_waiter_learns_when_the_line_before_it_will_be_done() {
    let router = router(1, 1);
    let permit = acquire(&router, LONG).await.expect("the endpoint is idle");
    sleep(Duration::from_secs(2)).await;
    permit.answered(1);
    let _permit = acquire(&router, LONG).await.expect("the endpoint is idle");
    let _line: Vec<_> = (0..10).map(|_| spawn_acquire(&router)).collect();
    settle().await;
    let limit = Duration::from_secs(3);
    let demand = Demand::rollout(1, router.deadline_ms(limit));
    let refusal = match router.acquire(demand).await {
        Err(refusal) => refusal,
        Ok(_) => panic!("ten callers are in line"),
    };
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_after_ms >= 10 * 2_000 - 3_000);
}

#[tokio::test(start_paused = true)]
async fn a_waiting_caller_preempts_a_rollout() {
    let router = router(1, 1);
    let demand = Demand::rollout(1, router.deadline_ms(LONG));
    let mut rollout = router.acquire(demand).await.expect("the endpoint is idle");
    let caller = spawn_acquire(&router);
    rollout.preempted().await;
    drop(rollout);
    assert!(caller.await.expect("no panic").is_ok());
}

#[tokio::test(start_paused = true)]
async fn nothing_preempts_a_caller() {
    let router = router(1, 1);
    let mut permit = acquire(&router, LONG).await.expect("the endpoint is idle");
    let _other = spawn_acquire(&router);
    let preempted = tokio::time::timeout(Duration::from_secs(1), permit.preempted()).await;
    assert!(preempted.is_err());
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_says_that_it_drains_and_that_it_is_back() {
    let router = router(1, 8);
    let name = EndpointName::new("e0");
    let limit = Duration::from_millis(10);
    acquire(&router, limit)
        .await
        .expect("it serves")
        .refused_while_draining();
    assert!(acquire(&router, limit).await.is_err());
    router.record_engine_status(&name, 0, 0, false);
    assert!(acquire(&router, limit).await.is_ok());
    router.record_engine_status(&name, 0, 0, true);
    assert!(acquire(&router, limit).await.is_err());
    let document = document(1, 8);
    let vm = document.endpoints[0].vm.clone();
    router.record_engine_status(&name, 0, 0, false);
    router.update(&document, &BTreeSet::from([vm]));
    assert!(acquire(&router, limit).await.is_err());
    router.update(&document, &BTreeSet::new());
    assert!(acquire(&router, limit).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_removed_endpoint_frees_no_other() {
    let router = router(2, 1);
    let first = acquire(&router, LONG).await.expect("an endpoint is idle");
    let second = acquire(&router, LONG).await.expect("the other is idle");
    router.update(&document(1, 1), &BTreeSet::new());
    let waiting = spawn_acquire(&router);
    settle().await;
    let (kept, removed) = match first.target().endpoint.as_str() {
        "e0" => (first, second),
        _ => (second, first),
    };
    removed.answered(1);
    settle().await;
    assert!(!waiting.is_finished());
    kept.answered(1);
    assert!(waiting.await.expect("no panic").is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_subset_bounds_the_endpoints_in_use() {
    let members: Vec<MemberId> = (0..10).map(MemberId).collect();
    let router = Router::new(1);
    router.set_subset(Subset::new(MemberId(3), members, 20));
    router.update(&document(200, 8), &BTreeSet::new());
    let used = router.targets().len();
    assert!((1..=40).contains(&used), "{used}");
    advance(Duration::from_secs(1)).await;
    assert!(acquire(&router, LONG).await.is_ok());
}
