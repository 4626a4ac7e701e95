//! The pool's knowledge of one endpoint.

use wisteriapoint_types::{EndpointName, FailureDomain, hash64};

use crate::TicketKey;

slotmap::new_key_type! {
    /// Key of an endpoint in a [`crate::Pool`].
    pub struct EndpointKey;
}

const MS_PER_TOKEN_SMOOTHING: f64 = 0.1;
const MS_PER_TOKEN_HALF_LIFE_MS: f64 = 600_000.0;
const OWN_MEAN_TIME_CONSTANT_MS: f64 = 1_000.0;
const PEER_MEAN_SMOOTHING: f64 = 0.1;
const SERVICE_SMOOTHING: f64 = 0.1;
const DEFAULT_SERVICE_MS: f64 = 500.0;
const EJECTION_MS: u64 = 1_000;
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Time for a token above which an endpoint counts as congested, as a multiple of its best.
const CONGESTION_RATIO: f64 = 2.0;
const LIMIT_DECREASE: f64 = 0.9;
/// One slot in so many is kept free of rollouts.
const HEADROOM_DIVISOR: u32 = 8;

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
    /// The endpoint could not be reached or answered wrongly.
    Failed,
    /// The endpoint broke off while it ran the request.
    Crashed,
    /// The request was given up on our side.
    Cancelled,
}

/// One endpoint.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// Name in the service document.
    pub endpoint: EndpointName,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Requests of all daemons that it runs at once.
    pub max_concurrency: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests of this daemon in flight there.
    pub in_flight: u32,
    /// Its latest report.
    pub load: Load,
    /// Time until which it is passed over after a failure, in milliseconds.
    pub ejected_until_ms: u64,
    /// Measured time for one token, in milliseconds; 0 if not measured.
    pub ms_per_token: f64,
    /// Whether this daemon alone, of all, runs crash suspects there.
    pub owned: bool,
    pub(crate) hash: u64,
    pub(crate) reserved: Option<TicketKey>,
    limit: f64,
    failures: u32,
    failed_at_ms: u64,
    best_ms_per_token: f64,
    measured_at_ms: u64,
    own_in_flight_mean: f64,
    own_mean_at_ms: u64,
    peer_estimate: f64,
    peer_mean: f64,
    service_ms: f64,
    /// Number of the pool's dispatches when this endpoint got its last.
    pub(crate) last_dispatch: u64,
}

impl EndpointState {
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
            owned: true,
            hash: hash64(0, endpoint.as_bytes()),
            reserved: None,
            limit: f64::from(max_concurrency),
            failures: 0,
            failed_at_ms: 0,
            best_ms_per_token: 0.0,
            measured_at_ms: 0,
            own_in_flight_mean: 0.0,
            own_mean_at_ms: 0,
            peer_estimate: 0.0,
            peer_mean: 0.0,
            service_ms: DEFAULT_SERVICE_MS,
            last_dispatch: 0,
        }
    }

    /// Requests of this daemon that may be in flight there now, by measured congestion.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.max_concurrency.max(1))
    }

    /// Requests of other daemons there, estimated; what an old report says beyond the mean
    /// counts less, the older it is against the time that requests take.
    pub fn peer_in_flight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.load.at_ms) as f64;
        let weight = (-age_ms / self.service_ms).exp();
        self.peer_mean + weight * (self.peer_estimate - self.peer_mean)
    }

    pub(crate) fn is_available(&self, now_ms: u64) -> bool {
        !self.leaving && self.ejected_until_ms <= now_ms
    }

    /// Requests of this daemon that fit beside those of the others.
    pub(crate) fn available_concurrency(&self, now_ms: u64) -> f64 {
        let remaining = f64::from(self.max_concurrency) - self.peer_in_flight(now_ms);
        remaining.min(self.limit).max(1.0)
    }

    /// Whether one more request fits; an endpoint that is not measured beside others that
    /// are takes one at a time.
    pub(crate) fn has_capacity(
        &self,
        now_ms: u64,
        rollout: bool,
        default_ms_per_token: f64,
    ) -> bool {
        let headroom = match rollout {
            true => f64::from(self.max_concurrency / HEADROOM_DIVISOR),
            false => 0.0,
        };
        let unmeasured = self.ms_per_token == 0.0 && default_ms_per_token > 0.0;
        let share = match self.failures {
            0 if !unmeasured => (self.available_concurrency(now_ms) - headroom).max(1.0),
            _ => 1.0,
        };
        self.reserved.is_none() && f64::from(self.in_flight) + 1.0 <= share
    }

    /// Mean time for one token, with the waiting in the endpoint; that of the others where
    /// it is not measured. An old measurement of a slow endpoint fades, so that it is tried
    /// again.
    pub(crate) fn expected_ms_per_token(&self, now_ms: u64, default_ms_per_token: f64) -> f64 {
        self.decayed(now_ms, self.ms_per_token, default_ms_per_token)
    }

    /// Time for one token without waiting in the endpoint.
    pub(crate) fn unloaded_ms_per_token(&self, now_ms: u64, default_ms_per_token: f64) -> f64 {
        self.decayed(now_ms, self.best_ms_per_token, default_ms_per_token)
    }

    fn decayed(&self, now_ms: u64, measured: f64, default: f64) -> f64 {
        match measured {
            measured if measured > default && default > 0.0 => {
                let age_ms = now_ms.saturating_sub(self.measured_at_ms) as f64;
                let weight = (-age_ms / MS_PER_TOKEN_HALF_LIFE_MS).exp2();
                default + weight * (measured - default)
            }
            measured if measured > 0.0 => measured,
            _ => default,
        }
    }

    /// Expected time for one token of one more request, with all load, in milliseconds.
    pub(crate) fn score(&self, now_ms: u64, default_ms_per_token: f64) -> f64 {
        let queued = f64::from(self.in_flight) + self.peer_in_flight(now_ms);
        let fill = queued / f64::from(self.max_concurrency.max(1));
        self.expected_ms_per_token(now_ms, default_ms_per_token) * (1.0 + fill)
    }

    pub(crate) fn record_dispatch(&mut self, now_ms: u64, dispatch: u64) {
        self.update_own_mean(now_ms);
        self.last_dispatch = dispatch;
        self.in_flight += 1;
    }

    /// Ends a request; `bound_ms_per_token` is what its time says if it was given up.
    pub(crate) fn record_outcome(
        &mut self,
        now_ms: u64,
        outcome: Outcome,
        bound_ms_per_token: f64,
    ) {
        self.update_own_mean(now_ms);
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered { elapsed_ms, tokens } => {
                self.record_answer(now_ms, elapsed_ms, tokens)
            }
            Outcome::Cancelled => self.record_lower_bound(now_ms, bound_ms_per_token),
            Outcome::Failed | Outcome::Crashed => self.eject(now_ms),
            Outcome::Refused => {}
        }
    }

    /// A request that was given up late shows an endpoint to be slow, or to hang.
    fn record_lower_bound(&mut self, now_ms: u64, bound_ms_per_token: f64) {
        if bound_ms_per_token > self.ms_per_token {
            self.ms_per_token = bound_ms_per_token;
            self.best_ms_per_token = self.best_ms_per_token.max(bound_ms_per_token);
            self.measured_at_ms = now_ms;
        }
    }

    pub(crate) fn record_load(&mut self, now_ms: u64, load: Load) {
        self.update_own_mean(now_ms);
        self.load = load;
        let reported = f64::from(load.running + load.waiting);
        self.peer_estimate = (reported - self.own_in_flight_mean).max(0.0);
        self.peer_mean += PEER_MEAN_SMOOTHING * (self.peer_estimate - self.peer_mean);
        if load.at_ms > self.failed_at_ms {
            self.failures = 0;
            self.ejected_until_ms = self.ejected_until_ms.min(now_ms);
        }
    }

    fn update_own_mean(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.own_mean_at_ms) as f64;
        let weight = 1.0 - (-elapsed_ms / OWN_MEAN_TIME_CONSTANT_MS).exp();
        self.own_in_flight_mean += weight * (f64::from(self.in_flight) - self.own_in_flight_mean);
        self.own_mean_at_ms = now_ms;
    }

    fn record_answer(&mut self, now_ms: u64, elapsed_ms: u64, tokens: u32) {
        self.failures = 0;
        self.measured_at_ms = now_ms;
        self.service_ms += SERVICE_SMOOTHING * (elapsed_ms.max(1) as f64 - self.service_ms);
        let sample = elapsed_ms.max(1) as f64 / f64::from(tokens.max(1));
        match self.ms_per_token {
            current if current > 0.0 => {
                self.ms_per_token = current + MS_PER_TOKEN_SMOOTHING * (sample - current);
            }
            _ => {
                self.ms_per_token = sample;
            }
        }
        self.best_ms_per_token = match sample {
            sample if sample < self.best_ms_per_token || self.best_ms_per_token == 0.0 => sample,
            // A slow rise forgets a best that no longer holds.
            _ => self.best_ms_per_token * 1.01,
        };
        self.limit = match sample {
            sample if sample > CONGESTION_RATIO * self.best_ms_per_token => {
                self.limit * LIMIT_DECREASE
            }
            _ => self.limit + 1.0 / self.limit,
        }
        .clamp(1.0, f64::from(self.max_concurrency.max(1)));
    }

    fn eject(&mut self, now_ms: u64) {
        // Failures of requests that were in flight together count once.
        if now_ms >= self.ejected_until_ms {
            let doublings = self.failures.min(MAX_EJECTION_DOUBLINGS);
            self.ejected_until_ms = now_ms + (EJECTION_MS << doublings);
            self.failures += 1;
        }
        // All daemons come back to it at once; each starts with one request.
        self.limit = 1.0;
        self.failed_at_ms = now_ms;
    }
}
