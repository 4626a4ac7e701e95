//! What a request asks of the pool, and what it gets.

use wisteriapoint_types::{Digest, FailureDomain};

use crate::{EndpointKey, TicketKey};

/// Who a request is for; the order is the order of precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A caller waits for the answer.
    Caller,
    /// A trainer's sample.
    Rollout {
        /// Number of the trainer, for fair shares.
        trainer: u64,
    },
}

impl Class {
    /// Whether a trainer waits for it.
    pub fn is_rollout(self) -> bool {
        matches!(self, Self::Rollout { .. })
    }
}

/// One request as the policy sees it.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Who it is for.
    pub class: Class,
    /// When the answer must be there, in milliseconds of the pool's clock.
    pub deadline_ms: u64,
    /// Tokens that it may cost at most; 1 for a plain request.
    pub cost_tokens: u32,
    /// Hash of the prompt's beginning, for the endpoints' prefix caches.
    pub prefix: Option<u64>,
    /// Fingerprint, by which a request that crashes endpoints is recognised.
    pub digest: Option<Digest>,
    /// Endpoints that failed this request already.
    pub tried: Vec<EndpointKey>,
    /// Failure domain to avoid, if another can serve.
    pub avoid: Option<FailureDomain>,
}

impl Demand {
    /// A caller's request with a deadline.
    pub fn caller(deadline_ms: u64) -> Self {
        Self {
            class: Class::Caller,
            deadline_ms,
            cost_tokens: 1,
            prefix: None,
            digest: None,
            tried: Vec::new(),
            avoid: None,
        }
    }

    /// A trainer's sample with a deadline.
    pub fn rollout(trainer: u64, deadline_ms: u64) -> Self {
        Self {
            class: Class::Rollout { trainer },
            ..Self::caller(deadline_ms)
        }
    }
}

/// The right to send a request to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    /// The request, for [`crate::Pool::finish`].
    pub ticket: TicketKey,
    /// Where to send it.
    pub endpoint: EndpointKey,
}

/// The pool's answer to a demand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Dispatch now.
    Dispatch(Dispatch),
    /// Wait until the ticket is called.
    Wait(TicketKey),
    /// Refused; the request has not run.
    Refuse(Refusal),
}

/// A final refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When another attempt makes sense, in milliseconds from now.
    pub retry_after_ms: u64,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No endpoint is in service.
    NoEndpoint,
    /// The queue is full.
    QueueFull,
    /// The answer could not be there by the deadline.
    Deadline,
    /// The request has crashed endpoints.
    Quarantined,
}

impl Reason {
    /// Short name, for metrics and problem bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no-endpoint",
            Self::QueueFull => "queue-full",
            Self::Deadline => "deadline",
            Self::Quarantined => "quarantined",
        }
    }
}
