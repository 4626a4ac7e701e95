//! Tests what callers get whose bodies are refused.

mod excess;

use std::time::Duration;

use excess::process::{NodeProcess, request_head};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// At 96 MB, unfinished bodies may hold 28.5 MB: three of 8 MiB, but not four.
const MEMORY_MB: u64 = 96;
const MAX_DESCRIPTORS: usize = 384;
const MAX_BODY_BYTES: usize = 8 << 20;

/// Sends a body of the largest size without its last `missing_bytes` bytes.
async fn send(node: &NodeProcess, id: &str, missing_bytes: usize) -> TcpStream {
    let mut stream = TcpStream::connect(node.address).await.unwrap();
    let head = request_head(id, &format!("content-length: {MAX_BODY_BYTES}"));
    stream.write_all(head.as_bytes()).await.unwrap();
    let body = vec![b'a'; MAX_BODY_BYTES - missing_bytes];
    stream.write_all(&body).await.unwrap();
    stream
}

/// Reads an answer up to the end of its connection.
async fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer.to_lowercase()
}

/// Guards against refusals that don't say that nothing ran, that leave the connection open, or whose
/// request runs; and against a body without progress that is kept for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_bodies_get_answers_and_do_not_run() {
    let node = NodeProcess::start(MEMORY_MB, MAX_DESCRIPTORS, MAX_BODY_BYTES).await;
    let mut stalled = Vec::new();
    for number in 0..3 {
        // The first is the largest, so it gives way first.
        stalled.push(send(&node, &format!("stalled-{number}"), 7 + number).await);
    }
    sleep(Duration::from_millis(1_500)).await;
    let mut whole = send(&node, "whole", 0).await;
    let mut status = [0; 12];
    whole.read_exact(&mut status).await.unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
    let mut answers = Vec::new();
    for stream in stalled {
        answers.push(read_to_end(stream).await);
    }
    let refused = &answers[0];
    assert!(refused.starts_with("http/1.1 503"), "{refused}");
    assert!(refused.contains("retry-after"), "{refused}");
    for answer in &answers[1..] {
        assert!(answer.starts_with("http/1.1 408"), "{answer}");
    }
    assert!(
        answers
            .iter()
            .all(|answer| answer.contains("connection: close"))
    );
    let runs = node.endpoint.runs();
    assert!(runs.iter().any(|run| run.id == "whole"));
    assert!(!runs.iter().any(|run| run.id.starts_with("stalled")));
}
