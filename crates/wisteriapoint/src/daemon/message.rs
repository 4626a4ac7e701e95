//! Messages between daemons.

use serde::{Deserialize, Serialize};
use wisteriapoint_catalog::{Summary, Update};
use wisteriapoint_claim::{Answer, Ask, Report};
use wisteriapoint_membership::View;
use wisteriapoint_rollout::{Cursor, Pulled, Sample, StepId, StepSpec, Task};
use wisteriapoint_types::{MemberId, ViewNumber, WeightVersion};

/// What one daemon asks of another; each may be repeated.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Question {
    /// To a holder: a claim.
    Claim(Ask),
    /// To a holder: what became of a claim.
    Report(Report),
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
    },
    /// To any daemon: generate a sample.
    Generate(Task),
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
    Claim(Answer),
    /// To [`Question::Report`].
    Noted,
    /// To [`Question::Put`].
    Put(Result<(), wisteriapoint_rollout::Error>),
    /// To [`Question::Pull`].
    Pulled(Result<Pulled, wisteriapoint_rollout::Error>),
    /// To [`Question::Generate`]; none if it failed.
    Generated(Option<Sample>),
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
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's view.
    pub view: ViewNumber,
    /// Hash of the sender's configuration.
    pub sum: u64,
}
