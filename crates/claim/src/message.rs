//! Messages between a claimant and a holder.

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Digest, MemberId, Nonce, PartitionId, RequestKey, ViewNumber};

use crate::{Attempt, AttemptState, Transfer};

/// Asks a holder for the sole right to dispatch a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The view that the claimant derived the holder from.
    pub view: ViewNumber,
    /// The request's key.
    pub key: RequestKey,
    /// Fingerprint of the request.
    pub digest: Digest,
    /// The daemon that wants to dispatch.
    pub claimant: MemberId,
    /// Names this attempt.
    pub nonce: Nonce,
    /// Time for which the claim has to be remembered, in milliseconds.
    pub horizon_ms: u64,
}

/// A holder's answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimResponse {
    /// The claimant has this holder's vote.
    Granted,
    /// Another attempt has it.
    Held {
        /// The daemon of that attempt.
        claimant: MemberId,
        /// The attempt.
        nonce: Nonce,
    },
    /// The request has run; this is its recorded answer.
    Settled(Settled),
    /// Claims of the partition were lost, and the request may have run before.
    Lost,
    /// This attempt was released before the ask arrived.
    Released,
    /// The key was used for another request.
    Mismatch,
    /// The holder is not open in that view.
    NotOpen {
        /// The view that the holder knows.
        view: ViewNumber,
    },
}

/// What became of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Settled {
    /// It ran and gave this answer.
    Ran(RecordedResponse),
    /// It was dispatched and its answer is lost.
    MayHaveRun,
}

/// A recorded answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, empty if there was none.
    pub content_type: Box<str>,
    /// The body.
    pub body: Vec<u8>,
}

/// Tells a holder what became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The attempt, as the holders were asked.
    #[serde(rename = "ask")]
    pub request: ClaimRequest,
    /// The outcome; none releases the key, since nothing was dispatched.
    pub settled: Option<Settled>,
}

/// Asks a holder of an earlier view to grant no more, and for the claims of a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// The view that the asker is a holder in; all earlier ones are sealed.
    pub view: ViewNumber,
    /// The partition.
    pub partition: PartitionId,
    /// The last key of the page before; none for the first page.
    pub after: Option<RequestKey>,
}

/// A page of a partition's claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// All views before this one are sealed.
    pub sealed: ViewNumber,
    /// The last view that the partition was open in at this holder.
    pub opened: ViewNumber,
    /// The claims.
    pub transfer: Transfer,
    /// The key to continue after; none if this is the last page.
    pub next: Option<RequestKey>,
}

impl ClaimRequest {
    pub(crate) fn attempt(&self) -> Attempt {
        Attempt {
            claimant: self.claimant,
            digest: self.digest,
            state: AttemptState::Granted,
        }
    }
}
