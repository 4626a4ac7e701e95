//! Tests that a graceful stop aborts no request in progress.

mod deployment;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use deployment::{
    Deployment, PROMPT, WAIT_TIMEOUT, client, completion, hold, model_document, plain_document,
    read_stream, verdict, wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};
use wisteriapoint::daemon::message::{Generated, PeerRequest, PeerResponse};
use wisteriapoint_membership::View;
use wisteriapoint_rollout::{AttemptKey, Cursor, SampleKey, StepId, StepSpec, Task};
use wisteriapoint_stand_in::platform::Faults;
use wisteriapoint_stand_in::{
    Engine, EngineSettings, PlainService, Reply, RunningServer, ScriptedServer, Trainer, serve,
};
use wisteriapoint_store::keys;
use wisteriapoint_types::{MemberId, ServiceName, TrainerName, WeightVersion};

/// A model service and a plain service, slow enough that requests are in progress during a stop.
struct Services {
    engine: Engine,
    shop: PlainService,
    documents: [String; 2],
    _running: [RunningServer; 2],
}

impl Services {
    async fn start() -> Self {
        let engine = Engine::new(EngineSettings {
            tokens_per_s: 50.0,
            ..EngineSettings::default()
        });
        let shop = PlainService::new();
        let running = [
            serve::on_loopback(engine.router()).await.unwrap(),
            serve::on_loopback(shop.router()).await.unwrap(),
        ];
        let shop_document = plain_document(&[running[1].address]);
        let documents = [
            model_document(&[running[0].address]),
            shop_document.replace("\"vm\"", "\"max_concurrency\": 1, \"vm\""),
        ];
        Self {
            engine,
            shop,
            documents,
            _running: running,
        }
    }
}

async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(address).await.unwrap()
}

#[tokio::test]
async fn a_stop_completes_requests_and_refuses_new_ones_only_after_the_drain_wait() {
    let services = Services::start().await;
    let mut deployment = Deployment::start_with(2, &services.documents, 2_000).await;
    services.shop.set_delay(Duration::from_secs(1));
    let completions = deployment.url(0, "/v1/completions");
    let holds = deployment.url(0, "/v1/services/shopfront/stock/hold");
    let stream = tokio::spawn(completion(&completions, 200, true).send());
    let unstreamed = tokio::spawn(completion(&completions, 150, false).send());
    let running = tokio::spawn(hold(&holds, "running").send());
    let queued = tokio::spawn(hold(&holds, "queued").send());
    wait_until("all requests are in progress", || async {
        deployment.in_flight(0) >= 6 && services.engine.running() == 2
    })
    .await;

    let daemon = deployment.daemons.remove(0);
    let ready = format!("http://{}/ready", daemon.addresses().admin);
    let id = daemon.shared().me.id;
    let stopped = tokio::spawn(daemon.stop());
    wait_until("the daemon reports that it is not ready", || async {
        client().get(&ready).send().await.unwrap().status() == 503
    })
    .await;
    let during_drain_wait = completion(&completions, 1, false).send().await.unwrap();
    assert_eq!(during_drain_wait.status(), 200);
    assert_eq!(during_drain_wait.headers()["connection"], "close");
    wait_until("new requests are refused", || async {
        let refused = completion(&completions, 1, false).send().await.unwrap();
        assert_eq!(refused.headers()["connection"], "close");
        refused.status() == 503 && verdict(&refused) == "not-run"
    })
    .await;

    let (text, last) = read_stream(&stream.await.unwrap().unwrap().text().await.unwrap());
    assert_eq!(text, Engine::expected_text(PROMPT, 200));
    assert_eq!(last, "data: [DONE]");
    let unstreamed: serde_json::Value = unstreamed.await.unwrap().unwrap().json().await.unwrap();
    let expected = Engine::expected_text(PROMPT, 150);
    assert_eq!(unstreamed["choices"][0]["text"], expected.as_str());
    for response in [running, queued] {
        assert_eq!(response.await.unwrap().unwrap().status(), 200);
    }
    stopped.await.unwrap();
    let view = deployment.platform.value(keys::VIEW).unwrap();
    let view: View = serde_json::from_slice(&view).unwrap();
    assert!(view.member(id).is_none() && view.members.len() == 1);
}

/// Guards against a proposer that adds a stopped daemon to the view again. The suppressed watch
/// leaves the released lease in the proposer's cache.
#[tokio::test]
async fn a_daemon_that_left_is_not_added_again_by_a_proposer_that_missed_its_release() {
    let mut deployment = Deployment::start(2, &[]).await;
    deployment.platform.set_faults(Faults {
        suppressed_watch_prefix: Some(keys::LEASES.to_owned()),
        ..Faults::default()
    });
    let daemon = deployment.daemons.remove(0);
    let id = daemon.shared().me.id;
    daemon.stop().await;
    wait_until("the other daemon has removed it from the view", || async {
        let view = &deployment.daemons[0].shared().snapshot.load().view;
        view.member(id).is_none()
    })
    .await;
    // Several times the interval between two reads of a proposer.
    sleep(Duration::from_secs(4)).await;
    let view = deployment.platform.value(keys::VIEW).unwrap();
    let view: View = serde_json::from_slice(&view).unwrap();
    assert!(view.member(id).is_none() && view.members.len() == 1);
}

#[tokio::test]
async fn a_stop_while_the_platform_is_down_or_hangs_aborts_no_request() {
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    let hangs = Faults {
        slow_ms: 600_000,
        ..Faults::default()
    };
    let services = Services::start().await;
    for faults in [down, hangs] {
        let mut deployment = Deployment::start(1, &services.documents).await;
        let stream = deployment.completion(0, 100, true).send().await.unwrap();
        deployment.platform.set_faults(faults);
        let stopped = deployment.daemons.remove(0).stop();
        timeout(WAIT_TIMEOUT, stopped)
            .await
            .expect("the stop timed out");
        let (text, last) = read_stream(&stream.text().await.unwrap());
        assert_eq!(text, Engine::expected_text(PROMPT, 100));
        assert_eq!(last, "data: [DONE]");
    }
}

#[tokio::test]
async fn a_long_poll_in_flight_gets_its_response() {
    let services = Services::start().await;
    let mut deployment = Deployment::start(1, &services.documents).await;
    let daemon = deployment.daemons.remove(0);
    let shared = Arc::clone(daemon.shared());
    let url = format!("http://{}", daemon.addresses().service);
    let mut trainer = Trainer::new("trainer-1", vec![url]).unwrap();
    let spec = StepSpec {
        service: ServiceName::new("advisor-lm"),
        prompts: vec![PROMPT.into()],
        samples_per_prompt: 1,
        max_tokens: 10_000,
        staleness_versions: 1,
        scorer: None,
    };
    trainer.put_step(1, &spec, &Cursor::default()).await;
    let polling = tokio::spawn(async move { trainer.pull_samples(1, &Cursor::default()).await });
    wait_until("the poll is in flight", || async {
        services.engine.running() == 1 && shared.in_flight.load(Ordering::SeqCst) >= 2
    })
    .await;
    let stopped = tokio::spawn(daemon.stop());
    let pulled = polling.await.unwrap().expect("the poll got no response");
    assert!(!pulled.complete);
    // The sample takes minutes, so the stop would wait until its drain limit.
    stopped.abort();
}

#[tokio::test]
async fn a_stop_waits_until_a_slow_caller_has_read_the_response() {
    const BODY_BYTES: usize = 4 << 20;
    let shop = ScriptedServer::start(|request| {
        Reply::KeepAlive(request.response("200 OK", &"x".repeat(BODY_BYTES)))
    });
    let shop = shop.await.unwrap();
    let mut deployment = Deployment::start(1, &[plain_document(&[shop.address])]).await;
    let daemon = deployment.daemons.remove(0);
    let mut caller = connect(daemon.addresses().service).await;
    caller
        .write_all(b"GET /v1/services/shopfront/catalogue/all HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    let mut head = [0; 12];
    caller.read_exact(&mut head).await.unwrap();
    let mut stopped = tokio::spawn(daemon.stop());
    let early_stop = timeout(Duration::from_secs(2), &mut stopped).await;
    assert!(
        early_stop.is_err(),
        "the stop ended before the response was read"
    );
    let mut body = Vec::new();
    caller.read_to_end(&mut body).await.unwrap();
    assert!(body.len() > BODY_BYTES);
    stopped.await.unwrap();
}

#[tokio::test]
async fn a_request_that_arrives_slowly_is_counted_from_its_first_bytes() {
    let services = Services::start().await;
    let mut deployment = Deployment::start(1, &services.documents).await;
    let daemon = deployment.daemons.remove(0);
    let shared = Arc::clone(daemon.shared());
    let mut caller = connect(daemon.addresses().service).await;
    let body = format!(r#"{{"model":"advisor-lm","prompt":"{PROMPT}","max_tokens":1}}"#);
    let (first, rest) = body.split_at(20);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{first}",
        body.len()
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    wait_until("the request is counted", || async {
        shared.in_flight.load(Ordering::SeqCst) == 1
    })
    .await;
    let stopped = tokio::spawn(daemon.stop());
    wait_until("new requests are refused", || async {
        shared.is_refusing()
    })
    .await;
    caller.write_all(rest.as_bytes()).await.unwrap();
    let mut response = String::new();
    caller.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    stopped.await.unwrap();
}

#[tokio::test]
async fn an_idle_connection_does_not_delay_a_stop() {
    let services = Services::start().await;
    let mut deployment = Deployment::start(1, &services.documents).await;
    let daemon = deployment.daemons.remove(0);
    let mut caller = connect(daemon.addresses().service).await;
    caller
        .write_all(b"GET /none HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    let mut head = [0; 12];
    caller.read_exact(&mut head).await.unwrap();
    daemon.stop().await;
    let mut rest = Vec::new();
    caller.read_to_end(&mut rest).await.unwrap();
}

#[tokio::test]
async fn samples_for_other_daemons_complete_and_new_ones_are_refused() {
    let services = Services::start().await;
    let mut deployment = Deployment::start(1, &services.documents).await;
    let daemon = deployment.daemons.remove(0);
    let shared = Arc::clone(daemon.shared());
    let requester = Arc::clone(&shared);
    let in_progress = tokio::spawn(async move {
        let limit = Duration::from_secs(30);
        requester.call_control(generate(60), limit).await
    });
    wait_until("the sample is being generated", || async {
        services.engine.running() == 1
    })
    .await;
    let stopped = tokio::spawn(daemon.stop());
    wait_until("the daemon is draining", || async { shared.is_draining() }).await;
    let limit = Duration::from_secs(5);
    let new_request = shared.call_control(generate(1), limit).await;
    assert!(
        matches!(new_request, Some(PeerResponse::Stopping)),
        "{new_request:?}"
    );
    let sample = match in_progress.await.unwrap() {
        Some(PeerResponse::Generated(Generated::Complete(sample))) => sample,
        other => panic!("{other:?}"),
    };
    assert_eq!(*sample.text, Engine::expected_text(PROMPT, 60));
    stopped.await.unwrap();
}

fn generate(max_tokens: u32) -> PeerRequest {
    let task = Task {
        id: StepId {
            trainer: TrainerName::new("trainer-1"),
            step: 1,
        },
        key: SampleKey { group: 0, index: 0 },
        attempt: AttemptKey(u64::from(max_tokens)),
        service: ServiceName::new("advisor-lm"),
        prompt: PROMPT.into(),
        max_tokens,
        expected_tokens: max_tokens,
        oldest_version: WeightVersion(0),
        avoid: Vec::new(),
    };
    PeerRequest::Generate {
        coordinator: MemberId(1),
        task,
    }
}
