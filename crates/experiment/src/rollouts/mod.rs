//! Experiments on stragglers, staleness and weight waves.
//!
//! Trainers, engines and their faults are small fakes on a virtual clock; the coordinator,
//! the keepers and the wave are the daemon's own.

mod engine;
mod fifo;
mod figures;
mod scenario;
mod simulation;

use crate::report::Run;

pub use scenario::{Scenario, Variant};
pub use simulation::run_variant;

/// Runs all variants of a scenario with the seeds from 1 on.
pub fn run_all_variants(scenario: &Scenario, seeds: u64) -> Vec<Run> {
    let mut runs = Vec::new();
    for variant in Variant::ALL {
        for seed in 1..=seeds {
            runs.push(run_variant(scenario, variant, seed));
        }
    }
    runs
}
