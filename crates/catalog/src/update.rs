//! Messages that two catalogs exchange.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Revision, ServiceName, VmName, WeightVersion};

/// The text of a service document at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Revision under which the platform stores the document.
    pub revision: Revision,
    /// Text of the document as the operator wrote it.
    pub text: Box<str>,
}

/// The VMs that the platform listed as leaving at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingVms {
    /// Time at which the list was read, in Unix milliseconds of the reader's clock.
    pub observed_at_ms: u64,
    /// VMs listed as leaving.
    pub vms: BTreeSet<VmName>,
}

/// The revisions and versions that a catalog holds, without the document texts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Revision of each service's document.
    pub documents: BTreeMap<ServiceName, Revision>,
    /// Published weight version of each service.
    pub versions: BTreeMap<ServiceName, WeightVersion>,
    /// Time at which the list of leaving VMs was read, in Unix milliseconds; 0 if never.
    pub leaving_observed_at_ms: u64,
}

/// Entries that one catalog sends to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Service documents.
    pub documents: Vec<(ServiceName, Document)>,
    /// Published weight versions.
    pub versions: Vec<(ServiceName, WeightVersion)>,
    /// VMs that are leaving, if the list is part of the update.
    pub leaving: Option<LeavingVms>,
}

impl Update {
    /// Creates an update with one document.
    pub fn of_document(service: ServiceName, document: Document) -> Self {
        Self {
            documents: vec![(service, document)],
            ..Self::default()
        }
    }

    /// Creates an update with one weight version.
    pub fn of_version(service: ServiceName, version: WeightVersion) -> Self {
        Self {
            versions: vec![(service, version)],
            ..Self::default()
        }
    }

    /// Creates an update with the list of leaving VMs.
    pub fn of_leaving(leaving: LeavingVms) -> Self {
        Self {
            leaving: Some(leaving),
            ..Self::default()
        }
    }

    /// Returns `true` if the update has no entries.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty() && self.versions.is_empty() && self.leaving.is_none()
    }
}
