//! Messages between daemons, encoded with postcard: the order of fields and variants matters.

use serde::{Deserialize, Serialize};
use wisteriapoint_catalog::{Summary, Update};
use wisteriapoint_claim::{ClaimRequest, ClaimResponse, Page, Report, Seal};
use wisteriapoint_membership::View;
use wisteriapoint_rollout::{
    AttemptKey, Cursor, FirstTokens, PullResponse, Sample, StepId, StepSpec, Task,
};
use wisteriapoint_route::CrashReport;
use wisteriapoint_types::{MemberId, ServiceName, ViewNumber, WeightVersion};

/// A request and the run of a daemon that it is addressed to.
///
/// The address of a terminated daemon may be in use by another one, whose response must not count
/// as the member's.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AddressedRequest {
    /// Member that may answer; `None` for any daemon that listens at the address.
    pub to: Option<MemberId>,
    /// Request to answer.
    #[serde(rename = "question")]
    pub request: PeerRequest,
}

/// Request of one daemon to another; each is safe to repeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks a holder to grant a claim.
    Claim(ClaimRequest),
    /// Reports the outcome of a claim to a holder.
    Report(Report),
    /// Seals a partition at a holder of an earlier view and requests its claims.
    Seal {
        /// Run of the daemon whose claims are requested.
        source: MemberId,
        /// Partition to seal, and the page to return.
        seal: Seal,
    },
    /// Asks a member whether all its partitions are open in a view.
    Transferred(ViewNumber),
    /// Submits a step to its coordinator.
    Put {
        /// Id of the step.
        id: StepId,
        /// Samples to generate.
        spec: StepSpec,
        /// Samples that the trainer already has.
        cursor: Cursor,
    },
    /// Requests finished samples from a coordinator.
    Pull {
        /// Id of the step.
        id: StepId,
        /// Samples that the trainer already has.
        cursor: Cursor,
        /// Weight version that the trainer has reached.
        version: WeightVersion,
        /// Maximum number of samples to return.
        limit: u32,
        /// Maximum wait for the first sample, in milliseconds.
        wait_ms: u64,
    },
    /// Asks any daemon to generate a sample.
    Generate {
        /// Coordinator of the step.
        coordinator: MemberId,
        /// Sample to generate.
        task: Task,
    },
    /// Reports to a coordinator that an attempt has its first tokens.
    #[serde(rename = "Begun")]
    FirstTokens {
        /// Attempt at the sample.
        attempt: AttemptKey,
        /// Endpoint and weight version that generated them.
        #[serde(rename = "begun")]
        first_tokens: FirstTokens,
    },
    /// Reports the progress of an attempt to a coordinator.
    Progress {
        /// Attempt at the sample.
        attempt: AttemptKey,
        /// Tokens generated so far.
        tokens: u32,
    },
    /// Cancels the generation of a sample at a daemon.
    Cancel {
        /// Coordinator that requested the sample.
        coordinator: MemberId,
        /// Attempt at the sample.
        attempt: AttemptKey,
    },
    /// Checks that a daemon's control loop responds.
    Ping,
    /// Asks any daemon whether it can reach a member.
    Probe(MemberId),
    /// Requests the view and configuration that are newer than the requester's.
    Sync {
        /// Number of the requester's view.
        view: ViewNumber,
        /// Versions of the requester's configuration.
        #[serde(rename = "known")]
        summary: Summary,
    },
    /// Offers a view and configuration that a daemon may not have.
    Offer {
        /// View of the sender, if it offers one.
        view: Option<View>,
        /// Configuration of the sender.
        update: Update,
    },
}

/// Response to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse {
    /// Response to [`PeerRequest::Claim`].
    Claim(ClaimResponse),
    /// Response to a request that returns no data.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// Response to [`PeerRequest::Seal`]; `None` if the addressed run has terminated.
    Page(Option<Page>),
    /// Response to [`PeerRequest::Transferred`].
    Transferred(bool),
    /// Response to [`PeerRequest::Put`].
    Put(Result<(), wisteriapoint_rollout::Error>),
    /// Response to [`PeerRequest::Pull`].
    Pulled(Result<PullResponse, wisteriapoint_rollout::Error>),
    /// Response to [`PeerRequest::Generate`].
    Generated(Generated),
    /// Response to [`PeerRequest::Ping`].
    Pong {
        /// `true` if the daemon is stopping.
        stopping: bool,
    },
    /// Response to [`PeerRequest::Probe`].
    #[serde(rename = "Heard")]
    Reachable(bool),
    /// Response to [`PeerRequest::Sync`].
    Synced(Synced),
    /// The daemon is stopping, or the request was addressed to another run.
    Stopping,
}

/// Result of an attempt to generate a sample.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Generated {
    /// The sample is complete.
    #[serde(rename = "Whole")]
    Complete(Sample),
    /// Cancelled, since a weight version that is too old generated its tokens.
    TooOld,
    /// The attempt failed.
    Failed,
}

impl Generated {
    /// Returns the value of the metrics label `outcome`.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::Complete(_) => "whole",
            Self::TooOld => "too-old",
            Self::Failed => "failed",
        }
    }
}

/// State of a daemon that is newer than the requester's.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Synced {
    /// View, if it is newer.
    pub view: Option<View>,
    /// Configuration that is newer.
    pub update: Update,
    /// `true` if the responding daemon has received the configuration at least once.
    pub configured: bool,
    /// `true` if the requester has newer state.
    pub behind: bool,
}

/// Digest of a daemon's state, sent to a few other daemons every second as one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    /// Recipient; `None` for any daemon that listens at the address.
    pub to: Option<MemberId>,
    /// Number of the sender's view.
    pub view: ViewNumber,
    /// Hash of the sender's configuration.
    #[serde(rename = "sum")]
    pub content_hash: u64,
    /// Recent crashes of endpoints and the requests that they were running.
    #[serde(rename = "strikes")]
    pub crash_reports: Vec<ServiceCrashReport>,
}

/// A crash report and the service to which the request was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCrashReport {
    /// Service of the crashed endpoint.
    pub service: ServiceName,
    /// Request and endpoint.
    #[serde(rename = "strike")]
    pub report: CrashReport,
}
