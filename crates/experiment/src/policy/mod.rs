//! Experiments on choice of endpoint, limits, retries and crash suspects.

pub mod baseline;
pub mod before;
pub mod now;
pub mod oracle;
pub mod scenario;
pub mod variant;

mod endpoint;
mod figures;
mod request;
mod simulation;

pub use scenario::Scenario;

use std::error::Error;
use std::path::Path;

use crate::plot::{Series, lines};
use crate::report::Run;
use baseline::Baseline;
use before::Before;
use now::Now;
use oracle::Oracle;
use wisteriapoint_route::Subset;
use wisteriapoint_types::MemberId;

use simulation::{Simulation, places};
use variant::Policy;

/// A variant of the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Round robin, no limits, three attempts.
    Baseline,
    /// The step before.
    Before,
    /// The policy that the daemon uses.
    Now,
    /// Exact load and speed, one queue.
    Oracle,
}

impl Variant {
    /// All variants, in the order of the tables.
    pub const ALL: [Self; 4] = [Self::Baseline, Self::Before, Self::Now, Self::Oracle];

    /// Name in the figures.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Baseline => "baseline",
            Self::Before => "before",
            Self::Now => "now",
            Self::Oracle => "oracle",
        }
    }
}

/// Runs one variant of a scenario.
pub fn run(scenario: &Scenario, variant: Variant, seed: u64) -> Run {
    let places = places(scenario);
    let daemons = 0..scenario.daemons;
    let of_daemon = |daemon: usize| seed * 1_000 + daemon as u64;
    match variant {
        Variant::Baseline => {
            let make = |daemon| Baseline::new(&places, daemon * 7);
            simulate(scenario, variant, seed, daemons.map(make).collect())
        }
        Variant::Before => {
            let make = |daemon| Before::new(&places, of_daemon(daemon));
            simulate(scenario, variant, seed, daemons.map(make).collect())
        }
        Variant::Now => {
            let members: Vec<MemberId> = daemons.clone().map(|d| MemberId(d as u64)).collect();
            let size = scenario.subset.unwrap_or(places.len());
            let make = |daemon| {
                let me = MemberId(daemon as u64);
                let subset = Subset::new(me, members.clone(), size);
                Now::new(&places, &subset, of_daemon(daemon))
            };
            simulate(scenario, variant, seed, daemons.map(make).collect())
        }
        Variant::Oracle => simulate(scenario, variant, seed, vec![Oracle::new(&places)]),
    }
}

/// Runs all variants of a scenario on the same seeds.
pub fn run_all(scenario: &Scenario, seeds: u64) -> Vec<Run> {
    let pairs = Variant::ALL
        .iter()
        .flat_map(|&v| (1..=seeds).map(move |seed| (v, seed)));
    pairs
        .map(|(variant, seed)| run(scenario, variant, seed))
        .collect()
}

fn simulate<P: Policy>(scenario: &Scenario, variant: Variant, seed: u64, policies: Vec<P>) -> Run {
    let mut simulation = Simulation::new(scenario, seed, policies);
    simulation.run();
    Run {
        scenario: scenario.name.clone(),
        variant: variant.as_str().into(),
        seed,
        figures: figures::figures(scenario, &simulation),
    }
}

/// Draws the share of callers answered in time for each seed, a line for each variant.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn plot(directory: &Path, scenario: &Scenario, runs: &[Run]) -> Result<(), Box<dyn Error>> {
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
    lines(&path, &scenario.name, axes, &series)
}
