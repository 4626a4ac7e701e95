//! Weight controllers, which read the engines' versions and order the published one.

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
const MIN_ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Rounds per engine read while all engines serve the published version.
const CONVERGED_READ_ROUNDS: u32 = 2;

/// Controller of those engines of a service that the view assigns to this daemon.
#[derive(Debug, Default)]
struct ServiceController {
    controller: Controller,
    view: ViewNumber,
    revision: Revision,
    engines: BTreeMap<EndpointName, Endpoint>,
    rounds: u32,
}

impl ServiceController {
    /// Updates the set of owned engines if the view or the document has changed.
    fn update(&mut self, shared: &Shared, view: &View, service: &Service) {
        if (self.view, self.revision) == (view.number, service.revision) {
            return;
        }
        (self.view, self.revision) = (view.number, service.revision);
        let is_owned = |endpoint: &&Endpoint| {
            view.coordinator(endpoint.endpoint.as_str().as_bytes()) == Some(shared.me.id)
        };
        let endpoints = service.document.endpoints.iter().filter(is_owned);
        self.engines = endpoints
            .map(|endpoint| (endpoint.endpoint.clone(), endpoint.clone()))
            .collect();
    }

    /// Passes the owned engines and the published version to the controller.
    fn prepare(&mut self, now_ms: u64, service: &Service) {
        let controller = &mut self.controller;
        controller.set_view(self.view);
        controller.set_order_ttl(service.document.weights.order_ttl_ms);
        controller.retain(|endpoint| self.engines.contains_key(endpoint));
        for (name, endpoint) in &self.engines {
            controller.add_engine(now_ms, name.clone(), endpoint.checks_fencing);
        }
        if let Some(target) = service.version {
            controller.set_target(now_ms, target);
        }
    }

    /// Returns the engines to read in this round.
    ///
    /// Until all engines serve the published version, these are all engines; afterwards one engine
    /// at a time, to limit the load of an unchanged service.
    fn engines_to_read(&mut self) -> Vec<&Endpoint> {
        self.rounds = self.rounds.wrapping_add(1);
        let turn = (self.rounds / CONVERGED_READ_ROUNDS) as usize;
        match self.controller.is_converged() {
            false => self.engines.values().collect(),
            true if !self.rounds.is_multiple_of(CONVERGED_READ_ROUNDS) => Vec::new(),
            true => {
                let next = turn % self.engines.len().max(1);
                self.engines.values().skip(next).take(1).collect()
            }
        }
    }
}

/// Keeps the engines that the view assigns to this daemon at the published weight version.
pub async fn run_controllers(shared: Arc<Shared>) {
    let mut controllers: BTreeMap<ServiceName, ServiceController> = BTreeMap::new();
    let mut orders = JoinSet::new();
    loop {
        let snapshot = shared.snapshot.load_full();
        controllers.retain(|name, _| snapshot.services.contains_key(name));
        record_ended_orders(&shared, &mut controllers, &mut orders);
        for (name, service) in &snapshot.services {
            if service.document.kind == ServiceKind::Model {
                let service_controller = controllers.entry(name.clone()).or_default();
                service_controller.update(&shared, &snapshot.view, service);
                run_round(&shared, service, service_controller, &mut orders).await;
            }
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// An order whose call has ended.
#[derive(Debug)]
struct EndedOrder {
    service: ServiceName,
    endpoint: EndpointName,
    fence: Fence,
}

fn record_ended_orders(
    shared: &Arc<Shared>,
    controllers: &mut BTreeMap<ServiceName, ServiceController>,
    orders: &mut JoinSet<EndedOrder>,
) {
    while let Some(ended) = orders.try_join_next() {
        if let Ok(ended) = ended
            && let Some(service_controller) = controllers.get_mut(&ended.service)
        {
            service_controller.controller.record_order_end(
                shared.clock.now_ms(),
                &ended.endpoint,
                ended.fence,
            );
        }
    }
}

async fn run_round(
    shared: &Arc<Shared>,
    service: &Service,
    service_controller: &mut ServiceController,
    orders: &mut JoinSet<EndedOrder>,
) {
    let document = &service.document;
    let now_ms = shared.clock.now_ms();
    service_controller.prepare(now_ms, service);
    let mut versions = read_versions(shared, service_controller.engines_to_read()).await;
    for (name, version) in &versions {
        service_controller
            .controller
            .record_report(name, now_ms, *version);
    }
    let Some(target) = service
        .version
        .filter(|_| !service_controller.controller.is_converged())
    else {
        return;
    };
    let ServiceController {
        controller,
        engines,
        ..
    } = service_controller;
    let wave = wave(document);
    if wave.needs_all_reports() {
        let others = document.endpoints.iter();
        let others = others.filter(|endpoint| !engines.contains_key(&endpoint.endpoint));
        versions.extend(read_versions(shared, others).await);
    }
    let is_behind = |name: &EndpointName| versions.get(name).is_none_or(|&v| v < target);
    let now_ms = shared.clock.now_ms();
    let elapsed_ms = controller.target_age_ms(now_ms);
    let may_load = |name: &EndpointName| wave.may_load(name, elapsed_ms, is_behind);
    for order in controller.plan(now_ms, wave.max_loading_owned(engines.len()), may_load) {
        if let Some(endpoint) = engines.get(&order.endpoint) {
            orders.spawn(send_order(
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

/// Reads the versions that the engines report; omits engines that do not respond.
async fn read_versions(
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

/// Sends an order unless it has expired, for example after a pause of this process.
async fn send_order(
    shared: Arc<Shared>,
    document: Arc<ServiceDocument>,
    target: Target,
    order: Order,
) -> EndedOrder {
    let timeout = Duration::from_secs(document.weights.wave_s / 3).max(MIN_ORDER_TIMEOUT);
    if order.is_valid(shared.clock.now_ms()) {
        let sent = shared.clients.order_weights(&target, &order, timeout).await;
        if let Err(failure) = sent {
            log::debug!("engine {}: weight order failed: {failure}", target.endpoint);
        }
    }
    EndedOrder {
        service: document.service.clone(),
        endpoint: order.endpoint,
        fence: order.fence,
    }
}
