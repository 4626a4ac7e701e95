//! What the operator has configured.

use wisteriapoint_types::ServiceName;

/// One version of the whole configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Number of the version; grows with each change, in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// Requests of one host under one path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Box<str>,
    /// Value of the `Host` header.
    pub host: Box<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is of full use, in milliseconds.
    pub objective_ms: u64,
    /// Rank among the routes of a service; 0 is the highest.
    pub priority: u8,
    /// Services that share the requests.
    pub splits: Vec<Split>,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a stream may go on at another endpoint.
    pub resumable: bool,
    /// Time from submission by which all results of a batch job are due, in milliseconds.
    pub due_ms: u64,
    /// Time from submission after which an item may be given up, in milliseconds.
    pub retention_ms: u64,
    /// Whether one weight version must have made a whole result.
    pub single_version: bool,
}

/// What of a route's requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// A stream of events; repeated only if it may be resumed.
    Streaming,
    /// Batch jobs of rollouts.
    Rollout,
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Split {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// A group of endpoints that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The name.
    pub name: ServiceName,
    /// Connections that one endpoint accepts from all callers.
    pub max_connections: usize,
    /// Models that its endpoints load; empty for plain services.
    pub models: Vec<Box<str>>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for the head of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl RouteKind {
    /// Whether a request may run again after it may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Rollout)
    }
}

impl Route {
    /// The service for a request with a random share in `0.0..1.0`.
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
    /// The route with the longest prefix of a path, among those of a host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| &*route.host == host && path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Whether any route has a host.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes.iter().any(|route| &*route.host == host)
    }

    /// The service of a name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}

impl Default for Limits {
    /// What holds until a configuration is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 32 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
