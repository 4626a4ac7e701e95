//! Assignment of engines to models and scheduling of weight loads, for engines that hold several
//! models.

use std::collections::BTreeMap;

use wisteriapoint_types::{EndpointName, WeightVersion};

use crate::shares;

/// Number of engines that may load at the same time in a service of any size; more loads slow each
/// other down.
const MIN_CONCURRENT_LOADS: usize = 2;
/// In a larger service, one engine in this many may load at the same time.
const ENGINES_PER_LOAD: usize = 5;
/// Expected duration of a load, after which the engine is queried again, in milliseconds.
const EXPECTED_LOAD_MS: u64 = 910;
/// Number of times that the pause doubles while an engine does not answer.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Pause before an engine that did not accept an order is queried again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 100;

/// State of an engine, as input to [`Planner::plan`].
#[derive(Debug, Clone, Copy)]
pub struct Engine<'a> {
    /// Endpoint name of the engine.
    pub name: &'a EndpointName,
    /// Weight version of each model that it has loaded.
    pub models: &'a [(Box<str>, WeightVersion)],
    /// Start time of the engine process, in Unix milliseconds; a restart changes it.
    pub born_unix_ms: u64,
    /// Mean time per event of a generated text, in milliseconds; 0 if there is no measurement.
    pub ms_per_event: f64,
}

/// A weight version that an engine should load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightLoad {
    /// Engine that should load it.
    pub endpoint: EndpointName,
    /// Model that the weights belong to.
    pub model: Box<str>,
    /// Weight version to load.
    pub version: WeightVersion,
}

/// Minimum time between two reassignments, in milliseconds: each costs a load, and a change
/// of the requested work shows within a few steps of the trainers.
const REASSIGNMENT_INTERVAL_MS: u64 = 2_000;

/// Bounds on the capacity of an engine relative to the mean: an engine that is slow for a short
/// time may have recovered once it is reassigned.
const MIN_CAPACITY: f64 = 0.4;
const MAX_CAPACITY: f64 = 2.5;

/// Ratio of capacities from which an engine counts as faster: more than load alone explains, and less
/// than that of two generations of engines.
const FASTER_RATIO: f64 = 1.5;

/// Assigns the engines of services to models and plans their loads.
///
/// Each engine follows the versions of one model, so a new version costs as many loads as the
/// model has engines. Models get engines in proportion to the work requested from them; see
/// [`shares`]. Each model with work gets one of the faster engines, since the longest output of a step
/// decides when the step is complete.
#[derive(Debug, Default)]
pub struct Planner {
    assignments: BTreeMap<EndpointName, Box<str>>,
    reassigned_at_ms: Option<u64>,
    loading: BTreeMap<EndpointName, Loading>,
    /// Engines that did not answer or accept the last order; they load after all others.
    silent: BTreeMap<EndpointName, Silence>,
}

#[derive(Debug)]
struct Loading {
    load: WeightLoad,
    born_unix_ms: u64,
    resend_at_ms: Option<u64>,
    /// Whether the engine executes an order, for which its place is kept.
    is_busy: bool,
}

/// Orders in a row that an engine did not answer or accept.
#[derive(Debug, Default)]
struct Silence {
    failures: u32,
    until_ms: u64,
}

impl Planner {
    /// Creates a planner without assignments.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the loads for which engines of a service should be queried, and ordered to load,
    /// now.
    ///
    /// `published` holds the newest version of each model, and `work` the recently requested work
    /// of each model, in any unit. A load is returned again until its engine reports the version;
    /// the engine's report decides whether an order is sent.
    pub fn plan(
        &mut self,
        now_ms: u64,
        models: &[Box<str>],
        engines: &[Engine<'_>],
        published: &BTreeMap<Box<str>, WeightVersion>,
        work: &BTreeMap<Box<str>, f64>,
    ) -> Vec<WeightLoad> {
        let present: BTreeMap<_, _> = engines.iter().map(|engine| (engine.name, engine)).collect();
        self.remove_absent(models, &present);
        let capacities = capacities(engines);
        let targets = shares::targets(models, capacities.iter().sum(), work);
        self.assign_models(&targets, engines, &capacities, published);
        if !self.reassign_one(now_ms, &targets, engines, &capacities) {
            self.exchange_faster(now_ms, work, engines, &capacities);
        }
        let mut loads = Vec::new();
        for loading in self.loading.values_mut() {
            let is_present = present.contains_key(&loading.load.endpoint);
            if is_present && loading.resend_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                loading.resend_at_ms = None;
                loads.push(loading.load.clone());
            }
        }
        let is_paused = |silence: &Silence| now_ms < silence.until_ms;
        let mut due: Vec<_> = engines
            .iter()
            .filter(|engine| !self.loading.contains_key(engine.name))
            .filter(|engine| !self.silent.get(engine.name).is_some_and(is_paused))
            .filter_map(|engine| {
                let model = self.assignments.get(engine.name)?;
                let version = *published.get(model)?;
                let held = version_of(engine.models, model)?;
                (held < version).then(|| (version.0 - held.0, engine, model.clone(), version))
            })
            .collect();
        due.sort_by_key(|(behind, engine, _, _)| {
            let is_silent = self.silent.contains_key(engine.name);
            (is_silent, std::cmp::Reverse(*behind), engine.name)
        });
        let max_concurrent_loads = MIN_CONCURRENT_LOADS.max(engines.len() / ENGINES_PER_LOAD);
        let max_new_loads = max_concurrent_loads.saturating_sub(self.loading.len());
        for (_, engine, model, version) in due.into_iter().take(max_new_loads) {
            let load = WeightLoad {
                endpoint: engine.name.clone(),
                model,
                version,
            };
            loads.push(load.clone());
            let loading = Loading {
                load,
                born_unix_ms: engine.born_unix_ms,
                resend_at_ms: None,
                is_busy: false,
            };
            self.loading.insert(engine.name.clone(), loading);
        }
        loads
    }

    /// Records an engine's report, which ends its load if it shows the version and the engine is
    /// not busy.
    pub fn record_report(
        &mut self,
        endpoint: &EndpointName,
        is_busy: bool,
        models: &[(Box<str>, WeightVersion)],
    ) {
        self.silent.remove(endpoint);
        if let Some(loading) = self.loading.get_mut(endpoint) {
            loading.is_busy = is_busy;
        }
        let is_loaded = self.loading.get(endpoint).is_some_and(|loading| {
            let held = version_of(models, &loading.load.model);
            held >= Some(loading.load.version)
        });
        if is_loaded && !is_busy {
            self.loading.remove(endpoint);
        }
    }

    /// Records the end of an order and schedules the next query.
    ///
    /// `is_accepted` is `true` if the engine has started to execute the order.
    pub fn record_order_end(&mut self, now_ms: u64, endpoint: &EndpointName, is_accepted: bool) {
        match self.loading.get_mut(endpoint) {
            Some(loading) if is_accepted => loading.resend_at_ms = Some(now_ms + EXPECTED_LOAD_MS),
            Some(loading) if loading.is_busy => {
                loading.resend_at_ms = Some(now_ms + RETRY_PAUSE_MS);
            }
            // Others load meanwhile.
            Some(_) => {
                self.loading.remove(endpoint);
                let silence = self.silent.entry(endpoint.clone()).or_default();
                let pause_ms = RETRY_PAUSE_MS << silence.failures.min(MAX_PAUSE_DOUBLINGS);
                silence.failures += 1;
                silence.until_ms = now_ms + pause_ms;
            }
            None => {}
        }
    }

    /// Returns the model that an engine is assigned to.
    pub fn assigned_model(&self, endpoint: &EndpointName) -> Option<&str> {
        self.assignments.get(endpoint).map(|model| &**model)
    }

    fn remove_absent(
        &mut self,
        models: &[Box<str>],
        present: &BTreeMap<&EndpointName, &Engine<'_>>,
    ) {
        self.assignments
            .retain(|name, model| !models.contains(model) || present.contains_key(name));
        self.silent.retain(|name, _| present.contains_key(name));
        self.loading.retain(|name, loading| {
            let is_other = !models.contains(&loading.load.model);
            let engine = present.get(name);
            is_other || engine.is_some_and(|engine| engine.born_unix_ms == loading.born_unix_ms)
        });
    }

    /// Assigns each engine without a model to the one that it has followed, or else to the one with the
    /// least assigned capacity relative to its target.
    ///
    /// A new planner thus restores the assignments of its predecessor. That an engine holds the newest
    /// version of a model says nothing if all engines do, as before a model's first version.
    fn assign_models(
        &mut self,
        targets: &BTreeMap<Box<str>, f64>,
        engines: &[Engine<'_>],
        capacities: &[f64],
        published: &BTreeMap<Box<str>, WeightVersion>,
    ) {
        let mut model_capacities = self.capacity_of_models(engines, capacities);
        let oldest = |model: &str| {
            let held = engines.iter();
            held.filter_map(|engine| version_of(engine.models, model))
                .min()
        };
        let oldest: BTreeMap<_, _> = targets
            .keys()
            .filter_map(|model| Some((model.clone(), oldest(model)?)))
            .collect();
        for only_followers in [true, false] {
            for (engine, capacity) in engines.iter().zip(capacities) {
                if self.assignments.contains_key(engine.name) {
                    continue;
                }
                let candidates = targets.iter().filter_map(|(model, &target)| {
                    let held = version_of(engine.models, model)?;
                    let has_followed = oldest.get(model).is_some_and(|oldest| held > *oldest);
                    (has_followed || !only_followers).then_some((model, target, held))
                });
                let best = candidates.min_by_key(|(model, target, held)| {
                    let newest = published.get(*model).copied().unwrap_or_default();
                    let behind = match only_followers {
                        true => newest.0.saturating_sub(held.0),
                        false => 0,
                    };
                    let assigned = model_capacities.get(&***model).copied().unwrap_or(0.0);
                    let filled = assigned / target.max(f64::MIN_POSITIVE);
                    (behind, (filled * 1_000.0) as u64)
                });
                if let Some((model, ..)) = best {
                    *model_capacities.entry(model.clone()).or_default() += capacity;
                    self.assignments.insert(engine.name.clone(), model.clone());
                }
            }
        }
    }

    /// Reassigns one engine that is not loading, if the shares deviate enough from the targets.
    ///
    /// Returns `false` if none was reassigned, and one may be.
    fn reassign_one(
        &mut self,
        now_ms: u64,
        targets: &BTreeMap<Box<str>, f64>,
        engines: &[Engine<'_>],
        capacities: &[f64],
    ) -> bool {
        let is_too_early = |at_ms| now_ms < at_ms + REASSIGNMENT_INTERVAL_MS;
        if self.reassigned_at_ms.is_some_and(is_too_early) {
            return true;
        }
        let model_capacities = self.capacity_of_models(engines, capacities);
        let Some(reassignment) = shares::reassignment(targets, &model_capacities) else {
            return false;
        };
        let ranked = self.ranked_engines(&reassignment.from, engines, capacities);
        let sole_faster = match &*ranked {
            [(fastest, first), (_, second), ..] if *first >= second * FASTER_RATIO => {
                Some(fastest.name)
            }
            _ => None,
        };
        let movable = ranked.iter().find(|(engine, capacity)| {
            !self.loading.contains_key(engine.name)
                && sole_faster != Some(engine.name)
                && version_of(engine.models, &reassignment.to).is_some()
                && reassignment.fits(*capacity)
        });
        let Some((engine, _)) = movable else {
            return false;
        };
        self.reassign(now_ms, engine.name, &reassignment.to);
        true
    }

    /// Gives a model with work that has slower engines only one of the faster engines of another model,
    /// which has two, in exchange for its slowest.
    fn exchange_faster(
        &mut self,
        now_ms: u64,
        work: &BTreeMap<Box<str>, f64>,
        engines: &[Engine<'_>],
        capacities: &[f64],
    ) {
        let working = work.iter().filter(|(_, work)| **work > 0.0);
        let ranked: Vec<_> = working
            .map(|(model, _)| (model, self.ranked_engines(model, engines, capacities)))
            .filter(|(_, ranked)| ranked.len() > 1)
            .collect();
        let to = ranked
            .iter()
            .min_by(|(_, a), (_, b)| a[0].1.total_cmp(&b[0].1));
        let from = ranked
            .iter()
            .max_by(|(_, a), (_, b)| a[1].1.total_cmp(&b[1].1));
        let (Some((to, slower)), Some((from, faster))) = (to, from) else {
            return;
        };
        let (second, slowest) = (faster[1], slower[slower.len() - 1]);
        let may_follow = |engine: &Engine<'_>, model: &str| {
            !self.loading.contains_key(engine.name) && version_of(engine.models, model).is_some()
        };
        if second.1 >= slower[0].1 * FASTER_RATIO
            && may_follow(second.0, to)
            && may_follow(slowest.0, from)
        {
            self.reassign(now_ms, second.0.name, to);
            self.reassign(now_ms, slowest.0.name, from);
        }
    }

    fn reassign(&mut self, now_ms: u64, engine: &EndpointName, model: &str) {
        self.reassigned_at_ms = Some(now_ms);
        self.assignments.insert(engine.clone(), model.into());
    }

    /// Returns the engines of a model with their capacities, the fastest first.
    fn ranked_engines<'a>(
        &self,
        model: &str,
        engines: &'a [Engine<'a>],
        capacities: &[f64],
    ) -> Vec<(&'a Engine<'a>, f64)> {
        let of_model = engines
            .iter()
            .zip(capacities)
            .filter(|(engine, _)| self.assigned_model(engine.name) == Some(model));
        let mut ranked: Vec<_> = of_model
            .map(|(engine, capacity)| (engine, *capacity))
            .collect();
        ranked.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        ranked
    }

    /// Returns the total capacity of the engines that are assigned to each model.
    fn capacity_of_models(
        &self,
        engines: &[Engine<'_>],
        capacities: &[f64],
    ) -> BTreeMap<Box<str>, f64> {
        let mut model_capacities: BTreeMap<Box<str>, f64> = BTreeMap::new();
        for (engine, capacity) in engines.iter().zip(capacities) {
            if let Some(model) = self.assignments.get(engine.name) {
                *model_capacities.entry(model.clone()).or_default() += capacity;
            }
        }
        model_capacities
    }
}

/// Returns the capacity of each engine, in engines of mean speed; an engine without a measured
/// speed counts as one.
fn capacities(engines: &[Engine<'_>]) -> Vec<f64> {
    let event_times_ms = || {
        engines
            .iter()
            .map(|engine| engine.ms_per_event)
            .filter(|&ms_per_event| ms_per_event > 0.0)
    };
    let mean_ms = event_times_ms().sum::<f64>() / event_times_ms().count().max(1) as f64;
    let capacity = |engine: &Engine<'_>| match engine.ms_per_event {
        ms_per_event if ms_per_event > 0.0 => {
            (mean_ms / ms_per_event).clamp(MIN_CAPACITY, MAX_CAPACITY)
        }
        _ => 1.0,
    };
    engines.iter().map(capacity).collect()
}

fn version_of(models: &[(Box<str>, WeightVersion)], model: &str) -> Option<WeightVersion> {
    let mut models = models.iter();
    models
        .find(|(name, _)| **name == *model)
        .map(|&(_, version)| version)
}
