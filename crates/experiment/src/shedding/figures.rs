//! Cost of a run to the callers.

use std::collections::{BTreeMap, BTreeSet};

use super::load::Arrival;

/// Factor between the costs of two neighbouring priorities.
const PRIORITY_FACTOR: f64 = 4.0;
/// Cost of a request that is served at its deadline, relative to one that is not served in time.
const DELAY_COST: f64 = 0.5;
/// Cost of a refusal after which the caller returns in time, relative to one that is not served.
const REFUSAL_COST: f64 = 0.05;
/// Cost of waiting in vain until the deadline, relative to a refusal at once.
const VAIN_WAIT_COST: f64 = 0.2;

/// What became of a request.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Record {
    pub(super) completed_at_ms: Option<u64>,
    pub(super) lost_at_ms: Option<u64>,
    pub(super) refusals: u32,
    pub(super) used_ms: u64,
}

/// Returns the figures by name.
pub(super) fn compute(arrivals: &[Arrival], records: &[Record]) -> BTreeMap<&'static str, f64> {
    let pairs = || arrivals.iter().zip(records);
    let incomplete_groups: BTreeSet<u32> = pairs()
        .filter(|(_, record)| record.completed_at_ms.is_none())
        .filter_map(|(arrival, _)| arrival.group)
        .collect();
    let is_served = |arrival: &Arrival, record: &Record| {
        let is_complete = arrival
            .group
            .is_none_or(|group| !incomplete_groups.contains(&group));
        record.completed_at_ms.is_some() && is_complete
    };
    let cost = |arrival: &Arrival, record: &Record| {
        let time_ms = (arrival.deadline_at_ms - arrival.at_ms) as f64;
        let part = |at_ms: Option<u64>, from_ms: u64| {
            let after_ms = at_ms
                .unwrap_or(arrival.deadline_at_ms)
                .saturating_sub(from_ms);
            after_ms as f64 / time_ms
        };
        let outcome = match is_served(arrival, record) {
            true => {
                let objective_end_ms = arrival.at_ms + arrival.objective_ms;
                DELAY_COST * part(record.completed_at_ms, objective_end_ms)
            }
            false => 1.0 + VAIN_WAIT_COST * part(record.lost_at_ms, arrival.at_ms).min(1.0),
        };
        let weight = PRIORITY_FACTOR.powi(-i32::from(arrival.priority));
        weight * (outcome + REFUSAL_COST * f64::from(record.refusals))
    };
    let count = |filter: &dyn Fn(&Arrival, &Record) -> bool| {
        pairs()
            .filter(|(arrival, record)| filter(arrival, record))
            .count() as f64
    };
    let used_ms: u64 = records.iter().map(|record| record.used_ms).sum();
    let wasted_ms: u64 = pairs()
        .filter(|(arrival, record)| !is_served(arrival, record))
        .map(|(_, record)| record.used_ms)
        .sum();
    BTreeMap::from([
        ("cost", pairs().map(|(a, r)| cost(a, r)).sum::<f64>()),
        ("lost", count(&|a, r| !is_served(a, r))),
        (
            "lost_most_urgent",
            count(&|a, r| a.priority == 0 && !is_served(a, r)),
        ),
        (
            "lost_of_others",
            count(&|a, r| a.workspace != 0 && !is_served(a, r)),
        ),
        ("wasted_share", wasted_ms as f64 / used_ms.max(1) as f64),
    ])
}
