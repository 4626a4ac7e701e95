//! The pool's knowledge of one endpoint.

use wisteriapoint_types::{EndpointName, FailureDomain, hash64};

use crate::TicketKey;

slotmap::new_key_type! {
    /// Key of an endpoint in a [`crate::Pool`].
    pub struct EndpointKey;
}

const SPEED_SMOOTHING: f64 = 0.1;
const SPEED_HALF_LIFE_MS: f64 = 600_000.0;
const OWN_SMOOTHING_MS: f64 = 1_000.0;
const PEERS_SMOOTHING: f64 = 0.1;
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
    own_mean: f64,
    own_at_ms: u64,
    peers: f64,
    peers_mean: f64,
    service_ms: f64,
    /// Number of the pool's dispatches when this endpoint got its last.
    pub(crate) used_at: u64,
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
            own_mean: 0.0,
            own_at_ms: 0,
            peers: 0.0,
            peers_mean: 0.0,
            service_ms: DEFAULT_SERVICE_MS,
            used_at: 0,
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
        self.peers_mean + weight * (self.peers - self.peers_mean)
    }

    pub(crate) fn is_open(&self, now_ms: u64) -> bool {
        !self.leaving && self.ejected_until_ms <= now_ms
    }

    /// Requests of this daemon that fit beside those of the others.
    pub(crate) fn share(&self, now_ms: u64) -> f64 {
        let left = f64::from(self.max_concurrency) - self.peer_in_flight(now_ms);
        left.min(self.limit).max(1.0)
    }

    /// Whether one more request fits; an endpoint that is not measured beside others that
    /// are takes one at a time.
    pub(crate) fn has_room(&self, now_ms: u64, rollout: bool, default_ms_per_token: f64) -> bool {
        let headroom = match rollout {
            true => f64::from(self.max_concurrency / HEADROOM_DIVISOR),
            false => 0.0,
        };
        let unmeasured = self.ms_per_token == 0.0 && default_ms_per_token > 0.0;
        let share = match self.failures {
            0 if !unmeasured => (self.share(now_ms) - headroom).max(1.0),
            _ => 1.0,
        };
        self.reserved.is_none() && f64::from(self.in_flight) + 1.0 <= share
    }

    /// Mean time for one token, with the waiting in the endpoint; that of the others where
    /// it is not measured. An old measurement of a slow endpoint fades, so that it is tried
    /// again.
    pub(crate) fn speed(&self, now_ms: u64, default_ms_per_token: f64) -> f64 {
        self.faded(now_ms, self.ms_per_token, default_ms_per_token)
    }

    /// Time for one token without waiting in the endpoint.
    pub(crate) fn best_speed(&self, now_ms: u64, default_ms_per_token: f64) -> f64 {
        self.faded(now_ms, self.best_ms_per_token, default_ms_per_token)
    }

    fn faded(&self, now_ms: u64, measured: f64, default: f64) -> f64 {
        match measured {
            measured if measured > default && default > 0.0 => {
                let age_ms = now_ms.saturating_sub(self.measured_at_ms) as f64;
                let weight = (-age_ms / SPEED_HALF_LIFE_MS).exp2();
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
        self.speed(now_ms, default_ms_per_token) * (1.0 + fill)
    }

    pub(crate) fn occupy(&mut self, now_ms: u64, dispatch: u64) {
        self.note_own(now_ms);
        self.used_at = dispatch;
        self.in_flight += 1;
    }

    /// Ends a request; `bound_ms_per_token` is what its time says if it was given up.
    pub(crate) fn release(&mut self, now_ms: u64, outcome: Outcome, bound_ms_per_token: f64) {
        self.note_own(now_ms);
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered { elapsed_ms, tokens } => self.learn(now_ms, elapsed_ms, tokens),
            Outcome::Cancelled => self.learn_at_least(now_ms, bound_ms_per_token),
            Outcome::Failed | Outcome::Crashed => self.eject(now_ms),
            Outcome::Refused => {}
        }
    }

    /// A request that was given up late shows an endpoint to be slow, or to hang.
    fn learn_at_least(&mut self, now_ms: u64, bound_ms_per_token: f64) {
        if bound_ms_per_token > self.ms_per_token {
            self.ms_per_token = bound_ms_per_token;
            self.best_ms_per_token = self.best_ms_per_token.max(bound_ms_per_token);
            self.measured_at_ms = now_ms;
        }
    }

    pub(crate) fn report(&mut self, now_ms: u64, load: Load) {
        self.note_own(now_ms);
        self.load = load;
        let reported = f64::from(load.running + load.waiting);
        self.peers = (reported - self.own_mean).max(0.0);
        self.peers_mean += PEERS_SMOOTHING * (self.peers - self.peers_mean);
        if load.at_ms > self.failed_at_ms {
            self.failures = 0;
            self.ejected_until_ms = self.ejected_until_ms.min(now_ms);
        }
    }

    fn note_own(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.own_at_ms) as f64;
        let weight = 1.0 - (-passed_ms / OWN_SMOOTHING_MS).exp();
        self.own_mean += weight * (f64::from(self.in_flight) - self.own_mean);
        self.own_at_ms = now_ms;
    }

    fn learn(&mut self, now_ms: u64, elapsed_ms: u64, tokens: u32) {
        self.failures = 0;
        self.measured_at_ms = now_ms;
        self.service_ms += SERVICE_SMOOTHING * (elapsed_ms.max(1) as f64 - self.service_ms);
        let sample = elapsed_ms.max(1) as f64 / f64::from(tokens.max(1));
        match self.ms_per_token {
            known if known > 0.0 => {
                self.ms_per_token = known + SPEED_SMOOTHING * (sample - known);
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
