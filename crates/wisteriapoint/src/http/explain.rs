//! `GET /explain/{service}`: the endpoints that a request could go to, without sending one.

use std::sync::Arc;

use salvo::{Request, Response, handler};
use serde::{Deserialize, Serialize};
use wisteriapoint_route::EndpointState;
use wisteriapoint_types::{EndpointName, FailureDomain, ServiceName};

use super::respond;
use crate::daemon::Shared;
use crate::daemon::generate::unknown_service;

/// Handles `GET /explain/{service}`.
#[derive(Debug)]
pub struct Explain {
    shared: Arc<Shared>,
}

/// State of a service's endpoints as seen by one daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Explanation {
    /// All endpoints, sorted by name.
    pub endpoints: Vec<EndpointReport>,
    /// Endpoints that a request sent now could go to, sorted by name.
    pub candidates: Vec<EndpointName>,
}

/// State of one endpoint as seen by one daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Failure domain that the endpoint runs in.
    pub failure_domain: FailureDomain,
    /// Whether the endpoint can receive a request now.
    pub state: Availability,
    /// Number of requests from this daemon in flight at the endpoint.
    pub in_flight: u32,
    /// Maximum number of requests that run at once.
    pub max_concurrency: u32,
    /// Number of running requests in the latest load report.
    pub reported_running: u32,
    /// Number of waiting requests in the latest load report.
    pub reported_waiting: u32,
    /// Age of the latest load report, in milliseconds.
    pub report_age_ms: u64,
    /// Measured time per token, or per request of a plain service, in milliseconds.
    pub ms_per_token: f64,
}

/// Whether an endpoint can receive a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// The endpoint accepts requests.
    Open,
    /// The endpoint runs as many requests as its limit allows.
    Full,
    /// The endpoint failed recently and receives no requests for a limited time.
    #[serde(rename = "passed-over")]
    Ejected,
    /// The endpoint accepts no new requests.
    Leaving,
}

impl Availability {
    /// All variants.
    pub const ALL: [Self; 4] = [Self::Open, Self::Full, Self::Ejected, Self::Leaving];

    /// Returns the name used in tables, JSON and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Full => "full",
            Self::Ejected => "passed-over",
            Self::Leaving => "leaving",
        }
    }
}

impl EndpointReport {
    /// Returns the endpoints of a router, sorted by name.
    pub fn all(router: &wisteriapoint_gateway::Router) -> Vec<Self> {
        let now_ms = router.now_ms();
        let endpoints = router.endpoint_states();
        let mut endpoints: Vec<Self> = endpoints
            .iter()
            .map(|state| Self::new(state, now_ms))
            .collect();
        endpoints.sort_by(|one, other| one.endpoint.cmp(&other.endpoint));
        endpoints
    }

    fn new(state: &EndpointState, now_ms: u64) -> Self {
        let availability = match state {
            state if state.leaving => Availability::Leaving,
            state if state.paused_until_ms > now_ms => Availability::Ejected,
            state if state.in_flight >= state.max_concurrency => Availability::Full,
            _ => Availability::Open,
        };
        Self {
            endpoint: state.endpoint.clone(),
            failure_domain: state.failure_domain.clone(),
            state: availability,
            in_flight: state.in_flight,
            max_concurrency: state.max_concurrency,
            reported_running: state.load.running,
            reported_waiting: state.load.waiting,
            report_age_ms: now_ms.saturating_sub(state.load.at_ms),
            ms_per_token: state.ms_per_token,
        }
    }
}

#[handler]
impl Explain {
    /// Creates the handler.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let service = ServiceName::new(request.param::<String>("service").unwrap_or_default());
        let router = self.shared.routers.load().get(&service).cloned();
        let Some(router) = router else {
            return respond::problem(response, &unknown_service(&service));
        };
        let endpoints = EndpointReport::all(&router);
        let is_open = |endpoint: &&EndpointReport| endpoint.state == Availability::Open;
        let candidates = endpoints.iter().filter(is_open);
        let explanation = Explanation {
            candidates: candidates.map(|state| state.endpoint.clone()).collect(),
            endpoints,
        };
        respond::json(response, &explanation);
    }
}
