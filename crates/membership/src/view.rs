//! The view record.

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

    /// The next view with a daemon added; an earlier run on the same VM is removed.
    pub fn with_member(&self, member: Member, nonce: Nonce) -> Self {
        let mut next = self.next(nonce);
        next.members.retain(|old| old.vm != member.vm);
        next.members.push(member);
        next
    }

    /// The next view without some daemons.
    pub fn without_members(&self, gone: &[MemberId], nonce: Nonce) -> Self {
        let mut next = self.next(nonce);
        next.members.retain(|member| !gone.contains(&member.id));
        next
    }

    fn next(&self, nonce: Nonce) -> Self {
        Self {
            number: ViewNumber(self.number.0 + 1),
            nonce,
            members: self.members.clone(),
        }
    }
}
