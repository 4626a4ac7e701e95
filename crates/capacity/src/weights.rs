//! Waves of weight versions over many keepers, on a virtual clock.

use std::collections::BTreeMap;
use std::time::Instant;

use wisteriapoint_types::{EndpointName, ViewNumber, WeightVersion};
use wisteriapoint_weights::{Controller, Order, Wave};

use crate::slope::Slope;
use crate::views;

const SIZES: [usize; 4] = [9, 48, 480, 4_500];
const ENGINES_PER_DAEMON: usize = 12;
const LOAD_MS: u64 = 6_000;
const ROUND_MS: u64 = 250;
const LOADING_SHARE: f64 = 0.34;
const WAVE_S: u64 = 33;
const LIMIT_MS: u64 = 120_000;
const TARGET: WeightVersion = WeightVersion(1);

pub(crate) fn measure() -> Vec<Slope> {
    let mut wave = Slope::new(
        "time until all engines serve a version (6 s a load), s",
        "engines",
    );
    let mut most = Slope::new(
        "greatest share of engines loading at the same time",
        "engines",
    );
    let mut control = Slope::new("keeper's control time of a wave, ms a daemon", "engines");
    for size in SIZES {
        let run = run(size);
        wave = wave.with_point(size, &[run.wave_s]);
        most = most.with_point(size, &[run.loading_share]);
        control = control.with_point(size, &[run.control_ms]);
    }
    vec![wave, most, control]
}

struct Run {
    wave_s: f64,
    loading_share: f64,
    control_ms: f64,
}

/// Engines that load for six seconds each, kept by the daemons that the view names.
struct Fleet {
    engines: Vec<EndpointName>,
    keepers: Vec<(Controller, Vec<EndpointName>)>,
    loading: BTreeMap<EndpointName, (u64, Order)>,
    serving: BTreeMap<EndpointName, WeightVersion>,
}

impl Fleet {
    fn new(engines: usize) -> Self {
        let daemons = (engines / ENGINES_PER_DAEMON).clamp(3, 380);
        let view = views::view(daemons);
        let engines: Vec<EndpointName> = (0..engines)
            .map(|number| EndpointName::new(format!("engine-{number}")))
            .collect();
        let mut kept: BTreeMap<_, Vec<EndpointName>> = BTreeMap::new();
        for engine in &engines {
            let keeper = view.coordinator(engine.as_str().as_bytes());
            kept.entry(keeper).or_default().push(engine.clone());
        }
        let keepers = kept.into_values().map(|kept| {
            let mut keeper = Controller::new();
            keeper.set_view(ViewNumber(1));
            for engine in &kept {
                keeper.add_engine(0, engine.clone(), true);
            }
            (keeper, kept)
        });
        Self {
            keepers: keepers.collect(),
            engines,
            loading: BTreeMap::new(),
            serving: BTreeMap::new(),
        }
    }

    fn version(&self, engine: &EndpointName) -> WeightVersion {
        self.serving.get(engine).copied().unwrap_or_default()
    }

    fn end_loads(&mut self, now_ms: u64) {
        let ended = self
            .loading
            .extract_if(.., |_, (until_ms, _)| *until_ms <= now_ms);
        let ended: Vec<(EndpointName, (u64, Order))> = ended.collect();
        for (engine, (_, order)) in ended {
            self.serving.insert(engine.clone(), order.version);
            for (keeper, _) in &mut self.keepers {
                keeper.record_order_end(now_ms, &engine, order.fence);
            }
        }
    }

    fn round(&mut self, now_ms: u64, wave: &Wave) {
        for index in 0..self.keepers.len() {
            let reports: Vec<(EndpointName, WeightVersion)> = self.keepers[index]
                .1
                .iter()
                .map(|engine| (engine.clone(), self.version(engine)))
                .collect();
            let (keeper, kept) = &mut self.keepers[index];
            for (engine, version) in &reports {
                keeper.record_report(engine, now_ms, *version);
            }
            keeper.set_target(now_ms, TARGET);
            let serving = &self.serving;
            let is_behind = |engine: &EndpointName| serving.get(engine) != Some(&TARGET);
            let may_load = |engine: &EndpointName| wave.may_load(engine, now_ms, is_behind);
            for order in keeper.plan(now_ms, wave.max_loading_owned(kept.len()), may_load) {
                let until_ms = now_ms + LOAD_MS;
                self.loading
                    .insert(order.endpoint.clone(), (until_ms, order));
            }
        }
    }
}

fn run(engines: usize) -> Run {
    let mut fleet = Fleet::new(engines);
    let wave = Wave::new(fleet.engines.iter(), LOADING_SHARE, WAVE_S);
    let begun = Instant::now();
    let mut most_loading = 0;
    let mut now_ms = 0;
    while fleet.serving.len() < engines && now_ms < LIMIT_MS {
        fleet.end_loads(now_ms);
        fleet.round(now_ms, &wave);
        most_loading = most_loading.max(fleet.loading.len());
        now_ms += ROUND_MS;
    }
    Run {
        wave_s: now_ms as f64 / 1e3,
        loading_share: most_loading as f64 / engines as f64,
        control_ms: begun.elapsed().as_secs_f64() * 1e3 / fleet.keepers.len() as f64,
    }
}
