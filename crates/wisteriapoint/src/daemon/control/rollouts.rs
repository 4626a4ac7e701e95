//! Rollouts: the steps that this daemon coordinates and the samples that it generates for other
//! coordinators.

use std::collections::BTreeMap;

use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use wisteriapoint_rollout::{
    AttemptKey, Coordinator, Cursor, FirstTokens, ScoreTask, StepId, StepSpec, Task,
};
use wisteriapoint_settings::ServiceKind;
use wisteriapoint_types::{MemberId, WeightVersion};

use super::Control;
use crate::daemon::message::{Generated, PeerResponse};
use crate::daemon::{rollouts, sample, score};

const TASKS_PER_TICK: usize = 256;
const MAINTENANCE_EVERY_TICKS: u64 = 50;

/// State of rollouts.
#[derive(Debug)]
pub(super) struct Rollouts {
    coordinator: Coordinator,
    dispatched: BTreeMap<AttemptKey, AbortHandle>,
    generating: BTreeMap<(MemberId, AttemptKey), AbortHandle>,
    pending_pulls: Vec<PendingPull>,
}

/// A trainer's request for finished samples.
#[derive(Debug)]
pub(super) struct Pull {
    pub(super) id: StepId,
    pub(super) cursor: Cursor,
    pub(super) version: WeightVersion,
    pub(super) limit: usize,
}

#[derive(Debug)]
struct PendingPull {
    pull: Pull,
    until_ms: u64,
    reply: oneshot::Sender<PeerResponse>,
}

impl Rollouts {
    pub(super) fn new() -> Self {
        Self {
            coordinator: Coordinator::new(),
            dispatched: BTreeMap::new(),
            generating: BTreeMap::new(),
            pending_pulls: Vec::new(),
        }
    }
}

impl Control {
    pub(super) fn answer_put(
        &mut self,
        id: StepId,
        spec: StepSpec,
        cursor: &Cursor,
    ) -> PeerResponse {
        let now_ms = self.shared.clock.now_ms();
        self.update_services();
        PeerResponse::Put(self.rollouts.coordinator.put(now_ms, id, spec, cursor))
    }

    pub(super) fn answer_pull(
        &mut self,
        pull: Pull,
        wait_ms: u64,
        reply: oneshot::Sender<PeerResponse>,
    ) {
        let pending = PendingPull {
            until_ms: self.shared.clock.now_ms() + wait_ms,
            pull,
            reply,
        };
        self.try_pull(pending);
    }

    pub(super) fn answer_first_tokens(
        &mut self,
        attempt: AttemptKey,
        first_tokens: FirstTokens,
    ) -> PeerResponse {
        let now_ms = self.shared.clock.now_ms();
        self.rollouts
            .coordinator
            .record_first_tokens(now_ms, attempt, first_tokens);
        self.abort_cancelled();
        PeerResponse::Acknowledged
    }

    pub(super) fn answer_progress(&mut self, attempt: AttemptKey, tokens: u32) -> PeerResponse {
        let now_ms = self.shared.clock.now_ms();
        self.rollouts
            .coordinator
            .record_progress(now_ms, attempt, tokens);
        PeerResponse::Acknowledged
    }

    pub(super) fn answer_cancel(
        &mut self,
        coordinator: MemberId,
        attempt: AttemptKey,
    ) -> PeerResponse {
        if let Some(handle) = self.rollouts.generating.remove(&(coordinator, attempt)) {
            handle.abort();
        }
        PeerResponse::Acknowledged
    }

    /// Starts to generate a sample on this daemon; a repeated request replaces the previous one.
    pub(super) fn start_generation(
        &mut self,
        coordinator: MemberId,
        task: Task,
        reply: oneshot::Sender<PeerResponse>,
    ) {
        if self.shared.is_draining() {
            // The send fails if the requester has timed out and no longer needs the response.
            let _ = reply.send(PeerResponse::Stopping);
            return;
        }
        let key = (coordinator, task.attempt);
        let handle = sample::spawn(&self.shared, coordinator, task, reply);
        if let Some(previous) = self.rollouts.generating.insert(key, handle) {
            previous.abort();
        }
    }

    pub(super) fn finish_attempt(&mut self, attempt: AttemptKey, generated: Generated) {
        let now_ms = self.shared.clock.now_ms();
        self.rollouts.dispatched.remove(&attempt);
        self.count_attempt(generated.outcome());
        let coordinator = &mut self.rollouts.coordinator;
        match generated {
            Generated::Complete(sample) => coordinator.finish(now_ms, attempt, Some(sample)),
            Generated::TooOld => coordinator.record_stale(attempt),
            Generated::Failed => coordinator.finish(now_ms, attempt, None),
        }
        for task in coordinator.take_score_tasks() {
            score::spawn(&self.shared, task);
        }
        self.dispatch_samples();
    }

    pub(super) fn record_score(&mut self, task: &ScoreTask, score: Option<f64>) {
        self.rollouts.coordinator.record_score(task, score);
    }

    pub(super) fn tick_rollouts(&mut self) {
        if self.ticks.is_multiple_of(MAINTENANCE_EVERY_TICKS) {
            let now_ms = self.shared.clock.now_ms();
            self.update_services();
            self.rollouts.coordinator.expire_idle_steps(now_ms);
            let generating = &mut self.rollouts.generating;
            generating.retain(|_, handle| !handle.is_finished());
        }
        for pending in std::mem::take(&mut self.rollouts.pending_pulls) {
            self.try_pull(pending);
        }
        self.dispatch_samples();
    }

    /// Answers a pull if there are samples or its wait has ended; otherwise keeps it pending.
    fn try_pull(&mut self, pending: PendingPull) {
        if pending.reply.is_closed() {
            return;
        }
        let now_ms = self.shared.clock.now_ms();
        let Pull {
            id,
            cursor,
            version,
            limit,
        } = &pending.pull;
        let coordinator = &mut self.rollouts.coordinator;
        let pulled = coordinator.pull(now_ms, id, cursor, *version, *limit);
        self.abort_cancelled();
        match &pulled {
            Ok(pulled) if pulled.samples.is_empty() && !pulled.complete => {}
            _ => return send_pulled(pending, pulled),
        }
        match pending.until_ms {
            until_ms if now_ms >= until_ms => send_pulled(pending, pulled),
            _ => self.rollouts.pending_pulls.push(pending),
        }
    }

    fn dispatch_samples(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        let tasks = self.rollouts.coordinator.take_tasks(now_ms, TASKS_PER_TICK);
        for task in tasks {
            let attempt = task.attempt;
            let handle = rollouts::spawn_task(&self.shared, task);
            self.rollouts.dispatched.insert(attempt, handle);
        }
        self.abort_cancelled();
    }

    fn abort_cancelled(&mut self) {
        for attempt in self.rollouts.coordinator.take_cancelled() {
            if let Some(handle) = self.rollouts.dispatched.remove(&attempt) {
                handle.abort();
                self.count_attempt("cancelled");
            }
        }
    }

    fn count_attempt(&self, outcome: &str) {
        let attempts = &self.shared.metrics.sample_attempts;
        attempts.with_label_values(&[outcome]).inc();
    }

    /// Passes the capacity and rollout settings of each model service to the coordinator.
    fn update_services(&mut self) {
        for (name, service) in &self.snapshot.services {
            let document = &service.document;
            if document.kind != ServiceKind::Model {
                continue;
            }
            let endpoints = document.endpoints.iter();
            let available =
                endpoints.filter(|endpoint| !self.snapshot.leaving.contains(&endpoint.vm));
            let capacities = available.map(|endpoint| endpoint.max_concurrency as usize);
            let settings = &document.rollouts;
            let coordinator = &mut self.rollouts.coordinator;
            coordinator.set_service(name.clone(), capacities.sum(), settings.hedge_ratio);
            coordinator.set_objective_weights(
                name.clone(),
                settings.idle_weight,
                settings.staleness_weight,
            );
        }
    }
}

fn send_pulled(
    pending: PendingPull,
    pulled: Result<wisteriapoint_rollout::PullResponse, wisteriapoint_rollout::Error>,
) {
    // The send fails if the requester has timed out; the trainer then pulls again with the same
    // cursor.
    let _ = pending.reply.send(PeerResponse::Pulled(pulled));
}

impl Drop for Rollouts {
    fn drop(&mut self) {
        let generating = self.generating.values();
        for handle in self.dispatched.values().chain(generating) {
            handle.abort();
        }
    }
}
