//! Steps of trainers.

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{ServiceName, TrainerName};

use crate::SampleKey;

/// Identifies a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// Trainer that requested the step.
    pub trainer: TrainerName,
    /// Number that the trainer assigned to the step.
    pub step: u64,
}

/// The samples that a trainer requests in one step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// Model service that generates the samples.
    pub service: ServiceName,
    /// Prompts; the samples of each form a group.
    pub prompts: Vec<Box<str>>,
    /// Number of samples of each prompt.
    pub samples_per_prompt: u32,
    /// Maximum number of tokens of a sample.
    pub max_tokens: u32,
    /// Maximum number of weight versions that a sample may be behind the trainer when it is
    /// delivered.
    pub staleness_versions: u64,
    /// Service that scores the samples, if they are to be scored.
    #[serde(default)]
    pub scorer: Option<ServiceName>,
}

impl StepSpec {
    /// Returns the number of samples of the whole step.
    pub fn samples(&self) -> u32 {
        (self.prompts.len() as u32).saturating_mul(self.samples_per_prompt)
    }

    /// Returns the index of a sample within the step, as used in a
    /// [`Cursor`](crate::Cursor).
    pub fn index(&self, key: SampleKey) -> u32 {
        key.group * self.samples_per_prompt + key.index
    }

    /// Returns the key of the sample with this index within the step.
    pub fn key(&self, index: u32) -> SampleKey {
        SampleKey {
            group: index / self.samples_per_prompt,
            index: index % self.samples_per_prompt,
        }
    }
}
