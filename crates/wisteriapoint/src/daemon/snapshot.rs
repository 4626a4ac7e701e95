//! State that the control loop publishes to the traffic threads.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wisteriapoint_membership::View;
use wisteriapoint_settings::ServiceDocument;
use wisteriapoint_types::{Revision, ServiceName, VmName, WeightVersion};

/// Immutable copy of the control state.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Current view.
    pub view: Arc<View>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// VMs that the platform lists as leaving.
    pub leaving: BTreeSet<VmName>,
    /// `true` once the configuration was received for the first time.
    pub configured: bool,
}

/// Configuration of one service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Document in use.
    pub document: Arc<ServiceDocument>,
    /// Revision of the document.
    pub revision: Revision,
    /// Published weight version, if any.
    pub version: Option<WeightVersion>,
}
