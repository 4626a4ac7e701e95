//! The pool's knowledge of one endpoint.

use wisteriapoint_types::{EndpointName, FailureDomain, hash64};

use crate::TicketKey;

slotmap::new_key_type! {
    /// Key of an endpoint in a [`crate::Pool`].
    pub struct EndpointKey;
}

const SPEED_SMOOTHING: f64 = 0.1;
const OWN_SMOOTHING_MS: f64 = 1_000.0;
const REPORT_HALF_LIFE_MS: f64 = 2_000.0;
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
pub struct Seat {
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
    pub(crate) hash: u64,
    pub(crate) reserved: Option<TicketKey>,
    limit: f64,
    failures: u32,
    failed_at_ms: u64,
    best_ms_per_token: f64,
    own_mean: f64,
    own_at_ms: u64,
    peers: f64,
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
            hash: hash64(0, endpoint.as_bytes()),
            reserved: None,
            limit: f64::from(max_concurrency),
            failures: 0,
            failed_at_ms: 0,
            best_ms_per_token: 0.0,
            own_mean: 0.0,
            own_at_ms: 0,
            peers: 0.0,
        }
    }

    /// Requests of this daemon that may be in flight there now, by measured congestion.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.max_concurrency.max(1))
    }

    /// Requests of other daemons there, estimated; an old report counts less.
    pub fn peers(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.load.at_ms) as f64;
        self.peers * (-age_ms / REPORT_HALF_LIFE_MS).exp2()
    }

    pub(crate) fn is_open(&self, now_ms: u64) -> bool {
        !self.leaving && self.ejected_until_ms <= now_ms
    }

    /// Requests of this daemon that fit beside those of the others.
    pub(crate) fn share(&self, now_ms: u64) -> f64 {
        let left = f64::from(self.max_concurrency) - self.peers(now_ms);
        left.min(self.limit).max(1.0)
    }

    pub(crate) fn has_room(&self, now_ms: u64, rollout: bool) -> bool {
        let headroom = match rollout {
            true => f64::from(self.max_concurrency / HEADROOM_DIVISOR),
            false => 0.0,
        };
        let share = match self.failures {
            0 => (self.share(now_ms) - headroom).max(1.0),
            _ => 1.0,
        };
        self.reserved.is_none() && f64::from(self.in_flight) + 1.0 <= share
    }

    /// Time for one token where it is not measured yet, by that of the others.
    pub(crate) fn speed(&self, default_ms_per_token: f64) -> f64 {
        match self.ms_per_token {
            measured if measured > 0.0 => measured,
            _ => default_ms_per_token,
        }
    }

    /// Expected time for one token of one more request, with all load, in milliseconds.
    pub(crate) fn score(&self, now_ms: u64, default_ms_per_token: f64) -> f64 {
        let queued = f64::from(self.in_flight) + self.peers(now_ms);
        let fill = queued / f64::from(self.max_concurrency.max(1));
        self.speed(default_ms_per_token) * (1.0 + fill)
    }

    pub(crate) fn occupy(&mut self, now_ms: u64) {
        self.note_own(now_ms);
        self.in_flight += 1;
    }

    pub(crate) fn release(&mut self, now_ms: u64, outcome: Outcome) {
        self.note_own(now_ms);
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered { elapsed_ms, tokens } => self.learn(elapsed_ms, tokens),
            Outcome::Failed | Outcome::Crashed => self.eject(now_ms),
            Outcome::Refused | Outcome::Cancelled => {}
        }
    }

    pub(crate) fn report(&mut self, now_ms: u64, load: Load) {
        self.note_own(now_ms);
        self.load = load;
        let reported = f64::from(load.running + load.waiting);
        self.peers = (reported - self.own_mean).max(0.0);
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

    fn learn(&mut self, elapsed_ms: u64, tokens: u32) {
        self.failures = 0;
        let sample = elapsed_ms.max(1) as f64 / f64::from(tokens.max(1));
        match self.ms_per_token {
            known if known > 0.0 => {
                self.ms_per_token = known + SPEED_SMOOTHING * (sample - known);
            }
            _ => {
                self.ms_per_token = sample;
                self.best_ms_per_token = sample;
            }
        }
        self.best_ms_per_token = match sample {
            sample if sample < self.best_ms_per_token => sample,
            // A slow rise forgets a best that no longer holds.
            _ => self.best_ms_per_token * 1.001,
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
        self.failed_at_ms = now_ms;
    }
}
