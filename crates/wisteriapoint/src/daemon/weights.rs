//! The keeper's loop: reads engines back and orders the published version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use wisteriapoint_gateway::Target;
use wisteriapoint_settings::{ServiceDocument, ServiceKind};
use wisteriapoint_types::{EndpointName, ServiceName};
use wisteriapoint_weights::{Keeper, Order};

use super::{Service, Shared};

const ROUND_PAUSE: Duration = Duration::from_millis(250);
const ORDER_LIMIT: Duration = Duration::from_secs(5);

/// Keeps the engines that the view gives to this daemon at the published version.
pub async fn run(shared: Arc<Shared>) {
    let mut keepers: BTreeMap<ServiceName, Keeper> = BTreeMap::new();
    loop {
        let snapshot = shared.snapshot.load_full();
        for (name, service) in &snapshot.services {
            if service.document.kind == ServiceKind::Model {
                let keeper = keepers.entry(name.clone()).or_default();
                keeper.set_view(shared.clock.now_ms(), snapshot.view.number);
                round(&shared, service, keeper).await;
            }
        }
        sleep(ROUND_PAUSE).await;
    }
}

async fn round(shared: &Arc<Shared>, service: &Service, keeper: &mut Keeper) {
    let kept = kept_engines(shared, &service.document);
    keeper.retain(|endpoint| kept.contains_key(endpoint));
    for (endpoint, target) in &kept {
        keeper.keep(endpoint.clone());
        if let Ok(status) = shared.clients.engine_status(target).await {
            keeper.report(endpoint, status.version);
        }
    }
    let Some(version) = service.version else {
        return;
    };
    keeper.set_target(version);
    let limit = (kept.len() as f64 * service.document.weights.loading_share).ceil() as usize;
    for order in keeper.plan(shared.clock.now_ms(), limit.max(1)) {
        if let Some(target) = kept.get(&order.endpoint) {
            send(Arc::clone(shared), target.clone(), order);
        }
    }
}

fn kept_engines(
    shared: &Arc<Shared>,
    document: &ServiceDocument,
) -> BTreeMap<EndpointName, Target> {
    let view = Arc::clone(&shared.snapshot.load().view);
    let mine = |name: &EndpointName| {
        let ranked = view.coordinators(name.as_str().as_bytes());
        ranked.first() == Some(&shared.me.id)
    };
    document
        .endpoints
        .iter()
        .filter(|endpoint| mine(&endpoint.endpoint))
        .map(|endpoint| (endpoint.endpoint.clone(), endpoint.into()))
        .collect()
}

fn send(shared: Arc<Shared>, target: Target, order: Order) {
    tokio::spawn(async move {
        let sent = shared
            .clients
            .order_weights(&target, &order, ORDER_LIMIT)
            .await;
        if let Err(failure) = sent {
            log::debug!("{}: {failure}", target.endpoint);
        }
    });
}
