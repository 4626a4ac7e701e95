//! Which endpoints of a large service one node uses.
//!
//! A node that knew all endpoints would have to be told of every change of each of them, so the
//! cost of a change would grow with the nodes. It uses some of each large service, by a hash of
//! its name and theirs: all nodes together use all endpoints alike, and whoever tells a node of
//! endpoints can work out which ones it uses.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{EndpointName, ServiceName, hash64};

/// Endpoints of a service that a node uses at least, as a power of two: 64 endpoints have some
/// hundreds of slots, several times what one node fills.
const MIN_LEVEL: u32 = 6;

/// How large the large services are, each as a power of two.
///
/// A service that shrinks keeps its level down to three quarters of it, so that endpoints that
/// come and go do not change what all nodes use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceSizes {
    levels: BTreeMap<ServiceName, u32>,
}

impl ServiceSizes {
    /// No service is large.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether no service is large.
    pub fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }

    /// Takes the services of all endpoints.
    pub fn update<'a>(&mut self, services: impl Iterator<Item = &'a ServiceName>) {
        let mut counts: BTreeMap<&ServiceName, u64> = BTreeMap::new();
        for service in services {
            *counts.entry(service).or_default() += 1;
        }
        let levels = counts.into_iter().map(|(service, count)| {
            let current = self.levels.get(service).copied();
            (service.clone(), level(count, current.unwrap_or(MIN_LEVEL)))
        });
        self.levels = levels.filter(|&(_, level)| level > MIN_LEVEL).collect();
    }
}

fn level(count: u64, current: u32) -> u32 {
    let largest_fit = count.max(1).ilog2();
    match largest_fit < current && count * 4 >= 3 << current {
        true => current,
        false => largest_fit,
    }
}

/// The choice of one node among the endpoints of large services.
#[derive(Debug, Clone, Copy)]
pub struct Subset {
    seed: u64,
}

impl Subset {
    /// The subset of a node, by the name of its VM.
    pub fn new(vm: &str) -> Self {
        Self {
            seed: hash64(0, vm.as_bytes()),
        }
    }

    /// Whether the node uses an endpoint.
    pub fn contains(
        &self,
        sizes: &ServiceSizes,
        service: &ServiceName,
        endpoint: &EndpointName,
    ) -> bool {
        let level = sizes.levels.get(service).copied().unwrap_or(MIN_LEVEL);
        let one_in = 1_u64 << level.saturating_sub(MIN_LEVEL);
        hash64(self.seed, endpoint.as_str().as_bytes()).is_multiple_of(one_in)
    }
}
