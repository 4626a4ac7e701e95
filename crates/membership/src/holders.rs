//! Duties derived from a view by rendezvous hashing.

use std::collections::BTreeSet;

use wisteriapoint_types::key::PARTITION_COUNT;
use wisteriapoint_types::{MemberId, PartitionId, hash64};

use crate::{Member, View};

/// Holders of a partition in a fleet that has as many members.
pub const HOLDERS_PER_PARTITION: usize = 3;

/// The daemons that keep the claims of one partition.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holders {
    /// Their ids, best rank first.
    pub members: Vec<MemberId>,
}

impl Holders {
    /// Grants that a claim needs: the majority of the holders.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

impl View {
    /// The holders of a partition, in different failure domains as far as possible.
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

    /// The partitions that a member keeps the claims of.
    pub fn partitions_held_by(&self, id: MemberId) -> impl Iterator<Item = PartitionId> {
        let holds = move |key: &PartitionId| self.holders(*key).members.contains(&id);
        (0..PARTITION_COUNT).map(PartitionId).filter(holds)
    }

    /// Whether members that have all their partitions open are enough to forget the
    /// earlier views: a majority of the holders of each partition.
    pub fn is_transferred(&self, open: &BTreeSet<MemberId>) -> bool {
        (0..PARTITION_COUNT).map(PartitionId).all(|key| {
            let holders = self.holders(key);
            let open = holders.members.iter().filter(|id| open.contains(id));
            open.count() >= holders.majority()
        })
    }

    /// The members in order of rank for a subject; the first coordinates it.
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
