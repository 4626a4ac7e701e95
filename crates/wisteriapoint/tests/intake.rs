//! Tests a node process with callers that exceed its limits.

mod excess;

use excess::crowd::{Crowd, Member};
use excess::process::NodeProcess;

/// Memory of the VM as the settings state it, in MB.
const MEMORY_MB: u64 = 96;
/// Most resident memory of the process at any time, in kB: the memory of the VM.
const MAX_RESIDENT_KB: u64 = MEMORY_MB << 10;
/// Descriptors of the VM as the settings state them.
const MAX_DESCRIPTORS: usize = 384;
/// Largest legal body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Largest legal head, in bytes.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Bytes by which a body stops short of its end.
const MISSING_BYTES: usize = 7;

/// Returns members that send a body of the largest legal size, of which one in eight sends all of it.
fn large_bodies(piece_bytes: usize) -> impl Iterator<Item = Member> {
    (0..48).map(move |number| Member::Announced {
        announced_bytes: MAX_BODY_BYTES,
        sent_bytes: MAX_BODY_BYTES - if number % 8 == 0 { 0 } else { MISSING_BYTES },
        piece_bytes,
    })
}

/// Returns members that send chunked bodies, of which one in eight ends.
fn chunked_bodies(
    count: usize,
    sent_bytes: usize,
    chunk_bytes: usize,
) -> impl Iterator<Item = Member> {
    (0..count).map(move |number| Member::Chunked {
        sent_bytes,
        chunk_bytes,
        ends: number % 8 == 0,
    })
}

/// Guards against callers within the limits of one request who together exhaust the memory or the
/// descriptors of the node, end its process or keep out ordinary callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_that_exceed_the_limits_leave_the_node_in_service() {
    let node = NodeProcess::start(MEMORY_MB, MAX_DESCRIPTORS, MAX_BODY_BYTES).await;
    check_sizes(&node).await;
    let crowds: Vec<(&str, Vec<Member>)> = vec![
        ("large bodies whole", large_bodies(MAX_BODY_BYTES).collect()),
        ("large bodies in pieces", large_bodies(64 << 10).collect()),
        (
            "chunks of one byte",
            chunked_bodies(64, 20_000, 1).collect(),
        ),
        (
            "chunks of a megabyte",
            chunked_bodies(48, MAX_BODY_BYTES - MISSING_BYTES, 1 << 20).collect(),
        ),
        (
            "bodies announced far over the limit",
            (0..24)
                .map(|_| Member::Announced {
                    announced_bytes: 8 * MAX_BODY_BYTES,
                    sent_bytes: 3 * MAX_BODY_BYTES,
                    piece_bytes: 1 << 20,
                })
                .collect(),
        ),
        (
            "chunked bodies far over the limit",
            chunked_bodies(24, 3 * MAX_BODY_BYTES, 1 << 20).collect(),
        ),
        (
            "heads that never end",
            (0..200)
                .map(|_| Member::Head {
                    sent_bytes: MAX_HEADER_BYTES - 1_000,
                })
                .collect(),
        ),
        (
            "connections that send nothing",
            (0..600).map(|_| Member::Silent).collect(),
        ),
        (
            "callers that never read",
            (0..64)
                .map(|_| Member::NeverReads { requests: 400 })
                .collect(),
        ),
    ];
    let mut faults = Vec::new();
    for (name, members) in crowds {
        let crowd = Crowd::start(node.address, members).await;
        crowd.settle().await;
        let answered = node.is_ordinary_request_answered().await;
        let (alive, descriptors) = (node.is_alive(), node.descriptors());
        let (peak_kb, now_kb) = node.resident_kb();
        println!(
            "{name}: alive {alive}, ordinary request answered {answered}, peak {peak_kb} kB, \
             now {now_kb} kB, {descriptors} descriptors"
        );
        if !alive || !answered || peak_kb > MAX_RESIDENT_KB || descriptors > MAX_DESCRIPTORS {
            faults.push(name);
        }
        crowd.leave().await;
        if !alive {
            break;
        }
    }
    assert!(faults.is_empty(), "limits exceeded with: {faults:?}");
    check_sizes(&node).await;
}

/// Checks that single requests at, just under and over the limit are answered as usual.
async fn check_sizes(node: &NodeProcess) {
    for (body_bytes, expected) in [
        (MAX_BODY_BYTES - 1, 200),
        (MAX_BODY_BYTES, 200),
        (MAX_BODY_BYTES + 1, 413),
    ] {
        let status = node.status_when_served(body_bytes).await;
        assert_eq!(status, Some(expected), "body of {body_bytes} bytes");
    }
}
