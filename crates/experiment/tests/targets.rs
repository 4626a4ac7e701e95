//! Checks the targets of the routing policy on fixed seeds.

use std::path::Path;

use wisteriapoint_experiment::policy::{Scenario, Variant, run_variant};
use wisteriapoint_experiment::report::Run;

const SEEDS: u64 = 10;

fn scenario(name: &str) -> Scenario {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    Scenario::read(&directory.join(format!("{name}.json"))).expect("the scenario is readable")
}

fn runs(name: &str, variant: Variant) -> Vec<Run> {
    let scenario = scenario(name);
    (1..=SEEDS)
        .map(|seed| run_variant(&scenario, variant, seed))
        .collect()
}

fn figure(run: &Run, name: &str) -> f64 {
    run.figures[name]
}

fn unanswered(run: &Run) -> f64 {
    figure(run, "missed") + figure(run, "refused")
}

#[test]
fn no_deadline_is_missed_where_the_oracle_misses_none() {
    let oracle = runs("slow-third", Variant::Oracle);
    let current = runs("slow-third", Variant::Current);
    let mut compared = 0;
    for (oracle, current) in oracle.iter().zip(&current) {
        if unanswered(oracle) == 0.0 {
            compared += 1;
            assert_eq!(unanswered(current), 0.0, "seed {}", current.seed);
        }
    }
    assert!(compared > 0, "the oracle misses deadlines on every seed");
}

#[test]
fn goodput_is_kept_at_150_percent_of_the_capacity() {
    let full = runs("overload-100", Variant::Current);
    let overloaded = runs("overload-150", Variant::Current);
    for (full, overloaded) in full.iter().zip(&overloaded) {
        let ratio =
            figure(overloaded, "goodput_tokens_per_s") / figure(full, "goodput_tokens_per_s");
        assert!(ratio >= 0.95, "seed {}: {ratio}", overloaded.seed);
    }
}

#[test]
fn a_crashing_request_crashes_at_most_two_endpoints_and_leaves_no_caller_unanswered() {
    for run in runs("crashing-request", Variant::Current) {
        assert!(figure(&run, "endpoints_lost") <= 2.0, "seed {}", run.seed);
        assert_eq!(unanswered(&run), 0.0, "seed {}", run.seed);
    }
}

#[test]
fn a_run_depends_on_its_seed_alone() {
    let scenario = scenario("crash");
    let figures = |seed| run_variant(&scenario, Variant::Current, seed).figures;
    assert_eq!(figures(3), figures(3));
    assert_ne!(figures(3), figures(4));
}
