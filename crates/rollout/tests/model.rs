//! Model test of two coordinators and a trainer with lost and duplicate responses, restarts
//! and new weight versions.
//!
//! `PROPTEST_CASES` and `PROPTEST_RNG_SEED` set the number of cases and the seed.

mod common;

use std::collections::BTreeSet;

use common::{first_tokens, id, sample};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use wisteriapoint_rollout::{
    Coordinator, Cursor, PullResponse, SampleKey, ScoreTask, StepSpec, Task, TrainerProgress,
};
use wisteriapoint_types::{ServiceName, WeightVersion};

const SEED: u64 = 0x5eed;
const CASES: u32 = 256;
const STALENESS_VERSIONS: u64 = 1;
const MAX_ROUNDS: usize = 100;

fn spec() -> StepSpec {
    let mut spec = common::spec(4, STALENESS_VERSIONS);
    spec.scorer = Some(ServiceName::new("judge"));
    spec
}

#[derive(Debug, Clone)]
enum Transition {
    Dispatch(usize),
    Begin(usize),
    Finish { pick: usize, succeeds: bool },
    Score { pick: usize, succeeds: bool },
    UpdateEngine,
    Pull { on_first: bool, limit: usize },
    Deliver { pick: usize, keep: bool },
    DropResponse(usize),
    Publish,
    Checkpoint,
    RestartTrainer,
    RestartCoordinator { first: bool },
    AdvanceClock(u64),
}

/// The faults need no reference state, since any of them may occur at any time.
struct Faults;

impl ReferenceStateMachine for Faults {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Transition> {
        let pick = || 0..16_usize;
        prop_oneof![
            6 => (1..8_usize).prop_map(Transition::Dispatch),
            6 => pick().prop_map(Transition::Begin),
            8 => (pick(), prop::bool::weighted(0.8))
                .prop_map(|(pick, succeeds)| Transition::Finish { pick, succeeds }),
            6 => (pick(), prop::bool::weighted(0.8))
                .prop_map(|(pick, succeeds)| Transition::Score { pick, succeeds }),
            2 => Just(Transition::UpdateEngine),
            8 => (prop::bool::weighted(0.8), 1..6_usize)
                .prop_map(|(on_first, limit)| Transition::Pull { on_first, limit }),
            8 => (pick(), any::<bool>())
                .prop_map(|(pick, keep)| Transition::Deliver { pick, keep }),
            1 => pick().prop_map(Transition::DropResponse),
            2 => Just(Transition::Publish),
            1 => Just(Transition::Checkpoint),
            1 => Just(Transition::RestartTrainer),
            1 => any::<bool>().prop_map(|first| Transition::RestartCoordinator { first }),
            2 => (1..100_000_u64).prop_map(Transition::AdvanceClock),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Transition) {
        state
    }
}

/// Two coordinators that may both coordinate the same step, and one trainer.
struct Fleet {
    now_ms: u64,
    coordinators: [Coordinator; 2],
    running: Vec<(usize, Task, WeightVersion)>,
    scoring: Vec<(usize, ScoreTask)>,
    engine_version: WeightVersion,
    published_version: WeightVersion,
    trainer: Trainer,
    checkpoint: Trainer,
    responses: Vec<PullResponse>,
}

#[derive(Clone)]
struct Trainer {
    progress: TrainerProgress,
    accepted: Vec<SampleKey>,
}

impl Fleet {
    fn pull(&mut self, number: usize, limit: usize) {
        let TrainerProgress { cursor, version } = self.trainer.progress.clone();
        let coordinator = &mut self.coordinators[number];
        match coordinator.pull(self.now_ms, &id("t"), &cursor, version, limit) {
            Ok(response) => self.responses.push(response),
            Err(error) => {
                assert!(error.is_unknown_step());
                let put = coordinator.put(self.now_ms, id("t"), spec(), &cursor);
                put.expect("a valid step");
            }
        }
    }

    fn deliver(&mut self, response: PullResponse) {
        let Some(samples) = self.trainer.progress.accept(response) else {
            return;
        };
        let version = self.trainer.progress.version;
        for sample in samples {
            let age = version.0.saturating_sub(sample.oldest_version().0);
            assert!(age <= STALENESS_VERSIONS, "a sample is {age} versions old");
            self.trainer.accepted.push(sample.key);
        }
    }

    fn dispatch(&mut self, limit: usize) {
        for (number, coordinator) in self.coordinators.iter_mut().enumerate() {
            let tasks = coordinator.take_tasks(self.now_ms, limit);
            let tasks = tasks
                .into_iter()
                .map(|task| (number, task, self.engine_version));
            self.running.extend(tasks);
        }
    }

    fn begin(&mut self, pick: usize) {
        if let Some((number, task, version)) = self.running.get(pick) {
            let first_tokens = first_tokens("engine-1", version.0);
            self.coordinators[*number].record_first_tokens(self.now_ms, task.attempt, first_tokens);
        }
    }

    fn finish(&mut self, pick: usize, succeeds: bool) {
        if pick >= self.running.len() {
            return;
        }
        let (number, task, start_version) = self.running.swap_remove(pick);
        let spans = [(start_version.0, 3), (self.engine_version.0, 2)];
        let sample = succeeds.then(|| sample(task.key, &spans));
        let coordinator = &mut self.coordinators[number];
        coordinator.finish(self.now_ms, task.attempt, sample);
        let tasks = coordinator.take_score_tasks().into_iter();
        self.scoring.extend(tasks.map(|task| (number, task)));
    }

    fn score(&mut self, pick: usize, score: Option<f64>) {
        if pick < self.scoring.len() {
            let (number, task) = self.scoring.swap_remove(pick);
            self.coordinators[number].record_score(&task, score);
        }
    }

    fn restart(&mut self, number: usize) {
        self.coordinators[number] = Coordinator::new();
        self.running.retain(|(other, ..)| *other != number);
        self.scoring.retain(|(other, _)| *other != number);
    }

    /// Runs one round without faults.
    fn run_round(&mut self) {
        self.engine_version = self.published_version;
        self.pull(0, 256);
        if let Some(response) = self.responses.pop() {
            self.deliver(response);
        }
        self.dispatch(256);
        while !self.running.is_empty() {
            self.finish(0, true);
        }
        while !self.scoring.is_empty() {
            self.score(0, Some(1.0));
        }
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Self;
    type Reference = Faults;

    fn init_test(_: &()) -> Self {
        let trainer = Trainer {
            progress: TrainerProgress::new(WeightVersion(1)),
            accepted: Vec::new(),
        };
        let mut coordinators = [Coordinator::new(), Coordinator::new()];
        for coordinator in &mut coordinators {
            coordinator.set_service(spec().service, 12, 0.5);
        }
        Self {
            now_ms: 0,
            coordinators,
            running: Vec::new(),
            scoring: Vec::new(),
            engine_version: WeightVersion(1),
            published_version: WeightVersion(1),
            checkpoint: trainer.clone(),
            trainer,
            responses: Vec::new(),
        }
    }

    fn apply(mut fleet: Self, _: &(), transition: Transition) -> Self {
        match transition {
            Transition::Dispatch(limit) => fleet.dispatch(limit),
            Transition::Begin(pick) => fleet.begin(pick),
            Transition::Finish { pick, succeeds } => fleet.finish(pick, succeeds),
            Transition::Score { pick, succeeds } => {
                fleet.score(pick, succeeds.then_some(1.0));
            }
            Transition::UpdateEngine => fleet.engine_version = fleet.published_version,
            Transition::Pull { on_first, limit } => fleet.pull(usize::from(!on_first), limit),
            Transition::Deliver { pick, keep } if pick < fleet.responses.len() => {
                let response = match keep {
                    true => fleet.responses[pick].clone(),
                    false => fleet.responses.swap_remove(pick),
                };
                fleet.deliver(response);
            }
            Transition::DropResponse(pick) if pick < fleet.responses.len() => {
                fleet.responses.swap_remove(pick);
            }
            Transition::Deliver { .. } | Transition::DropResponse(_) => {}
            Transition::Publish => {
                fleet.published_version.0 += 1;
                fleet.trainer.progress.version = fleet.published_version;
            }
            Transition::Checkpoint => fleet.checkpoint = fleet.trainer.clone(),
            Transition::RestartTrainer => {
                fleet.trainer = fleet.checkpoint.clone();
                fleet.responses.clear();
            }
            Transition::RestartCoordinator { first } => fleet.restart(usize::from(!first)),
            Transition::AdvanceClock(wait_ms) => {
                fleet.now_ms += wait_ms;
                for coordinator in &mut fleet.coordinators {
                    coordinator.expire_idle_steps(fleet.now_ms);
                }
            }
        }
        fleet
    }

    fn check_invariants(fleet: &Self, _: &()) {
        let keys: BTreeSet<_> = fleet.trainer.accepted.iter().collect();
        assert_eq!(
            keys.len(),
            fleet.trainer.accepted.len(),
            "a sample was accepted twice"
        );
        let cursor = &fleet.trainer.progress.cursor;
        assert_eq!(cursor.len(), keys.len());
        assert!(keys.iter().all(|&&key| cursor.contains(spec().index(key))));
        for coordinator in &fleet.coordinators {
            assert!(coordinator.in_flight() <= 2 * spec().samples() as usize);
        }
    }

    fn teardown(mut fleet: Self, _: ()) {
        fleet.responses.clear();
        fleet.trainer.progress.version =
            fleet.trainer.progress.version.max(fleet.published_version);
        let samples = spec().samples() as usize;
        for _ in 0..MAX_ROUNDS {
            if fleet.trainer.accepted.len() == samples {
                break;
            }
            fleet.run_round();
        }
        assert_eq!(
            fleet.trainer.accepted.len(),
            samples,
            "the step does not complete"
        );
        Self::check_invariants(&fleet, &());
        let cursor: Cursor = fleet.trainer.progress.cursor;
        assert_eq!(cursor.to_string(), format!("0-{}", samples - 1));
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        .. Config::default()
    })]

    #[test]
    fn each_sample_is_accepted_once_and_the_step_completes(sequential 1..120 => Fleet);
}
