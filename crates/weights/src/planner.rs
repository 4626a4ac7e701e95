//! Which engine loads which model's new version, and when, if engines hold several models.

use std::collections::BTreeMap;

use wisteriapoint_types::{EndpointName, WeightVersion};

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

/// Shares the engines of services out among their models and plans loads.
///
/// Each engine follows the versions of one model, so a new version costs as many loads as
/// the model has engines. An engine changes its model only if the shares differ by two.
#[derive(Debug, Default)]
pub struct Planner {
    shares: BTreeMap<EndpointName, Box<str>>,
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
    /// An engine comes again until it reports the version; what is ordered is decided by
    /// its report.
    pub fn plan(
        &mut self,
        now_ms: u64,
        models: &[Box<str>],
        engines: &[Engine<'_>],
        named: &BTreeMap<Box<str>, WeightVersion>,
    ) -> Vec<Load> {
        let present: BTreeMap<_, _> = engines.iter().map(|engine| (engine.name, engine)).collect();
        self.forget(models, &present);
        self.share_out(models, engines);
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
    pub fn report(
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
    pub fn ended(&mut self, now_ms: u64, endpoint: &EndpointName, is_accepted: bool) {
        if let Some(loading) = self.loading.get_mut(endpoint) {
            let pause_ms = if is_accepted { LOAD_MS } else { RETRY_MS };
            loading.ask_at_ms = Some(now_ms + pause_ms);
        }
    }

    /// The model that an engine follows.
    pub fn share(&self, endpoint: &EndpointName) -> Option<&str> {
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

    fn share_out(&mut self, models: &[Box<str>], engines: &[Engine<'_>]) {
        let mut counts = self.counts(models);
        for engine in engines {
            if self.shares.contains_key(engine.name) {
                continue;
            }
            let held = counts
                .iter_mut()
                .filter(|(model, _)| version_of(engine.models, model).is_some());
            if let Some((model, count)) = held.min_by_key(|(_, count)| *count) {
                *count += 1;
                self.shares.insert(engine.name.clone(), (*model).into());
            }
        }
        self.even_out(&counts, engines);
    }

    /// Lets one idle engine change from the model with most engines to that with fewest.
    fn even_out(&mut self, counts: &[(&str, usize)], engines: &[Engine<'_>]) {
        let largest = counts.iter().max_by_key(|(_, count)| count);
        let smallest = counts.iter().min_by_key(|(_, count)| count);
        let (Some((largest, most)), Some((smallest, fewest))) = (largest, smallest) else {
            return;
        };
        if *most < fewest + 2 {
            return;
        }
        let idle = engines.iter().find(|engine| {
            self.share(engine.name) == Some(*largest)
                && !self.loading.contains_key(engine.name)
                && version_of(engine.models, smallest).is_some()
        });
        if let Some(engine) = idle {
            self.shares.insert(engine.name.clone(), (*smallest).into());
        }
    }

    /// Engines that follow each model, in the order of the models.
    fn counts<'a>(&self, models: &'a [Box<str>]) -> Vec<(&'a str, usize)> {
        let mut counts: Vec<_> = models.iter().map(|model| (&**model, 0)).collect();
        for followed in self.shares.values() {
            if let Some((_, count)) = counts.iter_mut().find(|(model, _)| *model == &**followed) {
                *count += 1;
            }
        }
        counts
    }
}

fn version_of(models: &[(Box<str>, WeightVersion)], model: &str) -> Option<WeightVersion> {
    let mut models = models.iter();
    models
        .find(|(name, _)| **name == *model)
        .map(|&(_, version)| version)
}
