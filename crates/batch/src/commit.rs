//! Results on their way into the store.

use crate::ItemResult;

/// Results that are committed together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommitBatch {
    /// Position of the first one.
    pub first: u32,
    /// The results, in the order of their positions.
    pub results: Vec<ItemResult>,
}
