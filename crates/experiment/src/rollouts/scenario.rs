//! Scenarios and policy variants of the rollout experiments.

/// Simulated environment of a run; times are on the virtual clock.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name in reports.
    pub name: &'static str,
    /// Number of engines; their speeds vary by up to 1:4.
    pub engines: usize,
    /// Number of prompts in a step, each with eight samples.
    pub prompts: usize,
    /// Number of steps in a run.
    pub steps: u64,
    /// Share of prompts whose samples are nearly as long as the token limit.
    pub long_prompt_share: f64,
    /// Mean time between slowdowns in the whole fleet, in milliseconds; 0 for none.
    pub slowdown_interval_ms: u64,
    /// Duration of a slowdown, in milliseconds.
    pub slowdown_ms: u64,
    /// Time that the trainer takes to train on a step, in milliseconds.
    pub train_ms: u64,
    /// Time that an engine takes to load a version, in milliseconds.
    pub load_ms: u64,
    /// Staleness bound of a step, in weight versions.
    pub staleness_versions: u64,
}

impl Scenario {
    /// Returns a scenario with groups of long samples, engine slowdowns and new weights about every
    /// 3 minutes.
    pub fn stragglers() -> Self {
        Self {
            name: "straggler groups",
            engines: 12,
            prompts: 96,
            steps: 8,
            long_prompt_share: 0.04,
            slowdown_interval_ms: 60_000,
            slowdown_ms: 90_000,
            train_ms: 180_000,
            load_ms: 6_000,
            staleness_versions: 1,
        }
    }

    /// Returns the straggler scenario with slow loads and a wide staleness bound, in which the
    /// trainer has to wait for fresh samples.
    pub fn wide_bound() -> Self {
        Self {
            name: "wide bound",
            load_ms: 20_000,
            staleness_versions: 3,
            ..Self::stragglers()
        }
    }
}

/// Scheduling policy that a run simulates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// FIFO order, round robin over the engines, as many samples in flight as there are slots.
    Baseline,
    /// FIFO order, the better of two random engines, 64 samples in flight.
    Previous,
    /// Coordinator without dispatch to engines that load a version.
    CurrentSkipLoading,
    /// Coordinator with the defaults of the daemon.
    Current,
    /// Coordinator with staleness weighted three times as much as idle time.
    CurrentLowStaleness,
}

impl Variant {
    /// All variants, in the order in which reports list them.
    pub const ALL: [Self; 5] = [
        Self::Baseline,
        Self::Previous,
        Self::CurrentSkipLoading,
        Self::Current,
        Self::CurrentLowStaleness,
    ];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Baseline => "baseline",
            Self::Previous => "before",
            Self::CurrentSkipLoading => "now, waiting for swaps",
            Self::Current => "now",
            Self::CurrentLowStaleness => "now, staleness weighs 3:1",
        }
    }
}
