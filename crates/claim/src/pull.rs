//! How a new holder gets the claims of earlier views.

use std::collections::{BTreeMap, BTreeSet};

use wisteriapoint_membership::{Holders, View};
use wisteriapoint_types::{MemberId, PartitionId, ViewNumber};

use crate::{Page, Transfer};

const FIRST_VIEW: ViewNumber = ViewNumber(1);

/// Collects the claims of one partition for a holder of a view.
///
/// A source that was open in some view knows every claim of the views before that one.
/// From that view on, a majority of the holders of each view has to be sealed, so that
/// one of them knows any claim that was won there.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Pull {
    view: ViewNumber,
    stages: Vec<(ViewNumber, Holders)>,
    begun: BTreeMap<MemberId, ViewNumber>,
    sealed: BTreeSet<MemberId>,
    gone: BTreeSet<MemberId>,
    transfer: Transfer,
}

/// How far a pull has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// These holders have still to be sealed.
    Pending(Vec<MemberId>),
    /// Every claim of the earlier views is in the transfer.
    Complete(Transfer),
    /// Claims are lost for good: every holder that could tell is gone.
    Lost(Transfer),
}

impl Pull {
    /// Starts a pull for a partition in a view.
    pub fn new(view: &View, partition: PartitionId) -> Self {
        let stages = view
            .earlier_views()
            .map(|earlier| (earlier.number, earlier.holders(partition)))
            .collect();
        Self {
            view: view.number,
            stages,
            begun: BTreeMap::new(),
            sealed: BTreeSet::new(),
            gone: BTreeSet::new(),
            transfer: Transfer::default(),
        }
    }

    /// Takes a page from a source; the pages of one source come in order.
    pub fn add_page(&mut self, source: MemberId, page: Page) {
        let is_last = page.next.is_none();
        self.begun.entry(source).or_insert(page.opened);
        self.transfer.merge(page.transfer);
        if is_last {
            self.sealed.insert(source);
        }
    }

    /// Notes that a source's run is over for certain.
    ///
    /// Silence is no proof: a holder that is only slow may still grant.
    pub fn mark_terminated(&mut self, source: MemberId) {
        self.gone.insert(source);
    }

    /// How far the pull has come; a lost one opens with the time of the loss.
    pub fn progress(&self, now_ms: u64) -> Progress {
        let known_to = self.known_to();
        let first = self.stages.first().map_or(self.view, |(number, _)| *number);
        let needed = || self.stages.iter().filter(|(number, _)| *number >= known_to);
        let is_known = known_to >= first || first == FIRST_VIEW;
        if is_known && needed().all(|(_, holders)| self.is_sealed(holders)) {
            return Progress::Complete(self.transfer.clone());
        }
        let missing: BTreeSet<MemberId> = needed()
            .flat_map(|(_, holders)| self.unsealed(holders))
            .collect();
        if !missing.is_empty() {
            return Progress::Pending(missing.into_iter().collect());
        }
        let mut transfer = self.transfer.clone();
        transfer.lost_at_ms = transfer.lost_at_ms.max(Some(now_ms));
        Progress::Lost(transfer)
    }

    fn known_to(&self) -> ViewNumber {
        let opened = self.sealed.iter().filter_map(|id| self.begun.get(id));
        opened.copied().max().unwrap_or_default()
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
            .filter(|id| !self.sealed.contains(id) && !self.gone.contains(id))
            .collect()
    }
}
