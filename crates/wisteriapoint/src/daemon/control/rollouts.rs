//! Control's part in rollouts: the steps that this daemon coordinates, and the samples that
//! it generates for others.

use std::collections::BTreeMap;

use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use wisteriapoint_rollout::{
    AttemptKey, Coordinator, Cursor, FirstTokens, ScoreTask, StepId, StepSpec, Task,
};
use wisteriapoint_settings::ServiceKind;
use wisteriapoint_types::{MemberId, WeightVersion};

use super::Control;
use crate::daemon::message::{Generated, Reply};
use crate::daemon::{rollouts, sample, score};

const TASKS_PER_TICK: usize = 256;
const UPKEEP_EVERY_TICKS: u64 = 50;

/// What control keeps for rollouts.
#[derive(Debug)]
pub(super) struct Rollouts {
    coordinator: Coordinator,
    dispatched: BTreeMap<AttemptKey, AbortHandle>,
    generating: BTreeMap<(MemberId, AttemptKey), AbortHandle>,
    pulls: Vec<WaitingPull>,
}

/// A trainer's pull.
#[derive(Debug)]
pub(super) struct Pull {
    pub(super) id: StepId,
    pub(super) cursor: Cursor,
    pub(super) version: WeightVersion,
    pub(super) limit: usize,
}

#[derive(Debug)]
struct WaitingPull {
    pull: Pull,
    until_ms: u64,
    reply: oneshot::Sender<Reply>,
}

impl Rollouts {
    pub(super) fn new() -> Self {
        Self {
            coordinator: Coordinator::new(),
            dispatched: BTreeMap::new(),
            generating: BTreeMap::new(),
            pulls: Vec::new(),
        }
    }
}

impl Control {
    pub(super) fn answer_put(&mut self, id: StepId, spec: StepSpec, cursor: &Cursor) -> Reply {
        let now_ms = self.shared.clock.now_ms();
        self.take_fleets();
        Reply::Put(self.rollouts.coordinator.put(now_ms, id, spec, cursor))
    }

    pub(super) fn answer_pull(&mut self, pull: Pull, wait_ms: u64, reply: oneshot::Sender<Reply>) {
        let waiting = WaitingPull {
            until_ms: self.shared.clock.now_ms() + wait_ms,
            pull,
            reply,
        };
        self.try_pull(waiting);
    }

    pub(super) fn answer_begun(&mut self, attempt: AttemptKey, begun: FirstTokens) -> Reply {
        let now_ms = self.shared.clock.now_ms();
        self.rollouts
            .coordinator
            .record_first_tokens(now_ms, attempt, begun);
        self.abort_cancelled();
        Reply::Noted
    }

    pub(super) fn answer_progress(&mut self, attempt: AttemptKey, tokens: u32) -> Reply {
        let now_ms = self.shared.clock.now_ms();
        self.rollouts
            .coordinator
            .record_progress(now_ms, attempt, tokens);
        Reply::Noted
    }

    pub(super) fn answer_cancel(&mut self, coordinator: MemberId, attempt: AttemptKey) -> Reply {
        if let Some(task) = self.rollouts.generating.remove(&(coordinator, attempt)) {
            task.abort();
        }
        Reply::Noted
    }

    /// Generates a sample here; a repeated question takes the place of the earlier one.
    pub(super) fn generate(
        &mut self,
        coordinator: MemberId,
        task: Task,
        reply: oneshot::Sender<Reply>,
    ) {
        if self.shared.is_draining() {
            // The asker may have given up; then nobody needs the reply.
            let _ = reply.send(Reply::Stopping);
            return;
        }
        let key = (coordinator, task.attempt);
        let handle = sample::spawn(&self.shared, coordinator, task, reply);
        if let Some(earlier) = self.rollouts.generating.insert(key, handle) {
            earlier.abort();
        }
    }

    pub(super) fn finish_attempt(&mut self, attempt: AttemptKey, generated: Generated) {
        let now_ms = self.shared.clock.now_ms();
        self.rollouts.dispatched.remove(&attempt);
        self.count_attempt(generated.outcome());
        let coordinator = &mut self.rollouts.coordinator;
        match generated {
            Generated::Whole(sample) => coordinator.finish(now_ms, attempt, Some(sample)),
            Generated::TooOld => coordinator.record_stale(attempt),
            Generated::Failed => coordinator.finish(now_ms, attempt, None),
        }
        for task in coordinator.take_score_tasks() {
            score::spawn(&self.shared, task);
        }
        self.start_samples();
    }

    pub(super) fn take_score(&mut self, task: &ScoreTask, score: Option<f64>) {
        self.rollouts.coordinator.record_score(task, score);
    }

    pub(super) fn tick_rollouts(&mut self) {
        if self.ticks.is_multiple_of(UPKEEP_EVERY_TICKS) {
            let now_ms = self.shared.clock.now_ms();
            self.take_fleets();
            self.rollouts.coordinator.expire_idle_steps(now_ms);
            let generating = &mut self.rollouts.generating;
            generating.retain(|_, task| !task.is_finished());
        }
        for waiting in std::mem::take(&mut self.rollouts.pulls) {
            self.try_pull(waiting);
        }
        self.start_samples();
    }

    /// Answers a pull, or keeps it until there is something to hand over.
    fn try_pull(&mut self, waiting: WaitingPull) {
        if waiting.reply.is_closed() {
            return;
        }
        let now_ms = self.shared.clock.now_ms();
        let Pull {
            id,
            cursor,
            version,
            limit,
        } = &waiting.pull;
        let coordinator = &mut self.rollouts.coordinator;
        let pulled = coordinator.pull(now_ms, id, cursor, *version, *limit);
        self.abort_cancelled();
        match &pulled {
            Ok(pulled) if pulled.samples.is_empty() && !pulled.complete => {}
            _ => return reply_pulled(waiting, pulled),
        }
        match waiting.until_ms {
            until_ms if now_ms >= until_ms => reply_pulled(waiting, pulled),
            _ => self.rollouts.pulls.push(waiting),
        }
    }

    fn start_samples(&mut self) {
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
            if let Some(task) = self.rollouts.dispatched.remove(&attempt) {
                task.abort();
                self.count_attempt("cancelled");
            }
        }
    }

    fn count_attempt(&self, outcome: &str) {
        let attempts = &self.shared.metrics.sample_attempts;
        attempts.with_label_values(&[outcome]).inc();
    }

    /// Tells the coordinator of the engines of each service.
    fn take_fleets(&mut self) {
        for (name, service) in &self.snapshot.services {
            let document = &service.document;
            if document.kind != ServiceKind::Model {
                continue;
            }
            let endpoints = document.endpoints.iter();
            let in_service =
                endpoints.filter(|endpoint| !self.snapshot.leaving.contains(&endpoint.vm));
            let requests = in_service.map(|endpoint| endpoint.max_concurrency as usize);
            let rules = &document.rollouts;
            let coordinator = &mut self.rollouts.coordinator;
            coordinator.set_service(name.clone(), requests.sum(), rules.hedge_ratio);
            coordinator.set_objective_weights(
                name.clone(),
                rules.idle_weight,
                rules.staleness_weight,
            );
        }
    }
}

fn reply_pulled(
    waiting: WaitingPull,
    pulled: Result<wisteriapoint_rollout::PullResponse, wisteriapoint_rollout::Error>,
) {
    // The asker may have given up; then its trainer pulls again with the same cursor.
    let _ = waiting.reply.send(Reply::Pulled(pulled));
}

impl Drop for Rollouts {
    fn drop(&mut self) {
        let generating = self.generating.values();
        for task in self.dispatched.values().chain(generating) {
            task.abort();
        }
    }
}
