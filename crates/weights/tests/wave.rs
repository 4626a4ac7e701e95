//! Waves of loads across all controllers of a service.

use std::collections::BTreeMap;

use wisteriapoint_types::{EndpointName, ViewNumber, WeightVersion, hash64};
use wisteriapoint_weights::{Controller, Fence, Wave};

const TARGET: WeightVersion = WeightVersion(2);
const WAVE_S: u64 = 33;
const ROUND_MS: u64 = 250;

#[derive(Clone)]
struct Engine {
    version: WeightVersion,
    load: Option<Load>,
}

#[derive(Clone)]
struct Load {
    until_ms: u64,
    controller: usize,
    fence: Fence,
}

struct Fleet {
    engines: BTreeMap<EndpointName, Engine>,
    controllers: Vec<Controller>,
    wave: Wave,
    owned: Vec<Vec<EndpointName>>,
}

impl Fleet {
    fn new(engines: usize, controllers: usize, loading_share: f64) -> Self {
        let names = (0..engines).map(|n| EndpointName::new(format!("engine-{n}")));
        let names: Vec<EndpointName> = names.collect();
        let mut owned = vec![Vec::new(); controllers];
        for name in &names {
            let hash = hash64(7, name.as_str().as_bytes());
            owned[hash as usize % controllers].push(name.clone());
        }
        let new_controller = |owned: &Vec<EndpointName>| {
            let mut controller = Controller::new();
            controller.set_view(ViewNumber(1));
            for name in owned {
                controller.add_engine(0, name.clone(), true);
            }
            controller
        };
        Self {
            wave: Wave::new(&names, loading_share, WAVE_S),
            controllers: owned.iter().map(new_controller).collect(),
            owned,
            engines: names
                .into_iter()
                .map(|name| {
                    let version = WeightVersion(1);
                    (
                        name,
                        Engine {
                            version,
                            load: None,
                        },
                    )
                })
                .collect(),
        }
    }

    /// Runs a wave and returns its duration in milliseconds and the maximum number of engines
    /// that loaded at the same time.
    ///
    /// An engine for which `is_stuck` returns `true` never finishes a load.
    fn run_wave(&mut self, load_ms: u64, is_stuck: impl Fn(&EndpointName) -> bool) -> (u64, usize) {
        let mut max_loading = 0;
        let mut last_ms = 0;
        for now_ms in (0..2 * WAVE_S * 1_000).step_by(ROUND_MS as usize) {
            for (name, engine) in &mut self.engines {
                let is_done = |load: &mut Load| now_ms >= load.until_ms && !is_stuck(name);
                if let Some(load) = engine.load.take_if(is_done) {
                    self.controllers[load.controller].record_order_end(now_ms, name, load.fence);
                    engine.version = TARGET;
                    last_ms = now_ms;
                }
            }
            self.run_round(now_ms, load_ms);
            let loading = self.engines.values().filter(|engine| engine.load.is_some());
            max_loading = max_loading.max(loading.count());
        }
        (last_ms, max_loading)
    }

    fn run_round(&mut self, now_ms: u64, load_ms: u64) {
        let engines = self.engines.clone();
        let is_behind = |name: &EndpointName| engines[name].version < TARGET;
        for (number, owned) in self.owned.iter().enumerate() {
            let controller = &mut self.controllers[number];
            controller.set_target(now_ms, TARGET);
            for name in owned {
                controller.record_report(name, now_ms, engines[name].version);
            }
            let age_ms = controller.target_age_ms(now_ms);
            let may_load = |name: &EndpointName| self.wave.may_load(name, age_ms, is_behind);
            for order in controller.plan(now_ms, self.wave.max_loading_owned(owned.len()), may_load)
            {
                let engine = self.engines.get_mut(&order.endpoint);
                engine.expect("an engine of the fleet").load = Some(Load {
                    until_ms: now_ms + load_ms,
                    controller: number,
                    fence: order.fence,
                });
            }
        }
    }

    fn behind(&self) -> usize {
        let engines = self.engines.values();
        engines.filter(|engine| engine.version < TARGET).count()
    }
}

#[test]
fn a_wave_stays_within_the_loading_share_and_the_wave_duration() {
    // Engines, controllers, loading share, duration of a load in milliseconds.
    let cases = [
        (9, 8, 0.34, 6_000),
        (9, 1, 0.34, 6_000),
        (3, 8, 0.34, 6_000),
        (3, 3, 0.1, 8_000),
        (64, 8, 0.25, 6_000),
        (4_500, 380, 0.34, 6_000),
    ];
    for (engines, controllers, share, load_ms) in cases {
        let mut fleet = Fleet::new(engines, controllers, share);
        let (wave_ms, max_loading) = fleet.run_wave(load_ms, |_| false);
        let bound = ((engines as f64 * share) as usize).max(1);
        assert!(
            max_loading <= bound,
            "{engines}: {max_loading} of {bound} loaded at once"
        );
        assert!(wave_ms <= WAVE_S * 1_000, "{engines}: {wave_ms} ms");
        assert_eq!(fleet.behind(), 0, "{engines}");
    }
}

#[test]
fn an_engine_that_never_loads_delays_no_other_beyond_the_wave_duration() {
    for stuck in 0..9 {
        let mut fleet = Fleet::new(9, 8, 0.12);
        let stuck = EndpointName::new(format!("engine-{stuck}"));
        let (wave_ms, _) = fleet.run_wave(1_000, |name| *name == stuck);
        assert!(wave_ms <= WAVE_S * 1_000, "{stuck}: {wave_ms} ms");
        assert_eq!(fleet.behind(), 1, "{stuck}");
    }
}
