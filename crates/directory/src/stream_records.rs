//! Which software version began each stream that its caller may take up again.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Digest, ServiceName, SoftwareVersion};

/// Time for which a stream is known, in milliseconds: that for which a caller waits who states no
/// deadline.
const RETENTION_MS: u64 = 60_000;
/// Most streams that are known, of about 150 bytes each; the oldest ones are forgotten first.
const MAX_RECORDS: usize = 16_384;

/// What began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Service whose endpoints generate the stream.
    pub service: ServiceName,
    /// Software version of the endpoint that generated the first event.
    pub software: SoftwareVersion,
}

/// The records of streams, by the digest of the id of the attempt that brought the first event.
#[derive(Debug, Default)]
pub struct StreamRecords {
    /// `None` for an id under which several streams began differently.
    records: BTreeMap<Digest, Option<StreamRecord>>,
    by_age: VecDeque<(u64, Digest)>,
}

impl StreamRecords {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a record of a stream that has begun.
    ///
    /// Of an id with two different records nothing is known.
    pub fn insert(&mut self, now_ms: u64, attempt: Digest, record: StreamRecord) {
        self.forget_old(now_ms);
        match self.records.get_mut(&attempt) {
            Some(known) if known.as_ref() == Some(&record) => {}
            Some(known) => *known = None,
            None => {
                self.records.insert(attempt, Some(record));
                self.by_age.push_back((now_ms, attempt));
            }
        }
    }

    /// Returns the record of a stream, if it is known.
    pub fn get(&mut self, now_ms: u64, attempt: Digest) -> Option<&StreamRecord> {
        self.forget_old(now_ms);
        self.records.get(&attempt)?.as_ref()
    }

    fn forget_old(&mut self, now_ms: u64) {
        while let Some(&(at_ms, attempt)) = self.by_age.front()
            && (at_ms + RETENTION_MS < now_ms || self.by_age.len() > MAX_RECORDS)
        {
            self.by_age.pop_front();
            self.records.remove(&attempt);
        }
    }
}
