//! Which engine loads which model's new version, and when, if engines hold several models.

use std::collections::BTreeMap;

use wisteriapoint_types::{EndpointName, WeightVersion};

use crate::shares;

/// Engines that load at the same time at least; more slow each other down.
const MIN_AT_ONCE: usize = 2;
/// One in this many engines may load at the same time in a larger service.
const ENGINES_PER_LOAD: usize = 5;
/// Time of a load after which the engine is asked about it, in milliseconds.
const LOAD_MS: u64 = 910;
/// Pause before an engine that did not take an order is asked again, in milliseconds.
const RETRY_MS: u64 = 100;

/// An engine as the planner sees it.
#[derive(Debug, Clone, Copy)]
pub struct Engine<'a> {
    /// Its name.
    pub name: &'a EndpointName,
    /// Weight version of each model that it has loaded.
    pub models: &'a [(Box<str>, WeightVersion)],
    /// Start of its incarnation, Unix milliseconds.
    pub born_unix_ms: u64,
    /// Its mean time for a unit of work, in milliseconds; 0 if not known.
    pub unit_ms: f64,
}

/// A version that an engine should load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// The engine.
    pub endpoint: EndpointName,
    /// The model.
    pub model: Box<str>,
    /// The version.
    pub version: WeightVersion,
}

/// Least time between two engines that change their model, in milliseconds: each change costs
/// a load, and the work asked for shows within a few steps of the trainers.
const CHANGE_PAUSE_MS: u64 = 2_000;

/// Least and most that an engine counts for among others: one that is slow for a moment may be
/// well again after its change.
const LEAST_CAPACITY: f64 = 0.4;
const MOST_CAPACITY: f64 = 2.5;

/// Shares the engines of services out among their models and plans loads.
///
/// Each engine follows the versions of one model, so a new version costs as many loads as
/// the model has engines. Models have engines in proportion to the work asked of them; see
/// [`shares`](crate::shares).
#[derive(Debug, Default)]
pub struct Planner {
    shares: BTreeMap<EndpointName, Box<str>>,
    changed_at_ms: Option<u64>,
    loading: BTreeMap<EndpointName, Loading>,
}

#[derive(Debug)]
struct Loading {
    load: Load,
    born_unix_ms: u64,
    ask_at_ms: Option<u64>,
}

impl Planner {
    /// Plans nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The engines of a service to ask, and to order to load, now.
    ///
    /// `work` is what was asked of each model of late, in any unit.
    /// An engine comes again until it reports the version; what is ordered is decided by
    /// its report.
    pub fn plan(
        &mut self,
        now_ms: u64,
        models: &[Box<str>],
        engines: &[Engine<'_>],
        named: &BTreeMap<Box<str>, WeightVersion>,
        work: &BTreeMap<Box<str>, f64>,
    ) -> Vec<Load> {
        let present: BTreeMap<_, _> = engines.iter().map(|engine| (engine.name, engine)).collect();
        self.forget(models, &present);
        let capacities = capacities(engines);
        let targets = shares::targets(models, capacities.iter().sum(), work);
        self.share_out(&targets, engines, &capacities, named);
        self.change_over(now_ms, &targets, engines, &capacities);
        let mut loads = Vec::new();
        for loading in self.loading.values_mut() {
            let is_here = present.contains_key(&loading.load.endpoint);
            if is_here && loading.ask_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                loading.ask_at_ms = None;
                loads.push(loading.load.clone());
            }
        }
        let mut due: Vec<_> = engines
            .iter()
            .filter(|engine| !self.loading.contains_key(engine.name))
            .filter_map(|engine| {
                let model = self.shares.get(engine.name)?;
                let version = *named.get(model)?;
                let has = version_of(engine.models, model)?;
                (has < version).then(|| (version.0 - has.0, engine, model.clone(), version))
            })
            .collect();
        due.sort_by_key(|(behind, engine, _, _)| (std::cmp::Reverse(*behind), engine.name));
        let at_once = MIN_AT_ONCE.max(engines.len() / ENGINES_PER_LOAD);
        let room = at_once.saturating_sub(self.loading.len());
        for (_, engine, model, version) in due.into_iter().take(room) {
            let load = Load {
                endpoint: engine.name.clone(),
                model,
                version,
            };
            loads.push(load.clone());
            let loading = Loading {
                load,
                born_unix_ms: engine.born_unix_ms,
                ask_at_ms: None,
            };
            self.loading.insert(engine.name.clone(), loading);
        }
        loads
    }

    /// Takes what an engine reports.
    pub fn record_report(
        &mut self,
        endpoint: &EndpointName,
        is_busy: bool,
        models: &[(Box<str>, WeightVersion)],
    ) {
        let has_it = self.loading.get(endpoint).is_some_and(|loading| {
            let has = version_of(models, &loading.load.model);
            has >= Some(loading.load.version)
        });
        if has_it && !is_busy {
            self.loading.remove(endpoint);
        }
    }

    /// Takes the end of an order, and whether the engine has begun to carry it out.
    pub fn record_order_end(&mut self, now_ms: u64, endpoint: &EndpointName, is_accepted: bool) {
        if let Some(loading) = self.loading.get_mut(endpoint) {
            let pause_ms = if is_accepted { LOAD_MS } else { RETRY_MS };
            loading.ask_at_ms = Some(now_ms + pause_ms);
        }
    }

    /// The model that an engine follows.
    pub fn assigned_model(&self, endpoint: &EndpointName) -> Option<&str> {
        self.shares.get(endpoint).map(|model| &**model)
    }

    fn forget(&mut self, models: &[Box<str>], present: &BTreeMap<&EndpointName, &Engine<'_>>) {
        self.shares
            .retain(|name, model| !models.contains(model) || present.contains_key(name));
        self.loading.retain(|name, loading| {
            let is_other = !models.contains(&loading.load.model);
            let engine = present.get(name);
            is_other || engine.is_some_and(|engine| engine.born_unix_ms == loading.born_unix_ms)
        });
    }

    /// Gives each engine that follows no model the one whose newest version it is closest to,
    /// among equals the one with the fewest engines for its share.
    ///
    /// So a planner that starts anew goes on with what its predecessor had planned.
    fn share_out(
        &mut self,
        targets: &BTreeMap<Box<str>, f64>,
        engines: &[Engine<'_>],
        capacities: &[f64],
        named: &BTreeMap<Box<str>, WeightVersion>,
    ) {
        let mut shares = self.capacity_of_models(engines, capacities);
        for (engine, capacity) in engines.iter().zip(capacities) {
            if self.shares.contains_key(engine.name) {
                continue;
            }
            let held = targets.iter().filter_map(|(model, &target)| {
                Some((model, target, version_of(engine.models, model)?))
            });
            let best = held.min_by_key(|(model, target, has)| {
                let newest = named.get(*model).copied().unwrap_or_default();
                let behind = newest.0.saturating_sub(has.0);
                let share = shares.get(&***model).copied().unwrap_or(0.0);
                let filled = share / target.max(f64::MIN_POSITIVE);
                (behind, (filled * 1_000.0) as u64)
            });
            if let Some((model, ..)) = best {
                *shares.entry(model.clone()).or_default() += capacity;
                self.shares.insert(engine.name.clone(), model.clone());
            }
        }
    }

    /// Lets one idle engine change its model, if the shares are off by that much.
    fn change_over(
        &mut self,
        now_ms: u64,
        targets: &BTreeMap<Box<str>, f64>,
        engines: &[Engine<'_>],
        capacities: &[f64],
    ) {
        let is_early = |at_ms| now_ms < at_ms + CHANGE_PAUSE_MS;
        if self.changed_at_ms.is_some_and(is_early) {
            return;
        }
        let shares = self.capacity_of_models(engines, capacities);
        let Some(change) = shares::reassignment(targets, &shares) else {
            return;
        };
        let idle = engines.iter().zip(capacities).filter(|(engine, capacity)| {
            self.assigned_model(engine.name) == Some(&*change.from)
                && !self.loading.contains_key(engine.name)
                && version_of(engine.models, &change.to).is_some()
                && change.fits(**capacity)
        });
        let largest = idle.max_by(|(_, a), (_, b)| a.total_cmp(b));
        if let Some((engine, _)) = largest {
            self.changed_at_ms = Some(now_ms);
            self.shares.insert(engine.name.clone(), change.to);
        }
    }

    /// Capacity of the engines that follow each model.
    fn capacity_of_models(
        &self,
        engines: &[Engine<'_>],
        capacities: &[f64],
    ) -> BTreeMap<Box<str>, f64> {
        let mut shares: BTreeMap<Box<str>, f64> = BTreeMap::new();
        for (engine, capacity) in engines.iter().zip(capacities) {
            if let Some(model) = self.shares.get(engine.name) {
                *shares.entry(model.clone()).or_default() += capacity;
            }
        }
        shares
    }
}

/// What each engine can do, in engines of mean speed; one whose speed is not known counts as one.
fn capacities(engines: &[Engine<'_>]) -> Vec<f64> {
    let known = || {
        engines
            .iter()
            .map(|engine| engine.unit_ms)
            .filter(|&unit_ms| unit_ms > 0.0)
    };
    let mean_ms = known().sum::<f64>() / known().count().max(1) as f64;
    let capacity = |engine: &Engine<'_>| match engine.unit_ms {
        unit_ms if unit_ms > 0.0 => (mean_ms / unit_ms).clamp(LEAST_CAPACITY, MOST_CAPACITY),
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
