//! The keeper's loop: reads engines back and orders the published version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::task::JoinSet;
use tokio::time::sleep;
use wisteriapoint_gateway::Target;
use wisteriapoint_membership::View;
use wisteriapoint_settings::{Endpoint, ServiceDocument, ServiceKind};
use wisteriapoint_types::{EndpointName, Revision, ServiceName, ViewNumber, WeightVersion};
use wisteriapoint_weights::{Controller, Fence, Order, Wave};

use super::{Service, Shared};

const ROUND_PAUSE: Duration = Duration::from_millis(250);
const SHORTEST_ORDER_LIMIT: Duration = Duration::from_secs(5);

/// Rounds between two reads while all engines serve the published version.
const SETTLED_ROUNDS: u32 = 2;

/// The engines of one service that this daemon keeps.
#[derive(Debug, Default)]
struct Kept {
    keeper: Controller,
    view: ViewNumber,
    revision: Revision,
    engines: BTreeMap<EndpointName, Endpoint>,
    rounds: u32,
}

impl Kept {
    /// Works out which engines are kept, if the view or the document has changed.
    fn update(&mut self, shared: &Shared, view: &View, service: &Service) {
        if (self.view, self.revision) == (view.number, service.revision) {
            return;
        }
        (self.view, self.revision) = (view.number, service.revision);
        let is_mine = |endpoint: &&Endpoint| {
            view.coordinator(endpoint.endpoint.as_str().as_bytes()) == Some(shared.me.id)
        };
        let endpoints = service.document.endpoints.iter().filter(is_mine);
        self.engines = endpoints
            .map(|endpoint| (endpoint.endpoint.clone(), endpoint.clone()))
            .collect();
    }

    /// Tells the keeper of its engines and of the published version.
    fn prepare(&mut self, now_ms: u64, service: &Service) {
        let keeper = &mut self.keeper;
        keeper.set_view(self.view);
        keeper.set_order_ttl(service.document.weights.order_ttl_ms);
        keeper.retain(|endpoint| self.engines.contains_key(endpoint));
        for (name, endpoint) in &self.engines {
            keeper.add_engine(now_ms, name.clone(), endpoint.checks_fencing);
        }
        if let Some(target) = service.version {
            keeper.set_target(now_ms, target);
        }
    }

    /// The engines to read in this round: all while a version is on its way, otherwise
    /// one after the other, so that a quiet service costs little.
    fn due(&mut self) -> Vec<&Endpoint> {
        self.rounds = self.rounds.wrapping_add(1);
        let turn = (self.rounds / SETTLED_ROUNDS) as usize;
        match self.keeper.is_converged() {
            false => self.engines.values().collect(),
            true if !self.rounds.is_multiple_of(SETTLED_ROUNDS) => Vec::new(),
            true => {
                let next = turn % self.engines.len().max(1);
                self.engines.values().skip(next).take(1).collect()
            }
        }
    }
}

/// Keeps the engines that the view gives to this daemon at the published version.
pub async fn run(shared: Arc<Shared>) {
    let mut keepers: BTreeMap<ServiceName, Kept> = BTreeMap::new();
    let mut orders = JoinSet::new();
    loop {
        let snapshot = shared.snapshot.load_full();
        keepers.retain(|name, _| snapshot.services.contains_key(name));
        take_ended(&shared, &mut keepers, &mut orders);
        for (name, service) in &snapshot.services {
            if service.document.kind == ServiceKind::Model {
                let kept = keepers.entry(name.clone()).or_default();
                kept.update(&shared, &snapshot.view, service);
                round(&shared, service, kept, &mut orders).await;
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
    keepers: &mut BTreeMap<ServiceName, Kept>,
    orders: &mut JoinSet<Ended>,
) {
    while let Some(ended) = orders.try_join_next() {
        if let Ok(ended) = ended
            && let Some(kept) = keepers.get_mut(&ended.service)
        {
            kept.keeper
                .record_order_end(shared.clock.now_ms(), &ended.endpoint, ended.fence);
        }
    }
}

async fn round(
    shared: &Arc<Shared>,
    service: &Service,
    kept: &mut Kept,
    orders: &mut JoinSet<Ended>,
) {
    let document = &service.document;
    let now_ms = shared.clock.now_ms();
    kept.prepare(now_ms, service);
    let mut versions = read(shared, kept.due()).await;
    for (name, version) in &versions {
        kept.keeper.record_report(name, now_ms, *version);
    }
    let Some(target) = service.version.filter(|_| !kept.keeper.is_converged()) else {
        return;
    };
    let Kept {
        keeper, engines, ..
    } = kept;
    let wave = wave(document);
    if wave.needs_all_reports() {
        let others = document.endpoints.iter();
        let others = others.filter(|endpoint| !engines.contains_key(&endpoint.endpoint));
        versions.extend(read(shared, others).await);
    }
    let is_behind = |name: &EndpointName| versions.get(name).is_none_or(|&v| v < target);
    let now_ms = shared.clock.now_ms();
    let elapsed_ms = keeper.target_age_ms(now_ms);
    let may_load = |name: &EndpointName| wave.may_load(name, elapsed_ms, is_behind);
    for order in keeper.plan(now_ms, wave.max_loading_owned(engines.len()), may_load) {
        if let Some(endpoint) = engines.get(&order.endpoint) {
            orders.spawn(send(
                Arc::clone(shared),
                document.clone(),
                endpoint.into(),
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
