//! Results that are to be committed to the store.

use crate::ItemResult;

/// Results that are committed to the store in one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommitBatch {
    /// Position of the first result among the listed results of the batch job.
    pub first: u32,
    /// Results, in the order of their positions.
    pub results: Vec<ItemResult>,
}
