//! Background tasks that keep the routers up to date.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;
use wisteriapoint_gateway::{Router, Target};
use wisteriapoint_route::Subset;
use wisteriapoint_settings::ServiceKind;
use wisteriapoint_types::{ServiceName, hash64};

use super::{Shared, Snapshot};

const TICK: Duration = Duration::from_millis(50);
const ENDPOINT_POLL_INTERVAL: Duration = Duration::from_millis(500);
const MIN_POLL_PAUSE: Duration = Duration::from_millis(160);
const ENDPOINTS_PER_DAEMON: usize = 36;

/// Updates the routers whenever the control loop publishes a snapshot.
pub async fn update_routers(shared: Arc<Shared>, mut published: watch::Receiver<()>) {
    while published.changed().await.is_ok() {
        let snapshot = shared.snapshot.load_full();
        let current = shared.routers.load_full();
        let mut routers = BTreeMap::new();
        for (name, service) in &snapshot.services {
            let router = current.get(name).cloned();
            let router = router.unwrap_or_else(|| new_router(&shared, name));
            router.set_subset(subset(&shared, &snapshot));
            router.update(&service.document, &snapshot.leaving);
            routers.insert(name.clone(), router);
        }
        shared.routers.store(Arc::new(routers));
    }
}

fn subset(shared: &Shared, snapshot: &Snapshot) -> Subset {
    let members = snapshot.view.members.iter().map(|member| member.id);
    Subset::new(shared.me.id, members.collect(), ENDPOINTS_PER_DAEMON)
}

fn new_router(shared: &Arc<Shared>, name: &ServiceName) -> Router {
    Router::new(hash64(shared.me.id.0, name.as_str().as_bytes()))
}

/// Calls [`Router::tick`] on all routers periodically, so that waiting requests are dispatched or
/// refused as time passes.
pub async fn tick_routers(shared: Arc<Shared>) {
    loop {
        for router in shared.routers.load_full().values() {
            router.tick();
        }
        sleep(TICK).await;
    }
}

/// Polls the engines for their load, and the draining endpoints of plain services to detect when
/// they accept requests again.
///
/// The polls are spread evenly over time: each endpoint is polled at most every half second, and
/// all together at most once every `MIN_POLL_PAUSE`, to stay within the budget for control
/// traffic.
pub async fn poll_loads(shared: Arc<Shared>) {
    loop {
        let polls = due_polls(&shared);
        let pause = ENDPOINT_POLL_INTERVAL / polls.len().max(1) as u32;
        for poll in polls {
            tokio::spawn(poll.run(Arc::clone(&shared)));
            sleep(pause.max(MIN_POLL_PAUSE)).await;
        }
        sleep(MIN_POLL_PAUSE).await;
    }
}

/// A poll of one endpoint.
struct Poll {
    router: Router,
    kind: ServiceKind,
    target: Target,
}

impl Poll {
    async fn run(self, shared: Arc<Shared>) {
        poll_endpoint(&shared, &self.router, self.kind, self.target).await;
    }
}

fn due_polls(shared: &Shared) -> Vec<Poll> {
    let snapshot = shared.snapshot.load();
    let routers = shared.routers.load();
    let mut polls = Vec::new();
    for (name, service) in &snapshot.services {
        let Some(router) = routers.get(name) else {
            continue;
        };
        let kind = service.document.kind;
        let targets = match kind {
            ServiceKind::Model => router.targets(),
            ServiceKind::Plain => router.draining_targets(),
        };
        polls.extend(targets.into_iter().map(|target| Poll {
            router: router.clone(),
            kind,
            target,
        }));
    }
    polls
}

async fn poll_endpoint(shared: &Arc<Shared>, router: &Router, kind: ServiceKind, target: Target) {
    let endpoint = &target.endpoint;
    match kind {
        ServiceKind::Model => {
            if let Ok(status) = shared.clients.engine_status(&target).await {
                let (running, waiting) = (status.running, status.waiting);
                router.record_engine_status(endpoint, running, waiting, status.draining);
            }
        }
        ServiceKind::Plain => {
            if shared.clients.probe_accepts_work(&target).await {
                router.set_draining(endpoint, false);
            }
        }
    }
}
