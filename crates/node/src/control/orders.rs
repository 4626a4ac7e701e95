//! Orders to engines: the leader brings each engine to the published weight version of its model.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method};
use tokio::task::{JoinError, JoinSet};
use tokio::time::{sleep, timeout};
use wisteriapoint_store::{CommitOutcome, Index, LeaseId, Transaction, TransactionalStore};
use wisteriapoint_types::{EndpointName, ServiceName, WeightVersion};
use wisteriapoint_weights::{Engine, Planner, WeightLoad};

use super::leaving;
use crate::dialect::{Dialect, EngineReport, OutboundMetadata, VersionOrder};
use crate::event;
use crate::node::Node;
use crate::upstream::UpstreamRequest;
use crate::upstream::send::{ExchangeResponse, exchange};

/// Time after which loads are planned again if nothing has changed.
const PLAN_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Least time between two plans: one plan covers all changes in between, and a load takes many
/// times as long.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(15);
/// Timeout for an engine's response to a report request or an order; neither needs a slot.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(800);

/// The leadership under which an order is sent.
#[derive(Debug, Clone, Copy)]
struct Leadership {
    /// Fencing token of the orders.
    fence: Index,
    /// Lease under which the leader row was written.
    lease: LeaseId,
}

/// The outcome of an order, and the engine's report from before it was sent.
#[derive(Debug)]
struct OrderOutcome {
    endpoint: EndpointName,
    report: Option<EngineReport>,
    is_accepted: bool,
}

/// Plans loads and sends orders, after an initial delay, until the task is dropped.
pub async fn send_orders<D: Dialect>(
    node: Rc<Node<D>>,
    (fence, lease): (Index, LeaseId),
    delay: Duration,
) {
    sleep(delay).await;
    let leadership = Leadership { fence, lease };
    let mut planner = Planner::new();
    let mut orders: JoinSet<OrderOutcome> = JoinSet::new();
    loop {
        report_retired(&node).await;
        let loads = plan_loads(&node, &mut planner);
        for load in loads {
            orders.spawn_local(order_load(node.clone(), load, leadership));
        }
        tokio::select! {
            Some(outcome) = orders.join_next() => record_outcome(&node, &mut planner, outcome),
            () = node.directory_changed.notified() => {}
            () = sleep(PLAN_POLL_INTERVAL) => {}
        }
        sleep(MIN_PLAN_INTERVAL).await;
        while let Some(outcome) = orders.try_join_next() {
            record_outcome(&node, &mut planner, outcome);
        }
    }
}

fn plan_loads<D: Dialect>(node: &Node<D>, planner: &mut Planner) -> Vec<WeightLoad> {
    let directory = node.directory.borrow();
    let Some(configuration) = &directory.configuration else {
        return Vec::new();
    };
    let now_ms = node.now_ms();
    let mut work = node.feed.accepted_work(now_ms);
    for (model, tokens) in node.jobs.work(now_ms) {
        *work.entry(model).or_default() += tokens;
    }
    node.feed.record_speeds(&directory.registry);
    let mut loads = Vec::new();
    for service in configuration
        .services
        .iter()
        .filter(|service| !service.models.is_empty())
    {
        let engines: Vec<_> = ready_engines(&directory.registry, &service.name).collect();
        let published = &directory.published_versions;
        loads.extend(planner.plan(now_ms, &service.models, &engines, published, &work));
    }
    loads
}

fn ready_engines<'a>(
    registry: &'a wisteriapoint_directory::Registry,
    service: &'a ServiceName,
) -> impl Iterator<Item = Engine<'a>> {
    registry
        .iter()
        .filter(|(_, endpoint)| {
            endpoint.record.service == *service
                && endpoint.record.stage == wisteriapoint_directory::EndpointStage::Ready
        })
        .map(|(name, endpoint)| Engine {
            name,
            models: &endpoint.record.models,
            born_unix_ms: endpoint.record.born_unix_ms,
            ms_per_event: endpoint.ms_per_event,
        })
}

async fn order_load<D: Dialect>(
    node: Rc<Node<D>>,
    load: WeightLoad,
    leadership: Leadership,
) -> OrderOutcome {
    let endpoint = load.endpoint.clone();
    let target = node
        .directory
        .borrow()
        .registry
        .get(&endpoint)
        .map(|entry| (entry.record.address, entry.record.service.clone()));
    let mut outcome = OrderOutcome {
        endpoint: endpoint.clone(),
        report: None,
        is_accepted: false,
    };
    let Some((address, service)) = target else {
        return outcome;
    };
    outcome.report = fetch_report(&node, &endpoint, address).await;
    let Some(report) = &outcome.report else {
        return outcome;
    };
    let is_loaded = report
        .models
        .iter()
        .any(|(model, version)| **model == *load.model && *version >= load.version);
    if report.is_busy || is_loaded || !node.lease.holds(leadership.lease) {
        return outcome;
    }
    let order = VersionOrder {
        model: &load.model,
        version: load.version,
        keeps_running: !is_single_version(&node, &service),
        holder: &node.settings.vm,
        fence: leadership.fence.0,
        expected_orders: Some(report.accepted_orders),
    };
    outcome.is_accepted = send_order(&node, &endpoint, address, &order, leadership.lease).await;
    outcome
}

/// Returns `true` if a route to the service requires one weight version for a complete result.
fn is_single_version<D: Dialect>(node: &Node<D>, service: &ServiceName) -> bool {
    node.configuration().is_some_and(|configuration| {
        let mut routes = configuration.routes.iter();
        routes.any(|route| {
            route.single_version && route.splits.iter().any(|split| split.service == *service)
        })
    })
}

async fn fetch_report<D: Dialect>(
    node: &Rc<Node<D>>,
    endpoint: &EndpointName,
    address: SocketAddr,
) -> Option<EngineReport> {
    let request = json_request(Method::GET, D::REPORT_PATH, Vec::new());
    let response = call_engine::<D>(node, endpoint, address, &request, || true).await?;
    let status = response.status;
    match D::parse_report(&response.body) {
        // The engine is about to end.
        Ok(_) if response.is_leaving => None,
        Ok(report) if status.is_success() => Some(report),
        Ok(_) => None,
        Err(error) => {
            event!(
                info,
                "engine report could not be parsed; no order sent",
                endpoint = endpoint,
                status = status,
                error = error
            );
            None
        }
    }
}

async fn send_order<D: Dialect>(
    node: &Rc<Node<D>>,
    endpoint: &EndpointName,
    address: SocketAddr,
    order: &VersionOrder<'_>,
    lease: LeaseId,
) -> bool {
    let (path, body) = D::encode_order(order);
    let request = json_request(Method::POST, path, body);
    // After a pause of this VM, wherever it began, this node may no longer be the leader and
    // then must not send the order.
    let may_send = || node.lease.holds(lease);
    let response = call_engine::<D>(node, endpoint, address, &request, may_send).await;
    let status = match &response {
        Some(response) => response.status.as_str().to_owned(),
        None => "none".to_owned(),
    };
    node.metrics.orders.with_label_values(&[&status]).inc();
    event!(
        info,
        "order sent",
        endpoint = endpoint,
        model = order.model,
        version = order.version,
        fence = order.fence,
        expected_orders = order.expected_orders.unwrap_or(0),
        status = status,
    );
    response.is_some_and(|response| response.status.is_success())
}

fn json_request(method: Method, path: &'static str, body: Vec<u8>) -> UpstreamRequest {
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(CONTENT_TYPE, json);
    UpstreamRequest {
        method,
        uri: hyper::Uri::from_static(path),
        headers,
        body: Bytes::from(body),
    }
}

async fn call_engine<D: Dialect>(
    node: &Rc<Node<D>>,
    endpoint: &EndpointName,
    address: SocketAddr,
    request: &UpstreamRequest,
    may_send: impl Fn() -> bool,
) -> Option<ExchangeResponse> {
    let outbound = OutboundMetadata {
        id: "",
        endpoint,
        remaining_ms: None,
        last_event: None,
        workspace: None,
    };
    let response = exchange::<D>(&node.pool, address, request, outbound, may_send);
    match timeout(ENGINE_TIMEOUT, response).await {
        Ok(Ok(response)) => {
            if response.is_leaving {
                leaving::record(node, endpoint, "");
            }
            Some(response)
        }
        Ok(Err(failure)) => {
            event!(
                info,
                "engine did not answer",
                endpoint = endpoint,
                reason = failure.reason
            );
            None
        }
        Err(_) => {
            event!(
                info,
                "engine did not answer",
                endpoint = endpoint,
                reason = "silent"
            );
            None
        }
    }
}

fn record_outcome<D: Dialect>(
    node: &Node<D>,
    planner: &mut Planner,
    outcome: Result<OrderOutcome, JoinError>,
) {
    let outcome = match outcome {
        Ok(outcome) => outcome,
        Err(error) => {
            event!(error, "order task failed", error = error);
            return;
        }
    };
    let now_ms = node.now_ms();
    if let Some(report) = &outcome.report {
        planner.record_report(&outcome.endpoint, report.is_busy, &report.models);
        apply_reported_versions(node, &outcome.endpoint, &report.models);
    }
    planner.record_order_end(now_ms, &outcome.endpoint, outcome.is_accepted);
}

/// Applies the weight versions that an engine reports and publishes the change to other nodes; the
/// engine's row follows only with its next heartbeat.
fn apply_reported_versions<D: Dialect>(
    node: &Node<D>,
    endpoint: &EndpointName,
    models: &[(Box<str>, WeightVersion)],
) {
    let mut directory = node.directory.borrow_mut();
    let entry = directory.registry.get_mut(endpoint);
    if entry.is_some_and(|entry| entry.raise_versions(models)) {
        node.feed.record_change(endpoint, node.feed.revision());
        node.feed.publish();
    }
}

/// Reports to the operator that the VMs to be retired hold no data; no VM ever does.
async fn report_retired<D: Dialect>(node: &Node<D>) {
    let retiring = std::mem::take(&mut node.directory.borrow_mut().retiring_vms);
    for vm in retiring {
        let (key, value) = D::retired_row(&vm);
        let transaction = Transaction::new().with_put(key, value);
        let committed = node.store.commit(&transaction).await;
        node.record_store_call("retire", &committed);
        match committed {
            Ok(CommitOutcome::Done(_)) => event!(info, "retired", vm = vm),
            other => {
                event!(
                    warn,
                    "VM not reported as retired; retrying",
                    vm = vm,
                    result = format!("{other:?}")
                );
                node.directory.borrow_mut().retiring_vms.insert(vm);
            }
        }
    }
}
