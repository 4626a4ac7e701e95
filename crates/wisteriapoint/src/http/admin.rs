//! Handlers of the interface for operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use salvo::http::StatusCode;
use salvo::{Request, Response, handler};
use serde::{Deserialize, Serialize};
use wisteriapoint_membership::View;
use wisteriapoint_types::{MemberId, Revision, ServiceName, VmName, WeightVersion};

use super::explain::{Availability, EndpointReport};
use super::respond;
use crate::daemon::Shared;

/// Handles `GET /metrics`: returns the metrics in the text format of Prometheus.
#[derive(Debug)]
pub struct MetricsPage {
    shared: Arc<Shared>,
}

/// Handles `GET /health`: always answers `ok`.
#[derive(Debug)]
pub struct Health;

/// Handles `GET /ready`: answers 200 if the daemon has a view and a configuration and is not
/// stopping, otherwise 503 with the reason.
#[derive(Debug)]
pub struct Ready {
    shared: Arc<Shared>,
}

/// Handles `GET /status`: returns the daemon's [`Status`] as JSON.
#[derive(Debug)]
pub struct StatusPage {
    shared: Arc<Shared>,
}

/// Handles `POST /drain`: requests a graceful stop.
#[derive(Debug)]
pub struct Drain {
    shared: Arc<Shared>,
}

/// State of one daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Identifier of this run of the daemon; a restart gets a new one.
    pub id: MemberId,
    /// VM that the daemon runs on.
    pub vm: VmName,
    /// Current membership view.
    pub view: View,
    /// Configuration revision in force, by service.
    pub revisions: BTreeMap<ServiceName, Revision>,
    /// Published weight version, by service.
    pub versions: BTreeMap<ServiceName, WeightVersion>,
    /// Number of requests in progress.
    pub in_flight: usize,
    /// `true` if a graceful stop was requested.
    pub draining: bool,
}

impl Status {
    /// Returns the current state of a daemon.
    pub fn of(shared: &Shared) -> Self {
        let snapshot = shared.snapshot.load();
        let services = snapshot.services.iter();
        let versions = services.clone().filter_map(|(name, service)| {
            let version = service.version?;
            Some((name.clone(), version))
        });
        Self {
            id: shared.me.id,
            vm: shared.me.vm.clone(),
            view: View::clone(&snapshot.view),
            versions: versions.collect(),
            revisions: services
                .map(|(name, service)| (name.clone(), service.revision))
                .collect(),
            in_flight: shared.in_flight.load(Ordering::Acquire),
            draining: shared.is_draining(),
        }
    }
}

#[handler]
impl MetricsPage {
    /// Creates the handler.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn handle(&self, _request: &mut Request, response: &mut Response) {
        respond::set_header(response, "content-type", "text/plain; version=0.0.4");
        update_gauges(&self.shared);
        response.body(self.shared.metrics.render());
    }
}

/// Sets the gauges whose values are read at scrape time instead of being updated by events.
fn update_gauges(shared: &Shared) {
    let metrics = &shared.metrics;
    metrics
        .ready
        .set(i64::from(unready_reason(shared).is_none()));
    let in_flight = shared.in_flight.load(Ordering::Acquire);
    metrics.in_flight.set(in_flight as i64);
    for (name, service) in &shared.snapshot.load().services {
        let labels = [name.as_str()];
        let revision = metrics.revision.with_label_values(&labels);
        revision.set(service.revision.0 as i64);
        if let Some(version) = service.version {
            let gauge = metrics.weight_version.with_label_values(&labels);
            gauge.set(version.0 as i64);
        }
    }
    for (name, router) in shared.routers.load().iter() {
        let endpoints = EndpointReport::all(router);
        for state in Availability::ALL {
            let count = endpoints.iter().filter(|endpoint| endpoint.state == state);
            let labels = [name.as_str(), state.as_str()];
            let gauge = metrics.endpoints.with_label_values(&labels);
            gauge.set(count.count() as i64);
        }
    }
}

#[handler]
impl Health {
    async fn handle(&self, _request: &mut Request, response: &mut Response) {
        response.body("ok\n");
    }
}

#[handler]
impl Ready {
    /// Creates the handler.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn handle(&self, _request: &mut Request, response: &mut Response) {
        let reason = unready_reason(&self.shared);
        if reason.is_some() {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        response.body(format!("{}\n", reason.unwrap_or("ready")));
    }
}

fn unready_reason(shared: &Shared) -> Option<&'static str> {
    let snapshot = shared.snapshot.load();
    match &snapshot.view {
        _ if shared.is_draining() => Some("stopping"),
        _ if !snapshot.configured => Some("no configuration yet"),
        view if view.members.is_empty() => Some("no view yet"),
        _ => None,
    }
}

#[handler]
impl StatusPage {
    /// Creates the handler.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn handle(&self, _request: &mut Request, response: &mut Response) {
        respond::json(response, &Status::of(&self.shared));
    }
}

#[handler]
impl Drain {
    /// Creates the handler.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn handle(&self, _request: &mut Request, response: &mut Response) {
        self.shared.draining.store(true, Ordering::Release);
        response.body("draining\n");
    }
}
