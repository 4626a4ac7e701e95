//! Why a node may take a batch job from its owner, and what has to be true when it does.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Owner;

/// Why a node may take a batch job from the owner that its state row names.
///
/// An owner that is alive acts on what it remembers, so each reason excludes one that does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakeOverReason {
    /// The owner is no member: its VM has no member row, or one of another run.
    ///
    /// A node counts as the owner of anything only after it has written its member row and then read that
    /// it still owns it. While the row is as it was read, the owner has not come back.
    OwnerGone {
        /// The owner.
        owner: Owner,
        /// Revision of the member row of its VM; 0 if there is none.
        member_revision: u64,
    },
    /// The owner hands it over, and counts as no definite owner from before it asks.
    HandedOver {
        /// The owner.
        owner: Owner,
    },
    /// The owner is an earlier run on the VM of the node that takes the batch job.
    EarlierRun,
    /// The state row names the node that takes the batch job, after a write without an answer.
    OwnRow,
}

impl TakeOverReason {
    /// Returns `true` if the reason is one against the owner that a state row names.
    ///
    /// `taker` is the node that takes the batch job.
    pub fn is_against(&self, owner: &Owner, taker: &Owner) -> bool {
        match self {
            Self::OwnerGone { owner: named, .. } | Self::HandedOver { owner: named } => {
                named == owner
            }
            Self::EarlierRun => owner.vm == taker.vm && owner.run != taker.run,
            Self::OwnRow => owner == taker,
        }
    }

    /// Returns the VM whose member row must be unchanged, and its revision, if the reason depends on one.
    pub fn member_condition(&self) -> Option<(&str, u64)> {
        match self {
            Self::OwnerGone {
                owner,
                member_revision,
            } => Some((&owner.vm, *member_revision)),
            Self::HandedOver { .. } | Self::EarlierRun | Self::OwnRow => None,
        }
    }
}

/// A member row, as far as ownership depends on it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Member {
    revision: u64,
    /// `None` if the row could not be parsed.
    run: Option<Owner>,
}

/// The member rows of one read, by VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Members(BTreeMap<Box<str>, Member>);

impl Members {
    /// Creates a set without members.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the row of a VM with its revision; `run` is `None` if it could not be parsed.
    #[must_use]
    pub fn with_row(mut self, vm: &str, revision: u64, run: Option<Owner>) -> Self {
        self.0.insert(vm.into(), Member { revision, run });
        self
    }

    /// Returns the members, by the names of their VMs.
    pub fn runs(&self) -> impl Iterator<Item = &Owner> {
        self.0.values().filter_map(|member| member.run.as_ref())
    }

    /// Returns `true` if a run is a member.
    pub fn contains(&self, run: &Owner) -> bool {
        self.runs().any(|member| member == run)
    }

    /// Returns the reason to take batch jobs from an owner, or `None` if it is a member.
    pub fn reason_against(&self, owner: &Owner) -> Option<TakeOverReason> {
        let member = self.0.get(&owner.vm);
        match member {
            Some(member) if member.run.as_ref() == Some(owner) => None,
            _ => Some(TakeOverReason::OwnerGone {
                owner: owner.clone(),
                member_revision: member.map_or(0, |member| member.revision),
            }),
        }
    }
}
