//! Routes, services and limits that the operator configures.

use std::collections::BTreeMap;

use wisteriapoint_types::{FailureDomain, ServiceName};
use wisteriapoint_workspace::{Credential, Rejection, Workspace, Workspaces};

/// One version of the complete configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version number; increases with each change, but not always by one.
    pub version: u64,
    /// All routes, in no particular order.
    pub routes: Vec<Route>,
    /// All services that a route may name.
    pub services: Vec<Service>,
    /// Limits on requests of callers.
    pub limits: Limits,
    /// Workspaces whose keys requests carry; `None` if requests carry no keys.
    pub workspaces: Option<Workspaces>,
}

/// Rules for the requests to one host under one path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name that logs and metrics use.
    pub name: Box<str>,
    /// Value of the `Host` header that selects this route.
    pub host: Box<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether requests may be sent again.
    pub kind: RouteKind,
    /// Longest time until the caller gets a response, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency of a response, in milliseconds.
    pub objective_ms: u64,
    /// Priority among the routes of a service; 0 is the highest.
    pub priority: u8,
    /// Services among which the requests are divided.
    pub splits: Vec<Split>,
    /// Largest number of endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether another endpoint may resume an interrupted stream.
    pub resumable: bool,
    /// Time from submission until all results of a batch job are due, in milliseconds.
    pub due_ms: u64,
    /// Time from submission after which an item may be abandoned, in milliseconds.
    pub retention_ms: u64,
    /// Whether a single weight version must generate each result.
    pub single_version: bool,
    /// Whether requests need no key.
    pub is_anonymous: bool,
}

/// Whether the requests of a route may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that may run at most once.
    NonIdempotent,
    /// Requests whose response is a stream of events; sent again only if it may be resumed.
    Streaming,
    /// Batch jobs that generate rollouts.
    Rollout,
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Split {
    /// Service that receives the share.
    pub service: ServiceName,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A group of endpoints that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name by which routes refer to it.
    pub name: ServiceName,
    /// Largest number of connections that one endpoint accepts from all callers together.
    pub max_connections: usize,
    /// Models that the endpoints load; empty for services that do not generate.
    pub models: Vec<Box<str>>,
    /// Bounds and prices of orders of endpoints; `None` if the operator decides their number.
    pub scaling: Option<Scaling>,
}

/// Bounds and prices of orders of endpoints, for each failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct Scaling {
    /// Least number of endpoints.
    pub min: u32,
    /// Largest number of endpoints.
    pub max: u32,
    /// Time from an order until the endpoint serves, in milliseconds.
    pub boot_ms: u64,
    /// Price of an endpoint that may be reclaimed, as a part of the price of another.
    pub spot_price: Option<f64>,
    /// Price of an endpoint for a second, by failure domain.
    pub prices: BTreeMap<FailureDomain, f64>,
}

/// Limits on requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to receive the request line and headers, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl RouteKind {
    /// Returns `true` if a request may be sent again although an earlier attempt may have run.
    pub fn allows_rerun(self) -> bool {
        matches!(self, Self::Idempotent | Self::Rollout)
    }
}

impl Route {
    /// Returns the service for a request, given a random number in `0.0..1.0`.
    ///
    /// Services are selected in proportion to their weights.
    pub fn select_service(&self, share: f64) -> Option<&ServiceName> {
        let total: u32 = self.splits.iter().map(|split| split.weight).sum();
        let mut remaining = share * f64::from(total);
        for split in &self.splits {
            remaining -= f64::from(split.weight);
            if remaining < 0.0 {
                return Some(&split.service);
            }
        }
        self.splits.last().map(|split| &split.service)
    }
}

impl Configuration {
    /// Returns the route of a host whose prefix is the longest one that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| &*route.host == host && path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the workspace of a request, or `None` if it needs none and states none.
    ///
    /// # Errors
    ///
    /// Fails if a key is required and the credential is none in force.
    pub fn authenticate(
        &self,
        credential: &Credential,
        is_anonymous: bool,
    ) -> Result<Option<&Workspace>, Rejection> {
        match &self.workspaces {
            Some(workspaces) => workspaces.authenticate(credential, is_anonymous),
            None => Ok(None),
        }
    }

    /// Returns `true` if any route belongs to the host.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes.iter().any(|route| &*route.host == host)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}

impl Default for Limits {
    /// Returns the limits that apply until the configuration has been read.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 32 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
