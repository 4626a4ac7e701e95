//! Endpoint subsetting for services with more endpoints than one daemon should use.

use wisteriapoint_types::{EndpointName, MemberId, hash64};

/// Selects the endpoints of a service that one daemon uses.
///
/// Each endpoint ranks the daemons by rendezvous hash and is used by the highest ranked, so
/// every endpoint is covered, and adding or removing a daemon affects only its own endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Subset {
    me: MemberId,
    members: Vec<MemberId>,
    size: usize,
}

impl Subset {
    /// Creates the subset of about `size` endpoints for the daemon `me` among all `members`.
    pub fn new(me: MemberId, members: Vec<MemberId>, size: usize) -> Self {
        Self { me, members, size }
    }

    /// Returns the endpoints that this daemon uses, or all if there are no more than the
    /// subset size or no members are given.
    pub fn select<'a>(&self, endpoints: &[&'a EndpointName]) -> Vec<&'a EndpointName> {
        if endpoints.len() <= self.size || self.members.is_empty() {
            return endpoints.to_vec();
        }
        let users = (self.size * self.members.len()).div_ceil(endpoints.len());
        let used = |endpoint: &&&EndpointName| self.rank(endpoint) < users;
        endpoints.iter().filter(used).copied().collect()
    }

    /// Returns `true` if this daemon ranks first for the endpoint or no members are given.
    pub fn owns(&self, endpoint: &EndpointName) -> bool {
        self.members.is_empty() || self.rank(endpoint) == 0
    }

    /// Returns how many daemons rank above this one for the endpoint.
    fn rank(&self, endpoint: &EndpointName) -> usize {
        let seed = hash64(0, endpoint.as_str().as_bytes());
        let weight = |member: MemberId| (hash64(seed, &member.0.to_le_bytes()), member);
        let own = weight(self.me);
        let higher = self.members.iter().filter(|&&other| weight(other) > own);
        higher.count()
    }
}
