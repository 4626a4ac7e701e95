//! Settings of a node, read from JSON with comments.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use wisteriapoint_types::FailureDomain;

use crate::Error;
use crate::error::Kind;

/// Settings of a node, read at its start; a reload only reports whether they changed.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
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
    /// Time limits of the platform.
    pub bounds: Bounds,
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

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or as [`from_text`](Self::from_text) does.
    pub fn from_file(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::io(path.display().to_string(), error))?;
        Self::from_text(&text)
    }
}
