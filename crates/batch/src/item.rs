//! Submitted batch jobs, their items and the items' results.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{StreamOrigin, WeightVersion};

/// Index of an item in its submission, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemKey(pub u32);

/// Where the encoded body of a request stands in the submission of its batch job, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BodyRange {
    /// Position of the first byte.
    pub start: usize,
    /// Position after the last byte.
    pub end: usize,
}

/// A batch job as the caller submitted it, without the bodies of its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// Training step that the batch job belongs to, if a trainer submitted it.
    pub step: Option<Step>,
    /// Items, in the order of the submission.
    pub items: Vec<Item>,
}

impl Submission {
    /// Creates a submission that belongs to no training step.
    pub fn new(items: Vec<Item>) -> Self {
        Self { step: None, items }
    }

    /// Returns the approximate memory of the items, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.items.iter().map(Item::memory_bytes).sum()
    }
}

/// Parameters of a training step, as given by the trainer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Number of the step, from 0.
    pub number: u64,
    /// Model that it trains.
    pub model: Box<str>,
    /// Oldest weight version that may generate any part of a result.
    pub min_version: WeightVersion,
    /// Number of complete groups that the trainer waits for.
    pub group_count: u32,
}

/// One request of a batch job.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// Request id under which it runs.
    pub id: Box<str>,
    /// Path with query.
    pub path: Box<str>,
    /// Names and values of the headers to send with it.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Place of its body.
    pub body: BodyRange,
    /// Expected length of the output, in tokens.
    pub expected_tokens: u32,
    /// Length of the output that the caller estimates, in tokens; `None` if `expected_tokens` is only
    /// a bound.
    pub length_hint: Option<u32>,
    /// Group of the item; items of one group share a prompt and are useful only together.
    pub group: Option<Box<str>>,
    /// Request that scores the finished text.
    pub scorer: Option<Scorer>,
}

impl Item {
    /// Creates an item without headers, group and scorer.
    pub fn new(id: &str, path: &str, body: BodyRange) -> Self {
        Self {
            id: id.into(),
            path: path.into(),
            headers: Vec::new(),
            body,
            expected_tokens: 0,
            length_hint: None,
            group: None,
            scorer: None,
        }
    }

    /// Returns the approximate memory of the item and its state in a batch job, in bytes.
    pub fn memory_bytes(&self) -> usize {
        /// Memory of an allocation beside its content.
        const ALLOCATION_BYTES: usize = 16;
        const STATE_BYTES: usize = 128;
        let text_bytes = |text: &str| text.len() + ALLOCATION_BYTES;
        let header_bytes = |(name, value): &(Box<str>, Box<str>)| {
            size_of::<(Box<str>, Box<str>)>() + text_bytes(name) + text_bytes(value)
        };
        let scorer = self.scorer.iter();
        let scorer_bytes: usize = scorer
            .map(|scorer| {
                text_bytes(&scorer.id) + text_bytes(&scorer.host) + text_bytes(&scorer.path)
            })
            .sum();
        size_of::<Self>()
            + STATE_BYTES
            + text_bytes(&self.id)
            + text_bytes(&self.path)
            + self.group.as_deref().map_or(0, text_bytes)
            + self.headers.iter().map(header_bytes).sum::<usize>()
            + scorer_bytes
    }
}

/// The request that scores a finished text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scorer {
    /// Request id under which it runs.
    pub id: Box<str>,
    /// Host that selects its route.
    pub host: Box<str>,
    /// Path with query.
    pub path: Box<str>,
    /// Place of its body.
    pub body: BodyRange,
}

/// Final state of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The engine generated the complete text.
    Completed {
        /// Data of all events, separated by line feeds.
        output: Box<str>,
        /// Weight versions that generated any part of it, ascending.
        versions: Vec<WeightVersion>,
        /// Score that its scorer returned, if it has a scorer.
        score: Option<Box<str>>,
    },
    /// The item was abandoned, for example because it expired or failed too often.
    Dead,
}

/// The result of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Id of the item.
    pub id: Box<str>,
    /// Final state of the item.
    pub outcome: Outcome,
}

impl ItemResult {
    /// Returns the approximate size of the encoded result, in bytes.
    pub fn size_bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 160;
        match &self.outcome {
            Outcome::Completed { output, .. } => output.len() + OVERHEAD_BYTES,
            Outcome::Dead => OVERHEAD_BYTES,
        }
    }
}

/// The text that was generated for an item so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Data of the events so far, separated by line feeds.
    pub text: String,
    /// Number of the last event, if there is one.
    pub last_event: Option<u64>,
    /// Weight versions that generated these events.
    pub versions: BTreeSet<WeightVersion>,
    /// What generated these events, and so may generate the rest.
    pub origin: StreamOrigin,
}

/// Failures of an item that has not finished, which another owner goes on counting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemFailures {
    /// Id of the item.
    pub item: Box<str>,
    /// Number of times that an endpoint failed the item.
    pub failures: u32,
    /// Number of times that an endpoint failed the call of its scorer.
    pub scorer_failures: u32,
}

/// Partial output of an item, from which another owner resumes generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialOutput {
    /// Id of the item.
    pub item: Box<str>,
    /// Text that was generated so far.
    pub progress: Progress,
}
