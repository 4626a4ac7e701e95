//! Tests that rollouts are preempted by callers' requests and still deliver complete steps.

mod fleet;

use std::collections::BTreeSet;

use fleet::{Fleet, wait_until};
use wisteriapoint_rollout::{SampleKey, StepSpec};
use wisteriapoint_stand_in::{Engine, EngineSettings, Trainer, serve};
use wisteriapoint_types::ServiceName;

const SLOTS: usize = 2;
const CALLER_TOKENS: u32 = 5;

fn document(address: std::net::SocketAddr) -> String {
    format!(
        r#"{{ "service": "advisor-lm", "owner": "advisor team", "kind": "model",
        "endpoints": [{{ "endpoint": "engine-0", "address": "{address}",
        "failure_domain": "dk-east-a", "vm": "vm-0", "checks_fencing": true,
        "echoes_request_id": true, "max_concurrency": {SLOTS} }}],
        "deadline_ms": 60000 }}"#
    )
}

fn spec() -> StepSpec {
    StepSpec {
        service: ServiceName::new("advisor-lm"),
        prompts: vec!["strap".into()],
        samples_per_prompt: 4,
        max_tokens: 200,
        staleness_versions: 1,
        scorer: None,
    }
}

async fn send_completion(url: String) -> serde_json::Value {
    let body = serde_json::json!({
        "model": "advisor-lm", "prompt": "a strap", "max_tokens": CALLER_TOKENS,
    });
    let request = reqwest::Client::new().post(url).json(&body);
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 200);
    response.json().await.unwrap()
}

#[tokio::test]
async fn a_caller_is_answered_while_rollouts_fill_the_engine() {
    let engine = Engine::new(EngineSettings {
        slots: SLOTS,
        tokens_per_s: 100.0,
        ..EngineSettings::default()
    });
    let running = serve::on_loopback(engine.router()).await.unwrap();
    let fleet = Fleet::start(&["dk-east-a"]).await;
    fleet.apply(&document(running.address)).await;
    let is_in_force = |fleet: &Fleet| fleet::revision(&fleet.daemons[0], "advisor-lm").is_some();
    fleet
        .wait_until("the document is in force", is_in_force)
        .await;
    let url = format!("http://{}", fleet.daemons[0].addresses().service);
    let mut trainer = Trainer::new("advisor-trainer", vec![url.clone()]).unwrap();
    let step = tokio::spawn(async move { trainer.run_step(1, &spec()).await });
    let is_full = || async { engine.running() as usize == SLOTS };
    wait_until("rollouts fill the engine", is_full).await;

    let completion = send_completion(format!("{url}/v1/completions")).await;
    let text = completion["choices"][0]["text"].as_str().unwrap();
    assert_eq!(text, Engine::expected_text("a strap", CALLER_TOKENS));
    assert!(engine.cancelled() >= 1, "no rollout was preempted");

    let received = step.await.unwrap();
    let keys: BTreeSet<SampleKey> = received.samples.iter().map(|sample| sample.key).collect();
    assert_eq!(received.samples.len(), spec().samples() as usize);
    assert_eq!(
        keys.len(),
        received.samples.len(),
        "a sample was delivered twice"
    );
    for sample in &received.samples {
        assert_eq!(
            *sample.text,
            *Engine::expected_text("strap", spec().max_tokens)
        );
    }
}
