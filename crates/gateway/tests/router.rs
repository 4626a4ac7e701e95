//! Queueing, deadlines and permits of the router, on a paused clock.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{Instant, advance, sleep};
use wisteriapoint_gateway::{Permit, Router};
use wisteriapoint_route::{Demand, Reason, Refusal, Subset};
use wisteriapoint_settings::{Endpoint, ServiceDocument};
use wisteriapoint_types::{EndpointName, MemberId};

const LONG_TIMEOUT: Duration = Duration::from_secs(60);

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

async fn acquire(router: &Router, timeout: Duration) -> Result<Permit, Refusal> {
    router
        .acquire(Demand::caller(router.deadline_ms(timeout)))
        .await
}

fn spawn_acquire(router: &Router) -> JoinHandle<Result<Permit, Refusal>> {
    let router = router.clone();
    tokio::spawn(async move { acquire(&router, LONG_TIMEOUT).await })
}

/// Function that ends a permit.
type End = fn(Permit);

/// Yields until the other tasks have run.
async fn run_other_tasks() {
    sleep(Duration::from_millis(1)).await;
}

#[tokio::test(start_paused = true)]
async fn each_end_of_a_permit_dispatches_the_next_waiter() {
    let ends: [(&str, End); 3] = [
        ("completed", |permit| permit.completed(1)),
        ("refused", Permit::refused),
        ("dropped", drop),
    ];
    for (name, end) in ends {
        let router = router(1, 1);
        let permit = acquire(&router, LONG_TIMEOUT)
            .await
            .expect("the endpoint is idle");
        let next = spawn_acquire(&router);
        run_other_tasks().await;
        assert!(!next.is_finished(), "{name}");
        end(permit);
        let next = next.await.expect("no panic");
        assert!(next.is_ok(), "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_dropped_waiter_does_not_block_the_queue() {
    let router = router(1, 1);
    let permit = acquire(&router, LONG_TIMEOUT)
        .await
        .expect("the endpoint is idle");
    let dropped = spawn_acquire(&router);
    run_other_tasks().await;
    let next = spawn_acquire(&router);
    run_other_tasks().await;
    dropped.abort();
    run_other_tasks().await;
    permit.completed(1);
    assert!(next.await.expect("no panic").is_ok());
    assert!(acquire(&router, LONG_TIMEOUT).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_waiter_dropped_after_dispatch_releases_the_endpoint() {
    let router = router(1, 1);
    let permit = acquire(&router, LONG_TIMEOUT)
        .await
        .expect("the endpoint is idle");
    let dispatched = spawn_acquire(&router);
    run_other_tasks().await;
    permit.completed(1);
    dispatched.abort();
    run_other_tasks().await;
    let again = acquire(&router, Duration::from_millis(100)).await;
    assert!(again.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_waiter_is_refused_at_its_deadline() {
    let router = router(1, 1);
    let _permit = acquire(&router, LONG_TIMEOUT)
        .await
        .expect("the endpoint is idle");
    let started_at = Instant::now();
    let refusal = acquire(&router, Duration::from_millis(300))
        .await
        .expect_err("the endpoint is busy");
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_after_ms > 0);
    assert!(started_at.elapsed() <= Duration::from_millis(301));
}

#[tokio::test(start_paused = true)]
async fn a_refused_waiter_gets_a_retry_delay_that_covers_the_queue() {
    let router = router(1, 1);
    let permit = acquire(&router, LONG_TIMEOUT)
        .await
        .expect("the endpoint is idle");
    sleep(Duration::from_secs(2)).await;
    permit.completed(1);
    let _permit = acquire(&router, LONG_TIMEOUT)
        .await
        .expect("the endpoint is idle");
    let _queue: Vec<_> = (0..10).map(|_| spawn_acquire(&router)).collect();
    run_other_tasks().await;
    let timeout = Duration::from_secs(3);
    let demand = Demand::rollout(1, router.deadline_ms(timeout));
    let refusal = match router.acquire(demand).await {
        Err(refusal) => refusal,
        Ok(_) => panic!("ten callers are queued"),
    };
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_after_ms >= 10 * 2_000 - 3_000);
}

#[tokio::test(start_paused = true)]
async fn a_waiting_caller_preempts_a_rollout() {
    let router = router(1, 1);
    let demand = Demand::rollout(1, router.deadline_ms(LONG_TIMEOUT));
    let mut rollout = router.acquire(demand).await.expect("the endpoint is idle");
    let caller = spawn_acquire(&router);
    rollout.preempted().await;
    drop(rollout);
    assert!(caller.await.expect("no panic").is_ok());
}

#[tokio::test(start_paused = true)]
async fn nothing_preempts_a_caller() {
    let router = router(1, 1);
    let mut permit = acquire(&router, LONG_TIMEOUT)
        .await
        .expect("the endpoint is idle");
    let _other = spawn_acquire(&router);
    let preempted = tokio::time::timeout(Duration::from_secs(1), permit.preempted()).await;
    assert!(preempted.is_err());
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_reports_draining_and_availability() {
    let router = router(1, 8);
    let name = EndpointName::new("e0");
    let timeout = Duration::from_millis(10);
    acquire(&router, timeout)
        .await
        .expect("the endpoint accepts requests")
        .refused_while_draining();
    assert!(acquire(&router, timeout).await.is_err());
    router.record_engine_status(&name, 0, 0, false);
    assert!(acquire(&router, timeout).await.is_ok());
    router.record_engine_status(&name, 0, 0, true);
    assert!(acquire(&router, timeout).await.is_err());
    let document = document(1, 8);
    let vm = document.endpoints[0].vm.clone();
    router.record_engine_status(&name, 0, 0, false);
    router.update(&document, &BTreeSet::from([vm]));
    assert!(acquire(&router, timeout).await.is_err());
    router.update(&document, &BTreeSet::new());
    assert!(acquire(&router, timeout).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_removed_endpoint_does_not_release_another() {
    let router = router(2, 1);
    let first = acquire(&router, LONG_TIMEOUT)
        .await
        .expect("an endpoint is idle");
    let second = acquire(&router, LONG_TIMEOUT)
        .await
        .expect("the other is idle");
    router.update(&document(1, 1), &BTreeSet::new());
    let waiting = spawn_acquire(&router);
    run_other_tasks().await;
    let (kept, removed) = match first.target().endpoint.as_str() {
        "e0" => (first, second),
        _ => (second, first),
    };
    removed.completed(1);
    run_other_tasks().await;
    assert!(!waiting.is_finished());
    kept.completed(1);
    assert!(waiting.await.expect("no panic").is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_subset_limits_the_endpoints_in_use() {
    let members: Vec<MemberId> = (0..10).map(MemberId).collect();
    let router = Router::new(1);
    router.set_subset(Subset::new(MemberId(3), members, 20));
    router.update(&document(200, 8), &BTreeSet::new());
    let used = router.targets().len();
    assert!((1..=40).contains(&used), "{used}");
    advance(Duration::from_secs(1)).await;
    assert!(acquire(&router, LONG_TIMEOUT).await.is_ok());
}
