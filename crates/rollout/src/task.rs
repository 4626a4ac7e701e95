//! Tasks of a coordinator for other daemons, and its responses to pulls.

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{EndpointName, ServiceName, WeightVersion};

use crate::{AttemptKey, Cursor, Sample, SampleKey, StepId};

/// A sample to generate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Step of the sample.
    pub id: StepId,
    /// Position of the sample in the step.
    pub key: SampleKey,
    /// Attempt under which the result is reported.
    pub attempt: AttemptKey,
    /// Model service that generates the sample.
    pub service: ServiceName,
    /// Prompt from which the sample is generated.
    pub prompt: Box<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Expected number of tokens.
    pub expected_tokens: u32,
    /// Oldest weight version whose tokens are accepted.
    pub oldest_version: WeightVersion,
    /// Engines to avoid if another one can run the task.
    pub avoid: Vec<EndpointName>,
}

/// A sample to score.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScoreTask {
    /// Step of the sample.
    pub id: StepId,
    /// Attempt that generated the sample, under which the score is reported.
    pub attempt: AttemptKey,
    /// Service that scores the sample.
    pub scorer: ServiceName,
    /// Prompt from which the sample was generated.
    pub prompt: Box<str>,
    /// Sample as generated, without a score.
    pub sample: Sample,
}

/// The response to a trainer's pull.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PullResponse {
    /// Cursor of the request; the response is valid only while the trainer's cursor is unchanged.
    pub from: Cursor,
    /// Weight version of the request; the response is valid only while the trainer still uses
    /// it.
    pub version: WeightVersion,
    /// Delivered samples.
    pub samples: Vec<Sample>,
    /// Cursor of the trainer once it has received these samples.
    pub cursor: Cursor,
    /// `true` if `cursor` covers the whole step.
    pub complete: bool,
}
