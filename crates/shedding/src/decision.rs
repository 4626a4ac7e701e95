//! The decision over all requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::plan::plan;
use crate::room::FreeTimes;
use crate::segment::{due_at_ms, units};
use crate::{Group, GroupId, Request, Room, Rules};

/// Least time until a refused caller returns, in milliseconds: some network hops, so that a caller
/// does not return with the state that refused it.
const MIN_RETURN_MS: u64 = 100;

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It starts now, in a free slot.
    Start,
    /// It waits for the next decision.
    Wait,
    /// It is refused now.
    Refuse {
        /// Time at which its caller may return, in milliseconds.
        return_at_ms: u64,
    },
    /// It goes on in its slot.
    Continue,
    /// It is ended and its slot becomes free, since its result can't have a value any more.
    GiveUp,
}

/// Returns the outcome of each request, in the order of the requests.
///
/// Requests start by priority with aging, then by the share of their workspace, then by due time; of
/// those that can't all be in time, the ones whose refusal costs least for their work come last in
/// their priority.
/// A request is refused if it is late even if the estimate of its work is as much too high as the rules
/// admit.
pub fn decide(
    now_ms: u64,
    requests: &[Request],
    groups: &[Group],
    room: &Room,
    rules: &Rules,
) -> Vec<Outcome> {
    let groups: BTreeMap<_, _> = groups.iter().map(|group| (group.id, group)).collect();
    let mut lost_groups = hopeless_groups(now_ms, requests, &groups, room, rules);
    // A group that is given up frees the slots of its members, so the rest is decided again.
    loop {
        let decided = decide_without(now_ms, requests, &groups, &lost_groups, room, rules);
        let known = lost_groups.len();
        lost_groups.extend(decided.lost_groups);
        if lost_groups.len() == known {
            return decided.outcomes;
        }
    }
}

#[derive(Debug)]
struct Decided {
    outcomes: Vec<Outcome>,
    /// Groups that were refused although some of their members run.
    lost_groups: Vec<GroupId>,
}

fn decide_without(
    now_ms: u64,
    requests: &[Request],
    groups: &BTreeMap<GroupId, &Group>,
    lost_groups: &BTreeSet<GroupId>,
    room: &Room,
    rules: &Rules,
) -> Decided {
    let is_useless = |request: &Request| {
        let is_lost = |group: GroupId| lost_groups.contains(&group);
        request.group.is_some_and(is_lost) || is_hopeless(now_ms, request, groups, rules)
    };
    let mut outcomes: Vec<_> = requests
        .iter()
        .map(|request| match is_useless(request) {
            true if request.is_running => Outcome::GiveUp,
            false if request.is_running => Outcome::Continue,
            _ => Outcome::Wait,
        })
        .collect();
    let ends = requests.iter().zip(&outcomes);
    let ends_ms: Vec<_> = ends
        .filter(|(_, outcome)| **outcome == Outcome::Continue)
        .map(|(request, _)| now_ms.saturating_add(request.remaining_ms()))
        .collect();
    let free = (room.slots as usize).saturating_sub(ends_ms.len());
    let mut times = FreeTimes::new(now_ms, room, ends_ms);
    let is_excluded = |index: usize| is_useless(&requests[index]);
    let units = units(now_ms, requests, groups, room, rules, is_excluded);
    let plan = plan(requests, &units, &mut times, rules);
    let mut refused: Vec<usize> = (0..requests.len())
        .filter(|&index| !requests[index].is_running && is_excluded(index))
        .collect();
    let mut refused_groups = Vec::new();
    for unit in plan.refused {
        refused.extend(&unit.members);
        refused_groups.extend(unit.group);
    }
    let in_order = plan.in_order.iter().flat_map(|unit| &unit.members);
    for &index in in_order.take(free) {
        outcomes[index] = Outcome::Start;
    }
    refused.sort_by_key(|&index| {
        (
            requests[index].priority,
            requests[index].deadline_at_ms,
            index,
        )
    });
    for index in refused {
        let return_at_ms = times.first_ms().max(now_ms.saturating_add(MIN_RETURN_MS));
        outcomes[index] = Outcome::Refuse { return_at_ms };
        times.occupy(requests[index].work_ms.max(1));
    }
    let runs = |id: &GroupId| {
        let mut members = requests.iter().zip(&outcomes);
        members
            .any(|(request, outcome)| request.group == Some(*id) && *outcome == Outcome::Continue)
    };
    refused_groups.retain(runs);
    Decided {
        outcomes,
        lost_groups: refused_groups,
    }
}

/// Returns `true` if a request is late even if it goes on now and needs the least work.
fn is_hopeless(
    now_ms: u64,
    request: &Request,
    groups: &BTreeMap<GroupId, &Group>,
    rules: &Rules,
) -> bool {
    let due_at_ms = due_at_ms(groups, request.group, request.deadline_at_ms);
    now_ms.saturating_add(rules.least_remaining_ms(request).max(1)) > due_at_ms
}

/// Returns the groups that have a member which is late for certain, or more work than all slots can
/// do in time.
fn hopeless_groups(
    now_ms: u64,
    requests: &[Request],
    groups: &BTreeMap<GroupId, &Group>,
    room: &Room,
    rules: &Rules,
) -> BTreeSet<GroupId> {
    let of_members = requests
        .iter()
        .filter(|request| is_hopeless(now_ms, request, groups, rules))
        .filter_map(|request| request.group);
    let too_large = groups.values().filter(|group| {
        let least_ms = rules.least_ms(group.remaining_ms) / room.total_slots();
        now_ms.saturating_add(least_ms) > group.due_at_ms
    });
    let too_large = too_large.map(|group| group.id);
    of_members.chain(too_large).collect()
}
