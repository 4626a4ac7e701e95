//! Plan of the units of a decision: which of them are expected to be served in time.

use crate::room::FreeTimes;
use crate::segment::Unit;
use crate::{Request, Rules};

/// Units in the order in which they start, and units that are late for certain.
#[derive(Debug, Default)]
pub(crate) struct Plan<'a> {
    pub(crate) in_order: Vec<&'a Unit>,
    pub(crate) refused: Vec<&'a Unit>,
}

/// Plans the units level by level, and advances the times at which the slots become free.
///
/// Units that are late unless their estimates are too high come after the others of their level, but
/// before less urgent ones. Behind those, an urgent request with a wrong estimate was lost although
/// its priority alone would have served it.
pub(crate) fn plan<'a>(
    requests: &[Request],
    units: &'a [Unit],
    times: &mut FreeTimes,
    rules: &Rules,
) -> Plan<'a> {
    let mut plan = Plan::default();
    for level in units.chunk_by(|a, b| a.segment.0 == b.segment.0) {
        let mut late = Vec::new();
        for segment in level.chunk_by(|a, b| a.segment == b.segment) {
            plan_segment(requests, segment, times, &mut plan.in_order, &mut late);
        }
        for unit in late {
            match may_be_in_time(requests, unit, times, rules) {
                true => {
                    occupy_all(requests, &[unit], times);
                    plan.in_order.push(unit);
                }
                false => plan.refused.push(unit),
            }
        }
    }
    plan
}

/// Plans units of equal urgency in the order of their due times.
///
/// Where a unit would be late, the one whose refusal costs least for each unit of work is left out:
/// the rule of Moore and Hodgson, which minimises the number of late requests in one slot.
fn plan_segment<'a>(
    requests: &[Request],
    segment: &'a [Unit],
    times: &mut FreeTimes,
    in_time: &mut Vec<&'a Unit>,
    late: &mut Vec<&'a Unit>,
) {
    let base = times.clone();
    let mut accepted: Vec<&Unit> = Vec::new();
    let mut left_out: Vec<&Unit> = Vec::new();
    for unit in segment {
        if occupy_in_time(requests, unit, times) {
            accepted.push(unit);
            continue;
        }
        let cheapest = (0..accepted.len()).reduce(|a, b| match accepted[b] {
            other if other.is_cheaper_than(accepted[a]) => b,
            _ => a,
        });
        match cheapest.filter(|&index| accepted[index].is_cheaper_than(unit)) {
            None => left_out.push(unit),
            Some(index) => {
                let cheapest = accepted.remove(index);
                *times = base.clone();
                occupy_all(requests, &accepted, times);
                match occupy_in_time(requests, unit, times) {
                    true => {
                        accepted.push(unit);
                        left_out.push(cheapest);
                    }
                    false => {
                        accepted.insert(index, cheapest);
                        left_out.push(unit);
                        *times = base.clone();
                        occupy_all(requests, &accepted, times);
                    }
                }
            }
        }
    }
    // Room that the exchanges left is used before less urgent units are planned.
    for unit in left_out {
        match occupy_in_time(requests, unit, times) {
            true => accepted.push(unit),
            false => late.push(unit),
        }
    }
    in_time.append(&mut accepted);
}

fn occupy_all(requests: &[Request], units: &[&Unit], times: &mut FreeTimes) {
    for index in units.iter().flat_map(|unit| &unit.members) {
        times.occupy(requests[*index].remaining_ms());
    }
}

/// Occupies slots for a unit if all its members are expected to end in time.
fn occupy_in_time(requests: &[Request], unit: &Unit, times: &mut FreeTimes) -> bool {
    if unit.ready_at_ms > unit.due_at_ms {
        return false;
    }
    if let [member] = unit.members[..] {
        let remaining_ms = requests[member].remaining_ms();
        let is_in_time = times.first_ms().saturating_add(remaining_ms) <= unit.due_at_ms;
        if is_in_time {
            times.occupy(remaining_ms);
        }
        return is_in_time;
    }
    let mut occupied = times.clone();
    let mut members = unit.members.iter();
    let is_in_time =
        members.all(|&index| occupied.occupy(requests[index].remaining_ms()) <= unit.due_at_ms);
    if is_in_time {
        *times = occupied;
    }
    is_in_time
}

/// Returns `true` if a unit ends in time in the free slots if its estimates are as much too high as
/// estimates can be.
fn may_be_in_time(requests: &[Request], unit: &Unit, times: &FreeTimes, rules: &Rules) -> bool {
    let mut occupied = times.clone();
    let mut members = unit.members.iter().map(|&index| &requests[index]);
    members.all(|member| occupied.occupy(rules.least_remaining_ms(member)) <= unit.due_at_ms)
}
