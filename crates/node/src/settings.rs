//! Settings of a node: JSON with comments.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use wisteriapoint_types::FailureDomain;

use crate::Error;
use crate::error::Kind;

/// What a node is told at its start and at a reload.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: Box<str>,
    /// Where the VM stands.
    pub failure_domain: FailureDomain,
    /// Where callers and the balancer reach it; absent on VMs that take no requests.
    pub callers: Option<CallerAddresses>,
    /// Where other nodes reach it.
    pub peer_address: SocketAddr,
    /// Where its metrics are served.
    pub metrics_address: SocketAddr,
    /// The platform's store.
    pub store: StoreSettings,
    /// Times that the platform promises or demands.
    pub bounds: Bounds,
}

/// Where callers and the balancer reach a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerAddresses {
    /// Requests.
    pub requests: SocketAddr,
    /// The balancer's question whether the node is ready.
    pub ready: SocketAddr,
}

/// The platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Shortest lease, in milliseconds.
    pub min_lease_ms: u64,
}

/// Times that the platform promises or demands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: u64,
    /// Time for which a former holder's orders may still count, in milliseconds.
    pub lease_ms: u64,
    /// Whether engines refuse orders with an older fencing token.
    pub engines_check_fences: bool,
}

impl NodeSettings {
    /// Reads settings.
    ///
    /// # Errors
    ///
    /// Fails if a field is missing, unknown or of another type; says where.
    pub fn from_text(text: &str) -> Result<Self, Error> {
        let stripped = json_comments::StripComments::new(text.as_bytes());
        serde_json::from_reader(stripped).map_err(|error| Kind::Settings(error).into())
    }

    /// Reads a file of settings.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or as [`from_text`](Self::from_text).
    pub fn from_file(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::io(path.display().to_string(), error))?;
        Self::from_text(&text)
    }
}
