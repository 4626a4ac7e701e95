//! Experiments on endpoint selection, concurrency limits, retries and crash suspects.

pub mod baseline;
pub mod current;
pub mod oracle;
pub mod previous;
pub mod scenario;
pub mod variant;

mod endpoint;
mod figures;
mod request;
mod simulation;

pub use scenario::Scenario;

use std::error::Error;
use std::path::Path;

use crate::plot::{Series, draw_lines};
use crate::report::Run;
use baseline::Baseline;
use current::Current;
use oracle::Oracle;
use previous::Previous;
use wisteriapoint_route::Subset;
use wisteriapoint_types::MemberId;

use simulation::{Simulation, endpoint_specs};
use variant::Policy;

/// Variant of the routing policy that a run simulates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Round robin without limits and with up to three attempts.
    Baseline,
    /// First version of the policy, printed as `before`.
    Previous,
    /// Policy of the daemon, printed as `now`.
    Current,
    /// One queue for all daemons, with exact load and speed of each endpoint.
    Oracle,
}

impl Variant {
    /// All variants, in the order in which tables list them.
    pub const ALL: [Self; 4] = [Self::Baseline, Self::Previous, Self::Current, Self::Oracle];

    /// Returns the name that reports and plots print.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Baseline => "baseline",
            Self::Previous => "before",
            Self::Current => "now",
            Self::Oracle => "oracle",
        }
    }
}

/// Runs one variant of a scenario with one seed.
pub fn run_variant(scenario: &Scenario, variant: Variant, seed: u64) -> Run {
    let endpoint_specs = endpoint_specs(scenario);
    let daemons = 0..scenario.daemons;
    let daemon_seed = |daemon: usize| seed * 1_000 + daemon as u64;
    match variant {
        Variant::Baseline => {
            let make = |daemon| Baseline::new(&endpoint_specs, daemon * 7);
            simulate(scenario, variant, seed, daemons.map(make).collect())
        }
        Variant::Previous => {
            let make = |daemon| Previous::new(&endpoint_specs, daemon_seed(daemon));
            simulate(scenario, variant, seed, daemons.map(make).collect())
        }
        Variant::Current => {
            let members: Vec<MemberId> = daemons.clone().map(|d| MemberId(d as u64)).collect();
            let size = scenario.subset.unwrap_or(endpoint_specs.len());
            let make = |daemon| {
                let member = MemberId(daemon as u64);
                let subset = Subset::new(member, members.clone(), size);
                Current::new(&endpoint_specs, &subset, daemon_seed(daemon))
            };
            simulate(scenario, variant, seed, daemons.map(make).collect())
        }
        Variant::Oracle => simulate(scenario, variant, seed, vec![Oracle::new(&endpoint_specs)]),
    }
}

/// Runs all variants of a scenario with the seeds from 1 to `seeds`.
pub fn run_all_variants(scenario: &Scenario, seeds: u64) -> Vec<Run> {
    let pairs = Variant::ALL
        .iter()
        .flat_map(|&v| (1..=seeds).map(move |seed| (v, seed)));
    pairs
        .map(|(variant, seed)| run_variant(scenario, variant, seed))
        .collect()
}

fn simulate<P: Policy>(scenario: &Scenario, variant: Variant, seed: u64, policies: Vec<P>) -> Run {
    let mut simulation = Simulation::new(scenario, seed, policies);
    simulation.run();
    Run {
        scenario: scenario.name.clone(),
        variant: variant.as_str().into(),
        seed,
        figures: figures::compute(scenario, &simulation),
    }
}

/// Plots the share of callers answered in time by seed, with one line for each variant, into an SVG
/// file named after the scenario.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn plot_answered_share(
    directory: &Path,
    scenario: &Scenario,
    runs: &[Run],
) -> Result<(), Box<dyn Error>> {
    let line = |variant: Variant| Series {
        name: variant.as_str().into(),
        points: runs
            .iter()
            .filter(|run| &*run.variant == variant.as_str())
            .map(|run| (run.seed as f64, run.figures["answered_share"]))
            .collect(),
    };
    let path = directory.join(format!("{}.svg", scenario.name));
    let series: Vec<Series> = Variant::ALL.into_iter().map(line).collect();
    let axes = ("seed", "callers answered in time (share)");
    draw_lines(&path, &scenario.name, axes, &series)
}
