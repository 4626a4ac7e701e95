//! Settings of a node, read from JSON with comments.

use std::net::SocketAddr;
use std::path::PathBuf;

use rustix::process::{Resource, getrlimit};
use serde::Deserialize;
use wisteriapoint_duties::DutySettings;
use wisteriapoint_intake::Limits;
use wisteriapoint_types::FailureDomain;

use crate::Error;
use crate::error::Kind;

/// Time of a draining endpoint on deployments whose settings do not state it, in milliseconds.
pub const DEFAULT_DRAIN_MS: u64 = 2_000;
/// Time after which a configuration is in force on deployments whose settings do not state it, in
/// milliseconds.
pub const DEFAULT_CONFIG_APPLY_MS: u64 = 2_000;

/// Settings of a node, read at its start; a reload only reports whether they changed.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the VM on which the node runs.
    pub vm: Box<str>,
    /// Failure domain in which the VM runs.
    pub failure_domain: FailureDomain,
    /// Addresses for callers and the balancer; absent on VMs that take no requests.
    pub callers: Option<CallerAddresses>,
    /// Address for requests of other nodes.
    pub peer_address: SocketAddr,
    /// Address at which metrics are served.
    pub metrics_address: SocketAddr,
    /// Address and limits of the platform's store.
    pub store: StoreSettings,
    /// Processor share of the VM in cores. Batch jobs of a route then go to one owner among the nodes with
    /// much of it; without it, each node owns the batch jobs that it receives.
    pub cpu_share: Option<f64>,
    /// Memory of the VM in MB, which bounds the bytes held for callers; a default applies if absent.
    pub memory_mb: Option<u64>,
    /// Descriptors that the VM allows, which bound the callers' connections; a default applies if
    /// absent.
    pub max_descriptors: Option<u64>,
    /// Time limits of the platform.
    pub bounds: Bounds,
    /// Work that one node does towards the platform; absent if none is wanted.
    pub duties: Option<DutySettings>,
}

/// Addresses at which a node listens for callers and the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerAddresses {
    /// Address for callers' requests.
    pub requests: SocketAddr,
    /// Address for the balancer's readiness probes.
    pub ready: SocketAddr,
}

/// Address and limits of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address at which the store listens.
    pub address: SocketAddr,
    /// Shortest time to live that the store grants for a lease, in milliseconds.
    pub min_lease_ms: u64,
}

/// Time limits that the platform guarantees or requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: u64,
    /// Time for which engines may still accept orders of a previous leader, in milliseconds.
    pub lease_ms: u64,
    /// Whether engines reject orders with an older fencing token.
    pub engines_check_fences: bool,
    /// Time for which an endpoint still serves after it has said that it drains, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Time after which a configuration must be in force at all nodes, in milliseconds.
    #[serde(default = "default_config_apply_ms")]
    pub config_apply_ms: u64,
    /// Time after which a key that the configuration no longer has must have no effect, in
    /// milliseconds; without it, a node goes on with the keys that it knows.
    pub revoke_ms: Option<u64>,
    /// Time for which a batch job may be read after its end, in seconds; without it, for good.
    pub status_s: Option<u64>,
}

fn default_drain_ms() -> u64 {
    DEFAULT_DRAIN_MS
}

fn default_config_apply_ms() -> u64 {
    DEFAULT_CONFIG_APPLY_MS
}

impl Bounds {
    /// Returns the time for which a batch job may be read after its end, in milliseconds.
    pub fn ended_retention_ms(&self) -> u64 {
        self.status_s.map_or(u64::MAX, |status_s| status_s * 1_000)
    }

    /// Returns the greatest age of the knowledge that the configuration in force is the newest one, in
    /// milliseconds.
    pub fn max_configuration_age_ms(&self) -> u64 {
        self.revoke_ms.unwrap_or(u64::MAX).min(self.config_apply_ms)
    }
}

impl NodeSettings {
    /// Parses settings.
    ///
    /// # Errors
    ///
    /// Fails if a field is missing, unknown or of another type; the error says where.
    pub fn from_text(text: &str) -> Result<Self, Error> {
        let stripped = json_comments::StripComments::new(text.as_bytes());
        serde_json::from_reader(stripped).map_err(|error| Kind::Settings(error).into())
    }
}

impl NodeSettings {
    /// Returns the limits of what is held for callers; if the descriptors of the VM are not stated, the
    /// limit of the process applies.
    pub fn intake_limits(&self) -> Limits {
        let own_limit = || getrlimit(Resource::Nofile).current;
        Limits::for_vm(self.memory_mb, self.max_descriptors.or_else(own_limit))
    }
}

/// File with the settings of a node, and values that precede those of the file.
#[derive(Debug)]
pub struct SettingsFile {
    /// Path of the file.
    pub path: PathBuf,
    /// Precedes [`Bounds::drain_ms`].
    pub drain_ms: Option<u64>,
    /// Precedes [`Bounds::config_apply_ms`].
    pub config_apply_ms: Option<u64>,
}

impl SettingsFile {
    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or as [`NodeSettings::from_text`] does.
    pub fn read(&self) -> Result<NodeSettings, Error> {
        let text = std::fs::read_to_string(&self.path)
            .map_err(|error| Error::io(self.path.display().to_string(), error))?;
        let mut settings = NodeSettings::from_text(&text)?;
        let bounds = &mut settings.bounds;
        bounds.drain_ms = self.drain_ms.unwrap_or(bounds.drain_ms);
        bounds.config_apply_ms = self.config_apply_ms.unwrap_or(bounds.config_apply_ms);
        Ok(settings)
    }
}
