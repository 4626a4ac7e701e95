//! Measures token streams through one daemon, with engines in the same process.

use std::time::{Duration, Instant};

use wisteriapoint::daemon::Daemon;
use wisteriapoint_settings::VmSettings;
use wisteriapoint_stand_in::demo::model_document;
use wisteriapoint_stand_in::{Engine, EngineSettings, Platform, serve};
use wisteriapoint_store::HttpStore;

use crate::measurement::Measurement;
use crate::process::{allocated_bytes, cpu_of_threads};

const STREAMS: [usize; 3] = [8, 64, 256];
const ENGINES: usize = 8;
const REPEATS: usize = 3;
const TOKENS_PER_STREAM: u32 = 400;
const TOKENS_PER_S: f64 = 100.0;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

struct Figures {
    cpu_us_per_token: f64,
    tokens_per_s: f64,
    memory_bytes_per_stream: f64,
}

pub(crate) fn measure() -> Vec<Measurement> {
    let Ok(runtime) = tokio::runtime::Runtime::new() else {
        return Vec::new();
    };
    let mut cpu = Measurement::new(
        "traffic threads' processor time, microseconds a token",
        "streams",
    );
    let mut rate = Measurement::new("tokens through one daemon, tokens/s", "streams");
    let mut memory = Measurement::new(
        "memory of a stream with its engine and caller, bytes",
        "streams",
    );
    for streams in STREAMS {
        let mut values = [Vec::new(), Vec::new(), Vec::new()];
        for _ in 0..REPEATS {
            let Ok(figures) = runtime.block_on(measure_streams(streams)) else {
                continue;
            };
            values[0].push(figures.cpu_us_per_token);
            values[1].push(figures.tokens_per_s);
            values[2].push(figures.memory_bytes_per_stream);
        }
        cpu = cpu.with_point(streams, &values[0]);
        rate = rate.with_point(streams, &values[1]);
        memory = memory.with_point(streams, &values[2]);
    }
    vec![cpu, rate, memory]
}

async fn measure_streams(streams: usize) -> Result<Figures, wisteriapoint::Error> {
    let platform = Platform::new();
    let platform = serve::on_loopback(platform.router()).await?;
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        let engine = Engine::new(EngineSettings {
            slots: STREAMS[STREAMS.len() - 1],
            tokens_per_s: TOKENS_PER_S,
            ..EngineSettings::default()
        });
        engines.push(serve::on_loopback(engine.router()).await?);
    }
    let url = format!("http://{}", platform.address);
    let daemon = Daemon::start(settings(&url)?).await?;
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    let document =
        model_document(&addresses).replace("\"vm\":", "\"max_concurrency\": 256, \"vm\":");
    let store = HttpStore::new(&url)?;
    wisteriapoint::cli::service::apply_document(&store, &document, None, "capacity").await?;
    while daemon.shared().routers.load().is_empty() {
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    let before_bytes = allocated_bytes();
    let cpu = cpu_of_threads("traffic");
    let started = Instant::now();
    let url = format!("http://{}/v1/completions", daemon.addresses().service);
    let client = reqwest::Client::builder().no_proxy().build()?;
    let calls: Vec<_> = (0..streams)
        .map(|number| tokio::spawn(stream_completion(client.clone(), url.clone(), number)))
        .collect();
    tokio::time::sleep(Duration::from_secs_f64(
        f64::from(TOKENS_PER_STREAM) / TOKENS_PER_S / 2.0,
    ))
    .await;
    let allocated = allocated_bytes().saturating_sub(before_bytes);
    let mut complete = 0;
    for call in calls {
        complete += usize::from(call.await.unwrap_or(false));
    }
    let tokens = (complete as f64) * f64::from(TOKENS_PER_STREAM);
    let used = cpu_of_threads("traffic").saturating_sub(cpu);
    let figures = Figures {
        cpu_us_per_token: used.as_secs_f64() * 1e6 / tokens,
        tokens_per_s: tokens / started.elapsed().as_secs_f64(),
        memory_bytes_per_stream: allocated as f64 / streams as f64,
    };
    daemon.kill();
    Ok(figures)
}

/// Requests one streamed completion; returns `true` if it ended with `[DONE]`.
async fn stream_completion(client: reqwest::Client, url: String, number: usize) -> bool {
    let body = serde_json::json!({
        "model": "advisor-lm",
        "prompt": format!("prompt {number}"),
        "max_tokens": TOKENS_PER_STREAM,
        "stream": true,
    });
    let request = client
        .post(url)
        .header("wisteriapoint-deadline-ms", "60000")
        .json(&body);
    let Ok(response) = request.send().await else {
        return false;
    };
    let text = response.text().await.unwrap_or_default();
    text.contains("[DONE]")
}

fn settings(platform_url: &str) -> Result<VmSettings, wisteriapoint::Error> {
    let text = serde_json::json!({
        "vm": "entry-1",
        "failure_domain": "domain-1",
        "region": "region-1",
        "service_address": "127.0.0.1:0",
        "admin_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "platform_url": platform_url,
        "traffic_threads": 2,
    });
    Ok(wisteriapoint_settings::vm_from_str(&text.to_string())?)
}
