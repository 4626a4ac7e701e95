//! Endpoints that leave get no new work, whatever the platform's list says.

mod deployment;

use std::time::Duration;

use deployment::{Deployment, client, model_document, plain_document, until};
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

async fn shops() -> ([PlainService; 2], [RunningServer; 2]) {
    let services = [PlainService::new(), PlainService::new()];
    let running = [
        serve::on_loopback(services[0].router()).await.unwrap(),
        serve::on_loopback(services[1].router()).await.unwrap(),
    ];
    (services, running)
}

async fn engines() -> ([Engine; 2], [RunningServer; 2]) {
    let engine = || Engine::new(EngineSettings::default());
    let engines = [engine(), engine()];
    let running = [
        serve::on_loopback(engines[0].router()).await.unwrap(),
        serve::on_loopback(engines[1].router()).await.unwrap(),
    ];
    (engines, running)
}

async fn browse(deployment: &Deployment, daemon: usize) {
    let url = deployment.url(daemon, "/v1/services/shopfront/catalogue/straps");
    let response = client().get(url).send().await.unwrap();
    assert_eq!(response.status(), 200);
}

async fn complete(deployment: &Deployment, daemon: usize) {
    let response = deployment
        .completion(daemon, 2, false)
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
}

/// Number of endpoints that a daemon knows to be draining by their own word.
fn draining(deployment: &Deployment, daemon: usize, service: &str) -> usize {
    let routers = deployment.daemons[daemon].shared().routers.load();
    routers[&ServiceName::new(service)].draining_targets().len()
}

#[tokio::test]
async fn a_plain_service_that_declines_is_asked_once_and_comes_back() {
    let (services, running) = shops().await;
    let document = plain_document(&[running[0].address, running[1].address]);
    // To ask another endpoint after one has declined is no retry of a failure.
    let no_retries = r#""limits": { "retry_ratio": 0.0 }, "owner""#;
    let document = document.replace("\"owner\"", no_retries);
    // The platform is down and its list names no VM; each daemon learns by itself.
    let deployment = Deployment::start(2, &[document]).await;
    deployment.platform.set_faults(down());
    services[0].set_draining(true);
    for daemon in [0, 1] {
        let routers = deployment.daemons[daemon].shared().routers.load();
        while routers[&ServiceName::new("shopfront")].try_take_retry() {}
        for _ in 0..REQUESTS {
            browse(&deployment, daemon).await;
        }
    }
    assert_eq!(services[0].total_runs(), 0);
    assert!(services[0].refused() <= 2, "{}", services[0].refused());
    services[0].set_draining(false);
    until("both daemons use it again", || async {
        draining(&deployment, 0, "shopfront") + draining(&deployment, 1, "shopfront") == 0
    })
    .await;
    until("it runs requests again", || async {
        browse(&deployment, 0).await;
        services[0].total_runs() > 0
    })
    .await;
}

#[tokio::test]
async fn an_engine_that_reports_draining_is_not_asked_and_comes_back() {
    let (engines, running) = engines().await;
    let document = model_document(&[running[0].address, running[1].address]);
    let deployment = Deployment::start(1, &[document]).await;
    deployment.platform.set_faults(down());
    engines[0].set_draining(true);
    until("the report is known", || async {
        draining(&deployment, 0, "advisor-lm") == 1
    })
    .await;
    for _ in 0..REQUESTS {
        complete(&deployment, 0).await;
    }
    assert_eq!((engines[0].started(), engines[0].refused()), (0, 0));
    engines[0].set_draining(false);
    until("it runs completions again", || async {
        complete(&deployment, 0).await;
        engines[0].started() > 0
    })
    .await;
}

#[tokio::test]
async fn an_engine_on_a_leaving_vm_is_not_asked_though_it_reports_no_drain() {
    let (engines, running) = engines().await;
    let document = model_document(&[running[0].address, running[1].address]);
    let deployment = Deployment::start(1, &[document]).await;
    let vm = VmName::new("engine-vm-1");
    deployment.platform.set_vms(vec![VmEntry {
        vm: vm.clone(),
        state: VmState::Leaving,
    }]);
    until("the list is known", || async {
        let snapshot = deployment.daemons[0].shared().snapshot.load();
        snapshot.leaving.contains(&vm)
    })
    .await;
    // Some reports of the engine come in meanwhile.
    sleep(Duration::from_millis(1_200)).await;
    let before = engines[0].started();
    for _ in 0..REQUESTS {
        complete(&deployment, 0).await;
    }
    assert_eq!(engines[0].started(), before);
}

#[tokio::test]
async fn an_endpoint_that_is_gone_costs_no_caller_an_answer() {
    let (services, running) = shops().await;
    let document = plain_document(&[running[0].address, running[1].address]);
    let deployment = Deployment::start(1, &[document]).await;
    deployment.platform.set_faults(down());
    let [gone, _other] = running;
    drop(gone);
    for key in 0..REQUESTS {
        browse(&deployment, 0).await;
        let held = deployment.hold(0, &key.to_string()).send().await.unwrap();
        assert_eq!(held.status(), 200);
    }
    let runs = services[1].runs();
    assert!((0..REQUESTS).all(|key| runs[&key.to_string()] == 1));
}
