//! Speeds of endpoints as the nodes have measured them together.

use std::collections::BTreeMap;

use wisteriapoint_types::EndpointName;

/// Least change of an endpoint's time that is told again: below, times differ by load alone.
const TOLD_CHANGE: f64 = 0.15;

/// The times for a unit of work that have been told, each under a number that grows.
#[derive(Debug, Default)]
pub struct Speeds {
    told: BTreeMap<EndpointName, Told>,
    last: u64,
}

#[derive(Debug, Clone, Copy)]
struct Told {
    number: u64,
    unit_ms: f64,
}

impl Speeds {
    /// None is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an endpoint's mean time; it is told again if it differs enough.
    pub fn update(&mut self, endpoint: &EndpointName, unit_ms: f64) {
        let is_same = |told: &Told| (unit_ms / told.unit_ms - 1.0).abs() < TOLD_CHANGE;
        if unit_ms <= 0.0 || self.told.get(endpoint).is_some_and(is_same) {
            return;
        }
        self.last += 1;
        let number = self.last;
        self.told.insert(endpoint.clone(), Told { number, unit_ms });
    }

    /// Forgets the endpoints that are no longer there.
    pub fn retain(&mut self, is_there: impl Fn(&EndpointName) -> bool) {
        self.told.retain(|endpoint, _| is_there(endpoint));
    }

    /// The number of the newest time.
    pub fn last_sequence(&self) -> u64 {
        self.last
    }

    /// The times with numbers above one.
    pub fn after(&self, number: u64) -> impl Iterator<Item = (&EndpointName, f64)> {
        let newer = self
            .told
            .iter()
            .filter(move |(_, told)| told.number > number);
        newer.map(|(endpoint, told)| (endpoint, told.unit_ms))
    }
}
