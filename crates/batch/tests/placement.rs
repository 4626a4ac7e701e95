//! The owners of batch jobs: nodes agree, and the loss of one moves only its own routes.

use wisteriapoint_batch::placement::{assign_by_room, ranked_owners};

fn nodes(count: u32) -> Vec<(u32, Option<f64>)> {
    (0..count).map(|node| (node, Some(0.5))).collect()
}

/// Guards against nodes that send the batch jobs of one route to different owners because they list
/// the members in another order.
#[test]
fn the_order_of_the_members_does_not_matter() {
    let mut reversed = nodes(20);
    reversed.reverse();
    for route in ["a", "b", "c"] {
        assert_eq!(
            ranked_owners(route, &nodes(20)),
            ranked_owners(route, &reversed)
        );
    }
}

/// Guards against a loss of one node that moves the batch jobs of other routes.
#[test]
fn a_lost_node_moves_only_its_own_routes() {
    for route in (0..50).map(|route| format!("route-{route}")) {
        let before = ranked_owners(&route, &nodes(20));
        let lost = before[0];
        let rest: Vec<_> = nodes(20)
            .into_iter()
            .filter(|(node, _)| *node != lost)
            .collect();
        assert_eq!(ranked_owners(&route, &rest)[0], before[1]);
        let other: Vec<_> = nodes(20)
            .into_iter()
            .filter(|(node, _)| *node != before[7])
            .collect();
        assert_eq!(ranked_owners(&route, &other)[0], lost);
    }
}

/// Guards against owners on the smallest VMs of an uneven fleet, and against a fleet without an owner
/// as no VM states its capacity.
#[test]
fn small_nodes_own_nothing_beside_large_ones() {
    let uneven: Vec<_> = nodes(4)
        .into_iter()
        .chain((4..40).map(|node| (node, Some(0.09))))
        .chain([(40, None)])
        .collect();
    for route in (0..50).map(|route| format!("route-{route}")) {
        let ranked = ranked_owners(&route, &uneven);
        assert_eq!(ranked.len(), 4);
        assert!(ranked.iter().all(|node| *node < 4));
    }
    assert_eq!(ranked_owners("a", &[(1, None), (2, None)]).len(), 2);
}

/// Guards against one node that owns the batch jobs of most routes.
#[test]
fn routes_are_spread_over_the_nodes() {
    let mut counts = [0_u32; 20];
    for route in (0..1_000).map(|route| format!("route-{route}")) {
        counts[ranked_owners(&route, &nodes(20))[0] as usize] += 1;
    }
    assert!(
        counts.iter().all(|count| (20..=100).contains(count)),
        "{counts:?}"
    );
}

/// Guards against a node that gets all batch jobs of a lost one, and against a large batch job that holds
/// up smaller ones.
#[test]
fn batch_jobs_go_to_the_nodes_with_room() {
    let nodes = [('a', 30), ('b', 20), ('c', 0)];
    let assigned = assign_by_room(&[10, 10, 10, 15, 15], &nodes);
    let expected = [Some('a'), Some('a'), Some('b'), None, None];
    assert_eq!(assigned, expected);
    assert_eq!(assign_by_room(&[40, 20], &nodes), [None, Some('a')]);
    assert_eq!(assign_by_room(&[0], &[] as &[(char, usize)]), [None]);
}
