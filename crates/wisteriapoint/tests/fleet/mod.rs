//! Daemons and a stand-in platform that run in the test process.

#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use wisteriapoint::cli::service;
use wisteriapoint::daemon::Daemon;
use wisteriapoint_settings::VmSettings;
use wisteriapoint_stand_in::{Platform, RunningServer, serve};
use wisteriapoint_store::HttpStore;
use wisteriapoint_types::{Revision, ServiceName};

/// Timeout of a wait for a condition; far above every time bound that the service guarantees.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Daemons that share one stand-in platform.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) platform_server: RunningServer,
    pub(crate) daemons: Vec<Daemon>,
    daemons_started: u32,
}

impl Fleet {
    /// Starts a platform and one daemon per failure domain in `domains`.
    ///
    /// Returns once every daemon has all members in its view and its partitions open.
    pub(crate) async fn start(domains: &[&str]) -> Self {
        let platform = Platform::new();
        let platform_server = serve::on_loopback(platform.router()).await.unwrap();
        let mut fleet = Self {
            platform,
            platform_server,
            daemons: Vec::new(),
            daemons_started: 0,
        };
        for domain in domains {
            fleet.add(domain, Vec::new()).await;
        }
        let count = domains.len();
        fleet
            .wait_until("every daemon has all members in its view", |fleet| {
                fleet
                    .daemons
                    .iter()
                    .all(|daemon| member_count(daemon) == count)
            })
            .await;
        fleet
            .wait_until("all partitions are open", |fleet| {
                fleet.daemons.iter().all(has_open_partitions)
            })
            .await;
        fleet
    }

    /// Starts another daemon without waiting for it to join the view.
    pub(crate) async fn add(&mut self, domain: &str, seed_peers: Vec<SocketAddr>) {
        let vm = format!("entry-{}", self.daemons_started);
        self.daemons_started += 1;
        let settings = self.settings(&vm, domain, seed_peers);
        self.daemons.push(Daemon::start(settings).await.unwrap());
    }

    /// Returns the settings of a VM in this fleet.
    pub(crate) fn settings(
        &self,
        vm: &str,
        domain: &str,
        seed_peers: Vec<SocketAddr>,
    ) -> VmSettings {
        let text = serde_json::json!({
            "vm": vm,
            "failure_domain": domain,
            "region": "dk-east",
            "service_address": "127.0.0.1:0",
            "admin_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "platform_url": format!("http://{}", self.platform_server.address),
            "lease_ttl_s": 1,
            "drain_wait_ms": 1,
            "traffic_threads": 1,
            "platform_calls_per_s": 20.0,
            "seed_peers": seed_peers,
        });
        wisteriapoint_settings::vm_from_str(&text.to_string()).unwrap()
    }

    /// Applies a service document through the function behind `service apply`.
    pub(crate) async fn apply(&self, text: &str) -> Revision {
        let store = HttpStore::new(&format!("http://{}", self.platform_server.address)).unwrap();
        service::apply_document(&store, text, None, "test")
            .await
            .unwrap()
    }

    /// Waits until a condition on the fleet holds.
    pub(crate) async fn wait_until(&self, description: &str, condition: impl Fn(&Self) -> bool) {
        wait_until(description, || async { condition(self) }).await;
    }
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics if the condition does not hold within [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until<F: Future<Output = bool>>(
    description: &str,
    condition: impl Fn() -> F,
) {
    let result = tokio::time::timeout(WAIT_TIMEOUT, async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    assert!(
        result.await.is_ok(),
        "timed out waiting until {description}"
    );
}

/// Returns `true` if all partitions that a daemon holds are open.
fn has_open_partitions(daemon: &Daemon) -> bool {
    let shared = daemon.shared();
    let held = shared
        .snapshot
        .load()
        .view
        .partitions_held_by(shared.me.id)
        .count();
    shared.metrics.open_partitions.get() == held as i64
}

/// Returns the number of members in a daemon's view.
pub(crate) fn member_count(daemon: &Daemon) -> usize {
    daemon.shared().snapshot.load().view.members.len()
}

/// Returns the revision of a service that is in force on a daemon, if any.
pub(crate) fn revision(daemon: &Daemon, service: &str) -> Option<Revision> {
    let snapshot = daemon.shared().snapshot.load();
    let service = snapshot.services.get(&ServiceName::new(service));
    service.map(|service| service.revision)
}

/// Returns the document of a plain service with one endpoint.
pub(crate) fn document(service: &str, address: SocketAddr, deadline_ms: u64) -> String {
    format!(
        r#"{{
    "service": "{service}", "owner": "shop team", "kind": "plain",
    "endpoints": [
        {{ "endpoint": "shop-1", "address": "{address}", "failure_domain": "dk-east-a", "vm": "shop-vm-1" }},
    ],
    "routes": [
        {{ "path": "/catalogue", "idempotent": true }},
        {{ "path": "/stock/hold", "idempotent": false }},
    ],
    "deadline_ms": {deadline_ms},
}}"#
    )
}
