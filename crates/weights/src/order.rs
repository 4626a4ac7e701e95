//! Orders to engines to load a weight version.

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{EndpointName, ViewNumber, WeightVersion};

/// A fencing token of an order; orders from a later view always have a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// Low bits of a fencing token, which count the orders of one controller in one view.
const COUNTER_BITS: u32 = 24;

impl Fence {
    /// Returns the fencing token for a controller's order number `counter` in a view.
    pub fn new(view: ViewNumber, counter: u32) -> Self {
        Self((view.0 << COUNTER_BITS) | u64::from(counter))
    }
}

/// An order to load a weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Engine that receives the order.
    pub endpoint: EndpointName,
    /// Weight version to load.
    pub version: WeightVersion,
    /// Fencing token with which an engine rejects orders of earlier controllers.
    pub fence: Fence,
    /// Time from which it must be neither sent nor started, in Unix milliseconds.
    pub valid_until_ms: u64,
}

impl Order {
    /// Returns `true` if the order may still be sent.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.valid_until_ms
    }
}
