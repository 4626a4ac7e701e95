//! Progress of a trainer through a step.

use wisteriapoint_types::WeightVersion;

use crate::{Cursor, PullResponse, Sample};

/// The samples of a step that a trainer has received; the trainer alone decides which to accept.
///
/// A response is accepted only if it was made for the current cursor and weight version of
/// the trainer. A duplicate, late or reordered response therefore has no effect, and neither
/// has one that was checked for freshness against a previous version.
///
/// ```
/// use wisteriapoint_rollout::{Cursor, PullResponse, TrainerProgress};
/// use wisteriapoint_types::WeightVersion;
///
/// let mut progress = TrainerProgress::new(WeightVersion(3));
/// let response = PullResponse {
///     from: Cursor::new(),
///     version: WeightVersion(3),
///     samples: Vec::new(),
///     cursor: "0-1".parse()?,
///     complete: false,
/// };
/// assert!(progress.accept(response.clone()).is_some());
/// assert!(progress.accept(response).is_none());
/// # Ok::<(), wisteriapoint_rollout::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TrainerProgress {
    /// Samples that the trainer has received.
    pub cursor: Cursor,
    /// Weight version that the trainer uses.
    pub version: WeightVersion,
}

impl TrainerProgress {
    /// Returns the progress of a trainer that has received no samples.
    pub fn new(version: WeightVersion) -> Self {
        Self {
            cursor: Cursor::new(),
            version,
        }
    }

    /// Applies a response to a pull and returns its samples, or `None` if the response is
    /// outdated and must be discarded completely.
    pub fn accept(&mut self, response: PullResponse) -> Option<Vec<Sample>> {
        if response.from != self.cursor || response.version != self.version {
            return None;
        }
        self.cursor = response.cursor;
        Some(response.samples)
    }
}
