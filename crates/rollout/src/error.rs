//! Errors in requests of trainers.

use serde::{Deserialize, Serialize};

/// The reason for which a trainer's request was rejected.
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
    /// Returns `true` if the coordinator does not have the step, which must be put again.
    pub fn is_unknown_step(&self) -> bool {
        matches!(self.0, Kind::UnknownStep)
    }

    /// Returns `true` if the step exists with different content.
    pub fn is_conflict(&self) -> bool {
        matches!(self.0, Kind::Conflict)
    }
}
