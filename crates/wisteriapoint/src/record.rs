//! The record of a service in the platform's store.

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Nonce, Revision, WeightVersion};

/// Revisions that a record keeps besides the one in force.
pub const HISTORY_LENGTH: usize = 20;

/// Largest record, in bytes as stored; the platform holds values up to a megabyte.
pub const MAX_RECORD_BYTES: usize = 1_000_000;

/// A service document with its revision and history; one compare-and-swap writes it all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// The revision in force.
    pub current: AcceptedRevision,
    /// Earlier revisions, newest first.
    #[serde(default)]
    pub history: Vec<AcceptedRevision>,
}

/// One accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedRevision {
    /// Its number.
    pub revision: Revision,
    /// Names the edit, so that its author can tell a lost answer from a lost race.
    pub nonce: Nonce,
    /// Who made it.
    pub author: Box<str>,
    /// When, in Unix milliseconds of the author's clock.
    pub applied_at_ms: u64,
    /// The document's text, comments and all.
    pub document: Box<str>,
}

impl ServiceRecord {
    /// The record after another edit.
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

    /// The revision that an edit made, if the record still keeps it.
    pub fn find(&self, nonce: Nonce) -> Option<&AcceptedRevision> {
        self.revisions().find(|revision| revision.nonce == nonce)
    }

    /// All revisions that the record keeps, newest first.
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
    /// The version.
    pub version: WeightVersion,
}
