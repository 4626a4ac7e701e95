//! Claims that this daemon holds.

use std::sync::Arc;

use wisteriapoint_claim::{ClaimRequest, Report, Seal};
use wisteriapoint_types::{MemberId, ViewNumber};

use super::Control;
use crate::daemon::message::PeerResponse;
use crate::daemon::transfer;

const EVICT_EVERY_TICKS: u64 = 500;

impl Control {
    /// Starts to seal the earlier views and to collect their claims, in the background.
    pub(super) fn start_transfer(&mut self) {
        let view = Arc::clone(&self.snapshot.view);
        self.holder.observe_view(view.number);
        transfer::spawn(Arc::clone(&self.shared), view);
    }

    pub(super) fn answer_claim(&mut self, request: &ClaimRequest) -> PeerResponse {
        PeerResponse::Claim(self.holder.claim(self.shared.clock.now_ms(), request))
    }

    pub(super) fn answer_report(&mut self, report: &Report) -> PeerResponse {
        self.holder.apply_report(self.shared.clock.now_ms(), report);
        PeerResponse::Acknowledged
    }

    pub(super) fn answer_seal(&mut self, source: MemberId, seal: &Seal) -> PeerResponse {
        let is_addressed = source == self.shared.me.id;
        PeerResponse::Page(is_addressed.then(|| self.holder.seal(seal)))
    }

    pub(super) fn answer_transferred(&self, view: ViewNumber) -> PeerResponse {
        PeerResponse::Transferred(self.transferred == view)
    }

    pub(super) fn tick_claims(&mut self) {
        if self.ticks.is_multiple_of(EVICT_EVERY_TICKS) {
            self.holder.evict_expired(self.shared.clock.now_ms());
        }
        let metrics = &self.shared.metrics;
        metrics.claims.set(self.holder.len() as i64);
        let open = self.holder.open_partitions();
        metrics.open_partitions.set(open as i64);
    }
}
