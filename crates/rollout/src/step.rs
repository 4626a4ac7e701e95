//! Steps.

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{ServiceName, TrainerName};

use crate::SampleKey;

/// Name of a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// The trainer.
    pub trainer: TrainerName,
    /// The trainer's number for the step.
    pub step: u64,
}

/// What a trainer asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// The model service that generates.
    pub service: ServiceName,
    /// The prompts; each makes one group.
    pub prompts: Vec<Box<str>>,
    /// Samples of each prompt.
    pub samples_per_prompt: u32,
    /// Most tokens of a sample.
    pub max_tokens: u32,
    /// How many versions a sample may be behind the trainer when it is handed over.
    pub staleness_versions: u64,
    /// The service that scores samples.
    #[serde(default)]
    pub scorer: Option<ServiceName>,
}

impl StepSpec {
    /// Number of samples of the whole step.
    pub fn samples(&self) -> u32 {
        (self.prompts.len() as u32).saturating_mul(self.samples_per_prompt)
    }

    /// Flat number of a sample, as the cursor counts.
    pub fn index(&self, key: SampleKey) -> u32 {
        key.group * self.samples_per_prompt + key.index
    }

    /// Place of a sample with a flat number.
    pub fn key(&self, index: u32) -> SampleKey {
        SampleKey {
            group: index / self.samples_per_prompt,
            index: index % self.samples_per_prompt,
        }
    }
}
