//! The software versions that may have begun streams for which callers still wait.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{ServiceName, SoftwareVersion};

use crate::Registry;

/// Longest time for which a caller waits for a stream, in milliseconds: that of one who states no
/// deadline.
pub const MAX_CALLER_WAIT_MS: u64 = 60_000;
/// Longest time between two observations without a gap, in milliseconds: several intervals at which
/// nodes observe, and less than the time from the start of an endpoint until it drains.
const MAX_OBSERVATION_GAP_MS: u64 = 2_000;

/// The software versions of a service that may have begun streams, in a row that outlives all nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareRecord {
    /// The versions; `None` stands for endpoints that state none.
    pub versions: BTreeSet<Option<SoftwareVersion>>,
    /// Whether no other version has begun a stream for which a caller still waits.
    pub is_complete: bool,
}

impl SoftwareRecord {
    /// Adds a version.
    pub fn with_version(mut self, software: Option<SoftwareVersion>) -> Self {
        self.versions.insert(software);
        self
    }

    /// Returns the version that began every stream for which a caller waits, if there is only one.
    pub fn sole(&self) -> Option<&SoftwareVersion> {
        let mut versions = self.versions.iter();
        match (versions.next(), versions.next()) {
            (Some(software), None) if self.is_complete => software.as_ref(),
            _ => None,
        }
    }
}

/// When each software version of each service was last registered, as one node has observed it.
///
/// Times are of a clock that also advances while the VM is suspended.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    last_ms: BTreeMap<ServiceName, BTreeMap<Option<SoftwareVersion>, u64>>,
    /// Begin of the observation, and its latest time.
    observed_ms: Option<(u64, u64)>,
}

impl SoftwareHistory {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the versions of all registered endpoints.
    ///
    /// A history with a gap begins anew.
    pub fn observe(&mut self, now_ms: u64, registry: &Registry) {
        match &mut self.observed_ms {
            Some((_, latest_ms)) if now_ms <= *latest_ms + MAX_OBSERVATION_GAP_MS => {
                *latest_ms = now_ms;
            }
            observed_ms => {
                *observed_ms = Some((now_ms, now_ms));
                self.last_ms.clear();
            }
        }
        for (_, endpoint) in registry.iter() {
            let record = &endpoint.record;
            match self.last_ms.get_mut(&record.service) {
                Some(versions) => match versions.get_mut(&record.software) {
                    Some(last_ms) => *last_ms = now_ms,
                    None => {
                        versions.insert(record.software.clone(), now_ms);
                    }
                },
                None => {
                    let versions = BTreeMap::from([(record.software.clone(), now_ms)]);
                    self.last_ms.insert(record.service.clone(), versions);
                }
            }
        }
    }

    /// Returns the record of a service that should replace the stored one.
    ///
    /// A stored version is kept until it has been unregistered, as this node observed it, for as long
    /// as callers wait. After a gap in the observation nothing changes until the next one. While there
    /// are nodes that don't record the versions at which they begin
    /// streams, the record is not complete and the observation begins anew.
    pub fn updated(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        stored: &SoftwareRecord,
        all_nodes_record: bool,
    ) -> SoftwareRecord {
        let is_observed = self
            .observed_ms
            .is_some_and(|(_, latest_ms)| now_ms <= latest_ms + MAX_OBSERVATION_GAP_MS);
        if !is_observed {
            return SoftwareRecord {
                is_complete: stored.is_complete && all_nodes_record,
                ..stored.clone()
            };
        }
        if !all_nodes_record {
            self.observed_ms = self.observed_ms.map(|_| (now_ms, now_ms));
        }
        let versions = self.last_ms.entry(service.clone()).or_default();
        for software in &stored.versions {
            versions.entry(software.clone()).or_insert(now_ms);
        }
        let is_recent = |last_ms: u64| now_ms < last_ms + MAX_CALLER_WAIT_MS;
        versions
            .retain(|software, last_ms| is_recent(*last_ms) || stored.versions.contains(software));
        let recent = versions.iter().filter(|(_, last_ms)| is_recent(**last_ms));
        let observed_long = self
            .observed_ms
            .is_some_and(|(began_ms, _)| began_ms + MAX_CALLER_WAIT_MS <= now_ms);
        SoftwareRecord {
            versions: recent.map(|(software, _)| software.clone()).collect(),
            is_complete: all_nodes_record && (stored.is_complete || observed_long),
        }
    }
}
