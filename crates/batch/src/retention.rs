//! Choice of the batch jobs whose rows are no longer needed.

use std::collections::BTreeMap;

use crate::JobState;

/// Time for which a batch job is kept that is done and that nobody has ended, in milliseconds. Its results may
/// be read as long as it is open.
const UNENDED_RETENTION_MS: u64 = 3_600_000;

/// Ages of the batch jobs that are ended or done, by the time for which they have been known as such.
///
/// The rows state no time, and the clocks of two VMs don't give an age.
#[derive(Debug)]
pub struct Retention {
    ended_retention_ms: u64,
    /// Revision of the state row, and the time since which it is known, in milliseconds.
    known: BTreeMap<Box<str>, (u64, u64)>,
}

impl Retention {
    /// Creates ages by which batch jobs are kept for a time after their end.
    pub fn new(ended_retention_ms: u64) -> Self {
        Self {
            ended_retention_ms,
            known: BTreeMap::new(),
        }
    }

    /// Begins the age of a batch job anew, whose rows could not be removed.
    pub fn postpone(&mut self, id: &str) {
        self.known.remove(id);
    }

    /// Returns those of all stored batch jobs that are no longer needed, by their index in `jobs`.
    ///
    /// Each job comes with the revision of its state row. An age begins anew when its row changes.
    pub fn expired(&mut self, now_ms: u64, jobs: &[(Box<str>, u64, JobState)]) -> Vec<usize> {
        let mut known = BTreeMap::new();
        let mut expired = Vec::new();
        for (index, (id, revision, state)) in jobs.iter().enumerate() {
            let retention_ms = match state {
                JobState { open: false, .. } => self.ended_retention_ms,
                state if state.listed >= state.total => {
                    self.ended_retention_ms.max(UNENDED_RETENTION_MS)
                }
                _ => continue,
            };
            let since_ms = match self.known.get(id) {
                Some(&(known_revision, since_ms)) if known_revision == *revision => since_ms,
                _ => now_ms,
            };
            if now_ms >= since_ms.saturating_add(retention_ms) {
                expired.push(index);
            }
            known.insert(id.clone(), (*revision, since_ms));
        }
        self.known = known;
        expired
    }
}
