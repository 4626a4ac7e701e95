//! Tests a stream beside connections that use up the descriptors.

mod excess;

use excess::crowd::{Crowd, Member};
use excess::process::NodeProcess;
use tokio::io::AsyncReadExt;

const MEMORY_MB: u64 = 96;
const MAX_DESCRIPTORS: usize = 64;
const MAX_BODY_BYTES: usize = 1 << 20;
const EVENTS: usize = 8;

/// Guards against a stream that is taken for an idle connection between two events, and is closed in
/// favour of new connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_ends_whole_beside_more_connections_than_descriptors() {
    let node = NodeProcess::start(MEMORY_MB, MAX_DESCRIPTORS, MAX_BODY_BYTES).await;
    let mut stream = node.open_stream(EVENTS).await;
    let mut received = vec![0; 4_096];
    let first_bytes = stream.read(&mut received).await.unwrap();
    received.truncate(first_bytes);
    let silent = (0..300).map(|_| Member::Silent).collect();
    let crowd = Crowd::start(node.address, silent).await;
    crowd.settle().await;
    assert!(node.is_ordinary_request_answered().await);
    let mut part = [0; 4_096];
    while !received.ends_with(b"0\r\n\r\n") {
        let read_bytes = stream.read(&mut part).await.unwrap_or(0);
        let text = String::from_utf8_lossy(&received);
        assert!(read_bytes > 0, "stream broke off after: {text}");
        received.extend_from_slice(&part[..read_bytes]);
    }
    let text = String::from_utf8_lossy(&received);
    assert_eq!(text.matches("data: word ").count(), EVENTS, "{text}");
    crowd.leave().await;
}
