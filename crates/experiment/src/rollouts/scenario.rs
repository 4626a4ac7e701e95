//! What is run: the surroundings and the policy.

/// What a run is made of; times are those of the virtual clock.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name in the report.
    pub name: &'static str,
    /// Engines; their speeds are spread over 1:4.
    pub engines: usize,
    /// Prompts of a step, with eight samples each.
    pub prompts: usize,
    /// Steps of a run.
    pub steps: u64,
    /// Share of prompts whose samples are about as long as may be.
    pub long_prompt_share: f64,
    /// Mean time between slow spells of the fleet's engines, in milliseconds; 0 for none.
    pub slowdown_interval_ms: u64,
    /// Length of a slow spell, in milliseconds.
    pub slowdown_ms: u64,
    /// Time that the trainer works on a step, in milliseconds.
    pub train_ms: u64,
    /// Time that an engine takes to load a version, in milliseconds.
    pub load_ms: u64,
    /// Staleness bound.
    pub staleness_versions: u64,
}

impl Scenario {
    /// Groups of long samples, engines with slow spells, new weights about every 3 minutes.
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

    /// The same with engines that load slowly and a wide bound, so that fresh samples
    /// have to be waited for.
    pub fn wide_bound() -> Self {
        Self {
            name: "wide bound",
            load_ms: 20_000,
            staleness_versions: 3,
            ..Self::stragglers()
        }
    }
}

/// A policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// By number, round robin over the engines, all of them full.
    Baseline,
    /// By number, the better of two engines, 64 samples in flight.
    Previous,
    /// The coordinator, with no dispatch to an engine that loads a version.
    CurrentSkipLoading,
    /// The coordinator.
    Current,
    /// The coordinator where staleness weighs three times as much as idle time.
    CurrentLowStaleness,
}

impl Variant {
    /// All, in the order of the report.
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
