//! The pool's knowledge of one endpoint.

use wisteriapoint_types::{EndpointName, FailureDomain};

slotmap::new_key_type! {
    /// Key of an endpoint in a [`crate::Pool`].
    pub struct EndpointKey;
}

/// Load that an endpoint reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting in the endpoint.
    pub waiting: u32,
    /// When the report was made, in milliseconds of the pool's clock.
    pub at_ms: u64,
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer came.
    Answered {
        /// Time from dispatch to the end of the answer, in milliseconds.
        elapsed_ms: u64,
        /// Tokens generated; 1 for a plain request.
        tokens: u32,
    },
    /// The endpoint refused to run it.
    Refused,
    /// The endpoint failed.
    Failed,
    /// The request was given up on our side.
    Cancelled,
}

/// One endpoint.
#[derive(Debug, Clone)]
pub struct Seat {
    /// Name in the service document.
    pub endpoint: EndpointName,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Requests that this daemon may have there at once.
    pub max_concurrency: u32,
    /// Whether it takes new work.
    pub leaving: bool,
    /// Requests of this daemon in flight there.
    pub in_flight: u32,
    /// Its latest report.
    pub load: Load,
    /// Time until which it is passed over after a failure, in milliseconds.
    pub ejected_until_ms: u64,
    /// Measured time for one token, in milliseconds; 0 if not measured.
    pub ms_per_token: f64,
}

impl Seat {
    /// An idle endpoint.
    pub fn new(endpoint: &str, failure_domain: &str, max_concurrency: u32) -> Self {
        Self {
            endpoint: EndpointName::new(endpoint),
            failure_domain: FailureDomain::new(failure_domain),
            max_concurrency,
            leaving: false,
            in_flight: 0,
            load: Load::default(),
            ejected_until_ms: 0,
            ms_per_token: 0.0,
        }
    }

    pub(crate) fn is_open(&self, now_ms: u64) -> bool {
        !self.leaving && self.ejected_until_ms <= now_ms
    }

    pub(crate) fn has_room(&self) -> bool {
        self.in_flight < self.max_concurrency
    }

    /// Expected wait of one more request, in units of the endpoint's speed.
    pub(crate) fn score(&self) -> f64 {
        let queued = f64::from(self.in_flight.max(self.load.running + self.load.waiting));
        let speed = match self.ms_per_token {
            measured if measured > 0.0 => measured,
            _ => 1.0,
        };
        (queued + 1.0) * speed
    }
}
