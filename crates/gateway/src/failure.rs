//! Failures of requests to endpoints.

use wisteriapoint_types::Verdict;

/// The reason why a request got no complete response, and whether it may have run.
#[derive(Debug, thiserror::Error)]
#[error("{kind}")]
pub struct Failure {
    verdict: Verdict,
    kind: Kind,
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum Kind {
    #[error("setting up the HTTP client failed: {0}")]
    Setup(reqwest::Error),
    #[error("connecting to the endpoint failed: {0}")]
    Connect(reqwest::Error),
    #[error("the endpoint did not answer whole: {0}")]
    InvalidResponse(Box<str>),
    #[error("the endpoint answered with status {0}")]
    Status(u16),
    #[error("the endpoint did not answer in time")]
    Timeout,
    #[error("the request made way for a caller's")]
    Preempted,
    #[error("the endpoint takes no new work")]
    Draining,
    #[error("the endpoint can't go on with the completion")]
    CannotResume,
    #[error("the endpoint answered another request")]
    MismatchedResponse,
    #[error("the answer exceeds {bound_bytes} bytes")]
    TooLarge { bound_bytes: usize },
}

impl Failure {
    pub(crate) fn not_run(kind: Kind) -> Self {
        Self {
            verdict: Verdict::NotRun,
            kind,
        }
    }

    pub(crate) fn may_have_run(kind: Kind) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            kind,
        }
    }

    pub(crate) fn from_reqwest(error: reqwest::Error) -> Self {
        match error {
            error if error.is_connect() => Self::not_run(Kind::Connect(error.without_url())),
            error if error.is_timeout() => Self::may_have_run(Kind::Timeout),
            error => Self::may_have_run(Kind::InvalidResponse(
                error.without_url().to_string().into(),
            )),
        }
    }

    /// Returns the failure of a request that was aborted in favour of a caller's request.
    pub fn preempted() -> Self {
        Self::may_have_run(Kind::Preempted)
    }

    /// Returns the failure of a request to resume a completion that another engine has to finish.
    pub fn cannot_resume() -> Self {
        Self::may_have_run(Kind::CannotResume)
    }

    /// Returns `true` if the request was aborted in favour of a caller's request.
    pub fn is_preempted(&self) -> bool {
        matches!(self.kind, Kind::Preempted)
    }

    /// Returns the verdict on whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns the name of the kind of failure, for metric labels.
    pub fn kind(&self) -> &'static str {
        match self.kind {
            Kind::Preempted => "preempted",
            Kind::Setup(_) => "setup",
            Kind::Connect(_) => "connect",
            Kind::InvalidResponse(_) => "broken",
            Kind::Timeout => "timeout",
            Kind::Draining => "draining",
            Kind::Status(_) => "status",
            Kind::CannotResume => "cannot-resume",
            Kind::MismatchedResponse => "crossed",
            Kind::TooLarge { .. } => "too-large",
        }
    }

    /// Returns `true` if the endpoint refused the request because it is draining.
    pub fn is_draining(&self) -> bool {
        matches!(self.kind, Kind::Draining)
    }

    /// Returns `true` if the endpoint can't resume a completion that another one began.
    pub fn is_resume_refused(&self) -> bool {
        matches!(self.kind, Kind::CannotResume)
    }

    /// Returns `true` if the endpoint refused the request, which is not an endpoint error.
    pub fn is_refusal(&self) -> bool {
        self.is_draining() || self.is_resume_refused()
    }

    /// Returns `true` if the response was incomplete or invalid, as after a crash of the endpoint.
    pub fn is_invalid_response(&self) -> bool {
        matches!(self.kind, Kind::InvalidResponse(_))
    }

    /// Returns `true` if the response did not arrive in time.
    pub fn is_timeout(&self) -> bool {
        matches!(self.kind, Kind::Timeout)
    }

    /// Returns `true` if the response belonged to another request.
    pub fn is_mismatched_response(&self) -> bool {
        matches!(self.kind, Kind::MismatchedResponse)
    }
}
