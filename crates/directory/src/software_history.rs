//! The software versions that each service has had lately.

use std::collections::BTreeMap;

use wisteriapoint_types::{ServiceName, SoftwareVersion};

use crate::Registry;

/// Time for which a version is remembered after its last endpoint has gone, in milliseconds: that for
/// which a caller waits who states no deadline.
const RETENTION_MS: u64 = 60_000;

/// The software versions of the endpoints of each service, and when they were last registered.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    services: BTreeMap<ServiceName, BTreeMap<Option<SoftwareVersion>, u64>>,
    since_ms: Option<u64>,
}

impl SoftwareHistory {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the versions of all registered endpoints.
    pub fn observe(&mut self, now_ms: u64, registry: &Registry) {
        self.since_ms.get_or_insert(now_ms);
        for (_, endpoint) in registry.iter() {
            let record = &endpoint.record;
            match self.services.get_mut(&record.service) {
                Some(versions) => match versions.get_mut(&record.software) {
                    Some(last_ms) => *last_ms = now_ms,
                    None => {
                        versions.insert(record.software.clone(), now_ms);
                    }
                },
                None => {
                    let versions = BTreeMap::from([(record.software.clone(), now_ms)]);
                    self.services.insert(record.service.clone(), versions);
                }
            }
        }
        self.services.retain(|_, versions| {
            versions.retain(|_, last_ms| now_ms < *last_ms + RETENTION_MS);
            !versions.is_empty()
        });
    }

    /// Returns the only version that a service had within a time, in milliseconds.
    ///
    /// Returns `None` if there were several, or if the history doesn't reach back so far.
    pub fn sole(
        &self,
        now_ms: u64,
        service: &ServiceName,
        within_ms: u64,
    ) -> Option<&SoftwareVersion> {
        let within_ms = within_ms.min(RETENTION_MS);
        self.since_ms
            .filter(|since_ms| since_ms + within_ms <= now_ms)?;
        let versions = self.services.get(service)?.iter();
        let mut recent = versions.filter(|(_, last_ms)| now_ms <= **last_ms + within_ms);
        match (recent.next(), recent.next()) {
            (Some((software, _)), None) => software.as_ref(),
            _ => None,
        }
    }
}
