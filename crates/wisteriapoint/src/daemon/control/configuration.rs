//! Configuration: service documents, published weight versions and leaving VMs.

use std::sync::Arc;

use wisteriapoint_catalog::Update;
use wisteriapoint_types::ServiceName;

use super::Control;
use crate::daemon::snapshot::Service;

impl Control {
    /// Merges configuration from the platform or a peer; parts that are not newer are ignored.
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
        self.gossip.schedule_digest();
    }

    /// Applies the newest document of a service.
    ///
    /// A document that can't be parsed is not applied: the previous one stays in use.
    fn apply_document(&mut self, name: &ServiceName) {
        let Some(newest) = self.catalog.document(name) else {
            return;
        };
        let revision = newest.revision;
        let result = match wisteriapoint_settings::document_from_str(&newest.text) {
            Ok(document) => {
                log::info!("service {name}: applied document revision {revision}");
                let service = Service {
                    document: Arc::new(document),
                    revision,
                    version: None,
                };
                self.snapshot.services.insert(name.clone(), service);
                "in-force"
            }
            Err(error) => {
                log::warn!("service {name}: document revision {revision} not applied: {error}");
                "unreadable"
            }
        };
        let documents = &self.shared.metrics.documents;
        documents.with_label_values(&[result]).inc();
    }
}
