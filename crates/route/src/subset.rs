//! Which endpoints a daemon uses when there are too many for all daemons to use all.

use wisteriapoint_types::{EndpointName, MemberId, hash64};

/// The share of a service's endpoints that one daemon uses.
///
/// Each endpoint ranks the daemons by rendezvous hash and is used by the first few, so
/// each is covered, and a change of one daemon moves only its own endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Subset {
    me: MemberId,
    members: Vec<MemberId>,
    size: usize,
}

impl Subset {
    /// The subset of the daemon `me` among all `members`, of about `size` endpoints.
    pub fn new(me: MemberId, members: Vec<MemberId>, size: usize) -> Self {
        Self { me, members, size }
    }

    /// The names out of `endpoints` that this daemon uses.
    pub fn select<'a>(&self, endpoints: &[&'a EndpointName]) -> Vec<&'a EndpointName> {
        if endpoints.len() <= self.size || self.members.is_empty() {
            return endpoints.to_vec();
        }
        let users = (self.size * self.members.len()).div_ceil(endpoints.len());
        let used = |endpoint: &&&EndpointName| self.rank(endpoint) < users;
        endpoints.iter().filter(used).copied().collect()
    }

    /// Whether the endpoint prefers this daemon to all others.
    pub fn owns(&self, endpoint: &EndpointName) -> bool {
        self.members.is_empty() || self.rank(endpoint) == 0
    }

    /// Number of daemons that the endpoint prefers to this one.
    fn rank(&self, endpoint: &EndpointName) -> usize {
        let seed = hash64(0, endpoint.as_str().as_bytes());
        let weight = |member: MemberId| (hash64(seed, &member.0.to_le_bytes()), member);
        let mine = weight(self.me);
        let better = self.members.iter().filter(|&&other| weight(other) > mine);
        better.count()
    }
}
