//! Messages between two catalogs.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Revision, ServiceName, VmName, WeightVersion};

/// The text of a service document at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The revision.
    pub revision: Revision,
    /// The text, as the operator wrote it.
    pub text: Box<str>,
}

/// The VMs that the platform's list called leaving at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingVms {
    /// When the list was read, in Unix milliseconds of the reader's clock.
    pub observed_at_ms: u64,
    /// The VMs.
    pub vms: BTreeSet<VmName>,
}

/// What a catalog knows, without the texts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Revisions of the documents.
    pub documents: BTreeMap<ServiceName, Revision>,
    /// Published weight versions.
    pub versions: BTreeMap<ServiceName, WeightVersion>,
    /// When the list of VMs was read, in Unix milliseconds.
    pub leaving_observed_at_ms: u64,
}

/// What one catalog gives to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Documents.
    pub documents: Vec<(ServiceName, Document)>,
    /// Published weight versions.
    pub versions: Vec<(ServiceName, WeightVersion)>,
    /// VMs that are leaving.
    pub leaving: Option<LeavingVms>,
}

impl Update {
    /// An update of one document.
    pub fn of_document(service: ServiceName, document: Document) -> Self {
        Self {
            documents: vec![(service, document)],
            ..Self::default()
        }
    }

    /// An update of one weight version.
    pub fn of_version(service: ServiceName, version: WeightVersion) -> Self {
        Self {
            versions: vec![(service, version)],
            ..Self::default()
        }
    }

    /// An update of the leaving VMs.
    pub fn of_leaving(leaving: LeavingVms) -> Self {
        Self {
            leaving: Some(leaving),
            ..Self::default()
        }
    }

    /// Whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty() && self.versions.is_empty() && self.leaving.is_none()
    }
}
