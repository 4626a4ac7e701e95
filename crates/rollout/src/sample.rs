//! Samples.

use serde::{Deserialize, Serialize};
use wisteriapoint_types::WeightVersion;

/// Place of a sample in its step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SampleKey {
    /// Number of the prompt.
    pub group: u32,
    /// Number of the sample among those of its prompt.
    pub index: u32,
}

/// A run of tokens that one weight version produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The version, as the engine reported it with the tokens.
    pub version: WeightVersion,
    /// Number of tokens.
    pub tokens: u32,
}

/// A finished sample.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Place in the step.
    pub key: SampleKey,
    /// The generated text.
    pub text: Box<str>,
    /// The weight versions that produced it, in order.
    pub spans: Vec<Span>,
    /// The scorer's result, if the step names one.
    pub score: Option<f64>,
}

impl Sample {
    /// The oldest version that produced any of its tokens.
    pub fn oldest_version(&self) -> WeightVersion {
        let versions = self.spans.iter().map(|span| span.version);
        versions.min().unwrap_or_default()
    }

    /// Number of tokens.
    pub fn tokens(&self) -> u32 {
        self.spans.iter().map(|span| span.tokens).sum()
    }
}
