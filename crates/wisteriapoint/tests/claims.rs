//! Tests that a request that is not idempotent runs at most once while daemons join, stop and are
//! killed.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, document, member_count, wait_until};
use uuid::Uuid;
use wisteriapoint::daemon::Daemon;
use wisteriapoint_stand_in::platform::Faults;
use wisteriapoint_stand_in::{PlainService, RunningServer, serve};

const DOMAINS: [&str; 3] = ["dk-east-a", "dk-east-b", "dk-east-c"];
const KEYS: usize = 24;
const DEADLINE_MS: u64 = 20_000;

/// Response to a stock hold as the caller receives it; status 0 if there was none.
#[derive(Debug, Clone, PartialEq, Eq)]
struct HoldResponse {
    status: u16,
    verdict: String,
    body: String,
}

impl HoldResponse {
    /// Returns the expected response to a retry: the same one with the verdict `ran`.
    fn as_replayed(&self) -> Self {
        Self {
            verdict: "ran".to_owned(),
            ..self.clone()
        }
    }
}

struct Shop {
    fleet: Fleet,
    service: PlainService,
    _running: RunningServer,
}

impl Shop {
    async fn start() -> Self {
        let fleet = Fleet::start(&DOMAINS).await;
        let service = PlainService::new();
        let running = serve::on_loopback(service.router()).await.unwrap();
        let text = document("shopfront", running.address, DEADLINE_MS);
        let revision = fleet.apply(&text).await;
        fleet
            .wait_until("the document is in force on every daemon", |fleet| {
                let in_force = |daemon| fleet::revision(daemon, "shopfront") == Some(revision);
                fleet.daemons.iter().all(in_force)
            })
            .await;
        let shop = Self {
            fleet,
            service,
            _running: running,
        };
        shop.wait_for_open_partitions().await;
        shop
    }

    /// Waits until every partition is open on all daemons that hold it.
    async fn wait_for_open_partitions(&self) {
        self.fleet
            .wait_until("all partitions are open", |fleet| {
                fleet.daemons.iter().all(|daemon| {
                    let shared = daemon.shared();
                    let held = shared
                        .snapshot
                        .load()
                        .view
                        .partitions_held_by(shared.me.id)
                        .count();
                    shared.metrics.open_partitions.get() == held as i64
                })
            })
            .await;
    }

    async fn hold(&self, daemon: usize, key: &str) -> HoldResponse {
        hold(&self.fleet.daemons[daemon], key).await
    }

    async fn wait_for_member_count(&self, count: usize) {
        self.fleet
            .wait_until("every daemon has the expected number of members", |fleet| {
                fleet
                    .daemons
                    .iter()
                    .all(|daemon| member_count(daemon) == count)
            })
            .await;
    }

    fn runs(&self, key: &str) -> u32 {
        self.service.runs().get(key).copied().unwrap_or(0)
    }
}

async fn hold(daemon: &Daemon, key: &str) -> HoldResponse {
    let address = daemon.addresses().service;
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let sent = client
        .post(format!("http://{address}/v1/services/shopfront/stock/hold"))
        .header("idempotency-key", key)
        .body(key.to_owned())
        .send();
    let Ok(response) = sent.await else {
        return HoldResponse {
            status: 0,
            verdict: String::new(),
            body: String::new(),
        };
    };
    let verdict = response.headers().get("wisteriapoint-verdict");
    HoldResponse {
        status: response.status().as_u16(),
        verdict: verdict
            .map_or("", |verdict| verdict.to_str().unwrap())
            .to_owned(),
        body: response.text().await.unwrap_or_default(),
    }
}

fn keys() -> Vec<String> {
    (0..KEYS).map(|_| Uuid::now_v7().to_string()).collect()
}

#[tokio::test]
async fn the_same_key_on_two_daemons_runs_once() {
    let shop = Shop::start().await;
    shop.service.set_delay(Duration::from_millis(200));
    for key in keys().iter().take(6) {
        let (first, second) = tokio::join!(shop.hold(0, key), shop.hold(1, key));
        assert_eq!(first.status, 200);
        assert!(second == first.as_replayed() || first == second.as_replayed());
        assert_eq!(shop.runs(key), 1);
    }
}

#[tokio::test]
async fn a_retry_after_a_holder_was_killed_gets_the_recorded_response() {
    let mut shop = Shop::start().await;
    let keys = keys();
    let mut first = Vec::new();
    for key in &keys {
        first.push(shop.hold(0, key).await);
    }
    shop.fleet.daemons.remove(2).kill();
    for (key, first) in keys.iter().zip(&first).take(KEYS / 2) {
        assert_eq!(shop.hold(1, key).await, first.as_replayed());
    }
    shop.wait_for_member_count(2).await;
    for (key, first) in keys.iter().zip(&first) {
        assert_eq!(
            (first.status, shop.hold(1, key).await),
            (200, first.as_replayed())
        );
        assert_eq!(shop.runs(key), 1);
    }
}

#[tokio::test]
async fn a_retry_after_the_claimant_was_killed_gets_may_have_run() {
    let mut shop = Shop::start().await;
    shop.service.set_delay(Duration::from_secs(2));
    let key = Uuid::now_v7().to_string();
    let claimant = shop.fleet.daemons.remove(0);
    let wait_until_running = async {
        let sent = tokio::time::timeout(Duration::from_secs(30), hold(&claimant, &key));
        tokio::pin!(sent);
        let running = wait_until("the request is running", || async { shop.runs(&key) == 1 });
        tokio::select! {
            response = &mut sent => {
                panic!("the response arrived before the claimant was killed: {response:?}")
            }
            () = running => {}
        }
    };
    wait_until_running.await;
    claimant.kill();
    let retry = shop.hold(0, &key).await;
    assert_eq!((retry.status, &*retry.verdict), (409, "may-have-run"));
    shop.wait_for_member_count(2).await;
    let retry = shop.hold(1, &key).await;
    assert_eq!((retry.status, &*retry.verdict), (409, "may-have-run"));
    assert_eq!(shop.runs(&key), 1);
}

#[tokio::test]
async fn a_retry_after_daemons_joined_gets_the_recorded_response() {
    let mut shop = Shop::start().await;
    let keys = keys();
    let mut first = Vec::new();
    for key in &keys {
        first.push(shop.hold(0, key).await);
    }
    for domain in ["dk-east-a", "dk-east-b", "dk-east-c"] {
        shop.fleet.add(domain, Vec::new()).await;
    }
    shop.wait_for_member_count(6).await;
    for daemon in shop.fleet.daemons.drain(..2).collect::<Vec<_>>() {
        daemon.stop().await;
    }
    shop.wait_for_member_count(4).await;
    shop.fleet
        .wait_until("the document is in force on the new daemons", |fleet| {
            let in_force = |daemon| fleet::revision(daemon, "shopfront").is_some();
            fleet.daemons.iter().all(in_force)
        })
        .await;
    for (number, (key, first)) in keys.iter().zip(&first).enumerate() {
        let retry = shop.hold(1 + number % 3, key).await;
        assert_eq!((first.status, retry), (200, first.as_replayed()));
        assert_eq!(shop.runs(key), 1);
    }
}

#[tokio::test]
async fn claims_succeed_while_the_platform_is_down() {
    let shop = Shop::start().await;
    shop.fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    for key in &keys() {
        let first = shop.hold(0, key).await;
        assert_eq!(
            (first.status, shop.hold(2, key).await),
            (200, first.as_replayed())
        );
        assert_eq!(shop.runs(key), 1);
    }
}

#[tokio::test]
async fn keys_issued_before_two_daemons_were_killed_never_run_and_later_ones_do() {
    let mut shop = Shop::start().await;
    let before = keys();
    shop.fleet.daemons.remove(0).kill();
    shop.fleet.daemons.remove(0).kill();
    shop.wait_for_member_count(1).await;
    shop.wait_for_open_partitions().await;
    for key in &before {
        let response = shop.hold(0, key).await;
        assert_eq!((response.status, &*response.verdict), (409, "may-have-run"));
        assert_eq!(shop.runs(key), 0);
    }
    wait_until(
        "a key issued after the daemons were killed runs",
        || async {
            let key = Uuid::now_v7().to_string();
            shop.hold(0, &key).await.status == 200
        },
    )
    .await;
}
