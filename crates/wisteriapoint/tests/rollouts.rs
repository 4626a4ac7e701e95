//! Tests that a step delivers each sample once, within the staleness bound and with its weight
//! versions.

mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::{Fleet, wait_until};
use tokio::time::timeout;
use wisteriapoint::daemon::Daemon;
use wisteriapoint_rollout::{Sample, SampleKey, Span, StepSpec};
use wisteriapoint_stand_in::trainer::ReceivedSamples;
use wisteriapoint_stand_in::{
    Engine, EngineSettings, OrderFaults, RunningServer, Scorer, Trainer, WeightStore, serve,
};
use wisteriapoint_types::{ServiceName, WeightVersion};

/// Far above the duration of the step without its straggler, far below the 200 s with it.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

const DOMAINS: [&str; 3] = ["dk-east-a", "dk-east-b", "dk-east-c"];

struct Engines {
    engines: Vec<Engine>,
    running: Vec<RunningServer>,
}

impl Engines {
    async fn start(settings: &[EngineSettings]) -> Self {
        Self::serve(settings.iter().cloned().map(Engine::new)).await
    }

    async fn serve(engines_to_serve: impl Iterator<Item = Engine>) -> Self {
        let mut engines = Vec::new();
        let mut running = Vec::new();
        for engine in engines_to_serve {
            running.push(serve::on_loopback(engine.router()).await.unwrap());
            engines.push(engine);
        }
        Self { engines, running }
    }

    /// Returns a service document for these engines, with `fields` added to it.
    fn document(&self, fields: &str) -> String {
        let mut endpoints = String::new();
        for (number, engine) in self.engines.iter().enumerate() {
            let address = self.running[number].address;
            let slots = engine.settings().slots;
            endpoints.push_str(&format!(
                r#"{{ "endpoint": "engine-{number}", "address": "{address}",
                "failure_domain": "dk-east-a", "vm": "vm-{number}",
                "checks_fencing": true, "echoes_request_id": true,
                "max_concurrency": {slots} }},"#
            ));
        }
        format!(
            r#"{{ "service": "advisor-lm", "owner": "advisor team", "kind": "model",
            "endpoints": [{endpoints}], {fields} }}"#
        )
    }
}

fn settings(slots: usize, tokens_per_s: f64) -> EngineSettings {
    EngineSettings {
        slots,
        tokens_per_s,
        ..EngineSettings::default()
    }
}

fn spec(prompts: u32, max_tokens: u32) -> StepSpec {
    StepSpec {
        service: ServiceName::new("advisor-lm"),
        prompts: (0..prompts).map(|n| format!("strap {n}").into()).collect(),
        samples_per_prompt: 4,
        max_tokens,
        staleness_versions: 1,
        scorer: None,
    }
}

fn trainer(fleet: &Fleet) -> Trainer {
    let daemons = fleet.daemons.iter();
    let urls = daemons.map(|daemon| format!("http://{}", daemon.addresses().service));
    Trainer::new("advisor-trainer", urls.collect()).unwrap()
}

async fn start(domains: &[&str], engines: &Engines, fields: &str) -> Fleet {
    let fleet = Fleet::start(domains).await;
    fleet.apply(&engines.document(fields)).await;
    fleet
        .wait_until("the document is in force on every daemon", |fleet| {
            let mut daemons = fleet.daemons.iter();
            daemons.all(|daemon| fleet::revision(daemon, "advisor-lm").is_some())
        })
        .await;
    fleet
}

fn assert_complete(received: &ReceivedSamples, spec: &StepSpec) {
    let keys: BTreeSet<SampleKey> = received.samples.iter().map(|sample| sample.key).collect();
    assert_eq!(received.samples.len(), spec.samples() as usize);
    assert_eq!(
        keys.len(),
        received.samples.len(),
        "a sample was delivered twice"
    );
    for sample in &received.samples {
        let prompt = &spec.prompts[sample.key.group as usize];
        assert_eq!(
            *sample.text,
            *Engine::expected_text(prompt, spec.max_tokens)
        );
        assert_eq!(sample.tokens(), spec.max_tokens);
    }
}

fn is_coordinator(daemon: &Daemon) -> bool {
    let view = daemon.shared().snapshot.load().view.clone();
    view.coordinators(b"advisor-trainer").first() == Some(&daemon.shared().me.id)
}

#[tokio::test]
async fn a_step_is_complete_without_duplicates_when_its_coordinator_is_killed() {
    let engines = Engines::start(&[settings(4, 200.0), settings(4, 200.0)]).await;
    let mut fleet = start(&DOMAINS, &engines, "").await;
    let spec = spec(16, 20);
    let mut trainer = trainer(&fleet);
    let step = tokio::spawn({
        let spec = spec.clone();
        async move { trainer.run_step(1, &spec).await }
    });
    let started = || async { engines.engines[0].started() >= 8 };
    wait_until("samples are being generated", started).await;
    let coordinator = fleet.daemons.iter().position(is_coordinator).unwrap();
    fleet.daemons.remove(coordinator).kill();
    assert_complete(&step.await.unwrap(), &spec);
}

#[tokio::test]
async fn a_trainer_that_restarts_resumes_from_its_cursor() {
    let engines = Engines::start(&[settings(8, 1_000.0)]).await;
    let fleet = start(&DOMAINS, &engines, "").await;
    let spec = spec(4, 10);
    let complete = trainer(&fleet).run_step(1, &spec).await;
    let mut saved = ReceivedSamples::default();
    for sample in &complete.samples[..5] {
        saved.cursor.insert(spec.index(sample.key));
        saved.samples.push(sample.clone());
    }
    let resumed = trainer(&fleet).resume_step(1, &spec, saved).await;
    assert_complete(&resumed, &spec);
}

/// Returns the number of sample attempts with an outcome, on all daemons.
fn attempts(fleet: &Fleet, outcome: &str) -> u64 {
    let daemons = fleet.daemons.iter();
    let counts = daemons.map(|daemon| {
        let attempts = &daemon.shared().metrics.sample_attempts;
        attempts.with_label_values(&[outcome]).get()
    });
    counts.sum()
}

fn spans(sample: &Sample) -> Vec<u64> {
    let versions = sample.spans.iter().map(|Span { version, .. }| version.0);
    versions.collect()
}

#[tokio::test]
async fn a_weight_swap_during_generation_is_recorded_in_the_spans() {
    let engines = Engines::start(&[settings(8, 50.0)]).await;
    let fleet = start(&DOMAINS[..1], &engines, "").await;
    let spec = spec(1, 100);
    let mut trainer = trainer(&fleet);
    trainer
        .put_step(1, &spec, &ReceivedSamples::default().cursor)
        .await;
    let running = || async { engines.engines[0].running() == 4 };
    wait_until("all samples are running", running).await;
    trainer.publish("advisor-lm", WeightVersion(1)).await;
    let received = trainer.run_step(1, &spec).await;
    assert_complete(&received, &spec);
    for sample in &received.samples {
        assert_eq!(spans(sample), [0, 1]);
    }
}

#[tokio::test]
async fn samples_older_than_the_staleness_bound_are_regenerated() {
    let engines = Engines::start(&[settings(8, 20.0)]).await;
    let fleet = start(&DOMAINS, &engines, "").await;
    let spec = spec(1, 40);
    let mut trainer = trainer(&fleet);
    trainer
        .put_step(1, &spec, &ReceivedSamples::default().cursor)
        .await;
    let running = || async { engines.engines[0].running() == 4 };
    wait_until("all samples are running", running).await;
    trainer.publish("advisor-lm", WeightVersion(5)).await;
    let received = trainer.run_step(1, &spec).await;
    assert_complete(&received, &spec);
    for sample in &received.samples {
        assert_eq!(spans(sample), [5]);
    }
    let cancelled = attempts(&fleet, "cancelled");
    assert!(
        cancelled >= 4,
        "not all four running samples were cancelled: {cancelled}"
    );
}

#[tokio::test]
async fn every_engine_ends_at_the_published_version() {
    // Faults in the engine's handling of orders, and the number of orders that it receives.
    let cases = [
        (OrderFaults::default(), 1),
        (
            OrderFaults {
                fail: 2,
                ..OrderFaults::default()
            },
            3,
        ),
        (
            OrderFaults {
                drop_responses: 1,
                ..OrderFaults::default()
            },
            1,
        ),
        (
            OrderFaults {
                report_lag_ms: 500,
                ..OrderFaults::default()
            },
            1,
        ),
    ];
    let engines = vec![settings(8, 1_000.0); cases.len()];
    let engines = Engines::start(&engines).await;
    for (engine, (faults, _)) in engines.engines.iter().zip(&cases) {
        engine.set_order_faults(faults.clone());
    }
    let weights = r#""weights": { "loading_share": 1.0 }"#;
    let fleet = start(&DOMAINS, &engines, weights).await;
    let version = WeightVersion(1);
    trainer(&fleet).publish("advisor-lm", version).await;
    let all_swapped = || async { engines.engines.iter().all(|e| e.version() == version) };
    wait_until("all engines serve the version", all_swapped).await;
    // Leaves time for redundant orders to arrive.
    tokio::time::sleep(Duration::from_secs(2)).await;
    for (engine, (faults, orders)) in engines.engines.iter().zip(&cases) {
        assert_eq!(engine.orders().len(), *orders, "{faults:?}");
    }
}

#[tokio::test]
async fn a_slow_weight_store_is_read_by_a_share_of_the_engines_at_a_time() {
    let store = WeightStore::new(4.0);
    let engines = vec![settings(8, 1_000.0); 6].into_iter();
    let engines = engines.map(|settings| Engine::new(settings).with_store(store.clone()));
    let engines = Engines::serve(engines).await;
    let weights = r#""weights": { "loading_share": 0.34 }"#;
    let fleet = start(&DOMAINS, &engines, weights).await;
    let version = WeightVersion(1);
    trainer(&fleet).publish("advisor-lm", version).await;
    let all_swapped = || async { engines.engines.iter().all(|e| e.version() == version) };
    wait_until("all engines serve the version", all_swapped).await;
    // `loading_share` allows a third of the six engines.
    assert!(
        store.max_concurrent_fetches() <= 2,
        "{}",
        store.max_concurrent_fetches()
    );
}

#[tokio::test]
async fn a_scorer_that_fails_temporarily_drops_no_sample() {
    let engines = Engines::start(&[settings(8, 1_000.0)]).await;
    let scorer = Scorer::new(6);
    let scoring = serve::on_loopback(scorer.router()).await.unwrap();
    let fleet = start(&DOMAINS, &engines, "").await;
    let document = fleet::document("judge", scoring.address, 1_000);
    fleet.apply(&document).await;
    let mut spec = spec(4, 10);
    spec.scorer = Some(ServiceName::new("judge"));
    let received = trainer(&fleet).run_step(1, &spec).await;
    assert_complete(&received, &spec);
    for sample in &received.samples {
        assert_eq!(sample.score, Some(Scorer::score(&sample.text)));
    }
}

#[tokio::test]
async fn a_straggler_is_cancelled_when_its_duplicate_completes_first() {
    let engines = [settings(1, 0.5), settings(8, 1_000.0), settings(8, 1_000.0)];
    let engines = Engines::start(&engines).await;
    let fleet = start(&DOMAINS, &engines, "").await;
    let spec = spec(32, 100);
    let mut trainer = trainer(&fleet);
    let step = timeout(STEP_TIMEOUT, trainer.run_step(1, &spec)).await;
    let received = step.expect("the step waited for the straggler, which takes 200 s");
    assert_complete(&received, &spec);
    let slow = &engines.engines[0];
    assert!(slow.started() >= 1);
    let cancelled = || async { slow.running() == 0 };
    wait_until("the straggler is cancelled", cancelled).await;
    assert!(attempts(&fleet, "cancelled") >= 1);
    assert!(attempts(&fleet, "whole") >= u64::from(spec.samples()));
}
