//! Problem details in error responses to callers.

use serde::Serialize;
use wisteriapoint_route::{Reason, Refusal};
use wisteriapoint_types::Verdict;

use crate::Failure;

/// Header that states whether the request may have run.
pub const VERDICT_HEADER: &str = "wisteriapoint-verdict";

/// The body of an error response, sent as `application/problem+json`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// HTTP status of the response.
    pub status: u16,
    /// Name that identifies the kind of problem, for programs.
    #[serde(rename = "type")]
    pub kind: Box<str>,
    /// Description of the problem for people.
    pub detail: Box<str>,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time from now after which the caller should retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates the problem of a request that has not run.
    pub fn not_run(status: u16, kind: &str, detail: impl Into<Box<str>>) -> Self {
        Self {
            status,
            kind: kind.into(),
            detail: detail.into(),
            verdict: Verdict::NotRun,
            retry_after_ms: None,
        }
    }

    /// Creates the problem of a request that may have run.
    pub fn may_have_run(status: u16, kind: &str, detail: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            ..Self::not_run(status, kind, detail)
        }
    }

    /// Sets the time after which the caller should retry, in milliseconds.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the value of the `Retry-After` header, rounded up to seconds and at least 1.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1_000).max(1))
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let (status, detail) = match refusal.reason {
            Reason::NoEndpoint => (503, "no endpoint of the service takes new work"),
            Reason::QueueFull => (503, "too many requests wait for the service"),
            Reason::Deadline => (504, "the answer could not be there by the deadline"),
            Reason::Quarantined => (422, "the request has crashed endpoints"),
        };
        Self::not_run(status, refusal.reason.as_str(), detail)
            .with_retry_after_ms(refusal.retry_after_ms)
    }
}

impl From<&Failure> for Problem {
    fn from(failure: &Failure) -> Self {
        let (status, kind) = match failure {
            failure if failure.is_timeout() => (504, "endpoint-timeout"),
            failure if failure.is_draining() => (503, "endpoint-leaving"),
            _ => (502, "endpoint-failed"),
        };
        Self {
            verdict: failure.verdict(),
            ..Self::not_run(status, kind, failure.to_string())
        }
    }
}
