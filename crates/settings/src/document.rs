//! Document that configures a service.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{EndpointName, FailureDomain, Region, ServiceName, VmName};

/// Configuration of a service: its endpoints, routes, deadlines and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// Name of the service; callers of a model service pass it as `model`.
    pub service: ServiceName,
    /// Team that owns the document.
    pub owner: Box<str>,
    /// Type of the endpoints.
    pub kind: ServiceKind,
    /// Region whose daemons hold the claims of this service; cannot change once set.
    #[serde(default)]
    pub home_region: Option<Region>,
    /// Endpoints that serve requests, at least one.
    pub endpoints: Vec<Endpoint>,
    /// Rules for requests by path prefix, of which the longest match applies; plain services only.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Deadline of a request that does not specify one, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Time after which an idempotency key expires and its repeat is refused, in seconds.
    #[serde(default = "default_retry_horizon_s")]
    pub retry_horizon_s: u64,
    /// Limits on work in progress.
    #[serde(default)]
    pub limits: Limits,
    /// Settings for rollouts; model services only.
    #[serde(default)]
    pub rollouts: Rollouts,
    /// Settings for weight versions; model services only.
    #[serde(default)]
    pub weights: Weights,
}

/// Type of the endpoints of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines that serve completions.
    Model,
    /// Plain HTTP servers.
    Plain,
}

/// An endpoint of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name, unique within the service.
    pub endpoint: EndpointName,
    /// HTTP address for requests, unique within the service.
    pub address: SocketAddr,
    /// Failure domain of the endpoint's VM.
    pub failure_domain: FailureDomain,
    /// Name of the VM in the platform's list.
    pub vm: VmName,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_max_concurrency")]
    pub max_concurrency: u32,
    /// Whether the endpoint rejects an order with an older fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the endpoint echoes the request ID in its responses.
    #[serde(default)]
    pub echoes_request_id: bool,
}

/// Rule for requests whose path starts with a prefix; plain services only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, unique within the service.
    pub path: Box<str>,
    /// Whether it is safe to run a request more than once.
    pub idempotent: bool,
    /// Deadline that overrides the one of the service, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// Limits on work in progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of caller requests queued in one daemon.
    pub queue_length: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum share of requests that are retries, from 0 to 1.
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

/// Settings for rollouts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rollouts {
    /// Maximum time for one sample on an engine, in milliseconds.
    pub sample_deadline_ms: u64,
    /// Budget for hedged copies of straggling samples, as a share of tokens, from 0 to 1.
    pub hedge_ratio: f64,
    /// Weight of trainer idle time relative to staleness.
    pub idle_weight: f64,
    /// Weight of staleness relative to trainer idle time.
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

/// Settings for weight versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Time within which all engines should serve a new version, in seconds.
    pub wave_s: u64,
    /// Maximum share of engines that load weights at the same time, from 0 to 1.
    pub loading_share: f64,
    /// Validity period of an order, in milliseconds.
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
    /// Returns the route with the longest prefix that matches a path.
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
