//! Settings of one VM.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{FailureDomain, Region, VmName};

/// What one daemon learns from its file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// Name of the VM, unique within the deployment.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain.
    pub region: Region,
    /// Address for callers and trainers, HTTP.
    pub service_address: SocketAddr,
    /// Address for operators and metrics, HTTP.
    pub admin_address: SocketAddr,
    /// Address for the other daemons, UDP and TCP on the same port.
    pub peer_address: SocketAddr,
    /// Peer addresses to ask for the configuration while the platform does not answer.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Base URL of the platform's key-value service.
    pub platform_url: Box<str>,
    /// Time to live of the VM's lease, in seconds.
    #[serde(default = "default_lease_ttl_s")]
    pub lease_ttl_s: u64,
    /// Wait between readiness going off and the listener closing, in milliseconds.
    #[serde(default = "default_drain_wait_ms")]
    pub drain_wait_ms: u64,
    /// Longest time that a stop waits for requests in flight, in seconds.
    #[serde(default = "default_drain_limit_s")]
    pub drain_limit_s: u64,
    /// Threads that carry traffic.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Platform calls per second that this daemon may make.
    #[serde(default = "default_platform_calls_per_s")]
    pub platform_calls_per_s: f64,
    /// Form of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
}

/// Form of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Plain,
    /// One JSON object a line.
    Json,
}

fn default_lease_ttl_s() -> u64 {
    15
}

fn default_drain_wait_ms() -> u64 {
    2_000
}

fn default_drain_limit_s() -> u64 {
    120
}

fn default_traffic_threads() -> usize {
    2
}

fn default_platform_calls_per_s() -> f64 {
    4.0
}
