//! Selection of the endpoints of a large service that one node uses.
//!
//! If every node used all endpoints, each change of an endpoint would have to be sent to all nodes,
//! and its cost would grow with their number. A node therefore uses a part of each large service,
//! selected by a hash of its VM's name and the endpoint's name. The nodes spread evenly over the
//! endpoints, and the sender of endpoint changes can compute which endpoints a node uses.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{EndpointName, ServiceName, hash64};

/// Level up to which a node uses all endpoints of a service, as a power of two.
///
/// Of a larger service it uses at least about as many on average: 64 endpoints have some hundreds
/// of slots, several times what one node fills.
const MIN_LEVEL: u32 = 6;

/// Levels of the large services: base-2 logarithms of their numbers of endpoints, rounded down.
///
/// A shrinking service keeps its level until it has less than three quarters of that number, so
/// that single endpoints that start or stop do not change the subsets of all nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceSizes {
    levels: BTreeMap<ServiceName, u32>,
}

impl ServiceSizes {
    /// Creates an empty set, in which no service is large.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns `true` if no service is large.
    pub fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }

    /// Recomputes the levels, given the service of each endpoint.
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

/// The selection of one node among the endpoints of large services.
#[derive(Debug, Clone, Copy)]
pub struct Subset {
    seed: u64,
}

impl Subset {
    /// Creates the subset of the node on the VM with the given name.
    pub fn new(vm: &str) -> Self {
        Self {
            seed: hash64(0, vm.as_bytes()),
        }
    }

    /// Returns `true` if the node uses the endpoint.
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
