//! The holder of claims.

use std::collections::BTreeMap;

use wisteriapoint_types::{PartitionId, ViewNumber};

use crate::{ClaimRequest, ClaimResponse, Page, Partition, Report, Seal, Transfer};

/// The claims that one daemon keeps.
#[derive(Debug, Default)]
pub struct Holder {
    view: ViewNumber,
    partitions: BTreeMap<PartitionId, Partition>,
}

impl Holder {
    /// Makes a holder that knows no view and no claims.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learns of a view: from now on the asks of earlier views are refused.
    pub fn observe_view(&mut self, view: ViewNumber) {
        self.view = self.view.max(view);
    }

    /// Opens a partition with the claims of all earlier views, if the view is the latest.
    pub fn open(&mut self, view: ViewNumber, key: PartitionId, transfer: Transfer) {
        let latest = self.view;
        let partition = self.partition(key);
        partition.seal(latest);
        partition.open(view, transfer);
    }

    /// Number of keys that are known.
    pub fn len(&self) -> usize {
        self.partitions.values().map(Partition::len).sum()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.partitions.values().all(Partition::is_empty)
    }

    /// Number of partitions that are open in the latest view.
    pub fn open_partitions(&self) -> usize {
        let is_open = |partition: &&Partition| partition.is_open(self.view);
        self.partitions.values().filter(is_open).count()
    }

    /// Whether a partition is open in a view that is the latest.
    pub fn is_open(&self, view: ViewNumber, key: PartitionId) -> bool {
        let partition = self.partitions.get(&key);
        view == self.view && partition.is_some_and(|partition| partition.is_open(view))
    }

    /// Answers a claimant.
    pub fn claim(&mut self, now_ms: u64, ask: &ClaimRequest) -> ClaimResponse {
        let latest = self.view;
        let partition = self.partition(ask.key.partition());
        partition.seal(latest);
        partition.claim(now_ms, ask)
    }

    /// Takes a claimant's report.
    pub fn apply_report(&mut self, now_ms: u64, report: &Report) {
        let partition = self.partition(report.request.key.partition());
        partition.apply_report(now_ms, report);
    }

    /// Seals a partition and answers with a page of its claims.
    pub fn seal(&mut self, seal: &Seal) -> Page {
        let latest = self.view;
        let partition = self.partition(seal.partition);
        partition.seal(latest.max(seal.view));
        partition.page(seal.after.as_ref())
    }

    /// Forgets claims whose time is over.
    pub fn evict_expired(&mut self, now_ms: u64) {
        for partition in self.partitions.values_mut() {
            partition.evict_expired(now_ms);
        }
    }

    fn partition(&mut self, key: PartitionId) -> &mut Partition {
        self.partitions.entry(key).or_default()
    }
}
