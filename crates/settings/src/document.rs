//! The document of one service.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{EndpointName, FailureDomain, Region, ServiceName, VmName};

/// What a service is, which endpoints serve it and how it is treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// Name of the service; callers of models give it as `model`.
    pub service: ServiceName,
    /// Team that owns the document.
    pub owner: Box<str>,
    /// What the endpoints are.
    pub kind: ServiceKind,
    /// Region whose daemons keep the claims of this service.
    #[serde(default)]
    pub home_region: Option<Region>,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
    /// How requests of a path are treated; the longest matching path counts.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Deadline of a request that brings none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Time after which a key is forgotten and its repeat refused, in seconds.
    #[serde(default = "default_retry_horizon_s")]
    pub retry_horizon_s: u64,
    /// Bounds on work in progress.
    #[serde(default)]
    pub limits: Limits,
    /// Treatment of rollouts.
    #[serde(default)]
    pub rollouts: Rollouts,
    /// Treatment of weight versions.
    #[serde(default)]
    pub weights: Weights,
}

/// What the endpoints of a service are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines with completions.
    Model,
    /// Plain HTTP servers.
    Plain,
}

/// One endpoint of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name, unique within the service.
    pub endpoint: EndpointName,
    /// Address for requests, HTTP.
    pub address: SocketAddr,
    /// Failure domain of the endpoint's VM.
    pub failure_domain: FailureDomain,
    /// The VM, as the platform's list names it.
    pub vm: VmName,
    /// Requests that it may run at once.
    #[serde(default = "default_max_concurrency")]
    pub max_concurrency: u32,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it echoes the request id in its answers.
    #[serde(default)]
    pub echoes_request_id: bool,
}

/// Treatment of the requests of one path of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Prefix of the path.
    pub path: Box<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Deadline, in milliseconds, in place of the service's.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// Bounds on work in progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests of callers that one daemon may hold waiting.
    pub queue_length: u32,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Share of requests that may be retries, from 0 to 1.
    pub retry_ratio: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue_length: 64,
            body_bytes: 1 << 20,
            retry_ratio: 0.1,
        }
    }
}

/// Treatment of rollouts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rollouts {
    /// Longest time that one sample may take on an engine, in milliseconds.
    pub sample_deadline_ms: u64,
    /// Second copies of stragglers, as a share of tokens, from 0 to 1.
    pub hedge_ratio: f64,
    /// Weight of trainer idle time against staleness.
    pub idle_weight: f64,
    /// Weight of staleness against trainer idle time.
    pub staleness_weight: f64,
}

impl Default for Rollouts {
    fn default() -> Self {
        Self {
            sample_deadline_ms: 120_000,
            hedge_ratio: 0.1,
            idle_weight: 1.0,
            staleness_weight: 1.0,
        }
    }
}

/// Treatment of weight versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Time within which all engines shall serve a new version, in seconds.
    pub wave_s: u64,
    /// Share of engines that may load at the same time, from 0 to 1.
    pub loading_share: f64,
    /// How long an order stays valid, in milliseconds.
    pub order_ttl_ms: u64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            wave_s: 33,
            loading_share: 0.34,
            order_ttl_ms: 5_000,
        }
    }
}

impl ServiceDocument {
    /// The route that a path falls under.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| path.starts_with(&*route.path))
            .max_by_key(|route| route.path.len())
    }
}

fn default_deadline_ms() -> u64 {
    10_000
}

pub(crate) fn default_retry_horizon_s() -> u64 {
    3_600
}

fn default_max_concurrency() -> u32 {
    8
}
