//! Coordinator of trainers' steps.

mod attempts;
mod fleet;
mod hedge;
mod share;
mod state;

use std::collections::BTreeMap;

use wisteriapoint_types::{ServiceName, TrainerName, WeightVersion};

use self::fleet::Fleet;
use self::share::Shares;
use self::state::{SampleState, Step};
use crate::attempt::{Attempt, ProgressReport};
use crate::error::{Error, Kind};
use crate::length::Lengths;
use crate::{
    AttemptKey, Cursor, FirstTokens, PullResponse, Sample, ScoreTask, StepId, StepSpec, Task,
};

/// Time without a request from its trainer after which a step expires, in milliseconds.
pub const STEP_IDLE_TIMEOUT_MS: u64 = 1_200_000;

const MAX_SAMPLES: u32 = 1 << 16;

/// Dispatches the samples of the steps that one daemon coordinates, and tracks them until
/// they are delivered to their trainers.
#[derive(Debug, Default)]
pub struct Coordinator {
    steps: BTreeMap<StepId, Step>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    last_attempt: u64,
    lengths: Lengths,
    fleets: BTreeMap<ServiceName, Fleet>,
    hedged_at_ms: u64,
    shares: Shares,
    versions: BTreeMap<TrainerName, (WeightVersion, u64)>,
    cancelled: Vec<AttemptKey>,
    to_score: Vec<ScoreTask>,
}

impl Coordinator {
    /// Returns a coordinator without steps.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of requests that a service's engines run concurrently, and the share
    /// of a step's dispatched tokens that hedged copies may use, from 0 to 1.
    pub fn set_service(&mut self, service: ServiceName, requests: usize, hedge_ratio: f64) {
        let fleet = self.fleets.entry(service).or_default();
        fleet.window.set_max(requests);
        fleet.hedge_ratio = hedge_ratio;
    }

    /// Sets the relative weights of trainer idle time and staleness for a service.
    ///
    /// The more staleness outweighs idle time, the fresher the weight versions with which new
    /// samples begin, within the step's staleness bound. The samples wait for these versions
    /// for up to the duration of an update wave.
    pub fn set_objective_weights(
        &mut self,
        service: ServiceName,
        idle_weight: f64,
        staleness_weight: f64,
    ) {
        let fleet = self.fleets.entry(service).or_default();
        fleet.set_objective_weights(idle_weight, staleness_weight);
    }

    /// Adds a step; if it exists with the same content, only applies the cursor.
    ///
    /// # Errors
    ///
    /// Fails if the step is empty or too large, if it exists with different content, or if
    /// the cursor is beyond the step.
    pub fn put(
        &mut self,
        now_ms: u64,
        id: StepId,
        spec: StepSpec,
        cursor: &Cursor,
    ) -> Result<(), Error> {
        match self.steps.get(&id) {
            _ if spec.samples() == 0 => return Err(Kind::Empty.into()),
            _ if spec.samples() > MAX_SAMPLES => return Err(Kind::TooLarge.into()),
            Some(step) if step.spec != spec => return Err(Kind::Conflict.into()),
            Some(_) => {}
            None => {
                let version = self.versions.get(&id.trainer).copied();
                let version = version.unwrap_or_default();
                let step = Step::new(spec, now_ms, version, &self.lengths);
                self.shares.add_trainer(&id.trainer);
                self.steps.insert(id.clone(), step);
            }
        }
        self.apply_cursor(now_ms, &id, cursor)
    }

    /// Dispatches up to `limit` samples, as far as the services' engines have capacity.
    ///
    /// The trainer with the fewest charged tokens is served first. Within a step, samples
    /// that have to be generated again go first, then those with the largest expected
    /// length. Hedged copies of stragglers come last.
    pub fn take_tasks(&mut self, now_ms: u64, limit: usize) -> Vec<Task> {
        let mut tasks = Vec::new();
        while tasks.len() < limit
            && let Some(task) = self.next_task(now_ms)
        {
            tasks.push(task);
        }
        self.add_hedges(now_ms, limit, &mut tasks);
        tasks
    }

    /// Records that an attempt has its first tokens, and cancels it if their weight version is
    /// too old.
    pub fn record_first_tokens(&mut self, now_ms: u64, key: AttemptKey, first_tokens: FirstTokens) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let version = first_tokens.version;
        let fleet = self.fleets.entry(attempt.service.clone()).or_default();
        fleet.record_version(now_ms, &first_tokens.endpoint, version);
        let reserve = fleet.reserve_versions;
        attempt.first_tokens = Some((first_tokens, now_ms));
        let oldest = self
            .steps
            .get(&attempt.id)
            .map(|step| step.oldest_start_version(now_ms, reserve));
        if oldest.is_some_and(|oldest| version < oldest) {
            self.cancel_stale(key);
        }
    }

    /// Records the number of tokens that an attempt has generated so far.
    pub fn record_progress(&mut self, now_ms: u64, key: AttemptKey, tokens: u32) {
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.last_report = Some(ProgressReport {
                at_ms: now_ms,
                tokens,
            });
        }
    }

    /// Records the finished sample of an attempt, or `None` if its generation failed.
    ///
    /// The result of an attempt that is no longer in progress is ignored.
    pub fn finish(&mut self, now_ms: u64, key: AttemptKey, sample: Option<Sample>) {
        let Some(sample) = sample else {
            self.record_failure(now_ms, key);
            return self.detach(key);
        };
        let Some(attempt) = self.remove_attempt(key) else {
            return;
        };
        let Some(step) = self.steps.get_mut(&attempt.id) else {
            return;
        };
        self.lengths
            .record(step.prompt(attempt.index), sample.tokens());
        let fleet = self.fleets.entry(attempt.service).or_default();
        fleet.window.record_success();
        if let Some((first_tokens, at_ms)) = &attempt.first_tokens {
            let elapsed_ms = now_ms.saturating_sub(*at_ms);
            fleet
                .token_times
                .record(&first_tokens.endpoint, elapsed_ms, sample.tokens());
        }
        self.shares.correct(
            &attempt.id.trainer,
            attempt.expected_tokens,
            sample.tokens(),
        );
        let index = attempt.index;
        if sample.oldest_version() < step.oldest_version() {
            let other_copies = step.requeue(index, &self.lengths);
            return self.cancel(other_copies);
        }
        let state = match step.spec.scorer.clone() {
            Some(scorer) => {
                self.to_score.push(ScoreTask {
                    id: attempt.id,
                    attempt: key,
                    scorer,
                    prompt: step.prompt(index).into(),
                    sample: sample.clone(),
                });
                SampleState::Scoring(key, sample)
            }
            None => SampleState::Ready(sample),
        };
        let mut superseded = step.set_state(index, state);
        superseded.retain(|&other| other != key);
        let group = step.spec.key(index).group;
        step.reorder(group, &self.lengths);
        self.cancel(superseded);
    }

    /// Records that an attempt was aborted because its tokens came from a weight version that
    /// is too old.
    pub fn record_stale(&mut self, key: AttemptKey) {
        self.detach(key);
    }

    /// Returns the samples to score that were added since the last call.
    pub fn take_score_tasks(&mut self) -> Vec<ScoreTask> {
        std::mem::take(&mut self.to_score)
    }

    /// Records the score of a sample; with `None`, the sample is delivered without a score.
    pub fn record_score(&mut self, task: &ScoreTask, score: Option<f64>) {
        let Some(step) = self.steps.get_mut(&task.id) else {
            return;
        };
        let index = step.spec.index(task.sample.key);
        match step.state(index) {
            SampleState::Scoring(attempt, sample) if *attempt == task.attempt => {
                let sample = Sample {
                    score,
                    ..sample.clone()
                };
                step.set_state(index, SampleState::Ready(sample));
            }
            _ => {}
        }
    }

    /// Returns up to `limit` samples that are fresh enough for a trainer at `version`.
    ///
    /// Samples that are too old, finished or in progress, are generated again.
    ///
    /// # Errors
    ///
    /// Fails if the step is unknown or the cursor is beyond the step.
    pub fn pull(
        &mut self,
        now_ms: u64,
        id: &StepId,
        cursor: &Cursor,
        version: WeightVersion,
        limit: usize,
    ) -> Result<PullResponse, Error> {
        self.apply_cursor(now_ms, id, cursor)?;
        self.apply_version(now_ms, id, version);
        let step = self.steps.get(id).ok_or(Kind::UnknownStep)?;
        let samples = step.ready_samples(limit);
        let mut next = cursor.clone();
        for sample in &samples {
            next.insert(step.spec.index(sample.key));
        }
        let response = PullResponse {
            from: cursor.clone(),
            version,
            complete: next.len() == step.len(),
            cursor: next,
            samples,
        };
        if step.is_complete() {
            self.remove(id);
        }
        Ok(response)
    }

    /// Removes the steps without a request from their trainers for
    /// [`STEP_IDLE_TIMEOUT_MS`].
    pub fn expire_idle_steps(&mut self, now_ms: u64) {
        let steps = &self.steps;
        self.versions.retain(|trainer, (_, since_ms)| {
            let is_recent = now_ms < *since_ms + STEP_IDLE_TIMEOUT_MS;
            is_recent || steps.keys().any(|id| id.trainer == *trainer)
        });
        for fleet in self.fleets.values_mut() {
            fleet.expire_versions(now_ms);
        }
        let is_idle =
            |step: &Step| now_ms.saturating_sub(step.last_request_ms) >= STEP_IDLE_TIMEOUT_MS;
        let steps = self.steps.iter();
        let idle: Vec<StepId> = steps
            .filter(|(_, step)| is_idle(step))
            .map(|(id, _)| id.clone())
            .collect();
        for id in idle {
            self.remove(&id);
        }
    }

    /// Removes a step and cancels its attempts.
    pub fn remove(&mut self, id: &StepId) {
        if let Some(step) = self.steps.remove(id) {
            self.cancel(step.attempts());
        }
        if !self.steps.keys().any(|step| step.trainer == id.trainer) {
            self.shares.remove_trainer(&id.trainer);
        }
    }

    /// Returns the attempts to cancel that were added since the last call.
    pub fn take_cancelled(&mut self) -> Vec<AttemptKey> {
        std::mem::take(&mut self.cancelled)
    }

    /// Returns the number of attempts in progress.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of steps.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// Returns `true` if there are no steps.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }
}
