//! Load, latency and health of one endpoint.

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
/// Length of the first pause after a failure; each further failure doubles it, at most
/// [`MAX_PAUSE_DOUBLINGS`] times.
const FIRST_PAUSE_MS: u64 = 1_000;
const MAX_PAUSE_DOUBLINGS: u32 = 5;
/// An endpoint counts as congested above this multiple of its best time per token.
const CONGESTION_RATIO: f64 = 2.0;
const LIMIT_DECREASE: f64 = 0.9;
/// One slot in this many is reserved for callers.
const HEADROOM_DIVISOR: u32 = 8;

/// Load reported by an endpoint, over the requests of all daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests being executed.
    pub running: u32,
    /// Requests queued inside the endpoint.
    pub waiting: u32,
    /// Time of the report, in milliseconds on the pool's clock.
    pub at_ms: u64,
}

/// Result of a dispatched request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Completed {
        /// Time from dispatch to the end of the response, in milliseconds.
        elapsed_ms: u64,
        /// Tokens generated; 1 for a plain request.
        tokens: u32,
    },
    /// The endpoint refused to run the request.
    Refused,
    /// The endpoint could not be reached or sent an invalid response.
    Failed,
    /// The connection broke while the endpoint ran the request.
    Crashed,
    /// The daemon or the requester abandoned the request.
    Cancelled,
}

/// State of one endpoint as this daemon observes it.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// Name in the service document.
    pub endpoint: EndpointName,
    /// Failure domain in which the endpoint runs.
    pub failure_domain: FailureDomain,
    /// Maximum requests that run at once, over all daemons.
    pub max_concurrency: u32,
    /// `true` if the endpoint is leaving the service and gets no new requests.
    pub leaving: bool,
    /// Requests of this daemon in flight.
    pub in_flight: u32,
    /// Latest load report.
    pub load: Load,
    /// End of the pause after a failure, in milliseconds on the pool's clock.
    pub paused_until_ms: u64,
    /// Smoothed time per token, in milliseconds; 0 if not measured.
    pub ms_per_token: f64,
    /// `true` if this daemon ranks first for the endpoint and prefers it for crash suspects.
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
    /// Sequence number of the pool's last dispatch to this endpoint.
    pub(crate) last_dispatch: u64,
}

impl EndpointState {
    /// Creates an idle endpoint that this daemon owns.
    pub fn new(endpoint: &str, failure_domain: &str, max_concurrency: u32) -> Self {
        Self {
            endpoint: EndpointName::new(endpoint),
            failure_domain: FailureDomain::new(failure_domain),
            max_concurrency,
            leaving: false,
            in_flight: 0,
            load: Load::default(),
            paused_until_ms: 0,
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

    /// Returns the concurrency limit of this daemon as adapted to congestion.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.max_concurrency.max(1))
    }

    /// Estimates the requests of other daemons in flight at the endpoint.
    ///
    /// The estimate from the latest report decays towards the mean of past reports as the
    /// report ages relative to the service time.
    pub fn peer_in_flight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.load.at_ms) as f64;
        let weight = (-age_ms / self.service_ms).exp();
        self.peer_mean + weight * (self.peer_estimate - self.peer_mean)
    }

    pub(crate) fn is_available(&self, now_ms: u64) -> bool {
        !self.leaving && self.paused_until_ms <= now_ms
    }

    /// Returns how many requests this daemon may have in flight beside those of the others.
    pub(crate) fn available_concurrency(&self, now_ms: u64) -> f64 {
        let remaining = f64::from(self.max_concurrency) - self.peer_in_flight(now_ms);
        remaining.min(self.limit).max(1.0)
    }

    /// Returns `true` if one more request fits.
    ///
    /// An endpoint that has failed since its last response or load report, or that has no
    /// measurement while others have one, runs one request at a time.
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

    /// Returns the mean time per token, including queueing inside the endpoint, or the default
    /// if it is not measured.
    ///
    /// A measurement above the default decays towards it, so that a slow endpoint is tried
    /// again.
    pub(crate) fn expected_ms_per_token(&self, now_ms: u64, default_ms_per_token: f64) -> f64 {
        self.decayed(now_ms, self.ms_per_token, default_ms_per_token)
    }

    /// Returns the time per token without queueing inside the endpoint.
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

    /// Returns the expected time per token of one more request under the load of all daemons,
    /// in milliseconds.
    pub(crate) fn loaded_ms_per_token(&self, now_ms: u64, default_ms_per_token: f64) -> f64 {
        let queued = f64::from(self.in_flight) + self.peer_in_flight(now_ms);
        let fill = queued / f64::from(self.max_concurrency.max(1));
        self.expected_ms_per_token(now_ms, default_ms_per_token) * (1.0 + fill)
    }

    pub(crate) fn record_dispatch(&mut self, now_ms: u64, dispatch: u64) {
        self.update_own_mean(now_ms);
        self.last_dispatch = dispatch;
        self.in_flight += 1;
    }

    /// Records the end of a request; `bound_ms_per_token` is the lower bound on the time per
    /// token that a cancelled request implies.
    pub(crate) fn record_outcome(
        &mut self,
        now_ms: u64,
        outcome: Outcome,
        bound_ms_per_token: f64,
    ) {
        self.update_own_mean(now_ms);
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Completed { elapsed_ms, tokens } => {
                self.record_response(now_ms, elapsed_ms, tokens)
            }
            Outcome::Cancelled => self.record_lower_bound(now_ms, bound_ms_per_token),
            Outcome::Failed | Outcome::Crashed => self.pause(now_ms),
            Outcome::Refused => {}
        }
    }

    /// Raises the time per token to a lower bound, so that an endpoint that is slow or hangs
    /// is detected even if its requests are cancelled.
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
            self.paused_until_ms = self.paused_until_ms.min(now_ms);
        }
    }

    fn update_own_mean(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.own_mean_at_ms) as f64;
        let weight = 1.0 - (-elapsed_ms / OWN_MEAN_TIME_CONSTANT_MS).exp();
        self.own_in_flight_mean += weight * (f64::from(self.in_flight) - self.own_in_flight_mean);
        self.own_mean_at_ms = now_ms;
    }

    fn record_response(&mut self, now_ms: u64, elapsed_ms: u64, tokens: u32) {
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
            // Rises by 1% per response, so that an outdated minimum expires.
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

    fn pause(&mut self, now_ms: u64) {
        // Failures of requests that were in flight at the same time count once.
        if now_ms >= self.paused_until_ms {
            let doublings = self.failures.min(MAX_PAUSE_DOUBLINGS);
            self.paused_until_ms = now_ms + (FIRST_PAUSE_MS << doublings);
            self.failures += 1;
        }
        // All daemons resume at the same time, so each starts with one request.
        self.limit = 1.0;
        self.failed_at_ms = now_ms;
    }
}
