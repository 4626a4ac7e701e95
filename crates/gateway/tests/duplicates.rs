//! An endpoint may send a response twice; the duplicate is never taken for another response.

use std::time::Duration;

use reqwest::Method;
use reqwest::header::HeaderMap;
use wisteriapoint_gateway::{Clients, CompletionRequest, Failure, PlainRequest, Target};
use wisteriapoint_stand_in::{ReceivedRequest, Reply, ScriptedServer};
use wisteriapoint_types::{EndpointName, FailureDomain, WeightVersion};
use wisteriapoint_weights::{Fence, Order};

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

// Guards against versions, load and draining state that are those of an earlier status.
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

// Guards against attempts that fail because a duplicate status arrives in place of a completion.
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

// Guards against statuses that fail because a duplicate completion arrives in place of one.
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

/// Responds to a request with its number, with or without its id.
fn numbered(arrival: &ReceivedRequest, echoes: bool) -> Reply {
    let number = arrival.number.to_string();
    let response = arrival.response("200 OK", &number);
    let id = format!("x-request-id: {}\r\n", arrival.header("x-request-id"));
    Reply::KeepAlive(match echoes {
        true => response,
        false => response.replace(&id, ""),
    })
}

// Guards against a response given to another caller, or counted as the score of another sample.
#[tokio::test]
async fn a_duplicate_response_of_a_service_is_not_taken_for_a_later_one() {
    for (idempotent, echoes) in [(false, false), (false, true), (true, false), (true, true)] {
        let server = ScriptedServer::start_duplicating(move |arrival| numbered(arrival, echoes));
        let server = server.await.unwrap();
        let clients = Clients::new().unwrap();
        let target = target(&server, echoes);
        let request = PlainRequest {
            method: Method::POST,
            path: "/score".into(),
            headers: HeaderMap::new(),
            body: "a strap".into(),
            idempotent,
        };
        let mut mismatched = 0;
        for number in 0..4 {
            match clients.send_plain(&target, &request, TIMEOUT).await {
                Ok(response) => assert_eq!(response.body, number.to_string()),
                Err(failure) => mismatched += count_mismatched(&failure),
            }
        }
        let reuses_connections = idempotent && echoes;
        assert_eq!(mismatched > 0, reuses_connections);
    }
}

// Guards against a completion that is streamed to another caller.
#[tokio::test]
async fn a_duplicate_completion_is_not_taken_for_a_later_one() {
    let server = ScriptedServer::start_duplicating(|arrival| {
        let version = arrival.number;
        let event =
            format!(r#"{{"choices":[{{"text":"a "}}],"weight_version":{version},"tokens":1}}"#);
        let body = format!("data: {event}\n\ndata: [DONE]\n\n");
        Reply::KeepAlive(arrival.response("200 OK", &body))
    });
    let server = server.await.unwrap();
    let clients = Clients::new().unwrap();
    let target = target(&server, true);
    let mut mismatched = 0;
    for version in 0..4 {
        let mut generation = match clients.generate(&target, &completion(), TIMEOUT).await {
            Ok(generation) => generation,
            Err(failure) => {
                mismatched += count_mismatched(&failure);
                continue;
            }
        };
        let chunk = generation.next().await.unwrap().unwrap();
        assert_eq!(chunk.version, WeightVersion(version));
        assert_eq!(generation.next().await.unwrap(), None);
    }
    assert!(mismatched > 0, "no connection was used again");
}

fn count_mismatched(failure: &Failure) -> u32 {
    assert!(failure.is_mismatched_response(), "{failure}");
    1
}

// Guards against orders that count as confirmed though the engine refuses them.
#[tokio::test]
async fn a_duplicate_confirmation_is_not_taken_for_that_of_a_later_order() {
    let server = ScriptedServer::start_duplicating(|arrival| {
        Reply::KeepAlive(match arrival.number {
            0 => arrival.response("200 OK", ""),
            _ => arrival.response("409 Conflict", ""),
        })
    });
    let server = server.await.unwrap();
    let clients = Clients::new().unwrap();
    let target = target(&server, true);
    let order = Order {
        endpoint: target.endpoint.clone(),
        version: WeightVersion(3),
        fence: Fence(1),
        valid_until_ms: u64::MAX,
    };
    let send = || clients.order_weights(&target, &order, TIMEOUT);
    assert!(send().await.is_ok());
    assert!(send().await.is_err());
}

// Guards against draining endpoints that return to service.
#[tokio::test]
async fn a_duplicate_response_to_a_probe_is_not_taken_for_a_later_one() {
    let server = ScriptedServer::start_duplicating(|arrival| {
        let accepting = arrival.response("200 OK", "");
        Reply::KeepAlive(match arrival.number {
            0 => accepting,
            _ => accepting.replace("200 OK", "503 S\r\nx-draining: true"),
        })
    });
    let server = server.await.unwrap();
    let clients = Clients::new().unwrap();
    let target = target(&server, true);
    assert!(clients.probe_accepts_work(&target).await);
    assert!(!clients.probe_accepts_work(&target).await);
}
