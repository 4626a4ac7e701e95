//! Messages between daemons.

use serde::{Deserialize, Serialize};
use wisteriapoint_claim::{Answer, Ask, Page, Report, Seal};
use wisteriapoint_rollout::{Cursor, Pulled, Sample, StepId, StepSpec, Task};
use wisteriapoint_types::{MemberId, ViewNumber, WeightVersion};

/// What one daemon asks of another; each may be repeated.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Question {
    /// To a holder: a claim.
    Claim(Ask),
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
    },
    /// To any daemon: generate a sample.
    Generate(Task),
}

/// The answer to a [`Question`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Question::Claim`].
    Claim(Answer),
    /// To [`Question::Report`].
    Noted,
    /// To [`Question::Seal`]; none if the run that was meant is over.
    Page(Option<Page>),
    /// To [`Question::Transferred`].
    Transferred(bool),
    /// To [`Question::Put`].
    Put(Result<(), wisteriapoint_rollout::Error>),
    /// To [`Question::Pull`].
    Pulled(Result<Pulled, wisteriapoint_rollout::Error>),
    /// To [`Question::Generate`]; none if it failed.
    Generated(Option<Sample>),
    /// The daemon is stopping.
    Stopping,
}
