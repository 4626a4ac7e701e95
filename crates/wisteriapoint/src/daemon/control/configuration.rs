//! Control's part in configuration: documents, weight versions, leaving VMs.

use std::sync::Arc;

use wisteriapoint_catalog::Update;
use wisteriapoint_types::ServiceName;

use super::Control;
use crate::daemon::snapshot::Service;

impl Control {
    /// Takes configuration from the platform or a peer; older parts change nothing.
    pub(super) fn apply_update(&mut self, update: Update) {
        let changes = self.catalog.merge(update);
        let is_first = !self.snapshot.configured;
        if changes.is_empty() && !is_first {
            return;
        }
        self.snapshot.configured = true;
        for service in &changes.documents {
            self.apply_document(service);
        }
        for service in changes.documents.iter().chain(&changes.versions) {
            let version = self.catalog.version(service);
            if let Some(current) = self.snapshot.services.get_mut(service) {
                current.version = version;
            }
        }
        self.snapshot.leaving = self.catalog.leaving_vms().clone();
        self.publish();
        self.relay.schedule_digest();
    }

    /// Puts the newest document of a service in force; one that can't be read leaves the
    /// last good one.
    fn apply_document(&mut self, name: &ServiceName) {
        let Some(newest) = self.catalog.document(name) else {
            return;
        };
        let revision = newest.revision;
        let result = match wisteriapoint_settings::document_from_str(&newest.text) {
            Ok(document) => {
                log::info!("service {name}: revision {revision} in force");
                let service = Service {
                    document: Arc::new(document),
                    revision,
                    version: None,
                };
                self.snapshot.services.insert(name.clone(), service);
                "in-force"
            }
            Err(error) => {
                log::warn!("service {name}: revision {revision} can't be read: {error}");
                "unreadable"
            }
        };
        let documents = &self.shared.metrics.documents;
        documents.with_label_values(&[result]).inc();
    }
}
