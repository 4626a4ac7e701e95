//! Records of services in the platform's store.

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Nonce, Revision, WeightVersion};

/// Maximum number of earlier revisions that a record keeps.
pub const HISTORY_LENGTH: usize = 20;

/// Maximum size of a record as stored, in bytes; the platform stores values of up to one
/// megabyte.
pub const MAX_RECORD_BYTES: usize = 1_000_000;

/// A service document with its revision and history, written by a single compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Revision in force.
    pub current: AcceptedRevision,
    /// Earlier revisions, newest first.
    #[serde(default)]
    pub history: Vec<AcceptedRevision>,
}

/// A revision made by an accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedRevision {
    /// Number of the revision.
    pub revision: Revision,
    /// Identifies the edit, so that an author whose response was lost can tell an accepted edit
    /// from a conflict.
    pub nonce: Nonce,
    /// Name of the person or program that made the edit.
    pub author: Box<str>,
    /// Time of the edit by the author's clock, in Unix milliseconds.
    pub applied_at_ms: u64,
    /// Text of the document, with its comments.
    pub document: Box<str>,
}

impl ServiceRecord {
    /// Returns the record that follows `previous` after an edit.
    ///
    /// Drops the oldest revisions from the history if it exceeds [`HISTORY_LENGTH`] or if the
    /// record exceeds [`MAX_RECORD_BYTES`].
    pub fn with_edit(
        previous: Option<Self>,
        nonce: Nonce,
        author: &str,
        applied_at_ms: u64,
        document: &str,
    ) -> Self {
        let revision = previous.as_ref().map_or(0, |old| old.current.revision.0);
        let mut history = Vec::new();
        if let Some(old) = previous {
            history.push(old.current);
            history.extend(old.history);
            history.truncate(HISTORY_LENGTH);
        }
        let record = Self {
            current: AcceptedRevision {
                revision: Revision(revision + 1),
                nonce,
                author: author.into(),
                applied_at_ms,
                document: document.into(),
            },
            history,
        };
        record.with_bounded_size()
    }

    /// Returns the revision that the edit with this nonce made, if the record still keeps it.
    pub fn find(&self, nonce: Nonce) -> Option<&AcceptedRevision> {
        self.revisions().find(|revision| revision.nonce == nonce)
    }

    /// Returns all revisions of the record, newest first.
    pub fn revisions(&self) -> impl Iterator<Item = &AcceptedRevision> {
        std::iter::once(&self.current).chain(&self.history)
    }

    fn with_bounded_size(mut self) -> Self {
        let mut size_bytes = stored_bytes(&self);
        while size_bytes > MAX_RECORD_BYTES {
            let Some(oldest) = self.history.pop() else {
                return self;
            };
            size_bytes -= stored_bytes(&oldest);
        }
        self
    }
}

fn stored_bytes<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

/// The published weight version of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightRecord {
    /// Published version.
    pub version: WeightVersion,
}
