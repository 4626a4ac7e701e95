//! Tests that the verdict `not-run` is returned only for requests that did not run, whichever stage
//! refuses them.

mod deployment;

use std::net::SocketAddr;
use std::time::Duration;

use deployment::{Deployment, client, hold, plain_document, verdict, wait_until};
use futures_util::future::join_all;
use reqwest::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wisteriapoint_stand_in::{
    PlainService, ReceivedRequest, Reply, RunningServer, ScriptedServer, serve,
};

/// A plain service that counts its runs, behind one daemon.
struct Shop {
    service: PlainService,
    deployment: Deployment,
    _running: RunningServer,
}

impl Shop {
    async fn start(document: fn(String) -> String) -> Self {
        let service = PlainService::new();
        let running = serve::on_loopback(service.router()).await.unwrap();
        let document = document(plain_document(&[running.address]));
        Self {
            service,
            deployment: Deployment::start(1, &[document]).await,
            _running: running,
        }
    }

    async fn hold(&self, key: &str) -> Response {
        self.deployment.hold(0, key).send().await.unwrap()
    }

    async fn hold_with_deadline_ms(&self, key: &str, deadline_ms: u64) -> Response {
        let request = self.deployment.hold(0, key);
        let request = request.header("wisteriapoint-deadline-ms", deadline_ms);
        request.send().await.unwrap()
    }
}

/// Limits the service to one running request, one queued request and bodies of 100 bytes.
fn with_small_limits(document: String) -> String {
    let limits = r#""limits": { "queue_length": 1, "body_bytes": 100 }, "owner""#;
    document
        .replace("\"owner\"", limits)
        .replace("\"vm\"", "\"max_concurrency\": 1, \"vm\"")
}

fn unchanged(document: String) -> String {
    document
}

type Script = fn(&ReceivedRequest) -> Reply;

async fn start_scripted(script: Script) -> (ScriptedServer, Deployment) {
    let server = ScriptedServer::start(script).await.unwrap();
    let deployment = Deployment::start(1, &[plain_document(&[server.address])]).await;
    (server, deployment)
}

fn assert_refused(response: &Response, status: u16, expected: &str, stage: &str) {
    let found = (response.status().as_u16(), verdict(response));
    assert_eq!(found, (status, expected), "{stage}");
}

#[tokio::test]
async fn refusals_before_a_dispatch_have_run_nothing() {
    let shop = Shop::start(with_small_limits).await;
    let service = |path: &str| shop.deployment.url(0, path);

    let unknown = hold(&service("/v1/services/none/stock/hold"), "a")
        .send()
        .await;
    assert_refused(&unknown.unwrap(), 404, "not-run", "unknown service");

    let large = shop
        .deployment
        .hold(0, "b")
        .body("x".repeat(101))
        .send()
        .await;
    assert_refused(&large.unwrap(), 413, "not-run", "body too large");

    let no_time = shop.hold_with_deadline_ms("c", 0).await;
    assert_refused(&no_time, 400, "not-run", "deadline of 0 ms");

    let malformed = client()
        .post(service("/v1/completions"))
        .body("{")
        .send()
        .await;
    assert_refused(&malformed.unwrap(), 400, "not-run", "malformed");

    assert_eq!(shop.service.total_runs(), 0);
}

#[tokio::test]
async fn refusals_from_the_queue_have_run_nothing() {
    let shop = Shop::start(with_small_limits).await;
    shop.service.set_delay(Duration::from_secs(600));
    let first = shop.deployment.hold(0, "first");
    let first = first.header("wisteriapoint-deadline-ms", "600000").send();
    let _first = tokio::spawn(first);
    wait_until("the first request is running", || async {
        shop.service.total_runs() == 1
    })
    .await;
    let keys = ["a", "b", "c"];
    let responses = join_all(keys.map(|key| shop.hold_with_deadline_ms(key, 1_000))).await;
    let mut statuses: Vec<u16> = responses.iter().map(|r| r.status().as_u16()).collect();
    statuses.sort_unstable();
    // One request is queued until its deadline; the others are refused because the queue is full.
    assert_eq!(statuses, [503, 503, 504]);
    for response in &responses {
        assert_eq!(verdict(response), "not-run");
        assert!(response.headers().contains_key("retry-after"));
    }
    assert_eq!(shop.service.total_runs(), 1);
}

#[tokio::test]
async fn a_draining_endpoint_has_run_nothing() {
    let shop = Shop::start(unchanged).await;
    shop.service.set_draining(true);
    for key in ["a", "b"] {
        let refused = shop.hold(key).await;
        assert_refused(&refused, 503, "not-run", "endpoint draining");
    }
    assert_eq!(shop.service.total_runs(), 0);
    shop.service.set_draining(false);
    wait_until("the endpoint accepts requests again", || async {
        shop.hold("a").await.status() == 200
    })
    .await;
    assert_eq!(shop.service.runs()["a"], 1);
}

#[tokio::test]
async fn a_refused_connection_has_run_nothing() {
    let unused = serve::reserve_address().unwrap();
    let deployment = Deployment::start(1, &[plain_document(&[unused.address])]).await;
    let request = deployment.hold(0, "a");
    let refused = request.header("wisteriapoint-deadline-ms", "500").send();
    assert_eq!(verdict(&refused.await.unwrap()), "not-run");
}

#[tokio::test]
async fn a_request_written_to_a_connection_may_have_run_and_is_sent_once() {
    let cases: [(&str, Script); 4] = [
        ("closed", |_| Reply::Close(String::new())),
        ("truncated", |request| {
            Reply::Close(request.response("200 OK", "whole").replace("whole", "who"))
        }),
        ("silent", |_| Reply::KeepAlive(String::new())),
        ("too large", |request| {
            Reply::KeepAlive(request.response("200 OK", &"x".repeat(5 << 20)))
        }),
    ];
    let checks = cases.map(|(name, script)| async move {
        assert_dispatched_once(name, script, &[""]).await;
        // A retry with the same key gets the recorded verdict and is not sent.
        assert_dispatched_once(name, script, &["a", "a"]).await;
    });
    join_all(checks).await;
}

/// Guards against a status that is no final answer of HTTP, such as 000, that a caller gets as an answer or
/// that is recorded for a retry.
#[tokio::test]
async fn a_status_that_is_no_final_answer_is_never_forwarded() {
    let cases: [(&str, Script); 6] = [
        ("000", |request| odd_status(request, "000 Trouble")),
        ("001", |request| odd_status(request, "001 Trouble")),
        ("101", |request| odd_status(request, "101 Trouble")),
        ("600", |request| odd_status(request, "600 Trouble")),
        ("999", |request| odd_status(request, "999 Trouble")),
        ("1000", |request| odd_status(request, "1000 Trouble")),
    ];
    let checks = cases.map(|(name, script)| async move {
        assert_dispatched_once(name, script, &["a", "a"]).await;
    });
    join_all(checks).await;
}

fn odd_status(request: &ReceivedRequest, status: &str) -> Reply {
    Reply::KeepAlive(request.response(status, "wrong"))
}

/// Sends a hold for each key to endpoints with faulty responses; an empty key sends no key.
async fn assert_dispatched_once(name: &str, script: Script, keys: &[&str]) {
    // With a second endpoint available, only the verdict prevents a repeated dispatch.
    let servers = [
        ScriptedServer::start(script).await.unwrap(),
        ScriptedServer::start(script).await.unwrap(),
    ];
    let document = plain_document(&[servers[0].address, servers[1].address]);
    let deployment = Deployment::start(1, &[document]).await;
    for &key in keys {
        let request = match key {
            "" => client().post(deployment.url(0, "/v1/services/shopfront/stock/hold")),
            key => deployment.hold(0, key),
        };
        let request = request.header("wisteriapoint-deadline-ms", "700");
        let response = request.send().await.unwrap();
        assert_eq!(verdict(&response), "may-have-run", "{name} {key}");
    }
    let requests = servers.each_ref().map(|server| server.requests());
    assert_eq!(
        requests[0].len() + requests[1].len(),
        1,
        "{name}: {requests:?}"
    );
}

#[tokio::test]
async fn a_refusal_after_an_attempt_that_may_have_run_is_may_have_run() {
    let (server, deployment) = start_scripted(|_| Reply::Close(String::new())).await;
    let url = deployment.url(0, "/v1/services/shopfront/catalogue/straps");
    let request = client().get(url).header("wisteriapoint-deadline-ms", "500");
    let response = request.send().await.unwrap();
    assert!(!server.requests().is_empty());
    assert_refused(&response, 504, "may-have-run", "deadline after an attempt");
}

#[tokio::test]
async fn the_remaining_time_decreases_with_each_attempt() {
    let (server, deployment) = start_scripted(|request| match request.number {
        0 => Reply::Close(String::new()),
        _ => Reply::KeepAlive(request.response("200 OK", "straps")),
    })
    .await;
    let url = deployment.url(0, "/v1/services/shopfront/catalogue/straps");
    let request = client()
        .get(url)
        .header("wisteriapoint-deadline-ms", "9000");
    assert_eq!(request.send().await.unwrap().status(), 200);
    let received = server.requests();
    let remaining_ms: Vec<u64> = received
        .iter()
        .map(|request| request.header("wisteriapoint-deadline-ms").parse().unwrap())
        .collect();
    assert!(
        remaining_ms.len() == 2 && remaining_ms[0] <= 9_000 && remaining_ms[1] < remaining_ms[0],
        "{remaining_ms:?}"
    );
}

#[tokio::test]
async fn a_retry_gets_the_recorded_response_marked_as_replayed() {
    let shop = Shop::start(unchanged).await;
    let first = shop.hold("a").await;
    assert!(!first.headers().contains_key("wisteriapoint-replayed"));
    let first = first.text().await.unwrap();
    let second = shop.hold("a").await;
    assert_eq!(second.headers()["wisteriapoint-replayed"], "true");
    assert_eq!(second.text().await.unwrap(), first);
    let other = shop.deployment.hold(0, "a").body("strap 8").send().await;
    assert_refused(&other.unwrap(), 422, "not-run", "key of another request");
    assert_eq!(shop.service.runs()["a"], 1);
}

#[tokio::test]
async fn a_caller_that_disconnects_leaves_no_claim_open() {
    let shop = Shop::start(unchanged).await;
    shop.service.set_delay(Duration::from_secs(2));
    let sent = tokio::spawn(shop.deployment.hold(0, "a").send());
    wait_until("the hold is running", || async {
        shop.service.total_runs() == 1
    })
    .await;
    let concurrent = shop.hold_with_deadline_ms("a", 200).await;
    assert_refused(
        &concurrent,
        409,
        "may-have-run",
        "another attempt in progress",
    );
    sent.abort();
    wait_until("nothing is in flight", || async {
        shop.deployment.in_flight(0) == 0
    })
    .await;
    let repeat = shop.hold("a").await;
    assert_eq!(repeat.status(), 200);
    assert_eq!(repeat.headers()["wisteriapoint-replayed"], "true");
    assert_eq!(shop.service.runs()["a"], 1);
}

#[tokio::test]
async fn a_response_too_large_to_record_is_sent_once() {
    let (server, deployment) = start_scripted(|request| {
        Reply::KeepAlive(request.response("200 OK", &"x".repeat(300_000)))
    })
    .await;
    let first = deployment.hold(0, "a").send().await.unwrap();
    assert_eq!(first.text().await.unwrap().len(), 300_000);
    let repeat = deployment.hold(0, "a").send().await.unwrap();
    assert_refused(&repeat, 409, "may-have-run", "response not recorded");
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test]
async fn a_redirect_reaches_the_caller_with_its_location() {
    let (server, deployment) = start_scripted(|request| {
        let found = "302 Found\r\nlocation: /elsewhere\r\nset-cookie: basket=7";
        Reply::KeepAlive(request.response(found, ""))
    })
    .await;
    let policy = reqwest::redirect::Policy::none();
    let caller = reqwest::Client::builder().no_proxy().redirect(policy);
    let url = deployment.url(0, "/v1/services/shopfront/catalogue/old");
    let request = caller.build().unwrap().get(url);
    let response = request.header("cookie", "basket=6").send().await.unwrap();
    assert_eq!(response.status(), 302);
    assert_eq!(response.headers()["location"], "/elsewhere");
    assert_eq!(response.headers()["set-cookie"], "basket=7");
    let received = server.requests();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].header("cookie"), "basket=6");
}

#[tokio::test]
async fn a_connect_that_times_out_has_run_nothing() {
    // A listener whose backlog is full does not accept further connections.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut connections = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(
        Duration::from_millis(300),
        tokio::net::TcpStream::connect(address),
    )
    .await
    {
        connections.push(stream);
    }
    let deployment = Deployment::start(1, &[plain_document(&[address])]).await;
    // The deadline leaves time for one attempt to connect, not for a second one.
    let request = deployment.hold(0, "a");
    let refused = request.header("wisteriapoint-deadline-ms", "1500").send();
    assert_eq!(verdict(&refused.await.unwrap()), "not-run");
}

/// Sends a request over a plain connection, so that no client library normalizes its path.
async fn send_raw(deployment: &Deployment, method: &str, path: &str, header: &str) -> String {
    let address = deployment.daemons[0].addresses().service;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "{method} /v1/services/shopfront{path} HTTP/1.1\r\nhost: a\r\n{header}connection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}

#[tokio::test]
async fn a_path_reaches_the_endpoint_as_it_was_sent() {
    let (server, deployment) =
        start_scripted(|request| Reply::KeepAlive(request.response("200 OK", ""))).await;
    for path in ["/catalogue/a%3Fb%2Fc%20d?x=%20y", "/catalogue//a/", "/"] {
        let response = send_raw(&deployment, "GET", path, "").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let received = server.requests();
        let line = received.last().unwrap().head.lines().next().unwrap();
        assert_eq!(line, format!("GET {path} HTTP/1.1"));
    }
}

#[tokio::test]
async fn an_unnormalized_path_does_not_make_a_request_idempotent() {
    let (server, deployment) = start_scripted(|_| Reply::Close(String::new())).await;
    for path in [
        "/catalogue/../stock/hold",
        "/catalogue/%2E%2e/stock/hold",
        "/catalogue/.%2e/stock/hold",
        "/catalogue\\..\\stock/hold",
    ] {
        let response = send_raw(&deployment, "PUT", path, "").await;
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
        assert!(
            response.contains("wisteriapoint-verdict: not-run"),
            "{response}"
        );
    }
    assert_eq!(server.requests().len(), 0);
    let response = send_raw(&deployment, "PUT", "/stock/%68old", "").await;
    assert!(
        response.contains("wisteriapoint-verdict: may-have-run"),
        "{response}"
    );
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test]
async fn a_malformed_key_is_refused() {
    let shop = Shop::start(unchanged).await;
    for header in ["idempotency-key: \r\n", "idempotency-key: k\u{e9}\r\n"] {
        let response = send_raw(&shop.deployment, "POST", "/stock/hold", header).await;
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
        assert!(
            response.contains("wisteriapoint-verdict: not-run"),
            "{response}"
        );
    }
    assert_eq!(shop.service.total_runs(), 0);
}

#[tokio::test]
async fn a_response_to_another_request_is_discarded_and_counted() {
    let (_server, deployment) = start_scripted(|_| {
        Reply::KeepAlive(wisteriapoint_stand_in::scripted::response(
            "another",
            "200 OK",
            "not yours",
        ))
    })
    .await;
    let response = deployment.hold(0, "a").send().await.unwrap();
    assert_refused(&response, 502, "may-have-run", "crossed");
    assert!(!response.text().await.unwrap().contains("not yours"));
    let metrics = deployment.daemons[0].shared().metrics.render();
    let expected = "wisteriapoint_failed_attempts_total\
        {kind=\"crossed\",service=\"shopfront\",verdict=\"may-have-run\"} 1\n";
    assert!(metrics.contains(expected), "{metrics}");
}

#[tokio::test]
async fn the_same_key_at_two_services_identifies_two_requests() {
    let services = [PlainService::new(), PlainService::new()];
    let mut running = Vec::new();
    let mut documents = Vec::new();
    for (service, name) in services.iter().zip(["shopfront", "billing"]) {
        let server = serve::on_loopback(service.router()).await.unwrap();
        let document = plain_document(&[server.address]);
        documents.push(document.replace("shopfront", name));
        running.push(server);
    }
    let deployment = Deployment::start(1, &documents).await;
    for name in ["shopfront", "billing"] {
        let url = deployment.url(0, &format!("/v1/services/{name}/stock/hold"));
        let request = client().post(url).header("idempotency-key", "order-17");
        let response = request.body("strap 7").send().await.unwrap();
        assert_eq!(response.status(), 200);
        assert!(!response.headers().contains_key("wisteriapoint-replayed"));
    }
    for service in &services {
        assert_eq!(service.runs()["order-17"], 1);
    }
}
