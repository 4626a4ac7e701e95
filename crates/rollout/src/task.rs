//! What a coordinator has others do.

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{EndpointName, ServiceName, WeightVersion};

use crate::{AttemptKey, Cursor, Sample, SampleKey, StepId};

/// One sample to generate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// The step.
    pub id: StepId,
    /// Place in the step.
    pub key: SampleKey,
    /// The attempt, under which the result is reported.
    pub attempt: AttemptKey,
    /// The model service.
    pub service: ServiceName,
    /// The prompt.
    pub prompt: Box<str>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Tokens that are expected.
    pub expected_tokens: u32,
    /// Tokens of an older version are too old already.
    pub oldest_version: WeightVersion,
    /// Engines that another one is better than.
    pub avoid: Vec<EndpointName>,
}

/// One sample to score.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScoreTask {
    /// The step.
    pub id: StepId,
    /// The attempt that generated it, under which the score is reported.
    pub attempt: AttemptKey,
    /// The scorer.
    pub scorer: ServiceName,
    /// The prompt.
    pub prompt: Box<str>,
    /// The sample.
    pub sample: Sample,
}

/// The answer to a pull.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PullResponse {
    /// The cursor that the pull came with; the answer counts only for a trainer still there.
    pub from: Cursor,
    /// The version that the pull came with; the answer counts only for a trainer still there.
    pub version: WeightVersion,
    /// The samples.
    pub samples: Vec<Sample>,
    /// The cursor once they are received.
    pub cursor: Cursor,
    /// Whether that cursor covers the whole step.
    pub complete: bool,
}
