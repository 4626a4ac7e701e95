//! Computes the figures of one run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::request::{Request, State};
use super::scenario::{Kind, Scenario};
use super::simulation::Simulation;

const RECOVERY_WINDOW_MS: u64 = 1_000;
/// Share of the callers in a window that may be unanswered after recovery.
const MAX_UNANSWERED_SHARE: f64 = 0.01;

pub(crate) fn compute<P>(
    scenario: &Scenario,
    simulation: &Simulation<'_, P>,
) -> BTreeMap<&'static str, f64> {
    let after_warm_up = |request: &&Request| request.arrived_ms >= scenario.warm_up_ms;
    let ordinary = simulation
        .requests
        .iter()
        .filter(|request| !request.crashes_endpoint);
    let requests: Vec<&Request> = ordinary.filter(after_warm_up).collect();
    let is_caller = |request: &&&Request| request.kind == Kind::Caller;
    let callers: Vec<&Request> = requests.iter().filter(is_caller).copied().collect();
    let latencies = latency_histogram(&callers);
    let count = |wanted: &dyn Fn(&Request) -> bool| {
        callers.iter().filter(|request| wanted(request)).count() as f64
    };
    let answered = count(&is_answered);
    let seconds = (scenario.duration_ms - scenario.warm_up_ms) as f64 / 1_000.0;
    let tokens = |list: &[&Request]| {
        let answered_requests = list.iter().filter(|request| is_answered(request));
        answered_requests
            .map(|request| f64::from(request.tokens))
            .sum::<f64>()
    };
    let rollouts: Vec<&Request> = requests
        .iter()
        .filter(|request| request.kind != Kind::Caller)
        .copied()
        .collect();
    let hit_share = simulation.prefix_hits as f64 / simulation.prefix_lookups.max(1) as f64;
    BTreeMap::from([
        ("callers", callers.len() as f64),
        ("p50_ms", latencies.value_at_quantile(0.5) as f64),
        ("p99_ms", latencies.value_at_quantile(0.99) as f64),
        ("p999_ms", latencies.value_at_quantile(0.999) as f64),
        ("answered_share", answered / callers.len().max(1) as f64),
        (
            "missed",
            count(&|request| matches!(request.state, State::Missed | State::Open)),
        ),
        (
            "refused",
            count(&|request| matches!(request.state, State::Refused | State::Quarantined)),
        ),
        (
            "refused_then_answered",
            count(&|request| is_answered(request) && request.refused),
        ),
        ("goodput_tokens_per_s", tokens(&callers) / seconds),
        ("rollout_tokens_per_s", tokens(&rollouts) / seconds),
        (
            "rollouts_preempted",
            rollouts.iter().map(|r| f64::from(r.preempted)).sum(),
        ),
        ("endpoints_lost", simulation.crashed_by_request as f64),
        ("prefix_hit_share", hit_share),
        ("recovery_ms", recovery_ms(scenario, &callers)),
    ])
}

fn is_answered(request: &Request) -> bool {
    matches!(request.state, State::Answered { .. })
}

fn latency_histogram(callers: &[&Request]) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, 600_000, 3)
        .unwrap_or_else(|_| Histogram::new(3).expect("three digits are allowed"));
    for request in callers {
        if let State::Answered { at_ms } = request.state {
            histogram.saturating_record((at_ms - request.arrived_ms).max(1));
        }
    }
    histogram
}

/// Returns the time from the first fault to the end of the last window in which more than
/// `MAX_UNANSWERED_SHARE` of the callers were unanswered, in milliseconds.
fn recovery_ms(scenario: &Scenario, callers: &[&Request]) -> f64 {
    let Some(fault_ms) = scenario.faults.iter().map(|fault| fault.at_ms()).min() else {
        return 0.0;
    };
    let mut windows: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for request in callers
        .iter()
        .filter(|request| request.arrived_ms >= fault_ms)
    {
        let window = windows
            .entry(request.arrived_ms / RECOVERY_WINDOW_MS)
            .or_default();
        window.0 += 1;
        window.1 += u64::from(!is_answered(request));
    }
    let last_degraded = windows
        .iter()
        .rev()
        .find(|(_, (total, unanswered))| *unanswered as f64 > MAX_UNANSWERED_SHARE * *total as f64);
    match last_degraded {
        Some((&window, _)) => ((window + 1) * RECOVERY_WINDOW_MS - fault_ms) as f64,
        None => 0.0,
    }
}
