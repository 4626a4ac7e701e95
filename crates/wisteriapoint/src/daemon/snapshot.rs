//! What control publishes for traffic.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wisteriapoint_membership::View;
use wisteriapoint_settings::ServiceDocument;
use wisteriapoint_types::{Revision, ServiceName, VmName, WeightVersion};

/// State of control at one moment; never changed once published.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The view in force.
    pub view: Arc<View>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// VMs that the platform's list calls leaving.
    pub leaving: BTreeSet<VmName>,
    /// Whether the configuration has been read at least once.
    pub configured: bool,
}

/// One service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its document in force.
    pub document: Arc<ServiceDocument>,
    /// Revision of the document.
    pub revision: Revision,
    /// The published weight version, if any.
    pub version: Option<WeightVersion>,
}
