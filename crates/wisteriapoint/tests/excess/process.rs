//! A node process before a stand-in store and endpoint.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use serde_json::json;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use wisteriapoint_adapter_stand_in::{Endpoint, RunningServer, Store, StoreAccess};

const HOST: &str = "intake.example";
/// Attempts at an ordinary request; a caller repeats one that was refused without running.
const MAX_ATTEMPTS: usize = 40;
/// Time between two events of a stream, in milliseconds.
const EVENT_MS: u64 = 400;
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(500);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(20);

/// A node that runs as a process and is killed on drop.
pub(crate) struct NodeProcess {
    /// Address for callers.
    pub(crate) address: SocketAddr,
    /// Endpoint of the ordinary requests.
    pub(crate) endpoint: Endpoint,
    child: Mutex<Child>,
    pid: u32,
    _folder: TempDir,
    _store: Store,
    _running: [RunningServer; 3],
}

/// Returns the head of a request with the given id and line about its body.
pub(crate) fn request_head(id: &str, framing: &str) -> String {
    format!("POST /score/x HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\n{framing}\r\n\r\n")
}

impl NodeProcess {
    /// Starts a node and waits until it answers.
    pub(crate) async fn start(
        memory_mb: u64,
        max_descriptors: usize,
        max_body_bytes: usize,
    ) -> Self {
        let store = Store::new();
        store.start_lease_expiry();
        let store_server = StoreAccess::new(&store).serve().await.unwrap();
        let endpoint = Endpoint::new("plain-0").with_service_time_ms(5);
        let endpoint_server = endpoint.serve().await.unwrap();
        endpoint.register(&store, "plain", endpoint_server.address);
        let engine = Endpoint::new("engine-0").with_models(&["m"], EVENT_MS);
        let engine_server = engine.serve().await.unwrap();
        engine.register(&store, "engines", engine_server.address);
        store.put("op/version/m", &json!({ "model": "m", "version": 1 }));
        store.put(
            "op/config",
            &json!({
                "version": 1,
                "limits": {
                    "max-header-bytes": 16_384, "max-body-bytes": max_body_bytes,
                    "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000,
                },
                "routes": [
                    {
                        "name": "score", "host": HOST, "prefix": "/score/", "kind": "idempotent",
                        "timeout-ms": 10_000, "target-latency-ms": 200, "service": "plain",
                        "max-attempts": 3, "due-ms": 7_500, "retention-s": 120.0,
                    },
                    {
                        "name": "chat", "host": HOST, "prefix": "/chat/", "kind": "streaming",
                        "timeout-ms": 60_000, "target-latency-ms": 500, "service": "engines",
                        "max-attempts": 3,
                    },
                    {
                        "name": "batch", "host": HOST, "prefix": "/batch/", "kind": "rollout",
                        "timeout-ms": 10_000, "target-latency-ms": 500, "service": "engines",
                        "max-attempts": 3, "due-ms": 7_500, "retention-s": 120.0,
                    },
                ],
                "services": [
                    { "name": "plain", "max-conns": 100 },
                    {
                        "name": "engines", "max-conns": 100,
                        "engine": { "models": [{ "name": "m" }] },
                    },
                ],
            }),
        );
        let [.., high, low] = (std::process::id() % 50_000 + 256).to_be_bytes();
        static NEXT_NODE: AtomicU8 = AtomicU8::new(230);
        let node = NEXT_NODE.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, high, low, node);
        let settings = json!({
            "vm": "edge-0", "failure_domain": "dk-east-a",
            "callers": { "requests": format!("{ip}:7001"), "ready": format!("{ip}:7002") },
            "peer_address": format!("{ip}:7003"), "metrics_address": format!("{ip}:7004"),
            "store": { "address": store_server.address, "min_lease_ms": 1000 },
            "bounds": { "grace_s": 8, "lease_ms": 3000, "engines_check_fences": true },
            "memory_mb": memory_mb, "max_descriptors": max_descriptors,
        });
        let folder = TempDir::new().unwrap();
        let path: PathBuf = folder.path().join("node.json");
        std::fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_wisteriapoint"))
            .args(["node", "--settings"])
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let node = Self {
            address: SocketAddr::from((ip, 7001)),
            endpoint,
            pid: child.id(),
            child: Mutex::new(child),
            _folder: folder,
            _store: store,
            _running: [store_server, endpoint_server, engine_server],
        };
        assert!(node.is_ordinary_request_answered().await, "node not ready");
        node
    }

    /// Returns `true` if the process has not exited.
    pub(crate) fn is_alive(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        matches!(child.try_wait(), Ok(None))
    }

    /// Returns the number of open descriptors; 0 after the exit.
    pub(crate) fn descriptors(&self) -> usize {
        let folder = std::fs::read_dir(format!("/proc/{}/fd", self.pid));
        folder.map_or(0, Iterator::count)
    }

    /// Returns the largest resident memory so far and the present one, in kB; 0 after the exit.
    pub(crate) fn resident_kb(&self) -> (u64, u64) {
        let path = format!("/proc/{}/status", self.pid);
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let field = |name: &str| {
            let mut lines = status.lines();
            let value = lines.find_map(|line| line.strip_prefix(name));
            let number = value.and_then(|value| value.split_whitespace().next());
            number.and_then(|number| number.parse().ok()).unwrap_or(0)
        };
        (field("VmHWM:"), field("VmRSS:"))
    }

    /// Returns `true` if a small request is answered with 200, repeated while it is refused.
    pub(crate) async fn is_ordinary_request_answered(&self) -> bool {
        self.status_when_served(1_000).await == Some(200)
    }

    /// Returns the status of a request with a body of the given size, repeated while it is refused as
    /// not run or its connection is not accepted.
    pub(crate) async fn status_when_served(&self, body_bytes: usize) -> Option<u16> {
        for _ in 0..MAX_ATTEMPTS {
            match self.status_of(body_bytes).await {
                None | Some(503) => sleep(ATTEMPT_INTERVAL).await,
                status => return status,
            }
        }
        None
    }

    /// Opens a stream of the given number of events and returns its connection.
    pub(crate) async fn open_stream(&self, events: usize) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let head = format!(
            "POST /chat/x HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: stream\r\nmodel: m\r\n\
             test-events: {events}\r\ndeadline-ms: 50000\r\ncontent-length: 5\r\n\r\nhello"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        stream
    }

    /// Submits a batch job whose items have bodies of the given size; returns the status of the answer.
    pub(crate) async fn submit(&self, id: &str, items: usize, body_bytes: usize) -> Option<u16> {
        let entries: Vec<_> = (0..items)
            .map(|item| {
                json!({
                    "id": format!("{id}-{item}"), "path": "/batch/text",
                    "headers": { "Model": "m", "Test-Events": "1" },
                    "body": "YWFh".repeat(body_bytes / 3), "tokens": 100,
                })
            })
            .collect();
        let body = json!({ "step": 1, "model": "m", "min-version": 1, "entries": entries });
        let body = body.to_string();
        let head = format!(
            "POST /batch/{id} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        self.exchange(head, body.into_bytes()).await
    }

    /// Returns the number of listed results of a batch job.
    pub(crate) async fn listed_results(&self, id: &str) -> usize {
        let url = format!("http://{}/lots/{id}?after=0", self.address);
        let request = reqwest::Client::builder().no_proxy().build().unwrap();
        let request = request.get(url).header("host", HOST);
        let Ok(response) = request.header("wait-ms", "100").send().await else {
            return 0;
        };
        let page = response.bytes().await.unwrap_or_default();
        let page: serde_json::Value = serde_json::from_slice(&page).unwrap_or_default();
        page["next"].as_u64().unwrap_or(0) as usize
    }

    /// Sends a request with a body of the given size; returns the status of its answer.
    async fn status_of(&self, body_bytes: usize) -> Option<u16> {
        let head = request_head("ordinary", &format!("content-length: {body_bytes}"));
        self.exchange(head, vec![b'a'; body_bytes]).await
    }

    /// Sends a request on a connection of its own; returns the status of its answer.
    async fn exchange(&self, head: String, body: Vec<u8>) -> Option<u16> {
        let exchange = async {
            let mut stream = TcpStream::connect(self.address).await.ok()?;
            stream.write_all(head.as_bytes()).await.ok()?;
            // Fails if the node answers before it has read the body.
            let _sent = stream.write_all(&body).await;
            let mut line = [0; 12];
            stream.read_exact(&mut line).await.ok()?;
            std::str::from_utf8(&line[9..]).ok()?.parse().ok()
        };
        timeout(ATTEMPT_TIMEOUT, exchange).await.ok().flatten()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let child = self.child.get_mut().unwrap();
        // Both fail only if the process has already exited.
        child.kill().ok();
        child.wait().ok();
    }
}
