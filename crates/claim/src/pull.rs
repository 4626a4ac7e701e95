//! Transfer of the claims of earlier views to a new holder.

use std::collections::{BTreeMap, BTreeSet};

use wisteriapoint_membership::{Holders, View};
use wisteriapoint_types::{MemberId, PartitionId, ViewNumber};

use crate::{Page, Transfer};

const FIRST_VIEW: ViewNumber = ViewNumber(1);

/// Collects the claims of one partition for a new holder in a view.
///
/// A source that was open in some view has every claim of the views before that one. For
/// that view and each later one, a majority of the holders has to be sealed, so that at
/// least one of them has any claim that was granted by a majority in that view.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Pull {
    view: ViewNumber,
    stages: Vec<(ViewNumber, Holders)>,
    opened_in: BTreeMap<MemberId, ViewNumber>,
    sealed: BTreeSet<MemberId>,
    terminated: BTreeSet<MemberId>,
    transfer: Transfer,
}

/// Progress of a [`Pull`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// These holders have not been sealed yet.
    Pending(Vec<MemberId>),
    /// The transfer contains every claim of the earlier views.
    Complete(Transfer),
    /// Claims may be lost permanently: every holder that could still supply them has
    /// terminated.
    Lost(Transfer),
}

impl Pull {
    /// Creates a pull of a partition in a view, with no pages collected.
    pub fn new(view: &View, partition: PartitionId) -> Self {
        let stages = view
            .earlier_views()
            .map(|earlier| (earlier.number, earlier.holders(partition)))
            .collect();
        Self {
            view: view.number,
            stages,
            opened_in: BTreeMap::new(),
            sealed: BTreeSet::new(),
            terminated: BTreeSet::new(),
            transfer: Transfer::default(),
        }
    }

    /// Adds a page from a source; the pages of one source have to be added in order.
    pub fn add_page(&mut self, source: MemberId, page: Page) {
        let is_last = page.next.is_none();
        self.opened_in.entry(source).or_insert(page.opened);
        self.transfer.merge(page.transfer);
        if is_last {
            self.sealed.insert(source);
        }
    }

    /// Records that the process of a source has definitely terminated.
    ///
    /// A missing response is no proof: a holder that is only slow may still grant claims.
    pub fn mark_terminated(&mut self, source: MemberId) {
        self.terminated.insert(source);
    }

    /// Returns the progress of the pull; if claims are lost, the transfer carries `now_ms` as
    /// the time of the loss.
    pub fn progress(&self, now_ms: u64) -> Progress {
        let complete_before = self.complete_before();
        let first = self.stages.first().map_or(self.view, |(number, _)| *number);
        let needed = || {
            self.stages
                .iter()
                .filter(|(number, _)| *number >= complete_before)
        };
        let is_covered = complete_before >= first || first == FIRST_VIEW;
        if is_covered && needed().all(|(_, holders)| self.is_sealed(holders)) {
            return Progress::Complete(self.transfer.clone());
        }
        let pending: BTreeSet<MemberId> = needed()
            .flat_map(|(_, holders)| self.unsealed(holders))
            .collect();
        if !pending.is_empty() {
            return Progress::Pending(pending.into_iter().collect());
        }
        let mut transfer = self.transfer.clone();
        transfer.lost_at_ms = transfer.lost_at_ms.max(Some(now_ms));
        Progress::Lost(transfer)
    }

    /// Returns the latest view in which a sealed source was open; that source has every claim
    /// of the views before it.
    fn complete_before(&self) -> ViewNumber {
        let views = self.sealed.iter().filter_map(|id| self.opened_in.get(id));
        views.copied().max().unwrap_or_default()
    }

    fn is_sealed(&self, holders: &Holders) -> bool {
        let sealed = holders.members.iter().filter(|id| self.sealed.contains(id));
        sealed.count() >= holders.majority()
    }

    fn unsealed(&self, holders: &Holders) -> Vec<MemberId> {
        if self.is_sealed(holders) {
            return Vec::new();
        }
        let members = holders.members.iter().copied();
        members
            .filter(|id| !self.sealed.contains(id) && !self.terminated.contains(id))
            .collect()
    }
}
