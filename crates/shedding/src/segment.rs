//! Order of the units of a decision: by priority with aging, by shares of workspaces, and then by the
//! time at which they are due.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::{Group, GroupId, Request, Room, Rules, WorkspaceId};

/// Multiple of its fair part that a workspace may use before its requests come after those of
/// others. Random arrivals of equal workspaces seldom exceed twice the mean.
const SHARE_FACTOR: usize = 2;

/// Requests that are planned together: the waiting members of a group, or one request.
#[derive(Debug, Clone)]
pub(crate) struct Unit {
    /// Indices of the waiting requests, longest first.
    pub(crate) members: Vec<usize>,
    /// Group of the members.
    pub(crate) group: Option<GroupId>,
    /// Priority after aging, and the number of times that the workspace has used its share before it.
    pub(crate) segment: (i64, usize),
    /// Time after which the unit has no value.
    pub(crate) due_at_ms: u64,
    /// Time by which the unit is ordered within its segment.
    pub(crate) wanted_at_ms: u64,
    /// Expected work of the members.
    pub(crate) work_ms: u64,
    /// Cost of the refusal of the members.
    pub(crate) cost_ms: u64,
    /// Least time until the members that run and those at other nodes have ended.
    pub(crate) ready_at_ms: u64,
}

impl Unit {
    /// Returns `true` if the refusal of this unit costs less for each unit of work than that of
    /// another.
    pub(crate) fn is_cheaper_than(&self, other: &Self) -> bool {
        let product = |work: u64, cost: u64| u128::from(work) * u128::from(cost);
        product(self.work_ms, other.cost_ms) > product(other.work_ms, self.cost_ms)
    }
}

/// Returns the units of the waiting requests that are not excluded, in the order of their segments.
pub(crate) fn units(
    now_ms: u64,
    requests: &[Request],
    groups: &BTreeMap<GroupId, &Group>,
    room: &Room,
    rules: &Rules,
    is_excluded: impl Fn(usize) -> bool,
) -> Vec<Unit> {
    let mut by_group: BTreeMap<GroupId, Vec<usize>> = BTreeMap::new();
    let mut members_of_units: Vec<Vec<usize>> = Vec::new();
    let waiting = |index: &usize| !requests[*index].is_running && !is_excluded(*index);
    for index in (0..requests.len()).filter(waiting) {
        match requests[index].group {
            Some(group) => by_group.entry(group).or_default().push(index),
            None => members_of_units.push(vec![index]),
        }
    }
    members_of_units.extend(by_group.into_values());
    let units = members_of_units.into_iter();
    let mut units: Vec<_> = units
        .map(|members| unit(now_ms, requests, members, groups, room, rules))
        .collect();
    let order = |unit: &Unit| (unit.segment, unit.wanted_at_ms, unit.members[0]);
    units.sort_by_key(order);
    assign_shares(requests, room, &mut units);
    units.sort_by_key(order);
    units
}

fn unit(
    now_ms: u64,
    requests: &[Request],
    mut members: Vec<usize>,
    groups: &BTreeMap<GroupId, &Group>,
    room: &Room,
    rules: &Rules,
) -> Unit {
    members.sort_by_key(|&index| (Reverse(requests[index].remaining_ms()), index));
    let all = || members.iter().map(|&index| &requests[index]);
    let group = requests[members[0]].group;
    let deadline_at_ms = all().map(|request| request.deadline_at_ms).min();
    let due_at_ms = due_at_ms(groups, group, deadline_at_ms.unwrap_or(u64::MAX));
    let level = all().map(|request| level(now_ms, request, rules)).min();
    let running = requests
        .iter()
        .filter(|request| request.is_running && group.is_some() && request.group == group);
    let running_until_ms = running.map(|request| now_ms.saturating_add(request.remaining_ms()));
    let rest_ms = group
        .and_then(|id| groups.get(&id))
        .map_or(0, |group| group.remaining_ms / room.total_slots());
    let work_ms = all().map(Request::remaining_ms).sum();
    let objective_end_ms = all()
        .map(|request| request.arrived_at_ms.saturating_add(request.objective_ms))
        .min();
    let wanted_at_ms = match objective_end_ms {
        Some(end_ms) if group.is_none() && now_ms.saturating_add(work_ms) <= end_ms => {
            end_ms.min(due_at_ms)
        }
        _ => due_at_ms,
    };
    Unit {
        group,
        segment: (level.unwrap_or_default(), 0),
        due_at_ms,
        wanted_at_ms,
        work_ms,
        cost_ms: all().map(Request::refusal_cost_ms).sum(),
        ready_at_ms: running_until_ms
            .max()
            .unwrap_or(now_ms)
            .max(now_ms.saturating_add(rest_ms)),
        members,
    }
}

/// Returns the time after which a request or its group has no value.
pub(crate) fn due_at_ms(
    groups: &BTreeMap<GroupId, &Group>,
    group: Option<GroupId>,
    deadline_at_ms: u64,
) -> u64 {
    let group = group.and_then(|id| groups.get(&id));
    group.map_or(deadline_at_ms, |group| group.due_at_ms.min(deadline_at_ms))
}

/// Returns the priority of a request after aging.
fn level(now_ms: u64, request: &Request, rules: &Rules) -> i64 {
    let waited_ms = now_ms.saturating_sub(request.arrived_at_ms);
    let aged = waited_ms / rules.aging_ms.max(1);
    i64::from(request.priority) - i64::try_from(aged).unwrap_or(i64::MAX)
}

/// Sets the second part of the segments; the units are in the order in which they would start.
///
/// The fair part of a workspace is the larger of an equal part of the slots and the median number of
/// requests; unlike the mean, the median does not grow with the requests of one workspace.
fn assign_shares(requests: &[Request], room: &Room, units: &mut [Unit]) {
    let mut counts: BTreeMap<WorkspaceId, usize> = BTreeMap::new();
    let mut used: BTreeMap<WorkspaceId, usize> = BTreeMap::new();
    for request in requests {
        *counts.entry(request.workspace).or_default() += 1;
        if request.is_running {
            *used.entry(request.workspace).or_default() += 1;
        }
    }
    let mut sorted: Vec<_> = counts.values().copied().collect();
    sorted.sort_unstable();
    let median = match sorted.len() {
        0 => return,
        count => sorted[(count - 1) / 2],
    };
    let equal_part = room.slots as usize / sorted.len();
    let share = SHARE_FACTOR * median.max(equal_part).max(1);
    for unit in units {
        let workspace = requests[unit.members[0]].workspace;
        let used = used.entry(workspace).or_default();
        unit.segment.1 = *used / share;
        *used += unit.members.len();
    }
}
