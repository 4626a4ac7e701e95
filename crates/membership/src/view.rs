//! The view and its stored record.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{FailureDomain, MemberId, Nonce, Region, ViewNumber, VmName};

/// One version of the membership, stored as a value in the platform's key-value service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct View {
    /// Number of the view; increases by one with each view.
    pub number: ViewNumber,
    /// Random number of the proposal, with which its proposer detects, after a write without a
    /// response, whether its own view or a competing one was stored.
    pub nonce: Nonce,
    /// Members of this view.
    pub members: Vec<Member>,
    /// Earlier views whose claims may not all have been transferred yet, oldest first.
    #[serde(default)]
    pub earlier: Vec<EarlierView>,
    /// Members of earlier views that are not in this one.
    #[serde(default, rename = "former")]
    pub previous_members: Vec<Member>,
}

/// Record of an earlier view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Earlier")]
pub struct EarlierView {
    /// Number of the earlier view.
    pub number: ViewNumber,
    /// Ids of its members.
    pub members: Vec<MemberId>,
}

/// One run of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Identifies the run: a daemon gets a new id each time it starts.
    pub id: MemberId,
    /// VM on which it runs.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain.
    pub region: Region,
    /// Address for requests of other daemons, UDP and TCP.
    pub peer_address: SocketAddr,
    /// Address for requests of operators.
    pub admin_address: SocketAddr,
}

impl View {
    /// Returns the member of this view with the given id.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Returns the member of this view or of an earlier one with the given id.
    pub fn current_or_previous(&self, id: MemberId) -> Option<&Member> {
        let mut members = self.members.iter().chain(&self.previous_members);
        members.find(|member| member.id == id)
    }

    /// Returns `true` if a previous member has definitely ended, since a member of this view runs
    /// on its VM.
    pub fn is_replaced(&self, id: MemberId) -> bool {
        let previous = self.previous_members.iter().find(|member| member.id == id);
        previous.is_some_and(|old| self.members.iter().any(|member| member.vm == old.vm))
    }

    /// Returns the previous members whose VMs are not in the platform's list, so that their runs
    /// have ended.
    ///
    /// The list must be newer than this view by more than the time that it may lag behind. A list
    /// without `own`, the VM of the calling daemon, is ignored.
    pub fn unlisted(&self, own: &VmName, listed: &BTreeSet<VmName>) -> BTreeSet<MemberId> {
        let previous = self.previous_members.iter();
        let unlisted = previous.filter(|old| listed.contains(own) && !listed.contains(&old.vm));
        unlisted.map(|old| old.id).collect()
    }

    /// Returns the earlier views, oldest first.
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

    /// Returns this view without the records of earlier views below the given number, which no
    /// transfer needs any more, and without the previous members that only they contain.
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

    /// Returns the next view with a daemon added; a previous run on the same VM is removed.
    pub fn with_member(&self, member: Member, nonce: Nonce) -> Self {
        self.with_changes(&[member], &[], nonce)
    }

    /// Returns the next view without the given daemons.
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
