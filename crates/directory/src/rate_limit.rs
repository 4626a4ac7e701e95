//! Limits on the requests that an endpoint accepts from all nodes together.

use serde::{Deserialize, Serialize};

/// Largest number of requests a second that an endpoint accepts from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RateLimit {
    per_s: f64,
}

impl RateLimit {
    /// Creates a limit; returns `None` if the rate is negative or not finite.
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Self { per_s })
    }

    /// Returns the rate in requests a second.
    pub fn per_s(self) -> f64 {
        self.per_s
    }
}

/// What a response says about the limit of its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatedLimit {
    /// There is none, so one that was stated before has ended.
    #[default]
    Absent,
    /// The endpoint has a limit.
    Limit(RateLimit),
    /// The limit can't be parsed; it says nothing about one that was stated before.
    Malformed,
}
