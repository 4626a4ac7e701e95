//! Speeds of endpoints as the nodes have measured them together.

use std::collections::BTreeMap;

use wisteriapoint_types::EndpointName;

/// Least change of an endpoint's time that is told again: below, times differ by load alone.
const MIN_PUBLISHED_CHANGE: f64 = 0.15;

/// The times for a unit of work that have been told, each under a number that grows.
#[derive(Debug, Default)]
pub struct Speeds {
    published: BTreeMap<EndpointName, Published>,
    last_sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct Published {
    sequence: u64,
    unit_ms: f64,
}

impl Speeds {
    /// None is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an endpoint's mean time; it is told again if it differs enough.
    pub fn update(&mut self, endpoint: &EndpointName, unit_ms: f64) {
        let is_same = |published: &Published| {
            (unit_ms / published.unit_ms - 1.0).abs() < MIN_PUBLISHED_CHANGE
        };
        if unit_ms <= 0.0 || self.published.get(endpoint).is_some_and(is_same) {
            return;
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.published
            .insert(endpoint.clone(), Published { sequence, unit_ms });
    }

    /// Forgets the endpoints that are no longer there.
    pub fn retain(&mut self, is_there: impl Fn(&EndpointName) -> bool) {
        self.published.retain(|endpoint, _| is_there(endpoint));
    }

    /// The number of the newest time.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// The times with numbers above one.
    pub fn after(&self, sequence: u64) -> impl Iterator<Item = (&EndpointName, f64)> {
        let newer = self
            .published
            .iter()
            .filter(move |(_, published)| published.sequence > sequence);
        newer.map(|(endpoint, published)| (endpoint, published.unit_ms))
    }
}
