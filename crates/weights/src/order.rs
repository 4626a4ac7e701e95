//! Orders to engines.

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{EndpointName, ViewNumber, WeightVersion};

/// A fencing number: a later keeper's is always higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

const COUNTER_BITS: u32 = 24;

impl Fence {
    /// The number of a keeper's n-th order in a view.
    pub fn new(view: ViewNumber, counter: u32) -> Self {
        Self((view.0 << COUNTER_BITS) | u64::from(counter))
    }
}

/// An order to load a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine.
    pub endpoint: EndpointName,
    /// The version to load.
    pub version: WeightVersion,
    /// The fencing number.
    pub fence: Fence,
    /// When it must no longer be sent or begun, in Unix milliseconds.
    pub valid_until_ms: u64,
}

impl Order {
    /// Whether the order may still be sent.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.valid_until_ms
    }
}
