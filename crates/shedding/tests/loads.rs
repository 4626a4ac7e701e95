//! Decisions under named loads.

use wisteriapoint_shedding::{
    Group, GroupId, HintErrors, Outcome, Request, RequestId, Room, Rules, WorkspaceId, decide,
};

fn decide_at(now_ms: u64, requests: &[Request], groups: &[Group], room: Room) -> Vec<Outcome> {
    decide(now_ms, requests, groups, &room, &Rules::default())
}

fn request(id: u64, workspace: u32, priority: u8, deadline_at_ms: u64, work_ms: u64) -> Request {
    Request::new(
        RequestId(id),
        WorkspaceId(workspace),
        priority,
        deadline_at_ms,
    )
    .with_work_ms(work_ms)
}

fn count(outcomes: &[Outcome], wanted: Outcome) -> usize {
    let outcomes = outcomes.iter();
    outcomes.filter(|&&outcome| outcome == wanted).count()
}

fn returns_ms(outcomes: &[Outcome]) -> Vec<u64> {
    let returns = outcomes.iter().filter_map(|outcome| match outcome {
        Outcome::Refuse { return_at_ms } => Some(*return_at_ms),
        _ => None,
    });
    returns.collect()
}

/// Guards against a queue in which requests wait that can't be reached before their deadline.
#[test]
fn in_a_burst_of_one_class_what_the_slots_can_do_in_time_is_kept() {
    let burst: Vec<_> = (0..200).map(|id| request(id, 0, 1, 1_000, 100)).collect();
    let outcomes = decide_at(0, &burst, &[], Room::new(10));
    assert_eq!(count(&outcomes, Outcome::Start), 10);
    assert_eq!(count(&outcomes, Outcome::Wait), 90);
    let returns_ms = returns_ms(&outcomes);
    assert_eq!(returns_ms.len(), 100);
    assert!(
        returns_ms
            .iter()
            .all(|&at_ms| (1_000..2_000).contains(&at_ms))
    );
}

/// Guards against one workspace that occupies all slots, and against its complete exclusion.
#[test]
fn one_greedy_workspace_of_77_does_not_lock_out_the_others() {
    let greedy = (0..500).map(|id| request(id, 0, 1, 2_000, 100));
    let others = (1..77).map(|workspace| request(1_000, workspace, 1, 2_500, 100));
    let mut requests: Vec<_> = greedy.chain(others).collect();
    let outcomes = decide_at(0, &requests, &[], Room::new(16));
    let refused = |outcomes: &[Outcome]| returns_ms(outcomes).len();
    assert_eq!(refused(&outcomes[500..]), 0);
    assert!(refused(&outcomes[..500]) < 300, "it uses what others leave");

    // Its running requests count: others get the slots that become free next.
    for request in &mut requests[..14] {
        *request = request.clone().with_running(50);
    }
    let outcomes = decide_at(0, &requests, &[], Room::new(16));
    assert_eq!(count(&outcomes[500..], Outcome::Start), 2);
}

/// Guards against long requests that arrived first and take the time of many short ones.
#[test]
fn short_requests_are_served_beside_long_ones_that_arrived_before() {
    let long = (0..20).map(|id| request(id, 0, 1, 2_000, 1_000));
    let short = (20..40).map(|id| request(id, 0, 1, 2_000, 100));
    let requests: Vec<_> = long.chain(short).collect();
    let outcomes = decide_at(0, &requests, &[], Room::new(4));
    assert_eq!(
        returns_ms(&outcomes[20..]).len(),
        0,
        "no short one is refused"
    );
    assert!(count(&outcomes[..20], Outcome::Start) + count(&outcomes[..20], Outcome::Wait) >= 4);
}

/// Guards against refusal of requests that have time until endpoints return, and against callers
/// that return before.
#[test]
fn while_half_of_the_endpoints_are_gone_for_5_s_requests_with_time_wait_for_them() {
    let hurried = (0..100).map(|id| request(id, 0, 1, 1_000, 200));
    let patient = (100..280).map(|id| request(id, 0, 1, 9_000, 500));
    let requests: Vec<_> = hurried.chain(patient).collect();
    let outcomes = decide_at(0, &requests, &[], Room::new(8).with_added(8, 5_000));
    let refused = returns_ms(&outcomes[..100]).len();
    assert!(
        (60..100).contains(&refused),
        "{refused} of the hurried ones refused"
    );
    assert_eq!(returns_ms(&outcomes[100..]).len(), 0);
    assert!(returns_ms(&outcomes).iter().all(|&at_ms| at_ms >= 5_000));
    let unaware = decide_at(0, &requests, &[], Room::new(8));
    assert!(returns_ms(&unaware).len() > refused);
}

/// Guards against a step whose groups all start and none completes, and against callers of the same
/// service that fail because of it.
#[test]
fn of_a_step_due_in_2_s_the_groups_that_can_be_complete_run_beside_callers() {
    // Eight slots do 16 s of work within 2 s: two groups of 6.4 s and the callers.
    let groups = (0..4).map(|id| Group {
        id: GroupId(id),
        due_at_ms: 2_000,
        remaining_ms: 6_400,
    });
    let groups: Vec<_> = groups.collect();
    let members = (0..32).map(|id| {
        let member = request(id, 0, 1, 60_000, 800);
        member.with_group(GroupId((id % 4) as u32))
    });
    let callers = (32..40).map(|id| request(id, 1, 0, 400, 100));
    let requests: Vec<_> = members.chain(callers).collect();
    let outcomes = decide_at(0, &requests, &groups, Room::new(8));
    assert_eq!(count(&outcomes[32..], Outcome::Start), 8);
    let kept = |group: usize| {
        let mut members = (0..32).filter(|id| id % 4 == group);
        members.all(|id| !matches!(outcomes[id], Outcome::Refuse { .. }))
    };
    let kept = (0..4).filter(|&group| kept(group)).count();
    // The third may be complete if the estimates are too high, and so it waits.
    assert_eq!(kept, 3, "a group far beyond the room is given up at once");
    let outcomes = decide_at(100, &requests[..32], &groups, Room::new(8));
    let mut started = (0..32).filter(|&id| outcomes[id] == Outcome::Start);
    let first = started.next().map(|id| id % 4);
    assert!(
        started.all(|id| Some(id % 4) == first),
        "the slots serve one group after another"
    );

    // A group whose other members are too much work, elsewhere, is given up with those that run.
    let large = Group {
        id: GroupId(0),
        due_at_ms: 2_000,
        remaining_ms: 200_000,
    };
    let member = |id| request(id, 0, 1, 60_000, 800).with_group(GroupId(0));
    let requests = [
        member(0),
        member(1).with_running(400),
        request(2, 1, 1, 9_000, 100),
    ];
    let outcomes = decide_at(0, &requests, &[large], Room::new(1));
    assert!(matches!(outcomes[0], Outcome::Refuse { .. }));
    assert_eq!(outcomes[1..], [Outcome::GiveUp, Outcome::Start]);
}

/// Guards against refusals that rest on an estimate alone, and against requests that run far beyond
/// theirs and are planned as if they ended at once.
#[test]
fn hints_that_lie_by_10_refuse_nothing_that_may_be_in_time() {
    let doubtful = request(0, 0, 1, 500, 1_000);
    let outcomes = decide_at(0, std::slice::from_ref(&doubtful), &[], Room::new(1));
    assert_eq!(outcomes, [Outcome::Start]);
    let certain = request(1, 0, 1, 500, 6_000);
    let outcomes = decide_at(0, &[doubtful, certain], &[], Room::new(2));
    assert_eq!(outcomes[0], Outcome::Start);
    assert!(matches!(outcomes[1], Outcome::Refuse { .. }));

    let overrun = request(0, 0, 1, 60_000, 100).with_running(600);
    assert_eq!(
        overrun.remaining_ms(),
        400,
        "at most ten times the estimate"
    );
    let waiting = request(1, 0, 1, 300, 100);
    let outcomes = decide_at(0, &[overrun, waiting], &[], Room::new(1));
    assert!(matches!(outcomes[1], Outcome::Refuse { .. }));
}

/// Guards against a second burst when refused callers return.
#[test]
fn refused_callers_that_all_come_back_at_once_are_spread_over_the_room() {
    let callers: Vec<_> = (0..400)
        .map(|id| request(id, id as u32 % 7, 2, 10_500, 100).with_objective(10_000, 250))
        .collect();
    let outcomes = decide_at(10_000, &callers, &[], Room::new(10));
    let returns_ms = returns_ms(&outcomes);
    assert_eq!(returns_ms.len(), 350);
    for window in 0..40 {
        let from_ms = 10_000 + window * 100;
        let until_ms = from_ms + 100;
        let callers = returns_ms
            .iter()
            .filter(|&&at_ms| (from_ms..until_ms).contains(&at_ms));
        assert!(
            callers.count() <= 10,
            "more than the room between {from_ms} and {until_ms}"
        );
    }
}

/// Guards against items that wait for ever behind requests of a higher priority.
#[test]
fn an_item_that_has_waited_long_starts_before_new_urgent_requests() {
    let item = request(0, 0, 3, 600_000, 100);
    let urgent = request(1, 1, 0, 42_000, 100).with_objective(39_900, 250);
    let requests = [item, urgent];
    let outcomes = decide_at(30_000, &requests, &[], Room::new(1));
    assert_eq!(outcomes[0], Outcome::Wait);
    let outcomes = decide_at(40_000, &requests, &[], Room::new(1));
    assert_eq!(outcomes[0], Outcome::Start);
}

/// Guards against loss of partly done work where a fresh request costs less.
#[test]
fn a_request_with_much_partly_done_work_is_kept_rather_than_a_fresh_one() {
    let fresh = request(0, 0, 1, 1_000, 1_000);
    let mut begun = request(1, 0, 1, 1_000, 1_500);
    begun.spent_ms = 500;
    let outcomes = decide_at(0, &[fresh, begun], &[], Room::new(1));
    assert_eq!(outcomes[1], Outcome::Start);
}

/// Guards against doubt about estimates that have proved right, and against trust in others.
#[test]
fn the_admitted_error_follows_the_measured_one() {
    let mut errors = HintErrors::new();
    assert!(
        (9.9..10.1).contains(&errors.factor()),
        "nothing is known yet"
    );
    for _ in 0..200 {
        errors.record(100, 100);
    }
    assert!(errors.factor() < 1.1);
    for number in 0..200 {
        errors.record(100, [10, 30, 100, 300, 1_000][number % 5]);
    }
    assert!(errors.factor() > 3.0);
}

/// Guards against members that go on after another member of their group was lost.
#[test]
fn a_group_that_lost_a_member_is_given_up() {
    let group = Group {
        id: GroupId(0),
        due_at_ms: 9_000,
        remaining_ms: u64::MAX,
    };
    let member = |id| request(id, 0, 1, 9_000, 100).with_group(GroupId(0));
    let outcomes = decide_at(
        0,
        &[member(0).with_running(50), member(1)],
        &[group],
        Room::new(4),
    );
    assert_eq!(outcomes[0], Outcome::GiveUp);
    assert!(matches!(outcomes[1], Outcome::Refuse { .. }));
}
