//! Mean times per event of endpoints, averaged over the measurements of all nodes.

use std::collections::BTreeMap;

use wisteriapoint_types::EndpointName;

/// Smallest relative change of an endpoint's time that is published again; load alone causes
/// smaller ones.
const MIN_PUBLISHED_CHANGE: f64 = 0.15;

/// The published times per event, each with an increasing sequence number.
#[derive(Debug, Default)]
pub struct EventTimes {
    published: BTreeMap<EndpointName, Published>,
    last_sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct Published {
    sequence: u64,
    ms_per_event: f64,
}

impl EventTimes {
    /// Creates an empty set of times.
    pub fn new() -> Self {
        Self::default()
    }

    /// Publishes an endpoint's mean time, in milliseconds, if it differs enough from the last one.
    ///
    /// A time of 0 or below is ignored.
    pub fn update(&mut self, endpoint: &EndpointName, ms_per_event: f64) {
        let is_same = |published: &Published| {
            (ms_per_event / published.ms_per_event - 1.0).abs() < MIN_PUBLISHED_CHANGE
        };
        if ms_per_event <= 0.0 || self.published.get(endpoint).is_some_and(is_same) {
            return;
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.published.insert(
            endpoint.clone(),
            Published {
                sequence,
                ms_per_event,
            },
        );
    }

    /// Removes the endpoints for which the predicate returns `false`.
    pub fn retain(&mut self, is_present: impl Fn(&EndpointName) -> bool) {
        self.published.retain(|endpoint, _| is_present(endpoint));
    }

    /// Returns the sequence number of the newest time; 0 if none has been published.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the times with a sequence number above the given one.
    pub fn after(&self, sequence: u64) -> impl Iterator<Item = (&EndpointName, f64)> {
        let newer = self
            .published
            .iter()
            .filter(move |(_, published)| published.sequence > sequence);
        newer.map(|(endpoint, published)| (endpoint, published.ms_per_event))
    }
}
