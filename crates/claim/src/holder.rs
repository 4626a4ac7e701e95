//! Storage of claims on one daemon, by partition.

use std::collections::BTreeMap;

use wisteriapoint_types::{PartitionId, ViewNumber};

use crate::{ClaimRequest, ClaimResponse, Page, Partition, Report, Seal, Transfer};

/// The claims that one daemon stores.
#[derive(Debug, Default)]
pub struct Holder {
    view: ViewNumber,
    partitions: BTreeMap<PartitionId, Partition>,
}

impl Holder {
    /// Creates a holder without a view and without claims.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a view; claim requests of earlier views are refused from then on.
    pub fn observe_view(&mut self, view: ViewNumber) {
        self.view = self.view.max(view);
    }

    /// Adds the claims of all earlier views to a partition, and opens it if the view is the
    /// latest.
    pub fn open(&mut self, view: ViewNumber, id: PartitionId, transfer: Transfer) {
        let latest = self.view;
        let partition = self.partition_mut(id);
        partition.seal(latest);
        partition.open(view, transfer);
    }

    /// Returns the number of keys with a record.
    pub fn len(&self) -> usize {
        self.partitions.values().map(Partition::len).sum()
    }

    /// Returns `true` if no key has a record.
    pub fn is_empty(&self) -> bool {
        self.partitions.values().all(Partition::is_empty)
    }

    /// Returns the number of partitions that are open in the latest view.
    pub fn open_partitions(&self) -> usize {
        let is_open = |partition: &&Partition| partition.is_open(self.view);
        self.partitions.values().filter(is_open).count()
    }

    /// Returns `true` if a view is the latest and a partition is open in it.
    pub fn is_open(&self, view: ViewNumber, id: PartitionId) -> bool {
        let partition = self.partitions.get(&id);
        view == self.view && partition.is_some_and(|partition| partition.is_open(view))
    }

    /// Processes a claim request and returns the response to the claimant.
    pub fn claim(&mut self, now_ms: u64, request: &ClaimRequest) -> ClaimResponse {
        let latest = self.view;
        let partition = self.partition_mut(request.key.partition());
        partition.seal(latest);
        partition.claim(now_ms, request)
    }

    /// Applies a claimant's report, which settles or releases an attempt.
    pub fn apply_report(&mut self, now_ms: u64, report: &Report) {
        let partition = self.partition_mut(report.request.key.partition());
        partition.apply_report(now_ms, report);
    }

    /// Seals a partition against all views before that of the message, and returns a page of
    /// its claims.
    pub fn seal(&mut self, seal: &Seal) -> Page {
        let latest = self.view;
        let partition = self.partition_mut(seal.partition);
        partition.seal(latest.max(seal.view));
        partition.page(seal.after.as_ref())
    }

    /// Evicts all records that have expired.
    pub fn evict_expired(&mut self, now_ms: u64) {
        for partition in self.partitions.values_mut() {
            partition.evict_expired(now_ms);
        }
    }

    fn partition_mut(&mut self, id: PartitionId) -> &mut Partition {
        self.partitions.entry(id).or_default()
    }
}
