//! Requests to the pool and its decisions on them.

use wisteriapoint_types::{Digest, FailureDomain};

use crate::{EndpointKey, TicketKey};

/// Kind of requester; variants are in order of precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A request of a caller that waits for the response.
    Caller,
    /// A trainer's sample.
    Rollout {
        /// Identifies the trainer for fair queueing.
        trainer: u64,
    },
}

impl Class {
    /// Returns `true` for a trainer's sample.
    pub fn is_rollout(self) -> bool {
        matches!(self, Self::Rollout { .. })
    }
}

/// Properties of a request that determine its routing.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Kind of requester.
    pub class: Class,
    /// Time by which the response must be complete, in milliseconds on the pool's clock.
    pub deadline_ms: u64,
    /// Upper bound on the tokens generated; 1 for a plain request.
    pub max_tokens: u32,
    /// Hash of the prompt prefix, used for prefix cache affinity.
    pub prefix: Option<u64>,
    /// Digest that identifies the request content across attempts in crash reports.
    pub digest: Option<Digest>,
    /// Endpoints to avoid if another one has capacity: those on which earlier attempts failed and
    /// those that the requester excludes.
    ///
    /// Only a request for which the list is empty counts as a first attempt in the retry budget.
    pub avoided_endpoints: Vec<EndpointKey>,
    /// Failure domain to avoid if an endpoint in another one has capacity.
    pub avoided_domain: Option<FailureDomain>,
}

impl Demand {
    /// Creates a caller's request of one token.
    pub fn caller(deadline_ms: u64) -> Self {
        Self {
            class: Class::Caller,
            deadline_ms,
            max_tokens: 1,
            prefix: None,
            digest: None,
            avoided_endpoints: Vec::new(),
            avoided_domain: None,
        }
    }

    /// Creates a trainer's sample of one token.
    pub fn rollout(trainer: u64, deadline_ms: u64) -> Self {
        Self {
            class: Class::Rollout { trainer },
            ..Self::caller(deadline_ms)
        }
    }
}

/// Permission to send a request to an endpoint; it occupies a slot until
/// [`crate::Pool::finish`] is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    /// Ticket to pass to [`crate::Pool::finish`].
    pub ticket: TicketKey,
    /// Endpoint to send the request to.
    pub endpoint: EndpointKey,
}

/// Result of [`crate::Pool::admit`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The request is to be sent now.
    Dispatch(Dispatch),
    /// The request is queued until the ticket is returned as [`crate::Dequeued`].
    Wait(TicketKey),
    /// The request is refused and has not run.
    Refuse(Refusal),
}

/// Final refusal of a request that has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub reason: Reason,
    /// Suggested delay before another attempt, in milliseconds.
    pub retry_after_ms: u64,
}

/// Cause of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The pool has no endpoint, or all are leaving.
    NoEndpoint,
    /// The queue of the request's class, or that of crash suspects, is full.
    QueueFull,
    /// The deadline has passed or is estimated to be unreachable.
    Deadline,
    /// The request crashed an endpoint while it ran isolated.
    Quarantined,
}

impl Reason {
    /// Returns the name used in metrics and problem bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no-endpoint",
            Self::QueueFull => "queue-full",
            Self::Deadline => "deadline",
            Self::Quarantined => "quarantined",
        }
    }
}
