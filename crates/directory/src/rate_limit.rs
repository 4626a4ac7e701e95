//! Limits on the requests that an endpoint accepts from all nodes together.
//!
//! One node grants the permits for an endpoint, so that the limit holds over all nodes however
//! unevenly callers use them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{EndpointName, ServiceName};

/// Least rate of permits, in requests a second: nodes learn of the end of a limit only from a
/// response.
const MIN_PER_S: f64 = 0.25;
/// Time of unused permits that may be granted at once, in seconds.
const BURST_S: f64 = 0.5;
/// Least number of permits that may be granted at once; requests arrive in groups.
const MIN_BURST: f64 = 3.0;
/// Share of the burst that is granted to callers only, so that a caller's request finds a permit
/// while batch work waits for one.
const CALLER_SHARE: f64 = 0.5;
/// Time after which the state of an endpoint without requests is discarded, in milliseconds.
const IDLE_RETENTION_MS: u64 = 60_000;

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

    /// Returns an equal share of the limit for one of `nodes` nodes.
    pub fn share(self, nodes: usize) -> Self {
        Self {
            per_s: self.per_s / nodes.max(1) as f64,
        }
    }

    fn burst(self) -> f64 {
        (self.per_s * BURST_S).max(MIN_BURST)
    }

    /// Returns the time in which `count` permits become available, in milliseconds.
    pub fn time_ms(self, count: f64) -> u64 {
        (count.max(0.0) * 1_000.0 / self.per_s.max(MIN_PER_S)).ceil() as u64
    }
}

/// What a response says about the limit of its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatedLimit {
    /// There is none; in a success, this ends one that was stated before.
    #[default]
    Absent,
    /// The endpoint has a limit.
    Limit(RateLimit),
    /// The limit can't be parsed; it says nothing about one that was stated before.
    Malformed,
}

/// Precedence of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Priority {
    /// A caller waits for the response.
    Caller,
    /// The request is of a batch job and yields to callers.
    Batch,
}

/// Decision on a request at an endpoint with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// The request may be sent.
    Granted,
    /// The request may not be sent now.
    Denied {
        /// Time until a permit may be available, in milliseconds.
        wait_ms: u64,
    },
}

/// Grants the permits for endpoints with a limit.
#[derive(Debug, Default)]
pub struct RateLimiter {
    buckets: BTreeMap<EndpointName, Bucket>,
}

/// Permits that are available at an endpoint.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    available: f64,
    updated_ms: u64,
}

impl RateLimiter {
    /// Creates a limiter without state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides whether a request may be sent to an endpoint with the given limit.
    ///
    /// An endpoint that is new to this limiter starts without permits: another one may have granted
    /// some until now, and requests that were sent before the limit are on their way.
    pub fn request(
        &mut self,
        now_ms: u64,
        endpoint: &EndpointName,
        limit: RateLimit,
        priority: Priority,
    ) -> Permit {
        self.buckets
            .retain(|_, bucket| now_ms < bucket.updated_ms + IDLE_RETENTION_MS);
        let bucket = self.buckets.entry(endpoint.clone()).or_insert(Bucket {
            available: 0.0,
            updated_ms: now_ms,
        });
        let elapsed_s = now_ms.saturating_sub(bucket.updated_ms) as f64 / 1_000.0;
        let refilled = bucket.available + elapsed_s * limit.per_s.max(MIN_PER_S);
        bucket.available = refilled.min(limit.burst());
        bucket.updated_ms = bucket.updated_ms.max(now_ms);
        let required = match priority {
            Priority::Caller => 1.0,
            Priority::Batch => 1.0 + (limit.burst() - 1.0) * CALLER_SHARE,
        };
        if bucket.available >= required {
            bucket.available -= 1.0;
            return Permit::Granted;
        }
        Permit::Denied {
            wait_ms: limit.time_ms(required - bucket.available).max(1),
        }
    }
}

/// Times at which refused callers are told to return, one after the other.
///
/// Callers that all returned when the next permit is available would be refused again, except one.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    last_ms: BTreeMap<ServiceName, u64>,
}

impl ReturnSchedule {
    /// Returns the delay after which a caller should return, in milliseconds.
    ///
    /// It is at least `wait_ms`, and `interval_ms` after the caller before it. A caller that has only
    /// `left_ms` left takes no turn that it can't use.
    pub fn next_delay_ms(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        (wait_ms, interval_ms): (u64, u64),
        left_ms: u64,
    ) -> u64 {
        let last_ms = self.last_ms.entry(service.clone()).or_default();
        let return_ms = (now_ms + wait_ms).max(*last_ms + interval_ms);
        if return_ms <= now_ms + left_ms {
            *last_ms = return_ms;
        }
        return_ms - now_ms
    }
}
