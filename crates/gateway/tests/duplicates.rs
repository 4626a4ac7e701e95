//! An endpoint may send a response twice; the duplicate is never taken for another response.

use std::time::Duration;

use wisteriapoint_gateway::{Clients, CompletionRequest, Target};
use wisteriapoint_stand_in::{ReceivedRequest, Reply, ScriptedServer};
use wisteriapoint_types::{EndpointName, FailureDomain, WeightVersion};

const TIMEOUT: Duration = Duration::from_secs(5);
const STATUS_PATH: &str = "/admin/status";

fn target(server: &ScriptedServer, echoes_request_id: bool) -> Target {
    Target {
        endpoint: EndpointName::new("engine-1"),
        address: server.address,
        failure_domain: FailureDomain::new("dk-east-a"),
        echoes_request_id,
    }
}

/// Responds like an engine that serves as many weight versions as it has received requests.
fn engine(arrival: &ReceivedRequest) -> Reply {
    let version = arrival.number;
    let body = if arrival.head.contains(STATUS_PATH) {
        format!(r#"{{"version":{version},"running":0,"waiting":0,"draining":false}}"#)
    } else {
        "data: [DONE]\n\n".into()
    };
    Reply::KeepAlive(arrival.response("200 OK", &body))
}

fn completion() -> CompletionRequest {
    CompletionRequest {
        model: "advisor-lm".into(),
        prompt: "a strap for a diver".into(),
        max_tokens: 4,
        stream: true,
        priority: 0,
        resume: None,
    }
}

// A duplicate of an earlier status was recorded as the engine's version, load and draining state.
#[tokio::test]
async fn a_duplicate_status_is_not_taken_for_a_later_one() {
    for echoes in [false, true] {
        let server = ScriptedServer::start_duplicating(engine).await.unwrap();
        let clients = Clients::new().unwrap();
        let target = target(&server, echoes);
        for version in 0..3 {
            let status = clients.engine_status(&target).await.unwrap();
            assert_eq!(status.version, WeightVersion(version), "echoes: {echoes}");
        }
    }
}

// A duplicate status arrived in place of a completion and failed that attempt of the caller's.
#[tokio::test]
async fn a_duplicate_status_fails_no_completion() {
    let server = ScriptedServer::start_duplicating(engine).await.unwrap();
    let clients = Clients::new().unwrap();
    let target = target(&server, true);
    clients.engine_status(&target).await.unwrap();
    let started = clients.generate(&target, &completion(), TIMEOUT).await;
    let mut generation = started.unwrap();
    assert_eq!(generation.next().await.unwrap(), None);
}

// A duplicate completion, or its remainder, arrived in place of a status.
#[tokio::test]
async fn a_duplicate_completion_fails_no_status() {
    let server = ScriptedServer::start_duplicating(engine).await.unwrap();
    let clients = Clients::new().unwrap();
    let target = target(&server, true);
    let started = clients.generate(&target, &completion(), TIMEOUT).await;
    let mut generation = started.unwrap();
    while generation.next().await.unwrap().is_some() {}
    drop(generation);
    let status = clients.engine_status(&target).await.unwrap();
    assert_eq!(status.version, WeightVersion(1));
}
