//! Assignment of partitions and subjects to members by rendezvous hashing.

use std::collections::BTreeSet;

use wisteriapoint_types::key::PARTITION_COUNT;
use wisteriapoint_types::{MemberId, PartitionId, hash64};

use crate::{Member, View};

/// Number of holders of a partition, if the view has that many members.
pub const HOLDERS_PER_PARTITION: usize = 3;

/// The daemons that store the claims of one partition.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holders {
    /// Ids of the holders, highest rank first.
    pub members: Vec<MemberId>,
}

impl Holders {
    /// Returns the number of grants that a claim needs: a majority of the holders.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

impl View {
    /// Returns the holders of a partition, in different failure domains as far as possible.
    pub fn holders(&self, partition: PartitionId) -> Holders {
        let ranked = self.ranked(&partition.0.to_le_bytes());
        let mut chosen: Vec<&Member> = Vec::with_capacity(HOLDERS_PER_PARTITION);
        for member in &ranked {
            let domain_is_new = chosen
                .iter()
                .all(|other| other.failure_domain != member.failure_domain);
            if domain_is_new && chosen.len() < HOLDERS_PER_PARTITION {
                chosen.push(member);
            }
        }
        for member in &ranked {
            let is_new = chosen.iter().all(|other| other.id != member.id);
            if is_new && chosen.len() < HOLDERS_PER_PARTITION {
                chosen.push(member);
            }
        }
        Holders {
            members: chosen.iter().map(|member| member.id).collect(),
        }
    }

    /// Returns the partitions whose claims a member stores.
    pub fn partitions_held_by(&self, id: MemberId) -> impl Iterator<Item = PartitionId> {
        let holds = move |key: &PartitionId| self.holders(*key).members.contains(&id);
        (0..PARTITION_COUNT).map(PartitionId).filter(holds)
    }

    /// Returns `true` if the members that have opened all their partitions include a majority of
    /// the holders of each partition, so that the earlier views are no longer needed.
    pub fn is_transferred(&self, open: &BTreeSet<MemberId>) -> bool {
        (0..PARTITION_COUNT).map(PartitionId).all(|key| {
            let holders = self.holders(key);
            let open = holders.members.iter().filter(|id| open.contains(id));
            open.count() >= holders.majority()
        })
    }

    /// Returns the members in the order of their rank for a subject; the first one coordinates it.
    pub fn coordinators(&self, subject: &[u8]) -> Vec<MemberId> {
        self.ranked(subject)
            .iter()
            .map(|member| member.id)
            .collect()
    }

    fn ranked(&self, subject: &[u8]) -> Vec<&Member> {
        let mut ranked: Vec<&Member> = self.members.iter().collect();
        ranked.sort_by_key(|member| std::cmp::Reverse((hash64(member.id.0, subject), member.id)));
        ranked
    }
}
