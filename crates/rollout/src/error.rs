//! Errors of rollouts.

use serde::{Deserialize, Serialize};

/// Why a trainer's call was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error(transparent)]
pub struct Error(#[from] pub(crate) Kind);

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub(crate) enum Kind {
    #[error("`{0}` is no cursor: write ranges in rising order such as `0-3,5`")]
    Cursor(Box<str>),
    #[error("the step is not known here; put it again, with its cursor")]
    UnknownStep,
    #[error("the step was put before with another content")]
    Conflict,
    #[error("the cursor names sample {index}, but the step has {samples}")]
    CursorBeyondStep { index: u32, samples: u32 },
    #[error("the step has no samples")]
    Empty,
    #[error("the step has more samples than a coordinator takes")]
    TooLarge,
}

impl Error {
    /// Whether the step has to be put again.
    pub fn is_unknown_step(&self) -> bool {
        matches!(self.0, Kind::UnknownStep)
    }

    /// Whether the step exists with another content.
    pub fn is_conflict(&self) -> bool {
        matches!(self.0, Kind::Conflict)
    }
}
