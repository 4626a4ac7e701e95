//! What is known about one key.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Digest, MemberId, Nonce, RequestKey};

use crate::{RecordedResponse, Settled};

/// The attempts to run the request with one key.
///
/// Two records of the same key merge into one that knows all that either knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// When the record may be forgotten, in Unix milliseconds.
    #[serde(rename = "forget_at_ms")]
    pub expires_at_ms: u64,
    /// The attempts by their nonces.
    pub attempts: BTreeMap<Nonce, Attempt>,
}

/// One attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The daemon that made it.
    pub claimant: MemberId,
    /// Fingerprint of its request.
    pub digest: Digest,
    /// How far it is known to have come.
    pub state: AttemptState,
}

/// How far an attempt is known to have come.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptState {
    /// A holder granted it; it may have been dispatched.
    Granted,
    /// It was not dispatched and never will be.
    Released,
    /// It was dispatched.
    Settled(Settled),
}

/// The claims of a partition on their way to a new holder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Transfer {
    /// When claims of the partition were last lost, in Unix milliseconds.
    pub lost_at_ms: Option<u64>,
    /// The records by key.
    pub records: BTreeMap<RequestKey, Record>,
}

impl Record {
    /// Adds what another record of the same key knows.
    pub fn merge(&mut self, other: Self) {
        self.expires_at_ms = self.expires_at_ms.max(other.expires_at_ms);
        for (nonce, attempt) in other.attempts {
            self.merge_attempt(nonce, attempt);
        }
    }

    /// Adds what is known about one attempt; a final state never changes.
    pub fn merge_attempt(&mut self, nonce: Nonce, attempt: Attempt) {
        let known = self
            .attempts
            .entry(nonce)
            .or_insert_with(|| attempt.clone());
        if known.state == AttemptState::Granted {
            known.state = attempt.state;
        }
    }

    /// The attempts that were not released.
    pub fn unreleased_attempts(&self) -> impl Iterator<Item = (&Nonce, &Attempt)> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| attempt.state != AttemptState::Released)
    }

    /// The outcome, if an attempt has reported one.
    pub fn settled(&self) -> Option<&Settled> {
        self.attempts
            .values()
            .find_map(|attempt| match &attempt.state {
                AttemptState::Settled(settled) => Some(settled),
                _ => None,
            })
    }

    /// Size of the recorded answer, in bytes.
    pub fn body_bytes(&self) -> usize {
        match self.settled() {
            Some(Settled::Ran(RecordedResponse { body, .. })) => body.len(),
            _ => 0,
        }
    }
}

impl Transfer {
    /// Adds what another transfer of the same partition knows.
    pub fn merge(&mut self, other: Self) {
        self.lost_at_ms = self.lost_at_ms.max(other.lost_at_ms);
        for (key, record) in other.records {
            self.records.entry(key).or_default().merge(record);
        }
    }
}
