//! Control's part in configuration: documents, weight versions, VM list.

use std::sync::Arc;

use wisteriapoint_platform::{Entry, VmEntry, VmState};
use wisteriapoint_types::ServiceName;

use super::Control;
use crate::daemon::snapshot::Service;
use crate::record::{ServiceRecord, WeightRecord};

impl Control {
    pub(super) fn take_services(&mut self, entries: &[Entry]) {
        self.snapshot.configured = true;
        for entry in entries {
            self.take_service(entry);
        }
        self.publish();
    }

    fn take_service(&mut self, entry: &Entry) {
        let Ok(record) = serde_json::from_slice::<ServiceRecord>(&entry.value) else {
            log::warn!("{}: the record is malformed", entry.key);
            return;
        };
        let accepted = record.current;
        match wisteriapoint_settings::document_from_str(&accepted.document) {
            Ok(document) => self.put_in_force(document, accepted.revision),
            Err(error) => log::warn!("{}: {error}", entry.key),
        }
    }

    fn put_in_force(
        &mut self,
        document: wisteriapoint_settings::ServiceDocument,
        revision: wisteriapoint_types::Revision,
    ) {
        let name = document.service.clone();
        let in_force = self.snapshot.services.get(&name);
        if in_force.is_some_and(|service| service.revision >= revision) {
            return;
        }
        log::info!("service {name}: revision {revision} in force");
        let service = Service {
            document: Arc::new(document),
            revision,
            version: self.versions.get(&name).copied(),
        };
        self.snapshot.services.insert(name, service);
    }

    pub(super) fn take_weights(&mut self, entries: &[Entry]) {
        for entry in entries {
            let Some(name) = entry
                .key
                .strip_prefix(wisteriapoint_platform::keys::WEIGHTS)
            else {
                continue;
            };
            let Ok(record) = serde_json::from_slice::<WeightRecord>(&entry.value) else {
                log::warn!("{}: the record is malformed", entry.key);
                continue;
            };
            let name = ServiceName::new(name);
            let known = self.versions.entry(name.clone()).or_default();
            *known = record.version.max(*known);
            if let Some(service) = self.snapshot.services.get_mut(&name) {
                service.version = Some(*known);
            }
        }
        self.publish();
    }

    pub(super) fn take_vms(&mut self, vms: Vec<VmEntry>) {
        let leaving = vms
            .into_iter()
            .filter(|entry| entry.state == VmState::Leaving)
            .map(|entry| entry.vm)
            .collect();
        if leaving != self.snapshot.leaving {
            self.snapshot.leaving = leaving;
            self.publish();
        }
    }
}
