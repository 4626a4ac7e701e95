//! Which nodes get crash reports.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use wisteriapoint_node::suspects::KnownPeers;

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn peers(numbers: &[u16]) -> BTreeSet<SocketAddr> {
    numbers.iter().map(|&number| peer(number)).collect()
}

// Guards against nodes that miss crash reports since their leases expired with those of others, while
// the store was unavailable.
#[test]
fn a_node_that_is_no_longer_listed_gets_reports_for_ten_seconds() {
    let known = KnownPeers::default();
    known.set(0, &peers(&[1, 2]));
    assert_eq!(known.addresses(60_000), peers(&[1, 2]));
    known.set(60_000, &peers(&[1]));
    assert_eq!(known.addresses(69_999), peers(&[1, 2]));
    assert_eq!(known.addresses(70_000), peers(&[1]));
    known.set(80_000, &peers(&[1, 2]));
    assert_eq!(known.addresses(80_000), peers(&[1, 2]));
}

// Guards against nodes that miss crash reports since they started after the members were read.
#[test]
fn a_node_that_introduces_itself_gets_reports_until_the_members_are_read_again() {
    let known = KnownPeers::default();
    known.set(0, &peers(&[1]));
    known.add(1_000, peer(2));
    known.set(3_000, &peers(&[1]));
    assert_eq!(known.addresses(10_999), peers(&[1, 2]));
    known.set(6_000, &peers(&[1, 2]));
    assert_eq!(known.addresses(60_000), peers(&[1, 2]));
}
