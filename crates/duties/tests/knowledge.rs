//! Tests that no node goes on for too long without knowing whether its configuration is the newest.

#![allow(dead_code, reason = "the node of the other tests holds duties")]

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{Node, Platform};
use tokio::task::LocalSet;
use tokio::time::sleep;
use wisteriapoint_batch::Owner;
use wisteriapoint_duties::{CoordinationResponse, Environment};

/// Time after which a configuration must be in force, in milliseconds.
const BOUND_MS: u64 = 2_000;
const DURATION_MS: u64 = 60_000;

fn follower() -> Rc<Node> {
    let node = Node::new(&Platform::new(1), "vm-1", &[]);
    node.other_holder.replace(Some(Owner {
        vm: "vm-2".into(),
        run: 1,
        address: ([127, 0, 0, 1], 9).into(),
    }));
    node.coordination().knowledge.confirm(0);
    node
}

/// Runs a node and returns the greatest age of its knowledge, in milliseconds; `step` is called every
/// millisecond.
async fn greatest_age_ms(node: &Rc<Node>, step: impl Fn(u64)) -> u64 {
    let tasks = LocalSet::new();
    tasks.spawn_local(wisteriapoint_duties::run(node.clone(), BOUND_MS));
    let observed = async {
        let mut greatest_ms = 0;
        for at_ms in 0..DURATION_MS {
            step(at_ms);
            sleep(Duration::from_millis(1)).await;
            let age_ms = node.coordination().knowledge.age_ms(node.boot_ms());
            greatest_ms = greatest_ms.max(age_ms.unwrap());
        }
        greatest_ms
    };
    tasks.run_until(observed).await
}

fn answer(age_ms: u64) -> Option<CoordinationResponse> {
    Some(CoordinationResponse {
        configuration: Some((1, age_ms)),
        first_open_window: None,
    })
}

#[tokio::test(start_paused = true)]
async fn the_holder_reads_the_store_so_often_that_others_need_not() {
    let holder = Node::new(&Platform::new(1), "vm-1", &[]);
    let oldest_ms = greatest_age_ms(&holder, |_| {}).await;
    let node = follower();
    let follower_ms = greatest_age_ms(&node, |at_ms| {
        node.answer.set(answer(at_ms % (oldest_ms + 1)));
    })
    .await;
    assert!(follower_ms < BOUND_MS, "{follower_ms} ms");
    assert_eq!(node.reads.get(), 0);
    assert!(u64::from(holder.reads.get()) <= DURATION_MS / 800 + 1);
}

/// Guards against a node that waits for a holder which does not answer until its configuration is too
/// old.
#[tokio::test(start_paused = true)]
async fn a_node_whose_holder_falls_silent_reads_the_store_in_time() {
    let node = follower();
    node.read_ms.set(200);
    let greatest_ms = greatest_age_ms(&node, |at_ms| {
        let is_answering = at_ms % 7_000 < 3_000;
        node.answer.set(answer(800).filter(|_| is_answering));
    })
    .await;
    assert!(greatest_ms < BOUND_MS, "{greatest_ms} ms");
}

/// Guards against a node that goes on with an older configuration than that of the holder.
#[tokio::test(start_paused = true)]
async fn a_node_whose_holder_knows_a_newer_configuration_reads_it_at_once() {
    let node = follower();
    node.answer.set(Some(CoordinationResponse {
        configuration: Some((2, 0)),
        first_open_window: None,
    }));
    let tasks = LocalSet::new();
    tasks.spawn_local(wisteriapoint_duties::run(node.clone(), BOUND_MS));
    tasks.run_until(sleep(Duration::from_millis(1))).await;
    assert_eq!(node.reads.get(), 1);
}
