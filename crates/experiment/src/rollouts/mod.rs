//! Experiments on stragglers, staleness and rolling weight updates.
//!
//! The trainer, the engines and their slowdowns are simulated on a virtual clock. The
//! coordinator, the controllers and the wave are those of the daemon.

mod engine;
mod fifo;
mod figures;
mod scenario;
mod simulation;

use crate::report::Run;

pub use scenario::{Scenario, Variant};
pub use simulation::run_variant;

/// Runs all variants of a scenario with the seeds from 1 to `seeds`.
pub fn run_all_variants(scenario: &Scenario, seeds: u64) -> Vec<Run> {
    let mut runs = Vec::new();
    for variant in Variant::ALL {
        for seed in 1..=seeds {
            runs.push(run_variant(scenario, variant, seed));
        }
    }
    runs
}
