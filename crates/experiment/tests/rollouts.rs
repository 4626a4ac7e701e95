//! Checks the targets for idle time under stragglers and for weight updates, over ten seeds.

use wisteriapoint_experiment::report::{Run, Spread};
use wisteriapoint_experiment::rollouts::{Scenario, Variant, run_variant};

const SEEDS: u64 = 10;
const WASTED_BOUND: f64 = 0.10;
const WAVE_BOUND_S: f64 = 33.0;

fn spread(runs: &[Run], figure: &str) -> Spread {
    let values: Vec<f64> = runs.iter().map(|run| run.figures[figure]).collect();
    Spread::of(&values)
}

#[test]
fn idle_time_under_stragglers_at_least_halves_and_waves_stay_within_the_limit() {
    let scenario = Scenario::stragglers();
    let of = |variant| -> Vec<Run> {
        let seeds = 1..=SEEDS;
        seeds
            .map(|seed| run_variant(&scenario, variant, seed))
            .collect()
    };
    let (baseline, current) = (of(Variant::Baseline), of(Variant::Current));
    let idle = spread(&current, "idle_share").median;
    let baseline_idle = spread(&baseline, "idle_share").median;
    assert!(
        idle <= baseline_idle / 2.0,
        "idle share {idle}, baseline {baseline_idle}"
    );
    assert!(spread(&current, "wasted_share").greatest <= WASTED_BOUND);
    assert!(spread(&current, "wave_s").greatest <= WAVE_BOUND_S);
    let bound = scenario.staleness_versions as f64;
    assert!(spread(&current, "age_p99_versions").greatest <= bound);
}
