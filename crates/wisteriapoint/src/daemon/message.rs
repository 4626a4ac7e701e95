//! Messages between daemons.

use serde::{Deserialize, Serialize};
use wisteriapoint_catalog::{Summary, Update};
use wisteriapoint_claim::{ClaimRequest, ClaimResponse, Page, Report, Seal};
use wisteriapoint_membership::View;
use wisteriapoint_rollout::{
    AttemptKey, Cursor, FirstTokens, PullResponse, Sample, StepId, StepSpec, Task,
};
use wisteriapoint_route::CrashReport;
use wisteriapoint_types::{MemberId, ServiceName, ViewNumber, WeightVersion};

/// A question and the run of a daemon that it is meant for.
///
/// The address of a daemon that is gone may have been taken by another one, whose answer
/// must not count as the member's.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Addressed {
    /// The member; none means whoever listens at the address.
    pub to: Option<MemberId>,
    /// The question.
    pub question: Question,
}

/// What one daemon asks of another; each may be repeated.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Question {
    /// To a holder: a claim.
    Claim(ClaimRequest),
    /// To a holder: what became of a claim.
    Report(Report),
    /// To a holder of an earlier view: a partition's claims.
    Seal {
        /// The run of the daemon that is meant.
        source: MemberId,
        /// What to seal.
        seal: Seal,
    },
    /// To any member: whether all its partitions are open in a view.
    Transferred(ViewNumber),
    /// To a coordinator: a step.
    Put {
        /// Name of the step.
        id: StepId,
        /// What is asked for.
        spec: StepSpec,
        /// What the trainer has.
        cursor: Cursor,
    },
    /// To a coordinator: finished samples.
    Pull {
        /// Name of the step.
        id: StepId,
        /// What the trainer has.
        cursor: Cursor,
        /// The version that the trainer is at.
        version: WeightVersion,
        /// Most samples to hand over.
        limit: u32,
        /// Longest wait for the first sample, in milliseconds.
        wait_ms: u64,
    },
    /// To any daemon: generate a sample.
    Generate {
        /// The coordinator that asks.
        coordinator: MemberId,
        /// The sample.
        task: Task,
    },
    /// To a coordinator: an attempt has its first tokens.
    Begun {
        /// The attempt.
        attempt: AttemptKey,
        /// Where and by which version.
        begun: FirstTokens,
    },
    /// To a coordinator: how far an attempt is.
    Progress {
        /// The attempt.
        attempt: AttemptKey,
        /// Its tokens.
        tokens: u32,
    },
    /// To a daemon that generates a sample: it is no longer wanted.
    Cancel {
        /// The coordinator that asked for it.
        coordinator: MemberId,
        /// The attempt.
        attempt: AttemptKey,
    },
    /// To any daemon: whether its control answers.
    Ping,
    /// To any daemon: whether it hears a member.
    Probe(MemberId),
    /// To any daemon: what it knows beyond this.
    Sync {
        /// The asker's view.
        view: ViewNumber,
        /// What the asker knows.
        known: Summary,
    },
    /// To any daemon: something that it may not know.
    Offer {
        /// The view.
        view: Option<View>,
        /// Configuration.
        update: Update,
    },
}

/// The answer to a [`Question`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Question::Claim`].
    Claim(ClaimResponse),
    /// To a [`Question`] that needs no answer.
    Noted,
    /// To [`Question::Seal`]; none if the run that was meant is over.
    Page(Option<Page>),
    /// To [`Question::Transferred`].
    Transferred(bool),
    /// To [`Question::Put`].
    Put(Result<(), wisteriapoint_rollout::Error>),
    /// To [`Question::Pull`].
    Pulled(Result<PullResponse, wisteriapoint_rollout::Error>),
    /// To [`Question::Generate`].
    Generated(Generated),
    /// To [`Question::Ping`].
    Pong {
        /// Whether the daemon is stopping.
        stopping: bool,
    },
    /// To [`Question::Probe`].
    Heard(bool),
    /// To [`Question::Sync`].
    Synced(Synced),
    /// The daemon is stopping.
    Stopping,
}

/// How an attempt at a sample ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Generated {
    /// With the whole sample.
    Whole(Sample),
    /// Given up, because its tokens came from a version that is too old.
    TooOld,
    /// Without a sample.
    Failed,
}

impl Generated {
    /// Short name, for metrics.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::Whole(_) => "whole",
            Self::TooOld => "too-old",
            Self::Failed => "failed",
        }
    }
}

/// What a daemon knows beyond the asker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Synced {
    /// The view, if it is newer.
    pub view: Option<View>,
    /// Newer configuration.
    pub update: Update,
    /// Whether the answering daemon has read the configuration at least once.
    pub configured: bool,
    /// Whether the asker knows something newer.
    pub behind: bool,
}

/// What a daemon tells a few others every second, as one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The member that it is meant for; none means whoever listens at the address.
    pub to: Option<MemberId>,
    /// The sender's view.
    pub view: ViewNumber,
    /// Hash of the sender's configuration.
    pub sum: u64,
    /// Recent crashes of endpoints and the requests that ran there.
    pub strikes: Vec<ServiceStrike>,
}

/// A strike against a request, and the service that it was sent to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStrike {
    /// The service.
    pub service: ServiceName,
    /// The strike.
    pub strike: CrashReport,
}
