//! Simulated request and its state.

use wisteriapoint_types::Digest;

use super::scenario::Kind;
use super::variant::RequestInfo;

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// Waiting, running or about to be sent again.
    Open,
    /// Answered before the deadline, at this time on the virtual clock.
    Answered { at_ms: u64 },
    /// The deadline passed without an answer.
    Missed,
    /// The caller received an error and has no resends left.
    Refused,
    /// Refused permanently because it crashes endpoints.
    Quarantined,
}

/// Simulated request with the state of its current attempt.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) kind: Kind,
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) tokens: u32,
    pub(crate) max_tokens: u32,
    pub(crate) prefill_tokens: u32,
    pub(crate) prefix: Option<u64>,
    pub(crate) digest: Digest,
    pub(crate) crashes_endpoint: bool,
    pub(crate) resends: u32,
    pub(crate) daemon: usize,
    pub(crate) queued: bool,
    pub(crate) endpoint: Option<usize>,
    pub(crate) attempt: u32,
    pub(crate) attempts_left: u32,
    pub(crate) dispatched_ms: u64,
    pub(crate) avoided_endpoints: Vec<usize>,
    pub(crate) avoided_domain: Option<usize>,
    pub(crate) refused: bool,
    pub(crate) preempted: u32,
    pub(crate) state: State,
}

impl Request {
    pub(crate) fn new(
        kind: Kind,
        arrived_ms: u64,
        deadline_ms: u64,
        tokens: u32,
        digest: Digest,
    ) -> Self {
        Self {
            kind,
            arrived_ms,
            deadline_ms,
            tokens,
            max_tokens: tokens,
            prefill_tokens: 0,
            prefix: None,
            digest,
            crashes_endpoint: false,
            resends: 0,
            daemon: 0,
            queued: false,
            endpoint: None,
            attempt: 0,
            attempts_left: 0,
            dispatched_ms: 0,
            avoided_endpoints: Vec::new(),
            avoided_domain: None,
            refused: false,
            preempted: 0,
            state: State::Open,
        }
    }

    pub(crate) fn info(&self) -> RequestInfo {
        RequestInfo {
            kind: self.kind,
            deadline_ms: self.deadline_ms,
            max_tokens: self.max_tokens,
            true_tokens: self.tokens,
            prefix: self.prefix,
            digest: self.digest,
            avoided_endpoints: self.avoided_endpoints.clone(),
            avoided_domain: self.avoided_domain,
        }
    }
}
