//! Simulates rolling weight updates over many controllers on a virtual clock.

use std::collections::BTreeMap;
use std::time::Instant;

use wisteriapoint_types::{EndpointName, ViewNumber, WeightVersion};
use wisteriapoint_weights::{Controller, Order, Wave};

use crate::measurement::Measurement;
use crate::views;

const SIZES: [usize; 4] = [9, 48, 480, 4_500];
const ENGINES_PER_DAEMON: usize = 12;
const LOAD_MS: u64 = 6_000;
const ROUND_INTERVAL_MS: u64 = 250;
const LOADING_SHARE: f64 = 0.34;
const WAVE_S: u64 = 33;
const TIMEOUT_MS: u64 = 120_000;
const TARGET: WeightVersion = WeightVersion(1);

pub(crate) fn measure() -> Vec<Measurement> {
    let mut wave = Measurement::new(
        "time until all engines serve a version (6 s a load), s",
        "engines",
    );
    let mut loading_share = Measurement::new(
        "greatest share of engines loading at the same time",
        "engines",
    );
    let mut control_time =
        Measurement::new("keeper's control time of a wave, ms a daemon", "engines");
    for size in SIZES {
        let figures = run_wave(size);
        wave = wave.with_point(size, &[figures.wave_s]);
        loading_share = loading_share.with_point(size, &[figures.loading_share]);
        control_time = control_time.with_point(size, &[figures.control_ms]);
    }
    vec![wave, loading_share, control_time]
}

struct WaveFigures {
    wave_s: f64,
    loading_share: f64,
    control_ms: f64,
}

/// Engines that load for six seconds each, assigned to controllers by the view.
struct Fleet {
    engines: Vec<EndpointName>,
    controllers: Vec<(Controller, Vec<EndpointName>)>,
    loading: BTreeMap<EndpointName, (u64, Order)>,
    serving: BTreeMap<EndpointName, WeightVersion>,
}

impl Fleet {
    fn new(engines: usize) -> Self {
        let daemons = (engines / ENGINES_PER_DAEMON).clamp(3, 380);
        let view = views::view_of_size(daemons);
        let engines: Vec<EndpointName> = (0..engines)
            .map(|number| EndpointName::new(format!("engine-{number}")))
            .collect();
        let mut owned: BTreeMap<_, Vec<EndpointName>> = BTreeMap::new();
        for engine in &engines {
            let owner = view.coordinator(engine.as_str().as_bytes());
            owned.entry(owner).or_default().push(engine.clone());
        }
        let controllers = owned.into_values().map(|owned| {
            let mut controller = Controller::new();
            controller.set_view(ViewNumber(1));
            for engine in &owned {
                controller.add_engine(0, engine.clone(), true);
            }
            (controller, owned)
        });
        Self {
            controllers: controllers.collect(),
            engines,
            loading: BTreeMap::new(),
            serving: BTreeMap::new(),
        }
    }

    fn version(&self, engine: &EndpointName) -> WeightVersion {
        self.serving.get(engine).copied().unwrap_or_default()
    }

    fn complete_loads(&mut self, now_ms: u64) {
        let ended = self
            .loading
            .extract_if(.., |_, (until_ms, _)| *until_ms <= now_ms);
        let ended: Vec<(EndpointName, (u64, Order))> = ended.collect();
        for (engine, (_, order)) in ended {
            self.serving.insert(engine.clone(), order.version);
            for (controller, _) in &mut self.controllers {
                controller.record_order_end(now_ms, &engine, order.fence);
            }
        }
    }

    fn run_round(&mut self, now_ms: u64, wave: &Wave) {
        for index in 0..self.controllers.len() {
            let reports: Vec<(EndpointName, WeightVersion)> = self.controllers[index]
                .1
                .iter()
                .map(|engine| (engine.clone(), self.version(engine)))
                .collect();
            let (controller, owned) = &mut self.controllers[index];
            for (engine, version) in &reports {
                controller.record_report(engine, now_ms, *version);
            }
            controller.set_target(now_ms, TARGET);
            let serving = &self.serving;
            let is_behind = |engine: &EndpointName| serving.get(engine) != Some(&TARGET);
            let may_load = |engine: &EndpointName| wave.may_load(engine, now_ms, is_behind);
            for order in controller.plan(now_ms, wave.max_loading_owned(owned.len()), may_load) {
                let until_ms = now_ms + LOAD_MS;
                self.loading
                    .insert(order.endpoint.clone(), (until_ms, order));
            }
        }
    }
}

fn run_wave(engines: usize) -> WaveFigures {
    let mut fleet = Fleet::new(engines);
    let wave = Wave::new(fleet.engines.iter(), LOADING_SHARE, WAVE_S);
    let started = Instant::now();
    let mut max_loading = 0;
    let mut now_ms = 0;
    while fleet.serving.len() < engines && now_ms < TIMEOUT_MS {
        fleet.complete_loads(now_ms);
        fleet.run_round(now_ms, &wave);
        max_loading = max_loading.max(fleet.loading.len());
        now_ms += ROUND_INTERVAL_MS;
    }
    WaveFigures {
        wave_s: now_ms as f64 / 1e3,
        loading_share: max_loading as f64 / engines as f64,
        control_ms: started.elapsed().as_secs_f64() * 1e3 / fleet.controllers.len() as f64,
    }
}
