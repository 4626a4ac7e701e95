//! Tests that a request that crashes every engine that runs it is stopped after a few engines.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, revision};
use wisteriapoint_stand_in::demo::model_document;
use wisteriapoint_stand_in::{Engine, EngineSettings, RunningServer, serve};

const CRASH_MARKER: &str = "poison";
const ENGINES: usize = 8;
const REQUESTS: usize = 12;

/// Required bound on the number of engines that one such request may crash.
const MAX_CRASHED_ENGINES: usize = 2;

async fn start_engines() -> Vec<(Engine, RunningServer)> {
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        let engine = Engine::new(EngineSettings {
            crash_marker: Some(CRASH_MARKER.into()),
            ..EngineSettings::default()
        });
        let running = serve::on_loopback(engine.router()).await.unwrap();
        engines.push((engine, running));
    }
    engines
}

async fn send_completion(
    client: &reqwest::Client,
    fleet: &Fleet,
    number: usize,
    prompt: &str,
) -> u16 {
    let daemon = &fleet.daemons[number % fleet.daemons.len()];
    let url = format!("http://{}/v1/completions", daemon.addresses().service);
    let body = serde_json::json!({ "model": "advisor-lm", "prompt": prompt, "max_tokens": 4 });
    let response = client.post(url).json(&body).send().await.unwrap();
    response.status().as_u16()
}

#[tokio::test]
async fn one_request_crashes_at_most_two_engines() {
    let fleet = Fleet::start(&["dk-east-a", "dk-east-b", "dk-east-c"]).await;
    let engines = start_engines().await;
    let addresses: Vec<_> = engines.iter().map(|(_, running)| running.address).collect();
    fleet.apply(&model_document(&addresses)).await;
    fleet
        .wait_until("the document is in force on every daemon", |fleet| {
            let mut daemons = fleet.daemons.iter();
            daemons.all(|daemon| revision(daemon, "advisor-lm").is_some())
        })
        .await;
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    for number in 0..REQUESTS {
        let status = send_completion(&client, &fleet, number, CRASH_MARKER).await;
        assert_ne!(status, 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let crashed = engines.iter().filter(|(engine, _)| engine.is_crashed());
    assert!(crashed.count() <= MAX_CRASHED_ENGINES);
    for number in 0..REQUESTS {
        let prompt = format!("harmless {number}");
        assert_eq!(send_completion(&client, &fleet, number, &prompt).await, 200);
    }
}
