//! Records of the attempts to run a request.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Digest, MemberId, Nonce, RequestKey};

use crate::{RecordedResponse, Settled};

/// The attempts to run the request with one key.
///
/// Merging two records of the same key gives one that contains the information of both.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Time from which the record may be evicted, in Unix milliseconds.
    #[serde(rename = "forget_at_ms")]
    pub expires_at_ms: u64,
    /// The attempts by nonce.
    pub attempts: BTreeMap<Nonce, Attempt>,
}

/// One attempt to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The daemon that made the attempt.
    pub claimant: MemberId,
    /// Fingerprint of the request.
    pub digest: Digest,
    /// The last state that was recorded.
    pub state: AttemptState,
}

/// State of an attempt, as last recorded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptState {
    /// A holder granted the claim; the request may have been dispatched.
    Granted,
    /// The request was not dispatched by this attempt and never will be.
    Released,
    /// The request was dispatched, with this outcome.
    Settled(Settled),
}

/// Claims of a partition for the transfer to a new holder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Transfer {
    /// Time at which claims of the partition were last lost, in Unix milliseconds.
    pub lost_at_ms: Option<u64>,
    /// The records by request key.
    pub records: BTreeMap<RequestKey, Record>,
}

impl Record {
    /// Merges another record of the same key.
    pub fn merge(&mut self, other: Self) {
        self.expires_at_ms = self.expires_at_ms.max(other.expires_at_ms);
        for (nonce, attempt) in other.attempts {
            self.merge_attempt(nonce, attempt);
        }
    }

    /// Merges the state of one attempt; a final state never changes.
    pub fn merge_attempt(&mut self, nonce: Nonce, attempt: Attempt) {
        let current = self
            .attempts
            .entry(nonce)
            .or_insert_with(|| attempt.clone());
        if current.state == AttemptState::Granted {
            current.state = attempt.state;
        }
    }

    /// Returns the attempts that were not released.
    pub fn unreleased_attempts(&self) -> impl Iterator<Item = (&Nonce, &Attempt)> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| attempt.state != AttemptState::Released)
    }

    /// Returns the outcome, if an attempt has reported one.
    pub fn settled(&self) -> Option<&Settled> {
        self.attempts
            .values()
            .find_map(|attempt| match &attempt.state {
                AttemptState::Settled(settled) => Some(settled),
                _ => None,
            })
    }

    /// Returns the size of the recorded response body, in bytes.
    pub fn body_bytes(&self) -> usize {
        match self.settled() {
            Some(Settled::Ran(RecordedResponse { body, .. })) => body.len(),
            _ => 0,
        }
    }
}

impl Transfer {
    /// Merges another transfer of the same partition.
    pub fn merge(&mut self, other: Self) {
        self.lost_at_ms = self.lost_at_ms.max(other.lost_at_ms);
        for (key, record) in other.records {
            self.records.entry(key).or_default().merge(record);
        }
    }
}
