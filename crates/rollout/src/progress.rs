//! The trainer's side of a step.

use wisteriapoint_types::WeightVersion;

use crate::{Cursor, PullResponse, Sample};

/// What a trainer has of a step; it alone decides which samples count.
///
/// An answer counts only if it was made for the cursor and the version that the trainer
/// is still at. So a doubled, late or reordered answer changes nothing, and neither does one
/// that was checked for freshness against a version that the trainer has left.
///
/// ```
/// use wisteriapoint_rollout::{Cursor, PullResponse, TrainerProgress};
/// use wisteriapoint_types::WeightVersion;
///
/// let mut progress = TrainerProgress::new(WeightVersion(3));
/// let answer = PullResponse {
///     from: Cursor::new(),
///     version: WeightVersion(3),
///     samples: Vec::new(),
///     cursor: "0-1".parse()?,
///     complete: false,
/// };
/// assert!(progress.accept(answer.clone()).is_some());
/// assert!(progress.accept(answer).is_none());
/// # Ok::<(), wisteriapoint_rollout::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TrainerProgress {
    /// The samples that it has.
    pub cursor: Cursor,
    /// The version that it is at.
    pub version: WeightVersion,
}

impl TrainerProgress {
    /// Makes the record of a trainer that has nothing yet.
    pub fn new(version: WeightVersion) -> Self {
        Self {
            cursor: Cursor::new(),
            version,
        }
    }

    /// Takes an answer to a pull; none if it does not count and has to be dropped whole.
    pub fn accept(&mut self, pulled: PullResponse) -> Option<Vec<Sample>> {
        if pulled.from != self.cursor || pulled.version != self.version {
            return None;
        }
        self.cursor = pulled.cursor;
        Some(pulled.samples)
    }
}
