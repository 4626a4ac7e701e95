//! Waves over all keepers of a service.

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
    keeper: usize,
    fence: Fence,
}

struct Fleet {
    engines: BTreeMap<EndpointName, Engine>,
    keepers: Vec<Controller>,
    wave: Wave,
    kept: Vec<Vec<EndpointName>>,
}

impl Fleet {
    fn new(engines: usize, keepers: usize, loading_share: f64) -> Self {
        let names = (0..engines).map(|n| EndpointName::new(format!("engine-{n}")));
        let names: Vec<EndpointName> = names.collect();
        let mut kept = vec![Vec::new(); keepers];
        for name in &names {
            let hash = hash64(7, name.as_str().as_bytes());
            kept[hash as usize % keepers].push(name.clone());
        }
        let new_keeper = |kept: &Vec<EndpointName>| {
            let mut keeper = Controller::new();
            keeper.set_view(ViewNumber(1));
            for name in kept {
                keeper.add_engine(0, name.clone(), true);
            }
            keeper
        };
        Self {
            wave: Wave::new(&names, loading_share, WAVE_S),
            keepers: kept.iter().map(new_keeper).collect(),
            kept,
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

    /// Runs a wave; gives the time that it took and the most engines that loaded at once.
    ///
    /// An engine that `is_stuck` names never loads.
    fn run(&mut self, load_ms: u64, is_stuck: impl Fn(&EndpointName) -> bool) -> (u64, usize) {
        let mut most = 0;
        let mut last_ms = 0;
        for now_ms in (0..2 * WAVE_S * 1_000).step_by(ROUND_MS as usize) {
            for (name, engine) in &mut self.engines {
                let is_done = |load: &mut Load| now_ms >= load.until_ms && !is_stuck(name);
                if let Some(load) = engine.load.take_if(is_done) {
                    self.keepers[load.keeper].record_order_end(now_ms, name, load.fence);
                    engine.version = TARGET;
                    last_ms = now_ms;
                }
            }
            self.round(now_ms, load_ms);
            let loading = self.engines.values().filter(|engine| engine.load.is_some());
            most = most.max(loading.count());
        }
        (last_ms, most)
    }

    fn round(&mut self, now_ms: u64, load_ms: u64) {
        let engines = self.engines.clone();
        let is_behind = |name: &EndpointName| engines[name].version < TARGET;
        for (number, kept) in self.kept.iter().enumerate() {
            let keeper = &mut self.keepers[number];
            keeper.set_target(now_ms, TARGET);
            for name in kept {
                keeper.record_report(name, now_ms, engines[name].version);
            }
            let age_ms = keeper.target_age_ms(now_ms);
            let may_load = |name: &EndpointName| self.wave.may_load(name, age_ms, is_behind);
            for order in keeper.plan(now_ms, self.wave.max_loading_owned(kept.len()), may_load) {
                let engine = self.engines.get_mut(&order.endpoint);
                engine.expect("a known engine").load = Some(Load {
                    until_ms: now_ms + load_ms,
                    keeper: number,
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
fn all_keepers_together_stay_under_the_share_and_within_the_time() {
    // Engines, keepers, share, time to load.
    let cases = [
        (9, 8, 0.34, 6_000),
        (9, 1, 0.34, 6_000),
        (3, 8, 0.34, 6_000),
        (3, 3, 0.1, 8_000),
        (64, 8, 0.25, 6_000),
        (4_500, 380, 0.34, 6_000),
    ];
    for (engines, keepers, share, load_ms) in cases {
        let mut fleet = Fleet::new(engines, keepers, share);
        let (wave_ms, most) = fleet.run(load_ms, |_| false);
        let bound = ((engines as f64 * share) as usize).max(1);
        assert!(most <= bound, "{engines}: {most} of {bound} loaded at once");
        assert!(wave_ms <= WAVE_S * 1_000, "{engines}: {wave_ms} ms");
        assert_eq!(fleet.behind(), 0, "{engines}");
    }
}

#[test]
fn an_engine_that_never_loads_holds_up_no_other_beyond_the_time() {
    for stuck in 0..9 {
        let mut fleet = Fleet::new(9, 8, 0.12);
        let stuck = EndpointName::new(format!("engine-{stuck}"));
        let (wave_ms, _) = fleet.run(1_000, |name| *name == stuck);
        assert!(wave_ms <= WAVE_S * 1_000, "{stuck}: {wave_ms} ms");
        assert_eq!(fleet.behind(), 1, "{stuck}");
    }
}
