//! Earlier views and previous members, which the record keeps for the transfer of claims.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

use wisteriapoint_membership::{Member, View};
use wisteriapoint_types::{FailureDomain, MemberId, Nonce, Region, ViewNumber, VmName};

fn member(number: u64, vm: &str) -> Member {
    Member {
        id: MemberId(number),
        vm: VmName::new(vm),
        failure_domain: FailureDomain::new(format!("domain-{}", number % 3)),
        region: Region::new("region"),
        peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, number as u16)),
        admin_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
    }
}

fn three() -> View {
    let members = [member(1, "a"), member(2, "b"), member(3, "c")];
    View::default().with_changes(&members, &[], Nonce(0))
}

#[test]
fn a_replaced_run_is_found_and_has_ended() {
    let next = three().with_member(member(4, "a"), Nonce(0));
    let earlier: Vec<View> = next.earlier_views().collect();
    assert_eq!(earlier.len(), 1);
    assert_eq!(earlier[0].number, ViewNumber(1));
    assert_eq!(earlier[0].members.len(), 3);
    assert!(next.is_replaced(MemberId(1)));
    assert!(!next.is_replaced(MemberId(2)));
    assert_eq!(next.current_or_previous(MemberId(1)), Some(&member(1, "a")));
}

#[test]
fn a_removed_run_may_not_have_ended() {
    let next = three().without_members(&[MemberId(1)], Nonce(0));
    assert!(!next.is_replaced(MemberId(1)));
    assert!(next.current_or_previous(MemberId(1)).is_some());
}

#[test]
fn earlier_views_are_removed_with_the_members_that_only_they_contain() {
    let second = three().without_members(&[MemberId(1)], Nonce(0));
    let third = second.without_members(&[MemberId(2)], Nonce(0));
    assert_eq!((third.earlier.len(), third.previous_members.len()), (2, 2));
    let trimmed = third.without_views_before(ViewNumber(2));
    assert_eq!(
        (trimmed.earlier.len(), trimmed.previous_members.len()),
        (1, 1)
    );
    assert!(trimmed.current_or_previous(MemberId(1)).is_none());
}

#[test]
fn a_view_is_transferred_when_a_majority_of_each_partition_is_open() {
    let view = three();
    let open = |ids: &[u64]| ids.iter().copied().map(MemberId).collect::<BTreeSet<_>>();
    assert!(!view.is_transferred(&open(&[])));
    assert!(!view.is_transferred(&open(&[3])));
    assert!(view.is_transferred(&open(&[1, 3])));
}

#[test]
fn a_previous_member_has_ended_once_its_vm_is_no_longer_listed() {
    let second = three().without_members(&[MemberId(1)], Nonce(0));
    let names = |names: &[&str]| names.iter().copied().map(VmName::new).collect();
    for (listed, unlisted) in [
        (names(&["b", "c"]), vec![MemberId(1)]),
        (names(&["a", "b", "c"]), vec![]),
        (names(&["b"]), vec![MemberId(1)]),
        (names(&["c"]), vec![]),
        (BTreeSet::new(), vec![]),
    ] {
        let found = second.unlisted(&VmName::new("b"), &listed);
        assert_eq!(found, BTreeSet::from_iter(unlisted), "{listed:?}");
    }
}
