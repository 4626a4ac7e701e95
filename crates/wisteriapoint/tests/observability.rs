//! Tests the metrics, log formats, health and readiness of daemons.

mod fleet;

use std::collections::BTreeSet;
use std::io::Write;
use std::sync::{Arc, Mutex};

use fleet::{Fleet, document, revision, wait_until};
use log::{Level, LevelFilter, Record};
use reqwest::Client;
use wisteriapoint::daemon::Daemon;
use wisteriapoint::logging;
use wisteriapoint_settings::vm::LogFormat;
use wisteriapoint_stand_in::platform::Faults;
use wisteriapoint_stand_in::{PlainService, serve};

const UNKNOWN_SERVICES: usize = 50;

async fn get(client: &Client, daemon: &Daemon, path: &str) -> (u16, String) {
    let url = format!("http://{}/{path}", daemon.addresses().admin);
    let response = client.get(url).send().await.unwrap();
    (response.status().as_u16(), response.text().await.unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_requests_with_bounded_labels() {
    let fleet = Fleet::start(&["dk-east-a"]).await;
    let shop = serve::on_loopback(PlainService::new().router())
        .await
        .unwrap();
    fleet
        .apply(&document("shopfront", shop.address, 5_000))
        .await;
    let daemon = &fleet.daemons[0];
    fleet
        .wait_until("the document is in force", |_| {
            revision(daemon, "shopfront").is_some()
        })
        .await;
    let client = Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}/v1/services", daemon.addresses().service);
    for _ in 0..3 {
        let response = client
            .get(format!("{url}/shopfront/catalogue"))
            .send()
            .await;
        assert!(response.unwrap().status().is_success());
    }
    for number in 0..UNKNOWN_SERVICES {
        let response = client
            .get(format!("{url}/invented-{number}/a"))
            .send()
            .await;
        assert_eq!(response.unwrap().status().as_u16(), 404);
    }
    let (status, text) = get(&client, daemon, "metrics").await;
    assert_eq!(status, 200);
    for line in [
        r#"wisteriapoint_requests_total{class="caller",outcome="answered",service="shopfront"} 3"#,
        r#"wisteriapoint_request_seconds_count{class="caller",service="shopfront"} 3"#,
        r#"wisteriapoint_requests_total{class="caller",outcome="not-run",service="unknown"} 50"#,
        r#"wisteriapoint_refusals_total{kind="unknown-service",verdict="not-run"} 50"#,
        r#"wisteriapoint_endpoints{service="shopfront",state="open"} 1"#,
        r#"wisteriapoint_revision{service="shopfront"} 1"#,
        "wisteriapoint_ready 1",
        "wisteriapoint_in_flight 0",
        "wisteriapoint_members 1",
    ] {
        assert!(text.lines().any(|other| other == line), "{line}\n{text}");
    }
    assert!(!text.contains("invented"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_operators_page_names_every_metric() {
    let fleet = Fleet::start(&["dk-east-a"]).await;
    let metrics = &fleet.daemons[0].shared().metrics;
    let page = include_str!("../../../docs/operators.md");
    let names: BTreeSet<String> = metrics.names().into_iter().collect();
    assert!(names.len() > 10);
    let missing: Vec<&String> = names
        .iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_is_healthy_before_it_is_ready_and_while_it_drains() {
    let mut fleet = Fleet::start(&["dk-east-a"]).await;
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    fleet.add("dk-east-b", Vec::new()).await;
    let client = Client::builder().no_proxy().build().unwrap();
    let daemon = &fleet.daemons[1];
    assert_eq!(get(&client, daemon, "health").await, (200, "ok\n".into()));
    let (status, reason) = get(&client, daemon, "ready").await;
    assert_eq!((status, reason.as_str()), (503, "no configuration yet\n"));
    fleet.platform.set_faults(Faults::default());
    wait_until("the daemon is ready", || async {
        get(&client, daemon, "ready").await == (200, "ready\n".into())
    })
    .await;
    let url = format!("http://{}/drain", daemon.addresses().admin);
    client.post(url).send().await.unwrap();
    assert_eq!(
        get(&client, daemon, "ready").await,
        (503, "stopping\n".into())
    );
    assert_eq!(get(&client, daemon, "health").await.0, 200);
}

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn lines(format: LogFormat) -> Vec<String> {
    let buffer = Buffer::default();
    let writer: Box<dyn Write + Send> = Box::new(buffer.clone());
    let dispatch = logging::dispatch(format, LevelFilter::Info).chain(writer);
    let (_, logger) = dispatch.into_log();
    for (level, target, message) in [
        (
            Level::Info,
            "wisteriapoint::daemon",
            "service \"a\": revision 2 in force",
        ),
        (Level::Debug, "wisteriapoint::daemon", "not logged"),
        (Level::Warn, "wisteriapoint::daemon", "two\nlines"),
        (Level::Info, "another::crate", "not logged"),
    ] {
        let mut record = Record::builder();
        let record = record.level(level).target(target);
        logger.log(&record.args(format_args!("{message}")).build());
    }
    logger.flush();
    let written = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    written.lines().map(str::to_owned).collect()
}

#[test]
fn plain_log_lines_are_one_event_each() {
    let lines = lines(LogFormat::Plain);
    let messages: Vec<&str> = lines
        .iter()
        .map(|line| {
            let (at_ms, message) = line.split_once(' ').unwrap();
            assert!(at_ms.parse::<u64>().is_ok(), "{line}");
            message
        })
        .collect();
    assert_eq!(
        messages,
        [
            "INFO wisteriapoint::daemon service \"a\": revision 2 in force",
            "WARN wisteriapoint::daemon two; lines",
        ]
    );
}

#[test]
fn json_log_lines_are_one_object_each() {
    let lines = lines(LogFormat::Json);
    let objects: Vec<serde_json::Value> = lines
        .iter()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(objects.len(), 2);
    assert!(objects[0]["at_ms"].is_u64());
    assert_eq!(objects[0]["level"], "INFO");
    assert_eq!(objects[0]["target"], "wisteriapoint::daemon");
    assert_eq!(objects[0]["message"], "service \"a\": revision 2 in force");
    assert_eq!(objects[1]["message"], "two\nlines");
}
