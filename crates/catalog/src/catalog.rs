//! The replicated configuration that one daemon holds.

use std::collections::{BTreeMap, BTreeSet};

use wisteriapoint_types::{ServiceName, VmName, WeightVersion, hash64};

use crate::{Document, LeavingVms, Summary, Update};

/// The newest service documents, weight versions and list of leaving VMs.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    documents: BTreeMap<ServiceName, Document>,
    versions: BTreeMap<ServiceName, WeightVersion>,
    leaving: LeavingVms,
}

/// Entries that a merge changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Services whose document was replaced or added.
    pub documents: Vec<ServiceName>,
    /// Services whose weight version was replaced or added.
    pub versions: Vec<ServiceName>,
    /// Whether the set of leaving VMs changed.
    pub leaving: bool,
}

impl Changes {
    /// Returns `true` if the merge changed nothing.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty() && self.versions.is_empty() && !self.leaving
    }
}

impl Catalog {
    /// Creates an empty catalog.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the newest document of a service.
    pub fn document(&self, service: &ServiceName) -> Option<&Document> {
        self.documents.get(service)
    }

    /// Returns the published weight version of a service.
    pub fn version(&self, service: &ServiceName) -> Option<WeightVersion> {
        self.versions.get(service).copied()
    }

    /// Returns the VMs that are leaving.
    pub fn leaving_vms(&self) -> &BTreeSet<VmName> {
        &self.leaving.vms
    }

    /// Returns a hash of the content, which is the same for catalogs with the same content.
    pub fn content_hash(&self) -> u64 {
        let mut hash = 0;
        for (service, document) in &self.documents {
            hash = hash_entry(hash, b"document", service.as_str(), document.revision.0);
        }
        for (service, version) in &self.versions {
            hash = hash_entry(hash, b"version", service.as_str(), version.0);
        }
        for vm in &self.leaving.vms {
            hash = hash_entry(hash, b"leaving", vm.as_str(), 0);
        }
        hash
    }

    /// Returns the revisions and versions that this catalog holds, without the document texts.
    pub fn summary(&self) -> Summary {
        let documents = self.documents.iter();
        Summary {
            documents: documents
                .map(|(service, document)| (service.clone(), document.revision))
                .collect(),
            versions: self.versions.clone(),
            leaving_observed_at_ms: self.leaving.observed_at_ms,
        }
    }

    /// Returns the entries that are newer here than in a catalog with the given summary.
    ///
    /// The documents add up to at most `max_text_bytes` of text, except that the first is
    /// always included. The next exchange sends the rest.
    pub fn newer_than(&self, summary: &Summary, max_text_bytes: usize) -> Update {
        let mut update = Update {
            versions: self.newer_versions(summary),
            ..Update::default()
        };
        let mut total_bytes = 0;
        for (service, document) in &self.documents {
            let is_newer = Some(&document.revision) > summary.documents.get(service);
            total_bytes += if is_newer { document.text.len() } else { 0 };
            let fits = total_bytes <= max_text_bytes || update.documents.is_empty();
            if is_newer && fits {
                update.documents.push((service.clone(), document.clone()));
            }
        }
        if self.leaving.observed_at_ms > summary.leaving_observed_at_ms {
            update.leaving = Some(self.leaving.clone());
        }
        update
    }

    /// Returns `true` if a catalog with the given summary has an entry newer than this one.
    pub fn is_behind(&self, summary: &Summary) -> bool {
        let behind_document = summary.documents.iter().any(|(service, revision)| {
            let current = self.documents.get(service);
            current.is_none_or(|document| document.revision < *revision)
        });
        let behind_version = summary
            .versions
            .iter()
            .any(|(service, version)| self.versions.get(service) < Some(version));
        behind_document
            || behind_version
            || self.leaving.observed_at_ms < summary.leaving_observed_at_ms
    }

    /// Applies the entries of an update that are newer and returns what changed.
    pub fn merge(&mut self, update: Update) -> Changes {
        let mut changes = Changes::default();
        for (service, document) in update.documents {
            let current = self.documents.get(&service);
            if current.is_none_or(|current| current.revision < document.revision) {
                self.documents.insert(service.clone(), document);
                changes.documents.push(service);
            }
        }
        for (service, version) in update.versions {
            if self.versions.get(&service) < Some(&version) {
                self.versions.insert(service.clone(), version);
                changes.versions.push(service);
            }
        }
        if let Some(leaving) = update.leaving {
            changes.leaving = self.merge_leaving(leaving);
        }
        changes
    }

    fn merge_leaving(&mut self, leaving: LeavingVms) -> bool {
        if leaving.observed_at_ms <= self.leaving.observed_at_ms {
            return false;
        }
        let changed = leaving.vms != self.leaving.vms;
        self.leaving = leaving;
        changed
    }

    fn newer_versions(&self, summary: &Summary) -> Vec<(ServiceName, WeightVersion)> {
        self.versions
            .iter()
            .filter(|(service, version)| summary.versions.get(service) < Some(version))
            .map(|(service, version)| (service.clone(), *version))
            .collect()
    }
}

fn hash_entry(hash: u64, kind: &[u8], name: &str, number: u64) -> u64 {
    let hash = hash64(hash, kind);
    let hash = hash64(hash, name.as_bytes());
    hash64(hash, &number.to_le_bytes())
}
