//! Proposals to add or remove members, based on leases, probes and confirmations by peers.

use wisteriapoint_membership::{Member, ProbeResult, Roster, RosterAction, RosterConfig, View};
use wisteriapoint_types::{FailureDomain, MemberId, Nonce, Region, VmName};

const CONFIG: RosterConfig = RosterConfig {
    probe_interval_ms: 1_000,
    probe_failure_threshold: 3,
    unwitnessed_timeout_ms: 30_000,
    rank_delay_ms: 1_000,
};

fn member(id: u64) -> Member {
    Member {
        id: MemberId(id),
        vm: VmName::new(format!("vm-{id}")),
        failure_domain: FailureDomain::new(format!("domain-{}", id % 3)),
        region: Region::new("region"),
        peer_address: ([127, 0, 0, 1], 4_000 + id as u16).into(),
        admin_address: ([127, 0, 0, 1], 5_000 + id as u16).into(),
    }
}

fn members(ids: impl IntoIterator<Item = u64>) -> Vec<Member> {
    ids.into_iter().map(member).collect()
}

fn view(ids: impl IntoIterator<Item = u64>) -> View {
    View::default().with_changes(&members(ids), &[], Nonce(0))
}

fn ids(view: &View) -> Vec<u64> {
    let mut ids: Vec<u64> = view.members.iter().map(|member| member.id.0).collect();
    ids.sort_unstable();
    ids
}

/// Runs the roster for `seconds` with the probe results of `probe`, and returns the time and view
/// of the first proposal.
fn run_until_proposal(
    roster: &mut Roster,
    view: &View,
    rank: usize,
    seconds: u64,
    probe: impl Fn(MemberId) -> ProbeResult,
) -> Option<(u64, View)> {
    for now_ms in (0..seconds * 1_000).step_by(200) {
        for action in roster.next_actions(now_ms, view, rank, Nonce(1)) {
            match action {
                RosterAction::Probe(id) => roster.record_probe(id, probe(id)),
                RosterAction::Propose(next) => return Some((now_ms, next)),
            }
        }
    }
    None
}

#[test]
fn proposals_by_leases_and_probes() {
    let unreachable = |witnesses| ProbeResult::Unreachable { witnesses };
    struct Case {
        name: &'static str,
        leases: Vec<u64>,
        probe: ProbeResult,
        expected: Option<Vec<u64>>,
    }
    let cases = [
        Case {
            name: "no action without a change",
            leases: vec![1, 2, 3],
            probe: unreachable(2),
            expected: None,
        },
        Case {
            name: "two daemons join at the same time",
            leases: vec![1, 2, 3, 4, 5],
            probe: unreachable(2),
            expected: Some(vec![1, 2, 3, 4, 5]),
        },
        Case {
            name: "a daemon without a lease that no peer can reach is removed",
            leases: vec![1, 2],
            probe: unreachable(2),
            expected: Some(vec![1, 2]),
        },
        Case {
            name: "a daemon without a lease that responds stays",
            leases: vec![1, 2],
            probe: ProbeResult::Alive,
            expected: None,
        },
        Case {
            name: "a daemon that responds that it is stopping is removed",
            leases: vec![1, 2],
            probe: ProbeResult::Stopping,
            expected: Some(vec![1, 2]),
        },
        Case {
            name: "all leases expire at once and all daemons respond",
            leases: vec![],
            probe: ProbeResult::Alive,
            expected: None,
        },
        Case {
            name: "without confirmation by a peer no daemon is removed within ten seconds",
            leases: vec![1],
            probe: unreachable(0),
            expected: None,
        },
    ];
    for case in cases {
        let mut roster = Roster::new(CONFIG);
        roster.set_leases(members(case.leases));
        let proposed = run_until_proposal(&mut roster, &view(1..=3), 0, 10, |_| case.probe);
        let proposed = proposed.map(|(_, next)| ids(&next));
        assert_eq!(proposed, case.expected, "{}", case.name);
    }
}

#[test]
fn removal_takes_longer_without_confirmation_by_a_peer() {
    let mut roster = Roster::new(CONFIG);
    roster.set_leases(members([1]));
    let unreachable = ProbeResult::Unreachable { witnesses: 0 };
    let proposed = run_until_proposal(&mut roster, &view(1..=2), 0, 60, |_| unreachable);
    let (at_ms, next) = proposed.expect("the unreachable member is removed eventually");
    assert!(at_ms >= CONFIG.unwitnessed_timeout_ms);
    assert_eq!(ids(&next), [1]);
}

#[test]
fn a_restarted_daemon_replaces_its_previous_run() {
    let mut restarted = member(9);
    restarted.vm = VmName::new("vm-3");
    let mut roster = Roster::new(CONFIG);
    roster.set_leases([members([1, 2]), vec![restarted]].concat());
    let proposed = run_until_proposal(&mut roster, &view(1..=3), 0, 10, |_| ProbeResult::Alive);
    assert_eq!(proposed.map(|(_, next)| ids(&next)), Some(vec![1, 2, 9]));
}

#[test]
fn proposers_propose_in_the_order_of_their_rank() {
    for rank in 0..3 {
        let mut roster = Roster::new(CONFIG);
        roster.set_leases(members(1..=4));
        let (at_ms, _) =
            run_until_proposal(&mut roster, &view(1..=3), rank, 10, |_| ProbeResult::Alive)
                .expect("a daemon with a lease joins");
        assert_eq!(at_ms, rank as u64 * CONFIG.rank_delay_ms);
    }
}

#[test]
fn a_platform_outage_leads_to_no_proposal() {
    let mut roster = Roster::new(CONFIG);
    roster.set_leases(members([1]));
    roster.reset();
    let unreachable = ProbeResult::Unreachable { witnesses: 2 };
    assert_eq!(
        run_until_proposal(&mut roster, &view(1..=3), 0, 120, |_| unreachable),
        None
    );
}

#[test]
fn a_response_resets_the_count_of_failed_probes() {
    let mut roster = Roster::new(CONFIG);
    roster.set_leases(members([1, 2]));
    let view = view(1..=3);
    for now_ms in (0..60_000_u64).step_by(1_000) {
        for action in roster.next_actions(now_ms, &view, 0, Nonce(1)) {
            let RosterAction::Probe(id) = action else {
                panic!("proposed to remove a member that responds to every third probe");
            };
            let probe = match now_ms / 1_000 % 3 {
                0 => ProbeResult::Alive,
                _ => ProbeResult::Unreachable { witnesses: 2 },
            };
            roster.record_probe(id, probe);
        }
    }
}

#[test]
fn each_failure_domain_has_its_number_of_watchers() {
    let view = view(1..=30);
    for domain in 0..3 {
        let watchers = view
            .members
            .iter()
            .filter(|member| member.id.0 % 3 == domain && view.is_watcher(member.id));
        assert_eq!(
            watchers.count(),
            wisteriapoint_membership::WATCHERS_PER_DOMAIN
        );
    }
    assert!(view.is_watcher(MemberId(99)));
}

#[test]
fn a_joining_member_without_a_lease_is_removed_from_a_proposal() {
    let previous = view([1, 2]);
    let proposed = previous.with_changes(&members([3, 4]), &[MemberId(2)], Nonce(7));
    let remaining = proposed
        .clone()
        .without_expired(&previous, &members([1, 3]));
    assert_eq!(ids(&remaining.unwrap()), [1, 3]);
    let all = proposed
        .clone()
        .without_expired(&previous, &members([3, 4]));
    assert_eq!(all, Some(proposed));
    let joining = previous.with_changes(&members([3]), &[], Nonce(7));
    assert_eq!(joining.without_expired(&previous, &members([1, 2])), None);
}
