//! Interface between the simulation and a policy variant.

use wisteriapoint_types::Digest;

use super::scenario::Kind;

/// Properties of a request that the simulation passes to a policy.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// Caller or rollout.
    pub kind: Kind,
    /// Deadline on the virtual clock, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of tokens in the response.
    pub max_tokens: u32,
    /// Actual number of tokens in the response; only the oracle may read it.
    pub true_tokens: u32,
    /// Identifier of the prompt prefix, if the request shares one.
    pub prefix: Option<u64>,
    /// Digest by which crash reports identify the request.
    pub digest: Digest,
    /// Indices of the endpoints on which it has failed.
    pub avoided_endpoints: Vec<usize>,
    /// Failure domain in which it failed last.
    pub avoided_domain: Option<usize>,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint returned a complete response.
    Completed {
        /// Time from dispatch, in milliseconds.
        elapsed_ms: u64,
        /// Number of tokens in the response.
        tokens: u32,
    },
    /// The endpoint is leaving and did not run the request.
    Refused,
    /// The connection to the endpoint failed.
    Unreachable,
    /// The endpoint crashed or terminated during the attempt.
    Crashed,
    /// The simulation cancelled the attempt: the deadline passed or the policy preempted it.
    Cancelled,
}

/// Action that a policy returns for the simulation to execute.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Sends a request to an endpoint.
    Dispatch {
        /// Index of the request.
        request: usize,
        /// Index of the endpoint.
        endpoint: usize,
    },
    /// Refuses a request.
    Refuse {
        /// Index of the request.
        request: usize,
        /// Delay before the caller may send it again, in milliseconds; `None` if it is quarantined.
        retry_after_ms: Option<u64>,
    },
    /// Cancels the running attempt of a rollout, which is then admitted again.
    Cancel {
        /// Index of the request.
        request: usize,
    },
}

/// Properties of a simulated endpoint that a policy receives.
#[derive(Debug, Clone, Copy)]
pub struct EndpointSpec {
    /// Index of the failure domain.
    pub failure_domain: usize,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Actual time for one token, in milliseconds; only the oracle may read it.
    pub ms_per_token: f64,
}

/// Instance of a policy variant on one daemon.
pub trait Policy {
    /// Admits a request; it waits if no returned action concerns it.
    fn admit(&mut self, now_ms: u64, request: usize, info: &RequestInfo) -> Vec<Action>;

    /// Records the outcome of an attempt.
    fn finish(
        &mut self,
        now_ms: u64,
        request: usize,
        endpoint: usize,
        outcome: AttemptOutcome,
    ) -> Vec<Action>;

    /// Dispatches or refuses waiting requests as capacity and deadlines allow.
    fn dispatch_waiting(&mut self, now_ms: u64) -> Vec<Action>;

    /// Removes a waiting request from the queue.
    fn cancel_waiting(&mut self, request: usize);

    /// Records, at `now_ms`, a load report that the endpoint made at `at_ms`.
    fn record_load(&mut self, at_ms: u64, now_ms: u64, endpoint: usize, running: u32, waiting: u32);

    /// Marks an endpoint as leaving, so that it receives no new requests.
    fn set_leaving(&mut self, endpoint: usize);

    /// Returns `true` if a retry is allowed now, and deducts it from the retry budget if the variant
    /// has one.
    fn try_take_retry(&mut self) -> bool;

    /// Returns the crash reports to send to the other daemons.
    fn crash_reports(&self) -> Vec<wisteriapoint_route::CrashReport>;

    /// Records the crash reports of other daemons.
    fn apply_crash_reports(&mut self, now_ms: u64, reports: &[wisteriapoint_route::CrashReport]);
}
