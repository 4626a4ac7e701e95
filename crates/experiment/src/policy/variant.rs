//! What a variant of the policy is to the simulation.

use wisteriapoint_types::Digest;

use super::scenario::Kind;

/// One request as a variant sees it.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// Who waits.
    pub kind: Kind,
    /// Deadline, in milliseconds of the simulation.
    pub deadline_ms: u64,
    /// Greatest tokens of the answer.
    pub cost_tokens: u32,
    /// True tokens of the answer; only an oracle may look.
    pub true_tokens: u32,
    /// The prompt's beginning.
    pub prefix: Option<u64>,
    /// Fingerprint.
    pub digest: Digest,
    /// Endpoints that failed it.
    pub tried: Vec<usize>,
    /// Failure domain that failed it last.
    pub avoid: Option<usize>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer.
    Answered {
        /// Time from dispatch, in milliseconds.
        elapsed_ms: u64,
        /// Tokens of the answer.
        tokens: u32,
    },
    /// The endpoint is leaving and ran nothing.
    Refused,
    /// The endpoint was not reached.
    Unreachable,
    /// The endpoint broke off.
    Crashed,
    /// We gave up.
    Cancelled,
}

/// What a variant wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send a request to an endpoint.
    Dispatch {
        /// Index of the request.
        request: usize,
        /// Index of the endpoint.
        endpoint: usize,
    },
    /// Refuse a request.
    Refuse {
        /// Index of the request.
        request: usize,
        /// When another attempt makes sense, in milliseconds; `None` if never.
        retry_after_ms: Option<u64>,
    },
    /// Break off a rollout, which is put in line again.
    Cancel {
        /// Index of the request.
        request: usize,
    },
}

/// A fake endpoint as variants are told of it.
#[derive(Debug, Clone, Copy)]
pub struct EndpointSpec {
    /// Failure domain.
    pub failure_domain: usize,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True time for a token, in milliseconds; only an oracle may look.
    pub ms_per_token: f64,
}

/// A variant of the policy, on one daemon.
pub trait Policy {
    /// Takes a request; without an order for it, it waits.
    fn admit(&mut self, now_ms: u64, request: usize, info: &RequestInfo) -> Vec<Action>;

    /// Ends an attempt.
    fn finish(
        &mut self,
        now_ms: u64,
        request: usize,
        endpoint: usize,
        outcome: AttemptOutcome,
    ) -> Vec<Action>;

    /// Looks again at the waiting requests.
    fn dispatch_waiting(&mut self, now_ms: u64) -> Vec<Action>;

    /// Takes back a waiting request.
    fn cancel_waiting(&mut self, request: usize);

    /// Takes at `now_ms` a load report that was made at `at_ms`.
    fn record_load(&mut self, at_ms: u64, now_ms: u64, endpoint: usize, running: u32, waiting: u32);

    /// Learns that an endpoint is leaving.
    fn set_leaving(&mut self, endpoint: usize);

    /// Asks for a retry.
    fn may_retry(&mut self) -> bool;

    /// Suspicions for the other daemons.
    fn crash_reports(&self) -> Vec<wisteriapoint_route::CrashReport>;

    /// Learns suspicions of another daemon.
    fn apply_crash_reports(&mut self, now_ms: u64, reports: &[wisteriapoint_route::CrashReport]);
}
