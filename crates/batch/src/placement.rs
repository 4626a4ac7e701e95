//! Choice of the node that owns the batch jobs of a route.
//!
//! Batch jobs of one route go to one node, so that its connections to the endpoints are reused from
//! one step of a trainer to the next, and every node knows whom to ask without the store.

use wisteriapoint_types::hash64;

/// Least capacity of an owner, relative to the largest of any node: owners read the outputs of all
/// items, for which the smallest VMs of an uneven fleet are too slow.
const MIN_RELATIVE_CAPACITY: f64 = 0.5;

/// Returns the nodes that may own the batch jobs of a route, the preferred one first.
///
/// Each candidate comes with its capacity in processor cores, or `None` if it states none. The order
/// follows from the route and the nodes alone, so that nodes with the same view agree.
pub fn ranked_owners<N: Copy + ToString>(route: &str, candidates: &[(N, Option<f64>)]) -> Vec<N> {
    let largest = candidates.iter().filter_map(|(_, capacity)| *capacity);
    let largest = largest.fold(0.0, f64::max);
    let is_large = |capacity: Option<f64>| {
        largest <= 0.0 || capacity.unwrap_or(0.0) >= largest * MIN_RELATIVE_CAPACITY
    };
    let seed = hash64(0, route.as_bytes());
    let mut ranked: Vec<_> = candidates
        .iter()
        .filter(|&&(_, capacity)| is_large(capacity))
        .map(|&(node, _)| (hash64(seed, node.to_string().as_bytes()), node))
        .collect();
    ranked.sort_by_key(|&(rank, _)| std::cmp::Reverse(rank));
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// Assigns batch jobs to nodes by the bytes that these have free, each to the node with the most, of
/// equal ones to the first.
///
/// A batch job that no node has room for is assigned to none, and takes no room from those after it.
pub fn assign_by_room<N: Copy>(sizes_bytes: &[usize], nodes: &[(N, usize)]) -> Vec<Option<N>> {
    let mut nodes = nodes.to_vec();
    let assigned = sizes_bytes.iter().map(|&size_bytes| {
        let most = nodes.iter_mut().rev();
        let (node, free_bytes) = most.max_by_key(|(_, free_bytes)| *free_bytes)?;
        *free_bytes = free_bytes.checked_sub(size_bytes)?;
        Some(*node)
    });
    assigned.collect()
}
