//! Upkeep of what the request path uses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use futures_util::stream::{self, StreamExt};
use tokio::sync::watch;
use tokio::time::sleep;
use wisteriapoint_gateway::{Router, Target};
use wisteriapoint_settings::ServiceKind;
use wisteriapoint_types::{ServiceName, hash64};

use super::{Service, Shared};

const TICK: Duration = Duration::from_millis(50);
const LOAD_PAUSE: Duration = Duration::from_millis(500);
const POLLS_AT_ONCE: usize = 32;

/// Brings the routers up to date whenever control publishes.
pub async fn follow(shared: Arc<Shared>, mut published: watch::Receiver<()>) {
    while published.changed().await.is_ok() {
        let snapshot = shared.snapshot.load_full();
        let known = shared.routers.load_full();
        let mut routers = BTreeMap::new();
        for (name, service) in &snapshot.services {
            let router = known.get(name).cloned();
            let router = router.unwrap_or_else(|| new_router(&shared, name));
            router.update(&service.document, &snapshot.leaving);
            routers.insert(name.clone(), router);
        }
        shared.routers.store(Arc::new(routers));
    }
}

fn new_router(shared: &Arc<Shared>, name: &ServiceName) -> Router {
    Router::new(hash64(shared.me.id.0, name.as_str().as_bytes()))
}

/// Wakes waiting requests whose time has come.
pub async fn tick(shared: Arc<Shared>) {
    loop {
        for router in shared.routers.load_full().values() {
            router.tick();
        }
        sleep(TICK).await;
    }
}

/// Asks the engines for their load, and leaving plain services whether they are back.
pub async fn poll_loads(shared: Arc<Shared>) {
    loop {
        let snapshot = shared.snapshot.load_full();
        let services = snapshot.services.iter();
        join_all(services.map(|(name, service)| poll_service(&shared, name, service))).await;
        sleep(LOAD_PAUSE).await;
    }
}

async fn poll_service(shared: &Arc<Shared>, name: &ServiceName, service: &Service) {
    let Some(router) = shared.routers.load().get(name).cloned() else {
        return;
    };
    let targets = match service.document.kind {
        ServiceKind::Model => router.targets(),
        ServiceKind::Plain => router.draining(),
    };
    stream::iter(targets)
        .for_each_concurrent(POLLS_AT_ONCE, |target| {
            poll_endpoint(shared, &router, service.document.kind, target)
        })
        .await;
}

async fn poll_endpoint(shared: &Arc<Shared>, router: &Router, kind: ServiceKind, target: Target) {
    let endpoint = &target.endpoint;
    match kind {
        ServiceKind::Model => {
            if let Ok(status) = shared.clients.engine_status(&target).await {
                let (running, waiting) = (status.running, status.waiting);
                router.report(endpoint, running, waiting, status.draining);
            }
        }
        ServiceKind::Plain => {
            if shared.clients.takes_work(&target).await {
                router.set_draining(endpoint, false);
            }
        }
    }
}
