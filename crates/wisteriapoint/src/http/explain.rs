//! `GET /explain/{service}`: where a request would go, without sending one.

use std::sync::Arc;

use salvo::{Request, Response, handler};
use serde::{Deserialize, Serialize};
use wisteriapoint_route::EndpointState;
use wisteriapoint_types::{EndpointName, FailureDomain, ServiceName};

use super::respond;
use crate::daemon::Shared;
use crate::daemon::generate::unknown_service;

/// Handles explanations.
#[derive(Debug)]
pub struct Explain {
    shared: Arc<Shared>,
}

/// What a daemon knows of a service's endpoints.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Explanation {
    /// The endpoints, by name.
    pub endpoints: Vec<EndpointReport>,
    /// Those that a request sent now could go to, by name.
    pub candidates: Vec<EndpointName>,
}

/// What a daemon knows of one endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Its name.
    pub endpoint: EndpointName,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it may get a request now.
    pub state: Availability,
    /// Requests of this daemon in flight there.
    pub in_flight: u32,
    /// Requests that it may run at once.
    pub max_concurrency: u32,
    /// Requests that it reported as running.
    pub reported_running: u32,
    /// Requests that it reported as waiting.
    pub reported_waiting: u32,
    /// Age of its report, in milliseconds.
    pub report_age_ms: u64,
    /// Measured time for one token, or for one request of a plain service, in milliseconds.
    pub ms_per_token: f64,
}

/// Whether an endpoint may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// It may.
    Open,
    /// It runs as many requests as it may.
    Full,
    /// It failed a moment ago.
    #[serde(rename = "passed-over")]
    Ejected,
    /// It takes no new work.
    Leaving,
}

impl Availability {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Open, Self::Full, Self::Ejected, Self::Leaving];

    /// The word in tables and JSON.
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
    /// The endpoints of a router, by name.
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
            state if state.ejected_until_ms > now_ms => Availability::Ejected,
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
    /// Makes the handler.
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
