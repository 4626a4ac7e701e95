//! Generated samples.

use serde::{Deserialize, Serialize};
use wisteriapoint_types::WeightVersion;

/// Position of a sample in its step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SampleKey {
    /// Index of the prompt in the step.
    pub group: u32,
    /// Index of the sample within its group.
    pub index: u32,
}

/// Consecutive tokens of a sample that one weight version produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Weight version, as the engine reported it with the tokens.
    pub version: WeightVersion,
    /// Number of tokens.
    pub tokens: u32,
}

/// A sample whose generation has finished.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Position in the step.
    pub key: SampleKey,
    /// Generated text.
    pub text: Box<str>,
    /// Weight versions that produced the tokens, in order of generation.
    pub spans: Vec<Span>,
    /// Result of the step's scorer; `None` if the step has no scorer or scoring failed.
    pub score: Option<f64>,
}

impl Sample {
    /// Returns the oldest weight version that produced any of its tokens.
    pub fn oldest_version(&self) -> WeightVersion {
        let versions = self.spans.iter().map(|span| span.version);
        versions.min().unwrap_or_default()
    }

    /// Returns the number of generated tokens.
    pub fn tokens(&self) -> u32 {
        self.spans.iter().map(|span| span.tokens).sum()
    }
}
