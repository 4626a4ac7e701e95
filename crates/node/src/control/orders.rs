//! Orders to engines: the keeper brings each engine to the named version of its model.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode};
use tokio::task::{JoinError, JoinSet};
use tokio::time::{sleep, timeout};
use wisteriapoint_store::{CommitOutcome, Index, LeaseId, Transaction, TransactionalStore};
use wisteriapoint_types::{EndpointName, ServiceName, WeightVersion};
use wisteriapoint_weights::{Engine, Load, Planner};

use crate::dialect::{Addressed, Dialect, EngineReport, VersionOrder};
use crate::event;
use crate::node::Node;
use crate::upstream::Sending;
use crate::upstream::send::exchange;

/// Pause between looks at what is to be ordered, if nothing changes before.
const POLL: Duration = Duration::from_millis(250);
/// Least time between two plans: one covers all that changed meanwhile, and a load takes many
/// times as long.
const PLAN_PAUSE: Duration = Duration::from_millis(15);
/// Time for an engine to answer a question or an order: it needs no slot for them.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// What an order is given under.
#[derive(Debug, Clone, Copy)]
struct Duty {
    /// The fencing token.
    fence: Index,
    /// The lease that the keeper's row hangs on.
    lease: LeaseId,
}

/// How an order ended.
#[derive(Debug)]
struct OrderEnd {
    endpoint: EndpointName,
    report: Option<EngineReport>,
    is_accepted: bool,
}

/// Gives orders after a quiet time, until the task is dropped.
pub async fn run<D: Dialect>(node: Rc<Node<D>>, fence: Index, quiet: Duration) {
    sleep(quiet).await;
    let Some(lease) = node.lease.id() else {
        return;
    };
    let duty = Duty { fence, lease };
    let mut planner = Planner::new();
    let mut orders: JoinSet<OrderEnd> = JoinSet::new();
    loop {
        report_retired(&node).await;
        let loads = plan(&node, &mut planner);
        for load in loads {
            orders.spawn_local(order(node.clone(), load, duty));
        }
        tokio::select! {
            Some(end) = orders.join_next() => take_end(&node, &mut planner, end),
            () = node.directory_changed.notified() => {}
            () = sleep(POLL) => {}
        }
        sleep(PLAN_PAUSE).await;
        while let Some(end) = orders.try_join_next() {
            take_end(&node, &mut planner, end);
        }
    }
}

fn plan<D: Dialect>(node: &Node<D>, planner: &mut Planner) -> Vec<Load> {
    let directory = node.directory.borrow();
    let Some(configuration) = &directory.configuration else {
        return Vec::new();
    };
    let now_ms = node.now_ms();
    let mut work = node.feed.work(now_ms);
    for (model, tokens) in node.jobs.work(now_ms) {
        *work.entry(model).or_default() += tokens;
    }
    node.feed.note_speeds(&directory.registry);
    let mut loads = Vec::new();
    for service in configuration
        .services
        .iter()
        .filter(|service| !service.models.is_empty())
    {
        let engines: Vec<_> = engines(&directory.registry, &service.name).collect();
        let named = &directory.named;
        loads.extend(planner.plan(now_ms, &service.models, &engines, named, &work));
    }
    loads
}

fn engines<'a>(
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
            unit_ms: endpoint.unit_ms,
        })
}

async fn order<D: Dialect>(node: Rc<Node<D>>, load: Load, duty: Duty) -> OrderEnd {
    let endpoint = load.endpoint.clone();
    let known = node
        .directory
        .borrow()
        .registry
        .get(&endpoint)
        .map(|known| (known.record.address, known.record.service.clone()));
    let mut end = OrderEnd {
        endpoint: endpoint.clone(),
        report: None,
        is_accepted: false,
    };
    let Some((address, service)) = known else {
        return end;
    };
    end.report = ask_report(&node, &endpoint, address).await;
    let Some(report) = &end.report else {
        return end;
    };
    let has_it = report
        .models
        .iter()
        .any(|(model, version)| **model == *load.model && *version >= load.version);
    if report.is_busy || has_it || !node.lease.is_sure_of(duty.lease) {
        return end;
    }
    let order = VersionOrder {
        model: &load.model,
        version: load.version,
        keeps_running: !is_single_version(&node, &service),
        holder: &node.settings.vm,
        fence: duty.fence.0,
        expected_orders: Some(report.orders),
    };
    end.is_accepted = give(&node, &endpoint, address, &order, duty.lease).await;
    end
}

/// Whether a route of a service wants one version for a whole result.
fn is_single_version<D: Dialect>(node: &Node<D>, service: &ServiceName) -> bool {
    node.configuration().is_some_and(|configuration| {
        let mut routes = configuration.routes.iter();
        routes.any(|route| {
            route.single_version && route.splits.iter().any(|split| split.service == *service)
        })
    })
}

async fn ask_report<D: Dialect>(
    node: &Node<D>,
    endpoint: &EndpointName,
    address: SocketAddr,
) -> Option<EngineReport> {
    let question = sending(Method::GET, D::REPORT_PATH, Vec::new());
    let (status, body) = ask::<D>(node, endpoint, address, &question, || true).await?;
    match D::report(&body) {
        Ok(report) if status.is_success() => Some(report),
        Ok(_) => None,
        Err(error) => {
            event!(
                info,
                "report not understood",
                endpoint = endpoint,
                status = status,
                why = error
            );
            None
        }
    }
}

async fn give<D: Dialect>(
    node: &Node<D>,
    endpoint: &EndpointName,
    address: SocketAddr,
    order: &VersionOrder<'_>,
    lease: LeaseId,
) -> bool {
    let (path, body) = D::order(order);
    let sending = sending(Method::POST, path, body);
    // A former keeper must not order anything after a pause, wherever it began.
    let is_keeper = || node.lease.is_sure_of(lease);
    let answer = ask::<D>(node, endpoint, address, &sending, is_keeper).await;
    let reply = match &answer {
        Some((status, _)) => status.as_str().to_owned(),
        None => "none".to_owned(),
    };
    node.metrics.orders.with_label_values(&[&reply]).inc();
    event!(
        info,
        "order given",
        endpoint = endpoint,
        model = order.model,
        version = order.version,
        fence = order.fence,
        expected_orders = order.expected_orders.unwrap_or(0),
        reply = reply,
    );
    matches!(answer, Some((status, _)) if status.is_success())
}

fn sending(method: Method, path: &'static str, body: Vec<u8>) -> Sending {
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(CONTENT_TYPE, json);
    Sending {
        method,
        uri: hyper::Uri::from_static(path),
        headers,
        body: Bytes::from(body),
    }
}

async fn ask<D: Dialect>(
    node: &Node<D>,
    endpoint: &EndpointName,
    address: SocketAddr,
    sending: &Sending,
    may_send: impl Fn() -> bool,
) -> Option<(StatusCode, Bytes)> {
    let addressed = Addressed {
        id: "",
        endpoint,
        left_ms: None,
        last_event: None,
    };
    let asked = exchange::<D>(&node.pool, address, sending, addressed, may_send);
    match timeout(ANSWER_TIMEOUT, asked).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(failure)) => {
            event!(
                info,
                "engine did not answer",
                endpoint = endpoint,
                why = failure.why
            );
            None
        }
        Err(_) => {
            event!(
                info,
                "engine did not answer",
                endpoint = endpoint,
                why = "silent"
            );
            None
        }
    }
}

fn take_end<D: Dialect>(node: &Node<D>, planner: &mut Planner, end: Result<OrderEnd, JoinError>) {
    let end = match end {
        Ok(end) => end,
        Err(error) => {
            event!(error, "order failed", why = error);
            return;
        }
    };
    let now_ms = node.now_ms();
    if let Some(report) = &end.report {
        planner.record_report(&end.endpoint, report.is_busy, &report.models);
        raise(node, &end.endpoint, &report.models);
    }
    planner.record_order_end(now_ms, &end.endpoint, end.is_accepted);
}

/// Takes the versions that an engine reports, and tells the other nodes: its row follows with the
/// next heartbeat.
fn raise<D: Dialect>(
    node: &Node<D>,
    endpoint: &EndpointName,
    models: &[(Box<str>, WeightVersion)],
) {
    let mut directory = node.directory.borrow_mut();
    let known = directory.registry.get_mut(endpoint);
    if known.is_some_and(|known| known.raise_versions(models)) {
        node.feed.push(endpoint, node.feed.revision());
        node.feed.publish();
    }
}

/// Tells the operator that VMs which are to be emptied hold nothing: none of them ever does.
async fn report_retired<D: Dialect>(node: &Node<D>) {
    let retiring = std::mem::take(&mut node.directory.borrow_mut().retiring);
    for vm in retiring {
        let (key, value) = D::retired_row(&vm);
        let transaction = Transaction::new().with_put(key, value);
        let committed = node.store.commit(&transaction).await;
        node.note_store("retire", &committed);
        match committed {
            Ok(CommitOutcome::Done(_)) => event!(info, "retired", vm = vm),
            other => {
                event!(
                    warn,
                    "retirement not told",
                    vm = vm,
                    result = format!("{other:?}")
                );
                node.directory.borrow_mut().retiring.insert(vm);
            }
        }
    }
}
