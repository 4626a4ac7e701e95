//! Start and end of attempts.

use wisteriapoint_types::{EndpointName, ServiceName, WeightVersion};

use super::Coordinator;
use super::fleet::Fleet;
use super::state::{SampleState, Step};
use crate::attempt::Attempt;
use crate::error::{Error, Kind};
use crate::{AttemptKey, Cursor, StepId, Task};

impl Coordinator {
    pub(super) fn next_task(&mut self, now_ms: u64) -> Option<Task> {
        let is_next =
            |step: &Step| !step.waiting.is_empty() && self.has_capacity(&step.spec.service);
        let waiting = self.steps.iter().filter(|(_, step)| is_next(step));
        let next = waiting.min_by_key(|(id, _)| (self.shares.tokens(&id.trainer), id.step));
        let id = next?.0.clone();
        let index = self.steps.get(&id)?.waiting.first()?.index;
        let step = self.steps.get(&id)?;
        let service = step.spec.service.clone();
        let fleet = self.fleets.entry(service).or_default();
        let oldest = step.oldest_start_version(now_ms, fleet.reserve_versions);
        let avoid = fleet.engines_older_than(now_ms, oldest);
        Some(self.dispatch(now_ms, &id, index, avoid))
    }

    /// Starts an attempt for a sample that is waiting or running.
    pub(super) fn dispatch(
        &mut self,
        now_ms: u64,
        id: &StepId,
        index: u32,
        avoid: Vec<EndpointName>,
    ) -> Task {
        self.last_attempt += 1;
        let attempt = AttemptKey(self.last_attempt);
        let step = self.steps.get_mut(id).expect("step of the sample exists");
        let expected_tokens = step.expected_tokens(index, &self.lengths);
        step.add_attempt(index, attempt);
        step.dispatched_tokens += u64::from(expected_tokens);
        self.shares.charge(&id.trainer, expected_tokens);
        let fleet = self.fleets.entry(step.spec.service.clone()).or_default();
        fleet.in_flight += 1;
        let reserve = fleet.reserve_versions;
        self.attempts.insert(
            attempt,
            Attempt {
                id: id.clone(),
                index,
                service: step.spec.service.clone(),
                dispatched_ms: now_ms,
                first_tokens: None,
                last_report: None,
                expected_tokens,
            },
        );
        Task {
            id: id.clone(),
            key: step.spec.key(index),
            attempt,
            service: step.spec.service.clone(),
            prompt: step.prompt(index).into(),
            max_tokens: step.spec.max_tokens,
            expected_tokens,
            oldest_version: step.oldest_start_version(now_ms, reserve),
            avoid,
        }
    }

    pub(super) fn apply_cursor(
        &mut self,
        now_ms: u64,
        id: &StepId,
        cursor: &Cursor,
    ) -> Result<(), Error> {
        let step = self.steps.get_mut(id).ok_or(Kind::UnknownStep)?;
        step.last_request_ms = now_ms;
        let obsolete = step.apply_cursor(cursor, &self.lengths)?;
        self.cancel(obsolete);
        Ok(())
    }

    /// Records the trainer's weight version, queues finished samples again that are too old
    /// for it, and cancels attempts that are.
    pub(super) fn apply_version(&mut self, now_ms: u64, id: &StepId, version: WeightVersion) {
        let Some(step) = self.steps.get_mut(id) else {
            return;
        };
        if step.version == version {
            return;
        }
        step.version = version;
        step.version_since_ms = now_ms;
        let observed = (version, now_ms);
        let latest = self.versions.entry(id.trainer.clone()).or_insert(observed);
        match *latest {
            (latest, since_ms) if latest == version => step.version_since_ms = since_ms,
            _ => *latest = observed,
        }
        step.requeue_stale(version, &self.lengths);
        let oldest = step.oldest_version();
        let attempts = self.attempts.iter();
        let stale: Vec<AttemptKey> = attempts
            .filter(|(_, attempt)| attempt.id == *id && attempt.is_older_than(oldest))
            .map(|(&key, _)| key)
            .collect();
        for key in stale {
            self.cancel_stale(key);
        }
    }

    /// Cancels an attempt whose tokens are too old to be delivered.
    pub(super) fn cancel_stale(&mut self, key: AttemptKey) {
        self.detach(key);
        self.cancelled.push(key);
    }

    /// Removes an attempt; its sample is queued again if no other attempt is running.
    pub(super) fn detach(&mut self, key: AttemptKey) {
        let Some(attempt) = self.remove_attempt(key) else {
            return;
        };
        self.shares
            .correct(&attempt.id.trainer, attempt.expected_tokens, 0);
        let Some(step) = self.steps.get_mut(&attempt.id) else {
            return;
        };
        let SampleState::Running(attempts) = step.state(attempt.index) else {
            return;
        };
        let remaining: Vec<AttemptKey> = attempts
            .iter()
            .copied()
            .filter(|&other| other != key)
            .collect();
        match remaining {
            remaining if remaining.is_empty() => _ = step.requeue(attempt.index, &self.lengths),
            remaining => _ = step.set_state(attempt.index, SampleState::Running(remaining)),
        }
    }

    pub(super) fn has_capacity(&self, service: &ServiceName) -> bool {
        self.fleets.get(service).is_none_or(Fleet::has_capacity)
    }

    pub(super) fn record_failure(&mut self, now_ms: u64, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get(&key)
            && let Some(fleet) = self.fleets.get_mut(&attempt.service)
        {
            fleet.window.record_failure(now_ms);
        }
    }

    pub(super) fn remove_attempt(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(&key)?;
        if let Some(fleet) = self.fleets.get_mut(&attempt.service) {
            fleet.in_flight = fleet.in_flight.saturating_sub(1);
        }
        Some(attempt)
    }

    pub(super) fn cancel(&mut self, attempts: impl IntoIterator<Item = AttemptKey>) {
        for key in attempts {
            if let Some(attempt) = self.remove_attempt(key) {
                let trainer = &attempt.id.trainer;
                self.shares.correct(trainer, attempt.expected_tokens, 0);
            }
            self.cancelled.push(key);
        }
    }
}

impl Attempt {
    fn is_older_than(&self, oldest: WeightVersion) -> bool {
        let first_tokens = self.first_tokens.as_ref();
        first_tokens.is_some_and(|(first_tokens, _)| first_tokens.version < oldest)
    }
}
