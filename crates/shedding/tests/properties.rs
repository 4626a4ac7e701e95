//! Properties of decisions over random loads.

use std::collections::BTreeMap;

use proptest::prelude::*;
use wisteriapoint_shedding::{
    Group, GroupId, Outcome, Request, RequestId, Room, Rules, WorkspaceId, decide,
};

const NOW_MS: u64 = 100_000;

#[derive(Debug, Clone)]
struct Load {
    requests: Vec<Request>,
    groups: Vec<Group>,
    room: Room,
}

fn request() -> impl Strategy<Value = Request> {
    let times = (0..40_000_u64, 1..6_000_u64, 50..2_000_u64);
    let work = (1..3_000_u64, 0..2_000_u64, 0..5_000_u64);
    let kind = (0..4_u8, 0..5_u32, prop::bool::weighted(0.2));
    (times, work, kind, prop::option::weighted(0.3, 0..3_u32)).prop_map(
        |(
            (age_ms, left_ms, objective_ms),
            (work_ms, spent_ms, retry_ms),
            (priority, workspace, is_running),
            group,
        )| Request {
            id: RequestId(0),
            workspace: WorkspaceId(workspace),
            // The members of a group have one priority and one time of arrival.
            priority: group.map_or(priority, |group| group as u8),
            arrived_at_ms: NOW_MS - group.map_or(age_ms, |_| 0),
            deadline_at_ms: NOW_MS + left_ms - 1,
            objective_ms,
            work_ms,
            spent_ms: match is_running {
                true => spent_ms,
                false => spent_ms / 10,
            },
            is_running,
            retry_ms,
            group: group.map(GroupId),
        },
    )
}

fn load() -> impl Strategy<Value = Load> {
    let requests = prop::collection::vec(request(), 0..60);
    let groups = prop::collection::vec((1..6_000_u64, 0..9_000_u64), 3);
    let added = prop::option::of((1..6_u32, 0..6_000_u64));
    (requests, groups, 0..12_u32, added).prop_map(|(mut requests, groups, slots, added)| {
        for (index, request) in requests.iter_mut().enumerate() {
            request.id = RequestId(index as u64);
        }
        let groups = groups.into_iter().zip(0..);
        let groups = groups.map(|((left_ms, remaining_ms), id)| Group {
            id: GroupId(id),
            due_at_ms: NOW_MS + left_ms,
            remaining_ms,
        });
        let mut room = Room::new(slots);
        if let Some((slots, in_ms)) = added {
            room = room.with_added(slots, NOW_MS + in_ms);
        }
        Load {
            requests,
            groups: groups.collect(),
            room,
        }
    })
}

fn decide_load(load: &Load) -> Vec<Outcome> {
    decide(
        NOW_MS,
        &load.requests,
        &load.groups,
        &load.room,
        &Rules::default(),
    )
}

/// Priority after aging.
fn level(request: &Request) -> i64 {
    let waited_ms = NOW_MS - request.arrived_at_ms;
    i64::from(request.priority) - (waited_ms / Rules::default().aging_ms) as i64
}

/// Whether a single request may be in time if it starts now, also if its estimate is ten times too
/// high.
fn may_have_time(request: &Request) -> bool {
    request.group.is_none()
        && NOW_MS + Rules::default().least_remaining_ms(request).max(1) <= request.deadline_at_ms
}

fn is_refused(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refuse { .. })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against requests that are lost, or that get an outcome which does not fit their state.
    #[test]
    fn each_request_gets_one_outcome_that_fits_its_state(load in load()) {
        let outcomes = decide_load(&load);
        prop_assert_eq!(outcomes.len(), load.requests.len());
        for (request, outcome) in load.requests.iter().zip(&outcomes) {
            let is_of_running = matches!(outcome, Outcome::Continue | Outcome::GiveUp);
            prop_assert_eq!(request.is_running, is_of_running);
        }
    }

    /// Guards against shedding of the urgent in favour of the less urgent, and against priority
    /// inversion: neither is refused nor waits while a less urgent one starts.
    #[test]
    fn nothing_less_urgent_starts_while_an_urgent_request_that_may_be_in_time_does_not(load in load()) {
        let outcomes = decide_load(&load);
        let decided = || load.requests.iter().zip(&outcomes);
        for (urgent, outcome) in decided() {
            let is_passed_over = *outcome == Outcome::Wait || is_refused(outcome);
            if !is_passed_over || !may_have_time(urgent) {
                continue;
            }
            for (other, other_outcome) in decided() {
                prop_assert!(
                    *other_outcome != Outcome::Start || level(other) <= level(urgent),
                    "{urgent:?} got {outcome:?} while {other:?} starts"
                );
            }
        }
    }

    /// Guards against idle slots: while one stays free nothing waits, and a single request is
    /// refused only if it is late even with the least work that its estimate admits.
    #[test]
    fn slots_are_idle_only_if_nothing_can_use_them(load in load()) {
        let outcomes = decide_load(&load);
        let count = |wanted| outcomes.iter().filter(|outcome| **outcome == wanted).count();
        let busy = count(Outcome::Continue) + count(Outcome::Start);
        let slots = load.room.slots as usize;
        prop_assert!(busy <= slots.max(count(Outcome::Continue)));
        if busy < slots {
            prop_assert_eq!(count(Outcome::Wait), 0);
            let mut refused = load.requests.iter().zip(&outcomes).filter(|(request, outcome)| {
                is_refused(outcome) && request.group.is_none()
            });
            let is_all_hopeless = refused.all(|(request, _)| {
                NOW_MS + Rules::default().least_remaining_ms(request).max(1) > request.deadline_at_ms
            });
            prop_assert!(is_all_hopeless);
        }
    }

    /// Guards against groups of which a part goes on although the rest is refused.
    #[test]
    fn a_group_is_given_up_as_a_whole(load in load()) {
        let outcomes = decide_load(&load);
        let mut lost: BTreeMap<GroupId, Vec<bool>> = BTreeMap::new();
        for (request, outcome) in load.requests.iter().zip(&outcomes) {
            if let Some(group) = request.group {
                let is_lost = is_refused(outcome) || *outcome == Outcome::GiveUp;
                lost.entry(group).or_default().push(is_lost);
            }
        }
        for members in lost.values() {
            prop_assert!(members.iter().all(|&is_lost| is_lost == members[0]));
        }
    }

    /// Guards against refused callers that return before the decision or in the same instant.
    #[test]
    fn refused_callers_return_later_and_spread(load in load()) {
        let outcomes = decide_load(&load);
        let mut per_time: BTreeMap<u64, usize> = BTreeMap::new();
        for outcome in outcomes {
            if let Outcome::Refuse { return_at_ms } = outcome {
                prop_assert!(return_at_ms > NOW_MS);
                *per_time.entry(return_at_ms).or_default() += 1;
            }
        }
        // The first ones return together after a few hops, once for each unit of the least work.
        let added = load.room.added.map_or(0, |(slots, _)| slots);
        let slots = (load.room.slots + added).max(1) as usize;
        prop_assert!(per_time.iter().skip(1).all(|(_, &callers)| callers <= slots));
    }
}
