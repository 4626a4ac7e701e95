//! Settings of a VM.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{FailureDomain, Region, VmName};

/// Settings that a daemon reads from the file of its VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// Name of the VM, unique within the deployment.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain.
    pub region: Region,
    /// HTTP address for callers and trainers.
    pub service_address: SocketAddr,
    /// HTTP address for operators and metrics.
    pub admin_address: SocketAddr,
    /// Address for the other daemons, with UDP and TCP on the same port.
    pub peer_address: SocketAddr,
    /// Peer addresses that are queried for the configuration while the platform does not respond.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Base URL of the platform's key-value service.
    pub platform_url: Box<str>,
    /// Time to live of the VM's lease, in seconds.
    #[serde(default = "default_lease_ttl_s")]
    pub lease_ttl_s: u64,
    /// Delay between reporting not ready and closing the listener, in milliseconds.
    #[serde(default = "default_drain_wait_ms")]
    pub drain_wait_ms: u64,
    /// Maximum time that a shutdown waits for requests in flight, in seconds.
    #[serde(default = "default_drain_limit_s")]
    pub drain_limit_s: u64,
    /// Number of threads that serve traffic.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Maximum rate of platform calls by this daemon, in calls per second.
    #[serde(default = "default_platform_calls_per_s")]
    pub platform_calls_per_s: f64,
    /// Format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Plain,
    /// One JSON object per line.
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
