//! Daemons and a stand-in platform that run in the test process, with requests to send to them.

#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response};
use tokio::time::{sleep, timeout};
use wisteriapoint::cli::service::apply_document;
use wisteriapoint::daemon::Daemon;
use wisteriapoint_settings::vm_from_str;
use wisteriapoint_stand_in::{Platform, RunningServer, serve};
use wisteriapoint_store::HttpStore;

/// Timeout of a wait for a condition; generous, since no test measures speed.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a stopping daemon still accepts requests, in milliseconds.
pub(crate) const DRAIN_WAIT_MS: u64 = 300;

/// Daemons that share one stand-in platform.
pub(crate) struct Deployment {
    pub(crate) platform: Platform,
    pub(crate) platform_url: String,
    pub(crate) daemons: Vec<Daemon>,
    platform_server: RunningServer,
}

impl Deployment {
    /// Starts daemons, each in its own failure domain, and applies service documents.
    pub(crate) async fn start(daemons: usize, documents: &[String]) -> Self {
        Self::start_with(daemons, documents, DRAIN_WAIT_MS).await
    }

    /// Starts daemons that still accept requests for `drain_wait_ms` after a stop begins.
    pub(crate) async fn start_with(
        daemons: usize,
        documents: &[String],
        drain_wait_ms: u64,
    ) -> Self {
        let platform = Platform::new();
        let platform_server = serve::on_loopback(platform.router()).await.unwrap();
        let platform_url = format!("http://{}", platform_server.address);
        let store = HttpStore::new(&platform_url).unwrap();
        for document in documents {
            apply_document(&store, document, None, "test")
                .await
                .unwrap();
        }
        let mut deployment = Self {
            platform,
            platform_url,
            daemons: Vec::new(),
            platform_server,
        };
        for number in 1..=daemons {
            let settings = settings(&deployment.platform_url, number, drain_wait_ms);
            let settings = vm_from_str(&settings).unwrap();
            deployment
                .daemons
                .push(Daemon::start(settings).await.unwrap());
        }
        for daemon in &deployment.daemons {
            wait_until("every daemon has all members and documents", || async {
                let snapshot = daemon.shared().snapshot.load();
                let routers = daemon.shared().routers.load().len();
                snapshot.view.members.len() == daemons && routers == documents.len()
            })
            .await;
        }
        deployment
    }

    /// Returns the URL of a path at a daemon's service address.
    pub(crate) fn url(&self, daemon: usize, path: &str) -> String {
        format!("http://{}{path}", self.daemons[daemon].addresses().service)
    }

    /// Returns the number of requests in progress at a daemon.
    pub(crate) fn in_flight(&self, daemon: usize) -> usize {
        let shared = self.daemons[daemon].shared();
        shared.in_flight.load(Ordering::SeqCst)
    }

    /// Builds a completion request to a daemon.
    pub(crate) fn completion(
        &self,
        daemon: usize,
        max_tokens: u32,
        stream: bool,
    ) -> RequestBuilder {
        completion(&self.url(daemon, "/v1/completions"), max_tokens, stream)
    }

    /// Builds a stock hold request to a daemon.
    pub(crate) fn hold(&self, daemon: usize, key: &str) -> RequestBuilder {
        let url = self.url(daemon, "/v1/services/shopfront/stock/hold");
        hold(&url, key)
    }
}

pub(crate) const PROMPT: &str = "a strap for a diver";

pub(crate) fn completion(url: &str, max_tokens: u32, stream: bool) -> RequestBuilder {
    let body = serde_json::json!({
        "model": "advisor-lm", "prompt": PROMPT, "max_tokens": max_tokens, "stream": stream,
    });
    client().post(url).json(&body)
}

pub(crate) fn hold(url: &str, key: &str) -> RequestBuilder {
    client()
        .post(url)
        .header("idempotency-key", key)
        .body("strap 7")
}

pub(crate) fn settings(platform_url: &str, number: usize, drain_wait_ms: u64) -> String {
    format!(
        r#"{{
    "vm": "entry-{number}",
    "failure_domain": "dk-east-{number}",
    "region": "dk-east",
    "service_address": "127.0.0.1:0",
    "admin_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "platform_url": "{platform_url}",
    "lease_ttl_s": 2,
    "drain_wait_ms": {drain_wait_ms},
}}"#
    )
}

/// Returns a client with a connection pool of its own.
pub(crate) fn client() -> Client {
    Client::builder().no_proxy().build().unwrap()
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics if the condition does not hold within [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until<F, R>(description: &str, mut condition: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let result = timeout(WAIT_TIMEOUT, async {
        while !condition().await {
            sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(
        result.await.is_ok(),
        "timed out waiting until {description}"
    );
}

/// Returns the verdict header of a response, or an empty text.
pub(crate) fn verdict(response: &Response) -> &str {
    let header = response.headers().get("wisteriapoint-verdict");
    header
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Returns the concatenated text of a stream's chunks and its last event.
pub(crate) fn read_stream(body: &str) -> (String, String) {
    let mut text = String::new();
    let mut last = String::new();
    for event in body.split("\n\n").filter(|event| !event.is_empty()) {
        last = event.to_owned();
        let data = event.strip_prefix("data: ").unwrap_or_default();
        let Ok(chunk) = serde_json::from_str::<serde_json::Value>(data) else {
            continue;
        };
        text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
    }
    (text, last)
}

/// Returns the document of the model service `advisor-lm`.
pub(crate) fn model_document(engines: &[SocketAddr]) -> String {
    wisteriapoint_stand_in::demo::model_document(engines)
}

/// Returns the document of the plain service `shopfront`.
pub(crate) fn plain_document(addresses: &[SocketAddr]) -> String {
    wisteriapoint_stand_in::demo::plain_document(addresses)
}
