//! Attempts at generating a sample.

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{EndpointName, ServiceName, WeightVersion};

use crate::StepId;

/// Names one attempt of one coordinator; never used twice by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptKey(pub u64);

/// The first tokens of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstTokens {
    /// The engine.
    pub endpoint: EndpointName,
    /// The version that produced the first tokens.
    pub version: WeightVersion,
}

/// Time from an attempt's first tokens to its first report of progress, in milliseconds;
/// each later report comes after twice the time of the one before.
pub const FIRST_REPORT_MS: u64 = 1_000;

/// An attempt in progress.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: StepId,
    pub(crate) index: u32,
    pub(crate) service: ServiceName,
    pub(crate) dispatched_ms: u64,
    pub(crate) first_tokens: Option<(FirstTokens, u64)>,
    pub(crate) last_report: Option<ProgressReport>,
    pub(crate) expected_tokens: u32,
}

/// How far an attempt was at one moment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProgressReport {
    pub(crate) at_ms: u64,
    pub(crate) tokens: u32,
}
