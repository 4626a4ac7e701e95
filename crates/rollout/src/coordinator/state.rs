//! State of one step and its samples.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use wisteriapoint_types::WeightVersion;

use crate::error::{Error, Kind};
use crate::length::Lengths;
use crate::{AttemptKey, Cursor, Sample, StepSpec};

/// Time after a change of the trainer's weight version during which new samples must be
/// fresher than the staleness bound requires.
const RESERVE_DURATION_MS: u64 = 33_000;

/// A step and the states of its samples.
#[derive(Debug)]
pub(super) struct Step {
    pub(super) spec: StepSpec,
    pub(super) version: WeightVersion,
    pub(super) version_since_ms: u64,
    pub(super) last_request_ms: u64,
    pub(super) dispatched_tokens: u64,
    pub(super) hedged_tokens: u64,
    pub(super) waiting: BTreeSet<QueuePosition>,
    pub(super) ready: BTreeSet<u32>,
    samples: Vec<SampleState>,
    cursor: Cursor,
}

#[derive(Debug)]
pub(super) enum SampleState {
    Waiting(QueuePosition),
    Running(Vec<AttemptKey>),
    Scoring(AttemptKey, Sample),
    Ready(Sample),
    Received,
}

/// Position in the queue of waiting samples; the smallest is dispatched first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    is_new: bool,
    expected_tokens: Reverse<u32>,
    index_in_group: u32,
    pub(super) index: u32,
}

impl Step {
    pub(super) fn new(
        spec: StepSpec,
        now_ms: u64,
        (version, version_since_ms): (WeightVersion, u64),
        lengths: &Lengths,
    ) -> Self {
        let mut step = Self {
            version,
            version_since_ms,
            last_request_ms: now_ms,
            dispatched_tokens: 0,
            hedged_tokens: 0,
            waiting: BTreeSet::new(),
            ready: BTreeSet::new(),
            samples: Vec::new(),
            cursor: Cursor::new(),
            spec,
        };
        for index in 0..step.spec.samples() {
            let position = step.position(index, true, lengths);
            step.waiting.insert(position);
            step.samples.push(SampleState::Waiting(position));
        }
        step
    }

    /// Returns the oldest weight version that may be delivered now.
    pub(super) fn oldest_version(&self) -> WeightVersion {
        oldest(self.version, self.spec.staleness_versions)
    }

    /// Returns the oldest weight version with which a new sample may begin.
    ///
    /// For [`RESERVE_DURATION_MS`] after a version change, the result is up to
    /// `reserve_versions` fresher than the staleness bound requires, because the trainer may
    /// publish the next version before it pulls, and fresher samples may be worth a wait.
    /// Engines that take longer than an update wave to load the trainer's version are used
    /// without this reserve.
    pub(super) fn oldest_start_version(&self, now_ms: u64, reserve_versions: u64) -> WeightVersion {
        let bound = self.spec.staleness_versions;
        match now_ms.saturating_sub(self.version_since_ms) {
            age_ms if age_ms < RESERVE_DURATION_MS => {
                oldest(self.version, bound.saturating_sub(reserve_versions))
            }
            _ => oldest(self.version, bound),
        }
    }

    pub(super) fn prompt(&self, index: u32) -> &str {
        &self.spec.prompts[self.spec.key(index).group as usize]
    }

    pub(super) fn expected_tokens(&self, index: u32, lengths: &Lengths) -> u32 {
        lengths.expected(self.prompt(index), self.spec.max_tokens)
    }

    pub(super) fn is_complete(&self) -> bool {
        self.cursor.len() == self.samples.len()
    }

    pub(super) fn len(&self) -> usize {
        self.samples.len()
    }

    pub(super) fn state(&self, index: u32) -> &SampleState {
        &self.samples[index as usize]
    }

    /// Replaces the state of a sample and returns the attempts that ran in the old state.
    pub(super) fn set_state(&mut self, index: u32, state: SampleState) -> Vec<AttemptKey> {
        match &state {
            SampleState::Waiting(position) => _ = self.waiting.insert(*position),
            SampleState::Ready(_) => _ = self.ready.insert(index),
            SampleState::Received | SampleState::Running(_) | SampleState::Scoring(..) => {}
        }
        match std::mem::replace(&mut self.samples[index as usize], state) {
            SampleState::Waiting(position) => {
                // An unchanged position was inserted above and has to stay in the queue.
                let is_unchanged =
                    matches!(self.state(index), SampleState::Waiting(new) if *new == position);
                if !is_unchanged {
                    self.waiting.remove(&position);
                }
                Vec::new()
            }
            SampleState::Ready(_) => {
                self.ready.remove(&index);
                Vec::new()
            }
            SampleState::Running(attempts) => attempts,
            SampleState::Scoring(..) | SampleState::Received => Vec::new(),
        }
    }

    /// Adds a running attempt to a sample.
    pub(super) fn add_attempt(&mut self, index: u32, attempt: AttemptKey) {
        let mut attempts = match self.state(index) {
            SampleState::Running(attempts) => attempts.clone(),
            _ => Vec::new(),
        };
        attempts.push(attempt);
        self.set_state(index, SampleState::Running(attempts));
    }

    /// Queues a sample ahead of those that were never requeued; returns its running attempts.
    pub(super) fn requeue(&mut self, index: u32, lengths: &Lengths) -> Vec<AttemptKey> {
        let position = self.position(index, false, lengths);
        self.set_state(index, SampleState::Waiting(position))
    }

    /// Moves the waiting samples of a group to the positions of their new expected length.
    pub(super) fn reorder(&mut self, group: u32, lengths: &Lengths) {
        let first = group * self.spec.samples_per_prompt;
        for index in first..first + self.spec.samples_per_prompt {
            if let SampleState::Waiting(position) = *self.state(index) {
                let position = self.position(index, position.is_new, lengths);
                self.set_state(index, SampleState::Waiting(position));
            }
        }
    }

    /// Replaces the cursor with the trainer's, which is authoritative, and returns the attempts
    /// that are no longer needed.
    ///
    /// Samples that the new cursor no longer contains are queued again.
    pub(super) fn apply_cursor(
        &mut self,
        cursor: &Cursor,
        lengths: &Lengths,
    ) -> Result<Vec<AttemptKey>, Error> {
        let samples = self.samples.len() as u32;
        if let Some(index) = cursor.last().filter(|&index| index >= samples) {
            return Err(Kind::CursorBeyondStep { index, samples }.into());
        }
        let mut obsolete = Vec::new();
        if *cursor == self.cursor {
            return Ok(obsolete);
        }
        self.cursor = cursor.clone();
        for index in 0..samples {
            let is_received = matches!(self.state(index), SampleState::Received);
            match cursor.contains(index) {
                true if !is_received => {
                    obsolete.extend(self.set_state(index, SampleState::Received))
                }
                false if is_received => _ = self.requeue(index, lengths),
                _ => {}
            }
        }
        Ok(obsolete)
    }

    /// Queues finished samples again that are too old for a trainer at `version`.
    pub(super) fn requeue_stale(&mut self, version: WeightVersion, lengths: &Lengths) {
        let oldest = oldest(version, self.spec.staleness_versions);
        for index in 0..self.samples.len() as u32 {
            match self.state(index) {
                SampleState::Ready(sample) | SampleState::Scoring(_, sample)
                    if sample.oldest_version() < oldest =>
                {
                    self.requeue(index, lengths);
                }
                _ => {}
            }
        }
    }

    /// Returns up to `limit` samples that are ready for delivery.
    pub(super) fn ready_samples(&self, limit: usize) -> Vec<Sample> {
        let ready = self
            .ready
            .iter()
            .filter_map(|&index| match self.state(index) {
                SampleState::Ready(sample) => Some(sample.clone()),
                _ => None,
            });
        ready.take(limit).collect()
    }

    /// Returns the attempts of all samples that are being generated or scored.
    pub(super) fn attempts(&self) -> impl Iterator<Item = AttemptKey> + '_ {
        self.samples
            .iter()
            .flat_map(|state| match state {
                SampleState::Running(attempts) => attempts.as_slice(),
                SampleState::Scoring(attempt, _) => std::slice::from_ref(attempt),
                _ => &[],
            })
            .copied()
    }

    fn position(&self, index: u32, is_new: bool, lengths: &Lengths) -> QueuePosition {
        QueuePosition {
            is_new,
            expected_tokens: Reverse(self.expected_tokens(index, lengths)),
            index_in_group: self.spec.key(index).index,
            index,
        }
    }
}

fn oldest(version: WeightVersion, staleness_versions: u64) -> WeightVersion {
    WeightVersion(version.0.saturating_sub(staleness_versions))
}
