//! The view record.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{FailureDomain, MemberId, Nonce, Region, ViewNumber, VmName};

/// The members at one time; one value in the platform's key-value service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct View {
    /// Number of the view.
    pub number: ViewNumber,
    /// Names the proposal, so that its author can tell a lost answer from a lost race.
    pub nonce: Nonce,
    /// The members.
    pub members: Vec<Member>,
    /// Earlier views whose claims may not all have been transferred, oldest first.
    #[serde(default)]
    pub earlier: Vec<EarlierView>,
    /// Members of earlier views that are in this one no more.
    #[serde(default, rename = "former")]
    pub previous_members: Vec<Member>,
}

/// An earlier view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EarlierView {
    /// Number of the view.
    pub number: ViewNumber,
    /// Its members.
    pub members: Vec<MemberId>,
}

/// One daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// This run of the daemon.
    pub id: MemberId,
    /// Its VM.
    pub vm: VmName,
    /// The VM's failure domain.
    pub failure_domain: FailureDomain,
    /// The failure domain's region.
    pub region: Region,
    /// Where it answers other daemons, UDP and TCP.
    pub peer_address: SocketAddr,
    /// Where it answers operators.
    pub admin_address: SocketAddr,
}

impl View {
    /// The member with an id.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// The member with an id, of this view or of an earlier one.
    pub fn current_or_previous(&self, id: MemberId) -> Option<&Member> {
        let mut members = self.members.iter().chain(&self.previous_members);
        members.find(|member| member.id == id)
    }

    /// Whether a member's run is over for certain, since its VM runs a later one.
    pub fn is_replaced(&self, id: MemberId) -> bool {
        let previous = self.previous_members.iter().find(|member| member.id == id);
        previous.is_some_and(|old| self.members.iter().any(|member| member.vm == old.vm))
    }

    /// Former members whose VMs the platform lists no more, so that their runs are over.
    ///
    /// The list has to be younger than this view by more than its lag. One that does not
    /// name `own`, the VM of the daemon that asks, says nothing.
    pub fn unlisted(&self, own: &VmName, listed: &BTreeSet<VmName>) -> BTreeSet<MemberId> {
        let previous = self.previous_members.iter();
        let unlisted = previous.filter(|old| listed.contains(own) && !listed.contains(&old.vm));
        unlisted.map(|old| old.id).collect()
    }

    /// The earlier views, oldest first.
    pub fn earlier_views(&self) -> impl Iterator<Item = Self> {
        self.earlier.iter().map(|earlier| Self {
            number: earlier.number,
            members: earlier
                .members
                .iter()
                .filter_map(|&id| self.current_or_previous(id).cloned())
                .collect(),
            ..Self::default()
        })
    }

    /// This view without the records of views that no transfer needs any more.
    pub fn without_views_before(mut self, number: ViewNumber) -> Self {
        self.earlier.retain(|earlier| earlier.number >= number);
        let earlier = &self.earlier;
        let is_needed = |old: &Member| {
            earlier
                .iter()
                .any(|earlier| earlier.members.contains(&old.id))
        };
        self.previous_members.retain(is_needed);
        self
    }

    /// The next view with a daemon added; an earlier run on the same VM is removed.
    pub fn with_member(&self, member: Member, nonce: Nonce) -> Self {
        self.with_changes(&[member], &[], nonce)
    }

    /// The next view without some daemons.
    pub fn without_members(&self, leaving: &[MemberId], nonce: Nonce) -> Self {
        self.with_changes(&[], leaving, nonce)
    }

    pub(crate) fn next(&self, members: Vec<Member>, nonce: Nonce) -> Self {
        let mut earlier = self.earlier.clone();
        if self.number > ViewNumber(0) {
            earlier.push(EarlierView {
                number: self.number,
                members: self.members.iter().map(|member| member.id).collect(),
            });
        }
        let is_new = |old: &&Member| members.iter().all(|member| member.id != old.id);
        let candidates = self.previous_members.iter().chain(&self.members);
        let previous_members = candidates.filter(is_new).cloned().collect();
        Self {
            number: ViewNumber(self.number.0 + 1),
            nonce,
            members,
            earlier,
            previous_members,
        }
    }
}
