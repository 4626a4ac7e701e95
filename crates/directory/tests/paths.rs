//! The ways to endpoints while links of this node are cut.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use wisteriapoint_directory::paths::{Change, Paths, Way};
use wisteriapoint_types::EndpointName;

fn node(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_003))
}

fn name(number: u8) -> EndpointName {
    EndpointName::new(format!("shop-{number}"))
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, number], 80))
}

/// Paths of node 1 of eight, which has used some endpoints.
fn paths(endpoints: u8) -> Paths {
    paths_of(node(1), endpoints)
}

fn paths_of(own: SocketAddr, endpoints: u8) -> Paths {
    let mut paths = Paths::new(own);
    for number in 0..endpoints {
        assert_eq!(way(&mut paths, 0, number), Way::Direct);
        assert_eq!(paths.record_direct(0, &name(number)), None);
    }
    paths
}

/// The peers of node 1.
fn peers() -> BTreeSet<SocketAddr> {
    (2..=8).map(node).collect()
}

fn way(paths: &mut Paths, now_ms: u64, number: u8) -> Way {
    paths.way(now_ms, &name(number), address(number))
}

/// The load: all links of this node are cut, while requests go on to nine endpoints.
#[test]
fn a_node_that_reaches_no_endpoint_is_cut_off_after_two_of_them() {
    let mut paths = paths(9);
    assert_eq!(paths.record_relayed(100, &name(0), node(2)), None);
    assert_eq!(way(&mut paths, 110, 1), Way::Direct);
    assert_eq!(
        paths.record_relayed(140, &name(1), node(2)),
        Some(Change::CutOff)
    );
    for number in 0..9 {
        assert_eq!(way(&mut paths, 150, number), Way::Relayed);
    }
    assert_eq!(
        paths.record_relayed(160, &name(2), node(3)),
        None,
        "told once"
    );
}

/// The load: one endpoint has lost its link to this node, or is down; others serve.
#[test]
fn an_endpoint_that_only_others_reach_does_not_cut_the_node_off() {
    let mut paths = paths(9);
    for at_ms in [0, 1_500, 3_000, 4_500] {
        assert_eq!(paths.record_relayed(at_ms, &name(0), node(2)), None);
        assert_eq!(way(&mut paths, at_ms + 999, 0), Way::Relayed);
        assert_eq!(way(&mut paths, at_ms + 1_000, 0), Way::Direct);
        assert_eq!(paths.record_direct(at_ms + 1_000, &name(1)), None);
    }
    assert_eq!(paths.record_relayed(6_000, &name(2), node(2)), None);
    assert_eq!(
        paths.record_relayed(8_000, &name(0), node(2)),
        None,
        "too long between"
    );
}

/// The load: an endpoint crashes under many requests, which would each ask other nodes.
#[test]
fn no_other_node_is_asked_for_an_endpoint_that_none_reached() {
    let mut paths = paths(3);
    paths.record_unreached(100, &name(0));
    assert_eq!(way(&mut paths, 1_099, 0), Way::DirectOnly);
    assert_eq!(way(&mut paths, 1_100, 0), Way::Direct);
    paths.record_unreached(2_000, &name(0));
    paths.record_direct(2_100, &name(0));
    assert_eq!(way(&mut paths, 2_200, 0), Way::Direct);
}

/// The load: a link that half works, so that each second direct connection is opened.
#[test]
fn a_node_returns_only_after_two_direct_connections_in_a_row() {
    let mut paths = paths(3);
    paths.record_relayed(0, &name(0), node(2));
    paths.record_relayed(0, &name(1), node(2));
    for at_ms in (500..5_000).step_by(1_000) {
        assert_eq!(paths.record_direct(at_ms, &name(0)), None);
        paths.record_direct_failure();
    }
    assert_eq!(paths.record_direct(6_000, &name(0)), None);
    assert_eq!(
        paths.record_direct(6_500, &name(0)),
        None,
        "the same endpoint"
    );
    let returned = Some(Change::Returned { after_ms: 7_000 });
    assert_eq!(paths.record_direct(7_000, &name(1)), returned);
    assert!(!paths.is_cut_off());
    assert_eq!(way(&mut paths, 7_100, 1), Way::Direct);
}

#[test]
fn one_endpoint_is_enough_if_there_is_only_one() {
    let mut paths = paths(1);
    assert_eq!(
        paths.record_relayed(10, &name(0), node(2)),
        Some(Change::CutOff)
    );
    assert_eq!(paths.record_direct(100, &name(0)), None);
    assert!(matches!(
        paths.record_direct(600, &name(0)),
        Some(Change::Returned { .. })
    ));
}

/// The load: some peers are cut off as well, frozen or stopping.
#[test]
fn peers_that_do_not_connect_are_asked_less_and_less_often() {
    let mut paths = paths(3);
    let first = paths.relays(0, peers())[0];
    paths.record_peer_failure(0, first);
    assert!(!paths.relays(499, peers()).contains(&first));
    assert!(paths.relays(500, peers()).contains(&first));
    for _ in 0..10 {
        paths.record_peer_failure(1_000, first);
    }
    assert!(!paths.relays(8_999, peers()).contains(&first));
    assert!(paths.relays(9_000, peers()).contains(&first));
    paths.record_relayed(9_000, &name(0), first);
    paths.record_peer_failure(9_000, first);
    assert!(
        paths.relays(9_500, peers()).contains(&first),
        "a success ends the count"
    );
}

/// The load: most nodes are cut off, and those first in the order of this one don't know it yet. Guards
/// against asking the same few again and again.
#[test]
fn peers_that_reached_nothing_are_asked_after_the_others() {
    let mut paths = paths(9);
    let order = paths.relays(0, peers());
    for &peer in &order[..3] {
        paths.record_peer_unreached(0, peer);
    }
    assert_eq!(paths.relays(1, peers())[..4], order[3..]);
    assert_eq!(paths.relays(1, peers()).len(), order.len());
    paths.record_relayed(1, &name(0), order[0]);
    assert_eq!(paths.relays(2, peers())[0], order[0], "it has reached one");
    assert_eq!(paths.relays(2_000, peers()), order);
}

/// The load: two thirds of 48 nodes are cut off and use the other third.
#[test]
fn nodes_that_are_cut_off_spread_over_the_others() {
    let nodes: Vec<_> = (1..=48).map(node).collect();
    let (working, cut_off) = nodes.split_at(16);
    let mut uses = vec![0; 16];
    for &own in cut_off {
        let mut paths = Paths::new(own);
        let known = nodes.iter().copied().filter(|peer| *peer != own);
        let mut relays = paths.relays(0, known.collect()).into_iter();
        let used = relays.find(|relay| working.contains(relay)).unwrap();
        uses[working.iter().position(|node| *node == used).unwrap()] += 1;
    }
    assert!(uses.iter().all(|&count| count <= 8), "{uses:?}");
}
