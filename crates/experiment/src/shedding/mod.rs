//! Experiments on load shedding: the decision of the daemon against simple orders.
//!
//! Requests and slots are simulated on a virtual clock in steps of one millisecond.

mod figures;
mod load;
mod simulation;
mod variant;

use crate::report::Run;

pub use load::Load;
pub use simulation::run_variant;
pub use variant::Variant;

/// Runs all variants under a load with the seeds from 1 to `seeds`.
pub fn run_all_variants(load: Load, seeds: u64) -> Vec<Run> {
    let mut runs = Vec::new();
    for variant in Variant::ALL {
        for seed in 1..=seeds {
            runs.push(run_variant(load, variant, seed));
        }
    }
    runs
}
