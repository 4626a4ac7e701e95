//! Tests a node process with batch jobs that are large, and many.

mod excess;

use std::time::Duration;

use excess::process::NodeProcess;
use futures_util::future::join_all;
use tokio::time::{Instant, sleep};

/// Memory of the smallest VM in MB, as the settings state it.
const MEMORY_MB: u64 = 120;
/// Most resident memory of the process at any time, in kB: the memory of the VM.
const MAX_RESIDENT_KB: u64 = MEMORY_MB << 10;
const MAX_DESCRIPTORS: usize = 1_024;
/// Largest legal body, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Time within which all items of a batch job are done; the engine takes 0.4 s for each, eight at a time.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);

async fn wait_for_results(node: &NodeProcess, id: &str, items: usize) {
    let end = Instant::now() + RUN_TIMEOUT;
    while node.listed_results(id).await < items {
        assert!(node.is_alive(), "the process has ended");
        assert!(Instant::now() < end, "{id} is not done");
        sleep(Duration::from_millis(200)).await;
    }
}

fn assert_within_memory(node: &NodeProcess) {
    let (peak_kb, now_kb) = node.resident_kb();
    println!("peak {peak_kb} kB, now {now_kb} kB");
    assert!(node.is_alive(), "the process has ended");
    assert!(peak_kb <= MAX_RESIDENT_KB, "peak of {peak_kb} kB");
}

/// Guards against a batch job within the limits that takes ten times its size in memory while it is
/// accepted, and ends the process and the requests of other callers with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_batch_jobs_are_accepted_and_run_within_the_memory() {
    let node = NodeProcess::start(MEMORY_MB, MAX_DESCRIPTORS, MAX_BODY_BYTES).await;
    // Base64 text is a third longer than the bodies: 12, 24 and 33 MB.
    for (id, items, body_bytes) in [
        ("j12", 64, 140_400),
        ("j24", 24, 750_000),
        ("j33", 33, 750_000),
        ("one", 1, 24_900_000),
    ] {
        assert_eq!(node.submit(id, items, body_bytes).await, Some(202), "{id}");
        wait_for_results(&node, id, items).await;
        assert_within_memory(&node);
    }
}

/// Guards against a batch job of many small items, each of which takes many times its text in memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_batch_job_of_more_items_than_the_memory_holds_is_refused() {
    let node = NodeProcess::start(MEMORY_MB, MAX_DESCRIPTORS, MAX_BODY_BYTES).await;
    assert_eq!(node.submit("many", 250_000, 0).await, Some(503));
    assert_within_memory(&node);
    assert_eq!(node.submit("few", 100, 0).await, Some(202));
    wait_for_results(&node, "few", 100).await;
}

/// Guards against batch jobs of which each is small enough, and all that arrive together are not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn batch_jobs_that_arrive_together_are_accepted_within_the_memory() {
    let node = NodeProcess::start(MEMORY_MB, MAX_DESCRIPTORS, MAX_BODY_BYTES).await;
    let ids: Vec<_> = (0..12).map(|number| format!("j{number}")).collect();
    let submissions = ids.iter().map(|id| node.submit(id, 2, 600_000));
    for status in join_all(submissions).await {
        assert_eq!(status, Some(202));
    }
    for id in &ids {
        wait_for_results(&node, id, 2).await;
    }
    assert_within_memory(&node);
}
