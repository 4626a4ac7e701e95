//! Tests with daemon processes that are killed, suspended and stopped.

mod deployment;

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use deployment::{
    DRAIN_WAIT_MS, PROMPT, completion, hold, model_document, plain_document, read_stream, settings,
    verdict, wait_until,
};
use reqwest::Response;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;
use wisteriapoint::cli::service::apply_document;
use wisteriapoint::daemon::Addresses;
use wisteriapoint_stand_in::{
    Engine, EngineSettings, PlainService, Platform, RunningServer, serve,
};
use wisteriapoint_store::{HttpStore, keys};
use wisteriapoint_types::VmName;
use wisteriapoint_types::key::PARTITION_COUNT;

const DEADLINE_MS: u64 = 60_000;

/// A daemon process, killed on drop.
struct Process {
    child: Child,
    addresses: Addresses,
}

impl Process {
    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addresses.service)
    }

    fn hold(&self, key: &str) -> reqwest::RequestBuilder {
        hold(&self.url("/v1/services/shopfront/stock/hold"), key)
            .header("wisteriapoint-deadline-ms", DEADLINE_MS)
    }

    async fn is_ready(&self) -> bool {
        let url = format!("http://{}/ready", self.addresses.admin);
        let response = deployment::client().get(url).send().await;
        response.is_ok_and(|response| response.status() == 200)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stand-ins for the platform and both services in the test process, and three daemon processes.
struct Fixture {
    platform: Platform,
    engine: Engine,
    shop: PlainService,
    daemons: Vec<Process>,
    directory: TempDir,
    _running: [RunningServer; 3],
}

impl Fixture {
    async fn start() -> Self {
        let platform = Platform::new();
        let engine = Engine::new(EngineSettings {
            tokens_per_s: 50.0,
            ..EngineSettings::default()
        });
        let shop = PlainService::new();
        let running = [
            serve::on_loopback(platform.router()).await.unwrap(),
            serve::on_loopback(engine.router()).await.unwrap(),
            serve::on_loopback(shop.router()).await.unwrap(),
        ];
        let url = format!("http://{}", running[0].address);
        let store = HttpStore::new(&url).unwrap();
        let shop_document = plain_document(&[running[2].address]);
        let shop_document = shop_document.replace("\"vm\"", "\"max_concurrency\": 1, \"vm\"");
        for document in [model_document(&[running[1].address]), shop_document] {
            apply_document(&store, &document, None, "test")
                .await
                .unwrap();
        }
        let mut fixture = Self {
            platform,
            engine,
            shop,
            daemons: Vec::new(),
            directory: TempDir::new().unwrap(),
            _running: running,
        };
        for number in 1..=3 {
            let daemon = fixture.spawn(&url, number).await;
            fixture.daemons.push(daemon);
        }
        wait_until("every daemon has all members in its view", || async {
            fixture
                .member_counts()
                .await
                .iter()
                .all(|&members| members == 3)
        })
        .await;
        // A claim is held only where its partition is open. Three daemons hold all partitions.
        wait_until("all partitions are open", || async {
            let open = fixture.metric("wisteriapoint_open_partitions").await;
            open.iter().all(|&open| open == u32::from(PARTITION_COUNT))
        })
        .await;
        fixture
    }

    fn path(&self, name: &str, number: usize) -> PathBuf {
        self.directory.path().join(format!("{name}-{number}"))
    }

    async fn spawn(&self, platform_url: &str, number: usize) -> Process {
        let settings_file = self.path("settings", number);
        let addresses_file = self.path("addresses", number);
        let settings = settings(platform_url, number, DRAIN_WAIT_MS);
        std::fs::write(&settings_file, settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_wisteriapoint"))
            .arg("serve")
            .arg("--settings")
            .arg(settings_file)
            .arg("--addresses")
            .arg(&addresses_file)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let read = || -> Option<Addresses> {
            let text = std::fs::read(&addresses_file).ok()?;
            serde_json::from_slice(&text).ok()
        };
        wait_until("the daemon listens", || async { read().is_some() }).await;
        let process = Process {
            child,
            addresses: read().unwrap(),
        };
        wait_until("the daemon is ready", || process.is_ready()).await;
        process
    }

    /// Returns the number of members in each daemon's view.
    async fn member_counts(&self) -> Vec<usize> {
        let mut member_counts = Vec::new();
        for daemon in &self.daemons {
            let url = format!("http://{}/status", daemon.addresses.admin);
            let response = deployment::client().get(url).send().await.unwrap();
            let status: serde_json::Value = response.json().await.unwrap();
            member_counts.push(status["view"]["members"].as_array().map_or(0, Vec::len));
        }
        member_counts
    }

    fn runs(&self, key: &str) -> u32 {
        self.shop.runs().get(key).copied().unwrap_or_default()
    }

    /// Sends two holds through the first daemon; the second is queued until the first has run.
    async fn run_and_queue(&self, first_key: &str, queued_key: &str) -> [ResponseHandle; 2] {
        let running = tokio::spawn(self.daemons[0].hold(first_key).send());
        wait_until("the first hold is running", || async {
            self.runs(first_key) == 1
        })
        .await;
        let queued = tokio::spawn(self.daemons[0].hold(queued_key).send());
        // A claim needs two of three holders; the third may receive no request for it.
        wait_until("most daemons hold both claims", || async {
            let claims = self.metric("wisteriapoint_claims").await;
            claims.iter().filter(|&&claims| claims == 2).count() >= 2
        })
        .await;
        [running, queued]
    }

    /// Returns the value of a metric without labels at each daemon.
    async fn metric(&self, name: &str) -> Vec<u32> {
        let mut values = Vec::new();
        for daemon in &self.daemons {
            let url = format!("http://{}/metrics", daemon.addresses.admin);
            let response = deployment::client().get(url).send().await.unwrap();
            let text = response.text().await.unwrap();
            let mut lines = text.lines().filter_map(|line| line.split_once(' '));
            let value = lines.find(|(metric, _)| *metric == name);
            values.push(value.and_then(|(_, value)| value.parse().ok()).unwrap_or(0));
        }
        values
    }

    /// Retries a hold at the other daemons and checks that each verdict matches the number of runs.
    async fn retry_at_other_daemons(&self, key: &str) {
        for _ in 0..3 {
            for daemon in &self.daemons[1..] {
                let response = daemon.hold(key).send().await.unwrap();
                match (response.status().as_u16(), verdict(&response)) {
                    (200, _) => assert_eq!(self.runs(key), 1),
                    (_, "may-have-run") => assert!(self.runs(key) <= 1),
                    (status, verdict) => {
                        panic!("{status} {verdict} after {} runs", self.runs(key))
                    }
                }
            }
        }
    }
}

type ResponseHandle = tokio::task::JoinHandle<reqwest::Result<Response>>;

#[tokio::test]
async fn a_hold_whose_daemon_is_killed_after_its_dispatch_runs_once() {
    let mut fixture = Fixture::start().await;
    fixture.shop.set_delay(Duration::from_secs(1));
    let sent = tokio::spawn(fixture.daemons[0].hold("a").send());
    wait_until("the hold is running", || async { fixture.runs("a") == 1 }).await;
    fixture.daemons[0].child.kill().unwrap();
    assert!(sent.await.unwrap().is_err());
    fixture.retry_at_other_daemons("a").await;
    assert_eq!(fixture.runs("a"), 1);
}

// Guards against a second dispatch of a hold whose claimant is killed while the hold is queued.
#[tokio::test]
async fn a_hold_whose_daemon_is_killed_before_its_dispatch_runs_at_most_once() {
    let mut fixture = Fixture::start().await;
    fixture.shop.set_delay(Duration::from_secs(600));
    let [running, queued] = fixture.run_and_queue("first", "waiting").await;
    fixture.daemons[0].child.kill().unwrap();
    assert!(running.await.unwrap().is_err());
    assert!(queued.await.unwrap().is_err());
    fixture.shop.set_delay(Duration::ZERO);
    fixture.retry_at_other_daemons("waiting").await;
    assert!(fixture.runs("waiting") <= 1);
    assert_eq!(fixture.runs("first"), 1);
}

#[tokio::test]
async fn a_claimant_suspended_past_its_lease_runs_its_hold_once_after_it_resumes() {
    let fixture = Fixture::start().await;
    fixture.shop.set_delay(Duration::from_secs(1));
    let [running, queued] = fixture.run_and_queue("first", "waiting").await;
    fixture.daemons[0].signal(Signal::STOP);
    let lease = keys::lease(&VmName::new("entry-1"));
    wait_until("the lease has expired", || async {
        fixture.platform.value(&lease).is_none()
    })
    .await;
    fixture.retry_at_other_daemons("waiting").await;
    fixture.daemons[0].signal(Signal::CONT);
    for sent in [running, queued] {
        let response = sent.await.unwrap().unwrap();
        assert!(response.status() == 200 || verdict(&response) == "may-have-run");
    }
    fixture.retry_at_other_daemons("waiting").await;
    assert_eq!((fixture.runs("first"), fixture.runs("waiting")), (1, 1));
}

#[tokio::test]
async fn a_stream_completes_after_repeated_stop_signals() {
    let mut fixture = Fixture::start().await;
    let url = fixture.daemons[0].url("/v1/completions");
    let stream = completion(&url, 150, true).send().await.unwrap();
    fixture.daemons[0].signal(Signal::TERM);
    wait_until("the daemon reports that it is not ready", || async {
        !fixture.daemons[0].is_ready().await
    })
    .await;
    fixture.daemons[0].signal(Signal::TERM);
    fixture.daemons[0].signal(Signal::INT);
    let (text, last) = read_stream(&stream.text().await.unwrap());
    assert_eq!(text, Engine::expected_text(PROMPT, 150));
    assert_eq!(last, "data: [DONE]");
    let stopping = &mut fixture.daemons[0].child;
    let mut status = None;
    while status.is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
        status = stopping.try_wait().unwrap();
    }
    assert!(status.unwrap().success());
    assert_eq!(fixture.engine.started(), 1);
}
