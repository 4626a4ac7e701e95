//! The keeper's loop: reads engines back and orders the published version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::task::JoinSet;
use tokio::time::sleep;
use wisteriapoint_gateway::Target;
use wisteriapoint_settings::{Endpoint, ServiceDocument, ServiceKind};
use wisteriapoint_types::{EndpointName, ServiceName, WeightVersion};
use wisteriapoint_weights::{Fence, Keeper, Order, Wave};

use super::{Service, Shared};

const ROUND_PAUSE: Duration = Duration::from_millis(250);
const SHORTEST_ORDER_LIMIT: Duration = Duration::from_secs(5);

/// Keeps the engines that the view gives to this daemon at the published version.
pub async fn run(shared: Arc<Shared>) {
    let mut keepers: BTreeMap<ServiceName, Keeper> = BTreeMap::new();
    let mut orders = JoinSet::new();
    loop {
        let snapshot = shared.snapshot.load_full();
        keepers.retain(|name, _| snapshot.services.contains_key(name));
        take_ended(&shared, &mut keepers, &mut orders);
        for (name, service) in &snapshot.services {
            if service.document.kind == ServiceKind::Model {
                let keeper = keepers.entry(name.clone()).or_default();
                keeper.set_view(snapshot.view.number);
                round(&shared, service, keeper, &mut orders).await;
            }
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// An order whose call has ended.
#[derive(Debug)]
struct Ended {
    service: ServiceName,
    endpoint: EndpointName,
    fence: Fence,
}

fn take_ended(
    shared: &Arc<Shared>,
    keepers: &mut BTreeMap<ServiceName, Keeper>,
    orders: &mut JoinSet<Ended>,
) {
    while let Some(ended) = orders.try_join_next() {
        if let Ok(ended) = ended
            && let Some(keeper) = keepers.get_mut(&ended.service)
        {
            keeper.ended(shared.clock.now_ms(), &ended.endpoint, ended.fence);
        }
    }
}

async fn round(
    shared: &Arc<Shared>,
    service: &Service,
    keeper: &mut Keeper,
    orders: &mut JoinSet<Ended>,
) {
    let document = &service.document;
    let kept = kept_engines(shared, document);
    let now_ms = shared.clock.now_ms();
    keeper.set_order_ttl(document.weights.order_ttl_ms);
    keeper.retain(|endpoint| kept.contains_key(endpoint));
    for (name, endpoint) in &kept {
        keeper.keep(now_ms, name.clone(), endpoint.checks_fencing);
    }
    let mut versions = read(shared, kept.values().copied()).await;
    for (name, version) in &versions {
        keeper.report(name, now_ms, *version);
    }
    let Some(target) = service.version else {
        return;
    };
    keeper.set_target(now_ms, target);
    if keeper.is_settled() {
        return;
    }
    let wave = wave(document);
    if wave.reads_all() {
        let others = document.endpoints.iter();
        let others = others.filter(|endpoint| !kept.contains_key(&endpoint.endpoint));
        versions.extend(read(shared, others).await);
    }
    let is_behind = |name: &EndpointName| versions.get(name).is_none_or(|&v| v < target);
    let now_ms = shared.clock.now_ms();
    let elapsed_ms = keeper.target_age_ms(now_ms);
    let may_load = |name: &EndpointName| wave.may_load(name, elapsed_ms, is_behind);
    for order in keeper.plan(now_ms, wave.room(kept.len()), may_load) {
        if let Some(endpoint) = kept.get(&order.endpoint) {
            orders.spawn(send(
                Arc::clone(shared),
                document.clone(),
                (*endpoint).into(),
                order,
            ));
        }
    }
}

fn wave(document: &ServiceDocument) -> Wave {
    let engines = document.endpoints.iter().map(|endpoint| &endpoint.endpoint);
    let weights = &document.weights;
    Wave::new(engines, weights.loading_share, weights.wave_s)
}

/// The versions that engines report now; one that does not answer is left out.
async fn read(
    shared: &Arc<Shared>,
    endpoints: impl IntoIterator<Item = &Endpoint>,
) -> BTreeMap<EndpointName, WeightVersion> {
    let reads = endpoints.into_iter().map(async |endpoint| {
        let status = shared.clients.engine_status(&endpoint.into()).await;
        let version = status.ok()?.version;
        Some((endpoint.endpoint.clone(), version))
    });
    join_all(reads).await.into_iter().flatten().collect()
}

fn kept_engines<'a>(
    shared: &Arc<Shared>,
    document: &'a ServiceDocument,
) -> BTreeMap<EndpointName, &'a Endpoint> {
    let view = Arc::clone(&shared.snapshot.load().view);
    let mine = |name: &EndpointName| {
        let ranked = view.coordinators(name.as_str().as_bytes());
        ranked.first() == Some(&shared.me.id)
    };
    document
        .endpoints
        .iter()
        .filter(|endpoint| mine(&endpoint.endpoint))
        .map(|endpoint| (endpoint.endpoint.clone(), endpoint))
        .collect()
}

/// Sends an order unless its validity has run out, as after a pause of this daemon.
async fn send(
    shared: Arc<Shared>,
    document: Arc<ServiceDocument>,
    target: Target,
    order: Order,
) -> Ended {
    let limit = Duration::from_secs(document.weights.wave_s / 3).max(SHORTEST_ORDER_LIMIT);
    if order.is_valid(shared.clock.now_ms()) {
        let sent = shared.clients.order_weights(&target, &order, limit).await;
        if let Err(failure) = sent {
            log::debug!("{}: {failure}", target.endpoint);
        }
    }
    Ended {
        service: document.service.clone(),
        endpoint: order.endpoint,
        fence: order.fence,
    }
}
