//! Tests that endpoints that drain or leave get no new requests, whatever the platform's VM list
//! says.

mod deployment;

use std::time::Duration;

use deployment::{Deployment, client, model_document, plain_document, wait_until};
use tokio::time::sleep;
use wisteriapoint_stand_in::platform::Faults;
use wisteriapoint_stand_in::{Engine, EngineSettings, PlainService, RunningServer, serve};
use wisteriapoint_store::{VmEntry, VmState};
use wisteriapoint_types::{ServiceName, VmName};

const REQUESTS: usize = 40;

fn down() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

async fn start_shops() -> ([PlainService; 2], [RunningServer; 2]) {
    let services = [PlainService::new(), PlainService::new()];
    let running = [
        serve::on_loopback(services[0].router()).await.unwrap(),
        serve::on_loopback(services[1].router()).await.unwrap(),
    ];
    (services, running)
}

async fn start_engines() -> ([Engine; 2], [RunningServer; 2]) {
    let engine = || Engine::new(EngineSettings::default());
    let engines = [engine(), engine()];
    let running = [
        serve::on_loopback(engines[0].router()).await.unwrap(),
        serve::on_loopback(engines[1].router()).await.unwrap(),
    ];
    (engines, running)
}

async fn get_catalogue(deployment: &Deployment, daemon: usize) {
    let url = deployment.url(daemon, "/v1/services/shopfront/catalogue/straps");
    let response = client().get(url).send().await.unwrap();
    assert_eq!(response.status(), 200);
}

async fn send_completion(deployment: &Deployment, daemon: usize) {
    let response = deployment
        .completion(daemon, 2, false)
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
}

/// Returns the number of endpoints that have reported to a daemon that they are draining.
fn draining_count(deployment: &Deployment, daemon: usize, service: &str) -> usize {
    let routers = deployment.daemons[daemon].shared().routers.load();
    routers[&ServiceName::new(service)].draining_targets().len()
}

#[tokio::test]
async fn a_draining_plain_service_refuses_at_most_one_request_per_daemon_and_is_used_again() {
    let (services, running) = start_shops().await;
    let document = plain_document(&[running[0].address, running[1].address]);
    // Sending a request to another endpoint after a refusal does not use the retry budget.
    let no_retries = r#""limits": { "retry_ratio": 0.0 }, "owner""#;
    let document = document.replace("\"owner\"", no_retries);
    // The platform is down and lists no VM as leaving; each daemon detects the drain by itself.
    let deployment = Deployment::start(2, &[document]).await;
    deployment.platform.set_faults(down());
    services[0].set_draining(true);
    for daemon in [0, 1] {
        let routers = deployment.daemons[daemon].shared().routers.load();
        while routers[&ServiceName::new("shopfront")].try_take_retry() {}
        for _ in 0..REQUESTS {
            get_catalogue(&deployment, daemon).await;
        }
    }
    assert_eq!(services[0].total_runs(), 0);
    assert!(services[0].refused() <= 2, "{}", services[0].refused());
    services[0].set_draining(false);
    wait_until("both daemons use the endpoint again", || async {
        draining_count(&deployment, 0, "shopfront") + draining_count(&deployment, 1, "shopfront")
            == 0
    })
    .await;
    wait_until("the endpoint runs requests again", || async {
        get_catalogue(&deployment, 0).await;
        services[0].total_runs() > 0
    })
    .await;
}

#[tokio::test]
async fn an_engine_that_reports_draining_gets_no_requests_and_is_used_again() {
    let (engines, running) = start_engines().await;
    let document = model_document(&[running[0].address, running[1].address]);
    let deployment = Deployment::start(1, &[document]).await;
    deployment.platform.set_faults(down());
    engines[0].set_draining(true);
    wait_until("the daemon has received the report", || async {
        draining_count(&deployment, 0, "advisor-lm") == 1
    })
    .await;
    for _ in 0..REQUESTS {
        send_completion(&deployment, 0).await;
    }
    assert_eq!((engines[0].started(), engines[0].refused()), (0, 0));
    engines[0].set_draining(false);
    wait_until("the engine runs completions again", || async {
        send_completion(&deployment, 0).await;
        engines[0].started() > 0
    })
    .await;
}

#[tokio::test]
async fn an_engine_on_a_leaving_vm_gets_no_requests_though_it_reports_no_drain() {
    let (engines, running) = start_engines().await;
    let document = model_document(&[running[0].address, running[1].address]);
    let deployment = Deployment::start(1, &[document]).await;
    let vm = VmName::new("engine-vm-1");
    deployment.platform.set_vms(vec![VmEntry {
        vm: vm.clone(),
        state: VmState::Leaving,
    }]);
    wait_until("the daemon has received the list", || async {
        let snapshot = deployment.daemons[0].shared().snapshot.load();
        snapshot.leaving.contains(&vm)
    })
    .await;
    // Long enough for several status reports from the engine.
    sleep(Duration::from_millis(1_200)).await;
    let before = engines[0].started();
    for _ in 0..REQUESTS {
        send_completion(&deployment, 0).await;
    }
    assert_eq!(engines[0].started(), before);
}

#[tokio::test]
async fn a_stopped_endpoint_fails_no_request() {
    let (services, running) = start_shops().await;
    let document = plain_document(&[running[0].address, running[1].address]);
    let deployment = Deployment::start(1, &[document]).await;
    deployment.platform.set_faults(down());
    let [stopped, _other] = running;
    drop(stopped);
    for key in 0..REQUESTS {
        get_catalogue(&deployment, 0).await;
        let response = deployment.hold(0, &key.to_string()).send().await.unwrap();
        assert_eq!(response.status(), 200);
    }
    let runs = services[1].runs();
    assert!((0..REQUESTS).all(|key| runs[&key.to_string()] == 1));
}
