//! Messages between a claimant and a holder.

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Digest, MemberId, Nonce, PartitionId, RequestKey, ViewNumber};

use crate::{Attempt, AttemptState, Transfer};

/// Requests from a holder the exclusive right to dispatch a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The view from which the claimant determined the holder.
    pub view: ViewNumber,
    /// Idempotency key of the request to dispatch.
    pub key: RequestKey,
    /// Fingerprint of the request to dispatch.
    pub digest: Digest,
    /// The daemon that is to dispatch the request.
    pub claimant: MemberId,
    /// Identifies this attempt.
    pub nonce: Nonce,
    /// Time for which the claim has to be retained, in milliseconds.
    pub horizon_ms: u64,
}

/// A holder's response to a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimResponse {
    /// The holder grants the claim to this attempt.
    Granted,
    /// The holder has granted the claim to another attempt.
    Held {
        /// The daemon that made that attempt.
        claimant: MemberId,
        /// Identifies that attempt.
        nonce: Nonce,
    },
    /// An attempt at this request has been settled with this outcome.
    Settled(Settled),
    /// Claims of the partition were lost, and the request may have run before the loss.
    Lost,
    /// This attempt was released before its claim request arrived.
    Released,
    /// The key was used for a request with another fingerprint.
    Mismatch,
    /// The partition is not open at this holder in the view of the claim request.
    NotOpen {
        /// The latest view that the partition has received; claim requests of earlier views
        /// are refused.
        view: ViewNumber,
    },
}

/// Outcome of an attempt that was allowed to dispatch its request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Settled {
    /// The request ran and returned this response.
    Ran(RecordedResponse),
    /// The request may have run, but no response was recorded.
    MayHaveRun,
}

/// An HTTP response that is recorded for retries of its request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, or empty if there was none.
    pub content_type: Box<str>,
    /// The complete response body.
    pub body: Vec<u8>,
}

/// Reports the outcome of an attempt to a holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The claim request of the attempt, as sent to the holders.
    #[serde(rename = "ask")]
    pub request: ClaimRequest,
    /// The outcome, or `None` if nothing was dispatched, which releases the key.
    pub settled: Option<Settled>,
}

/// Requests that a holder of an earlier view stop granting claims of a partition, and return
/// those that it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// The view in which the sender is a holder; all earlier views are sealed.
    pub view: ViewNumber,
    /// The partition to seal.
    pub partition: PartitionId,
    /// The last key of the previous page, or `None` for the first page.
    pub after: Option<RequestKey>,
}

/// A page of a partition's claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// All views before this one are sealed.
    pub sealed: ViewNumber,
    /// The last view in which the partition was open at this holder.
    pub opened: ViewNumber,
    /// The claims of this page.
    pub transfer: Transfer,
    /// The key after which the next page starts, or `None` for the last page.
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
