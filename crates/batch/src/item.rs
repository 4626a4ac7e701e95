//! What a batch job consists of.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::WeightVersion;

/// The place of an item in its batch job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemKey(pub u32);

/// A batch job as it was submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// The trainer's step, if a trainer submitted it.
    pub step: Option<Step>,
    /// The items, in the order of the submission.
    pub items: Vec<Item>,
}

impl Submission {
    /// A batch job that belongs to no trainer's step.
    pub fn new(items: Vec<Item>) -> Self {
        Self { step: None, items }
    }
}

/// What a trainer says of its step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Number of the step, from 0.
    pub number: u64,
    /// The model that it trains.
    pub model: Box<str>,
    /// Oldest weight version that may make any part of a result.
    pub min_version: WeightVersion,
    /// Whole groups that the trainer waits for.
    pub group_count: u32,
}

/// One request of a batch job.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// The id under which it runs.
    pub id: Box<str>,
    /// Path with query.
    pub path: Box<str>,
    /// Headers to send with it.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body.
    pub body: Vec<u8>,
    /// Expected output, in tokens.
    pub expected_tokens: u32,
    /// Items of one group share their prompt and are of use only together.
    pub group: Option<Box<str>>,
    /// The request that scores the finished text.
    pub scorer: Option<Scorer>,
}

impl Item {
    /// An item without headers, group and scorer.
    pub fn new(id: &str, path: &str, body: Vec<u8>) -> Self {
        Self {
            id: id.into(),
            path: path.into(),
            headers: Vec::new(),
            body,
            expected_tokens: 0,
            group: None,
            scorer: None,
        }
    }
}

/// The request that scores a finished text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scorer {
    /// The id under which it runs.
    pub id: Box<str>,
    /// Host of its route.
    pub host: Box<str>,
    /// Path with query.
    pub path: Box<str>,
    /// The body.
    pub body: Vec<u8>,
}

/// How an item ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Its text is whole.
    Completed {
        /// Data of all events, separated by line feeds.
        output: Box<str>,
        /// Weight versions that made any part of it, ascending.
        versions: Vec<WeightVersion>,
        /// What its scorer gave.
        score: Option<Box<str>>,
    },
    /// It was given up.
    Dead,
}

/// A listed result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's id.
    pub id: Box<str>,
    /// How it ended.
    pub outcome: Outcome,
}

impl ItemResult {
    /// Size as listed, about, in bytes.
    pub fn size_bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 160;
        match &self.outcome {
            Outcome::Completed { output, .. } => output.len() + OVERHEAD_BYTES,
            Outcome::Dead => OVERHEAD_BYTES,
        }
    }
}

/// The text of an item as far as it is known.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Data of the events so far, separated by line feeds.
    pub text: String,
    /// Number of the last one.
    pub last_event: Option<u64>,
    /// Weight versions that made them.
    pub versions: BTreeSet<WeightVersion>,
}

/// The beginning of an item's text, for whoever goes on with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialOutput {
    /// The item's id.
    pub item: Box<str>,
    /// Its text so far.
    pub progress: Progress,
}
