//! Simulation of one trainer and one service of engines in fixed time steps.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use wisteriapoint_rollout::{
    AttemptKey, Coordinator, Cursor, FIRST_REPORT_MS, FirstTokens, PullResponse, Sample, StepId,
    StepSpec, Task, TrainerProgress,
};
use wisteriapoint_types::{EndpointName, ServiceName, TrainerName, ViewNumber, WeightVersion};
use wisteriapoint_weights::{Controller, Wave};

use super::engine::{Engine, Request};
use super::fifo::Fifo;
use super::figures::Figures;
use super::scenario::{Scenario, Variant};
use crate::report::Run;

const TICK_MS: u64 = 250;
const HEDGE_RATIO: f64 = 0.1;
const LOADING_SHARE: f64 = 0.34;
const WAVE_S: u64 = 33;
const PREVIOUS_MAX_IN_FLIGHT: usize = 64;
const PULL_LIMIT: usize = 1 << 16;

enum Scheduler {
    Fifo(Fifo),
    Coordinator(Box<Coordinator>),
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    variant: Variant,
    random: Random,
    now_ms: u64,
    engines: Vec<Engine>,
    next_engine: usize,
    scheduler: Scheduler,
    undispatched: Vec<Task>,
    prompt_lengths: BTreeMap<Box<str>, f64>,
    controllers: Vec<Controller>,
    wave: Wave,
    newest_version: WeightVersion,
    published_ms: u64,
    figures: Figures,
}

/// Separate random number generators, so that all variants have the same speeds, lengths and
/// slowdowns.
struct Random {
    lengths: SmallRng,
    slowdowns: SmallRng,
    choices: SmallRng,
}

/// Runs one variant of a scenario with one seed.
pub fn run_variant(scenario: &Scenario, variant: Variant, seed: u64) -> Run {
    let mut simulation = Simulation::new(scenario, variant, seed);
    let mut version = WeightVersion(1);
    let mut next = simulation.put(1);
    for step in 1..=scenario.steps {
        let (id, spec) = next;
        let mut progress = TrainerProgress::new(version);
        simulation.pull_step(&id, &spec, &mut progress);
        next = simulation.put(step + 1);
        simulation.advance(scenario.train_ms);
        version.0 += 1;
        simulation.publish(version);
    }
    simulation.into_run(seed)
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, variant: Variant, seed: u64) -> Self {
        let mut random = Random {
            lengths: SmallRng::seed_from_u64(seed),
            slowdowns: SmallRng::seed_from_u64(seed + 1_000),
            choices: SmallRng::seed_from_u64(seed + 2_000),
        };
        let engines: Vec<Engine> = (0..scenario.engines)
            .map(|number| Engine {
                name: EndpointName::new(format!("engine-{number}")),
                tokens_per_s: random.lengths.random_range(25.0..100.0),
                slots: 8,
                version: WeightVersion(1),
                loading_until_ms: None,
                slow_until_ms: 0,
                running: Vec::new(),
            })
            .collect();
        let slots: usize = engines.iter().map(|engine| engine.slots).sum();
        let scheduler = match variant {
            Variant::Baseline => Scheduler::Fifo(Fifo::new(slots)),
            Variant::Previous => Scheduler::Fifo(Fifo::new(PREVIOUS_MAX_IN_FLIGHT)),
            Variant::CurrentSkipLoading | Variant::Current | Variant::CurrentLowStaleness => {
                let mut coordinator = Coordinator::new();
                coordinator.set_service(service(), slots, HEDGE_RATIO);
                if variant == Variant::CurrentLowStaleness {
                    coordinator.set_objective_weights(service(), 1.0, 3.0);
                }
                Scheduler::Coordinator(Box::new(coordinator))
            }
        };
        let names = engines.iter().map(|engine| &engine.name);
        let wave = Wave::new(names, LOADING_SHARE, WAVE_S);
        let controllers = engines.iter().map(|engine| {
            let mut controller = Controller::new();
            controller.set_view(ViewNumber(1));
            controller.add_engine(0, engine.name.clone(), true);
            controller
        });
        Self {
            scenario,
            variant,
            now_ms: 0,
            next_engine: 0,
            scheduler,
            undispatched: Vec::new(),
            prompt_lengths: BTreeMap::new(),
            controllers: controllers.collect(),
            wave,
            newest_version: WeightVersion(1),
            published_ms: 0,
            figures: Figures::default(),
            engines,
            random,
        }
    }

    fn put(&mut self, step: u64) -> (StepId, StepSpec) {
        let id = StepId {
            trainer: TrainerName::new("trainer"),
            step,
        };
        let prompts = (0..self.scenario.prompts).map(|n| format!("{step}/{n}").into());
        let spec = StepSpec {
            service: service(),
            prompts: prompts.collect(),
            samples_per_prompt: 8,
            max_tokens: 4_096,
            staleness_versions: self.scenario.staleness_versions,
            scorer: None,
        };
        for prompt in &spec.prompts {
            let length = match self
                .random
                .lengths
                .random_bool(self.scenario.long_prompt_share)
            {
                true => 3_600.0,
                false => 300.0 + 600.0 * self.random.lengths.random::<f64>().powi(2),
            };
            self.prompt_lengths.insert(prompt.clone(), length);
        }
        match &mut self.scheduler {
            Scheduler::Fifo(fifo) => fifo.put(&id, &spec),
            Scheduler::Coordinator(coordinator) => {
                let put = coordinator.put(self.now_ms, id.clone(), spec.clone(), &Cursor::new());
                assert!(put.is_ok(), "the coordinator rejects the step");
            }
        }
        (id, spec)
    }

    /// Pulls until the step is complete, and counts the wait as idle time of the trainer.
    fn pull_step(&mut self, id: &StepId, spec: &StepSpec, progress: &mut TrainerProgress) {
        let started_ms = self.now_ms;
        while progress.cursor.len() < spec.samples() as usize {
            self.tick();
            let pulled = self.pull(id, progress);
            for sample in progress.accept(pulled).into_iter().flatten() {
                let age = progress.version.0.saturating_sub(sample.oldest_version().0);
                self.figures.ages.push(age);
                self.figures.delivered_tokens += f64::from(sample.tokens());
            }
        }
        self.pull(id, progress);
        self.figures.idle_ms += self.now_ms - started_ms;
    }

    fn pull(&mut self, id: &StepId, progress: &TrainerProgress) -> PullResponse {
        let TrainerProgress { cursor, version } = progress;
        match &mut self.scheduler {
            Scheduler::Fifo(fifo) => fifo.pull(id, cursor, *version),
            Scheduler::Coordinator(coordinator) => {
                let pulled = coordinator.pull(self.now_ms, id, cursor, *version, PULL_LIMIT);
                pulled.expect("the step is registered")
            }
        }
    }

    fn advance(&mut self, time_ms: u64) {
        let until_ms = self.now_ms + time_ms;
        while self.now_ms < until_ms {
            self.tick();
        }
    }

    fn publish(&mut self, version: WeightVersion) {
        self.newest_version = version;
        self.published_ms = self.now_ms;
        for controller in &mut self.controllers {
            controller.set_target(self.now_ms, version);
        }
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        self.start_slowdowns();
        for engine in &mut self.engines {
            engine.advance(self.now_ms, TICK_MS);
        }
        self.report_progress();
        self.finish_requests();
        self.load_versions();
        self.dispatch();
        self.cancel_tasks();
    }

    fn start_slowdowns(&mut self) {
        let Scenario {
            slowdown_interval_ms,
            slowdown_ms,
            ..
        } = *self.scenario;
        let slowdowns = &mut self.random.slowdowns;
        let (chance, pick) = (slowdowns.random::<f64>(), slowdowns.random::<u32>());
        if slowdown_interval_ms > 0 && chance < TICK_MS as f64 / slowdown_interval_ms as f64 {
            let number = pick as usize % self.engines.len();
            self.engines[number].slow_until_ms = self.now_ms + slowdown_ms;
        }
    }

    fn report_progress(&mut self) {
        let Scheduler::Coordinator(coordinator) = &mut self.scheduler else {
            return;
        };
        let mut too_old = Vec::new();
        for engine in &mut self.engines {
            let version = engine.version;
            let has_tokens = |request: &&mut Request| request.generated_tokens >= 1.0;
            for request in engine.running.iter_mut().filter(has_tokens) {
                if let Some(first_token_ms) = request.first_token_ms {
                    let elapsed_ms = self.now_ms - first_token_ms;
                    if elapsed_ms >= request.next_report_ms {
                        request.next_report_ms = elapsed_ms * 2;
                        let tokens = request.generated_tokens as u32;
                        coordinator.record_progress(self.now_ms, request.attempt, tokens);
                    }
                    continue;
                }
                request.first_token_ms = Some(self.now_ms);
                let first_tokens = FirstTokens {
                    endpoint: engine.name.clone(),
                    version,
                };
                coordinator.record_first_tokens(self.now_ms, request.attempt, first_tokens);
                if version < request.oldest_version {
                    too_old.push(request.attempt);
                }
            }
        }
        for &attempt in &too_old {
            coordinator.record_stale(attempt);
        }
        for attempt in too_old {
            self.cancel_request(attempt);
        }
    }

    /// Cancels a request on its engine; its tokens count as generated but not delivered.
    fn cancel_request(&mut self, attempt: AttemptKey) {
        let engines = self.engines.iter_mut();
        for request in engines.filter_map(|engine| engine.cancel(attempt)) {
            self.figures.add_generated(&request);
        }
    }

    fn finish_requests(&mut self) {
        for engine in &mut self.engines {
            for request in engine.take_finished() {
                self.figures.add_generated(&request);
                let sample = Sample {
                    key: request.key,
                    text: "".into(),
                    spans: request.spans(),
                    score: None,
                };
                match &mut self.scheduler {
                    Scheduler::Fifo(fifo) => fifo.finish(request.attempt, sample),
                    Scheduler::Coordinator(coordinator) => {
                        coordinator.finish(self.now_ms, request.attempt, Some(sample));
                    }
                }
            }
        }
    }

    /// Runs one round of all controllers, each of which controls one engine.
    fn load_versions(&mut self) {
        for (engine, controller) in self.engines.iter_mut().zip(&mut self.controllers) {
            controller.record_report(&engine.name, self.now_ms, engine.version);
        }
        let versions = self.engines.iter().map(|e| (e.name.clone(), e.version));
        let versions: BTreeMap<EndpointName, WeightVersion> = versions.collect();
        let newest_version = self.newest_version;
        let age_ms = self.now_ms - self.published_ms;
        for (engine, controller) in self.engines.iter_mut().zip(&mut self.controllers) {
            if engine
                .loading_until_ms
                .is_some_and(|until_ms| self.now_ms >= until_ms)
            {
                engine.loading_until_ms = None;
                engine.version = newest_version;
                self.figures.wave_ms = self.figures.wave_ms.max(age_ms);
            }
            let is_behind = |name: &EndpointName| versions[name] < newest_version;
            let may_load = |name: &EndpointName| self.wave.may_load(name, age_ms, is_behind);
            for order in controller.plan(self.now_ms, 1, may_load) {
                engine.loading_until_ms = Some(self.now_ms + self.scenario.load_ms);
                // The order ends with the load; until then the engine generates no tokens.
                controller.record_order_end(
                    self.now_ms + self.scenario.load_ms,
                    &engine.name,
                    order.fence,
                );
            }
        }
    }

    fn dispatch(&mut self) {
        let tasks = match &mut self.scheduler {
            Scheduler::Fifo(fifo) => fifo.take_tasks(),
            Scheduler::Coordinator(coordinator) => coordinator.take_tasks(self.now_ms, 256),
        };
        self.undispatched.extend(tasks);
        for task in std::mem::take(&mut self.undispatched) {
            match self.choose_engine(&task) {
                Some(number) => self.start_request(number, &task),
                None => self.undispatched.push(task),
            }
        }
    }

    fn choose_engine(&mut self, task: &Task) -> Option<usize> {
        let is_available = |engine: &Engine| match self.variant {
            Variant::CurrentSkipLoading => {
                engine.loading_until_ms.is_none() && engine.has_free_slot()
            }
            _ => engine.has_free_slot(),
        };
        let engines = self.engines.iter().enumerate();
        let available = engines.filter(|(_, engine)| is_available(engine));
        let available: Vec<usize> = available.map(|(number, _)| number).collect();
        let preferred = |number: &usize| !task.avoid.contains(&self.engines[*number].name);
        let preferred: Vec<usize> = available.iter().copied().filter(preferred).collect();
        let available = if preferred.is_empty() {
            available
        } else {
            preferred
        };
        if available.is_empty() {
            return None;
        }
        if self.variant == Variant::Baseline {
            self.next_engine += 1;
            return available.get(self.next_engine % available.len()).copied();
        }
        let first = available[self.random.choices.random_range(0..available.len())];
        let second = available[self.random.choices.random_range(0..available.len())];
        let score = |number: usize| {
            let engine = &self.engines[number];
            (engine.running.len() + 1) as f64 / engine.tokens_per_s
        };
        Some(if score(second) < score(first) {
            second
        } else {
            first
        })
    }

    fn start_request(&mut self, number: usize, task: &Task) {
        let length = self.prompt_lengths[&task.prompt];
        let fraction = f64::from(task.key.index) / 8.0;
        let tokens = (length * (0.9 + 0.2 * fraction)).min(f64::from(task.max_tokens));
        self.engines[number].running.push(Request {
            attempt: task.attempt,
            step: task.id.step,
            key: task.key,
            tokens,
            generated_tokens: 0.0,
            first_token_ms: None,
            next_report_ms: FIRST_REPORT_MS,
            oldest_version: task.oldest_version,
            spans: Vec::new(),
        });
    }

    fn cancel_tasks(&mut self) {
        let Scheduler::Coordinator(coordinator) = &mut self.scheduler else {
            return;
        };
        for attempt in coordinator.take_cancelled() {
            self.undispatched.retain(|task| task.attempt != attempt);
            self.cancel_request(attempt);
        }
    }

    fn into_run(self, seed: u64) -> Run {
        Run {
            scenario: self.scenario.name.into(),
            variant: self.variant.name().into(),
            seed,
            figures: self.figures.into_map(self.now_ms, self.scenario.steps),
        }
    }
}

fn service() -> ServiceName {
    ServiceName::new("advisor-lm")
}
