//! Measures daemons in one process: control traffic, platform calls, propagation of changes and
//! memory.

use std::time::{Duration, Instant};

use wisteriapoint::cli::service::apply_document;
use wisteriapoint::daemon::Daemon;
use wisteriapoint_settings::VmSettings;
use wisteriapoint_stand_in::demo::plain_document;
use wisteriapoint_stand_in::{Platform, RunningServer, serve};
use wisteriapoint_store::HttpStore;
use wisteriapoint_types::{Revision, ServiceName};

use crate::measurement::Measurement;
use crate::process::{allocated_bytes, cpu_of_threads};

const SIZES: [usize; 3] = [8, 32, 96];
const FAILURE_DOMAINS: usize = 12;
const LEASE_TTL_S: u64 = 15;
const IDLE_WINDOW: Duration = Duration::from_secs(10);
const IDLE_WINDOWS: usize = 3;
const CHANGES: usize = 5;
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Values measured with one number of daemons; vectors hold repeated measurements.
#[derive(Debug, Default)]
struct Figures {
    joined_s: f64,
    in_force_ms: Vec<f64>,
    digest_bytes_per_s: Vec<f64>,
    control_cpu_share: Vec<f64>,
    memory_bytes: f64,
    reads_per_s: Vec<f64>,
    writes_per_s: Vec<f64>,
    waiting_watches: Vec<f64>,
}

struct Fleet {
    platform: Platform,
    running: RunningServer,
    daemons: Vec<Daemon>,
}

pub(crate) fn measure() -> Vec<Measurement> {
    let Ok(runtime) = tokio::runtime::Runtime::new() else {
        return Vec::new();
    };
    let mut measurements = [
        "time until all daemons are in the view, s",
        "time until a change is in force everywhere, ms",
        "digest bytes sent, bytes/s a daemon",
        "control thread's processor time, share of a core a daemon",
        "allocated memory, bytes a daemon",
        "platform reads, calls/s of the whole fleet",
        "platform writes, calls/s of the whole fleet",
        "waiting watches of the whole fleet",
    ]
    .map(|quantity| Measurement::new(quantity, "daemons"));
    for size in SIZES {
        let figures = runtime.block_on(measure_size(size));
        let values = [
            vec![figures.joined_s],
            figures.in_force_ms,
            figures.digest_bytes_per_s,
            figures.control_cpu_share,
            vec![figures.memory_bytes],
            figures.reads_per_s,
            figures.writes_per_s,
            figures.waiting_watches,
        ];
        let mut values = values.into_iter();
        measurements = measurements
            .map(|measurement| measurement.with_point(size, &values.next().unwrap_or_default()));
    }
    measurements.into()
}

async fn measure_size(size: usize) -> Figures {
    let before_bytes = allocated_bytes();
    let started = Instant::now();
    let Ok(fleet) = Fleet::start(size).await else {
        return Figures::default();
    };
    let mut figures = Figures {
        joined_s: started.elapsed().as_secs_f64(),
        ..Figures::default()
    };
    for change in 1..=CHANGES {
        figures
            .in_force_ms
            .push(fleet.apply_change(change as u64).await);
    }
    tokio::time::sleep(IDLE_WINDOW / 4).await;
    for _ in 0..IDLE_WINDOWS {
        fleet.measure_idle(&mut figures).await;
    }
    let allocated = allocated_bytes().saturating_sub(before_bytes);
    figures.memory_bytes = allocated as f64 / size as f64;
    fleet.stop();
    tokio::time::sleep(Duration::from_secs(1)).await;
    figures
}

impl Fleet {
    async fn start(size: usize) -> Result<Self, wisteriapoint::Error> {
        let platform = Platform::new();
        let running = serve::on_loopback(platform.router()).await?;
        let mut daemons = Vec::with_capacity(size);
        for number in 0..size {
            let settings = settings(number, &running)?;
            daemons.push(Daemon::start(settings).await?);
        }
        let fleet = Self {
            platform,
            running,
            daemons,
        };
        let members = |daemon: &Daemon| daemon.shared().snapshot.load().view.members.len();
        fleet.wait_until(|daemon| members(daemon) == size).await;
        Ok(fleet)
    }

    /// Applies a service document and returns the time until all daemons use it, in milliseconds;
    /// `NaN` if applying it failed.
    async fn apply_change(&self, number: u64) -> f64 {
        let Ok(store) = HttpStore::new(&format!("http://{}", self.running.address)) else {
            return f64::NAN;
        };
        let document = plain_document(&[([127, 0, 0, 1], 9).into()]);
        let deadline_ms = format!("\"deadline_ms\": {}", 3_000 + number);
        let document = document.replace("\"deadline_ms\": 3000", &deadline_ms);
        let started = Instant::now();
        if apply_document(&store, &document, None, "capacity")
            .await
            .is_err()
        {
            return f64::NAN;
        }
        let service = ServiceName::new("shopfront");
        self.wait_until(|daemon| {
            let snapshot = daemon.shared().snapshot.load();
            let revision = snapshot.services.get(&service).map(|entry| entry.revision);
            revision == Some(Revision(number))
        })
        .await;
        started.elapsed().as_secs_f64() * 1e3
    }

    async fn measure_idle(&self, figures: &mut Figures) {
        let calls = self.platform.calls();
        let bytes = self.digest_bytes_sent();
        let cpu = cpu_of_threads("control");
        tokio::time::sleep(IDLE_WINDOW).await;
        let (seconds, daemons) = (IDLE_WINDOW.as_secs_f64(), self.daemons.len() as f64);
        let after = self.platform.calls();
        let reads = after.reads - calls.reads;
        let writes = after.writes - calls.writes;
        let sent = self.digest_bytes_sent() - bytes;
        figures.reads_per_s.push(reads as f64 / seconds);
        figures.writes_per_s.push(writes as f64 / seconds);
        figures
            .waiting_watches
            .push(f64::from(self.platform.waiting()));
        figures
            .digest_bytes_per_s
            .push(sent as f64 / seconds / daemons);
        let used = cpu_of_threads("control").saturating_sub(cpu);
        let share = used.as_secs_f64() / seconds / daemons;
        figures.control_cpu_share.push(share);
    }

    fn digest_bytes_sent(&self) -> u64 {
        let metrics = self.daemons.iter().map(|daemon| &daemon.shared().metrics);
        metrics.map(|metrics| metrics.digest_bytes.get()).sum()
    }

    async fn wait_until(&self, condition: impl Fn(&Daemon) -> bool) {
        let started = Instant::now();
        while !self.daemons.iter().all(&condition) && started.elapsed() < TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn stop(self) {
        for daemon in self.daemons {
            daemon.kill();
        }
    }
}

fn settings(number: usize, running: &RunningServer) -> Result<VmSettings, wisteriapoint::Error> {
    let domain = number % FAILURE_DOMAINS;
    let text = serde_json::json!({
        "vm": format!("entry-{number}"),
        "failure_domain": format!("domain-{domain}"),
        "region": format!("region-{}", domain / 4),
        "service_address": "127.0.0.1:0",
        "admin_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "platform_url": format!("http://{}", running.address),
        "lease_ttl_s": LEASE_TTL_S,
        "traffic_threads": 1,
    });
    Ok(wisteriapoint_settings::vm_from_str(&text.to_string())?)
}
