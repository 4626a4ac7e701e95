//! Changes of a view, and the members that watch the platform and propose changes.

use wisteriapoint_types::{MemberId, Nonce, PartitionId, hash64};

use crate::{Member, View};

/// Number of daemons in one failure domain that watch the platform for all of its daemons.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Number of daemons that propose changes of the view.
pub const PROPOSERS: usize = 3;

impl View {
    /// Returns the next view, with the given daemons added and removed.
    ///
    /// A previous run on the VM of a joining daemon is removed as well.
    pub fn with_changes(&self, joining: &[Member], leaving: &[MemberId], nonce: Nonce) -> Self {
        let mut members = self.members.clone();
        members.retain(|old| !leaving.contains(&old.id));
        for member in joining {
            members.retain(|old| old.vm != member.vm && old.id != member.id);
            members.push(member.clone());
        }
        self.next(members, nonce)
    }

    /// Returns this view, which follows `previous`, without the joining members that no longer
    /// hold a lease.
    ///
    /// Returns `None` if no change remains.
    pub fn without_expired(self, previous: &Self, leases: &[Member]) -> Option<Self> {
        let holds = |member: &Member| leases.iter().any(|lease| lease.id == member.id);
        let is_kept = |member: &Member| previous.member(member.id).is_some() || holds(member);
        if self.members.iter().all(is_kept) {
            return Some(self);
        }
        let joining = self.members.iter().filter(|member| is_kept(member));
        let joining: Vec<_> = joining
            .filter(|member| previous.member(member.id).is_none())
            .cloned()
            .collect();
        let is_replaced = |old: &Member| self.members.iter().any(|new| new.vm == old.vm);
        let leaving: Vec<_> = previous
            .members
            .iter()
            .filter(|old| self.member(old.id).is_none() && !is_replaced(old))
            .map(|old| old.id)
            .collect();
        let has_change = !joining.is_empty() || !leaving.is_empty();
        has_change.then(|| previous.with_changes(&joining, &leaving, self.nonce))
    }

    /// Returns the member with the highest rank for a subject.
    ///
    /// It is the first of [`View::coordinators`], found without sorting all members.
    pub fn coordinator(&self, subject: &[u8]) -> Option<MemberId> {
        let ids = self.members.iter().map(|member| member.id);
        ids.max_by_key(|id| (hash64(id.0, subject), *id))
    }

    /// Returns `true` if a member watches the platform on behalf of its failure domain.
    ///
    /// Also returns `true` for a daemon that is not a member: it watches for itself.
    pub fn is_watcher(&self, id: MemberId) -> bool {
        let Some(own) = self.member(id) else {
            return true;
        };
        let higher_ranked = self
            .members
            .iter()
            .filter(|member| member.failure_domain == own.failure_domain)
            .filter(|member| watch_rank(member.id) > watch_rank(id));
        higher_ranked.count() < WATCHERS_PER_DOMAIN
    }

    /// Returns the rank of a member among the proposers, from 0, or `None` if it is none of them.
    pub fn proposer_rank(&self, id: MemberId) -> Option<usize> {
        let ranked = self.coordinators(b"proposer");
        let rank = ranked.iter().position(|&member| member == id)?;
        (rank < PROPOSERS).then_some(rank)
    }
}

fn watch_rank(id: MemberId) -> (u64, MemberId) {
    let subject = PartitionId::default().0.to_le_bytes();
    (hash64(id.0, &subject), id)
}
