//! Control's part in claims: what this daemon holds.

use std::sync::Arc;

use wisteriapoint_claim::{ClaimRequest, Report, Seal};
use wisteriapoint_types::{MemberId, ViewNumber};

use super::Control;
use crate::daemon::message::Reply;
use crate::daemon::transfer;

const FORGET_EVERY_TICKS: u64 = 500;

impl Control {
    /// Seals the earlier views and collects their claims in the background.
    pub(super) fn start_transfer(&mut self) {
        let view = Arc::clone(&self.snapshot.view);
        self.holder.observe_view(view.number);
        transfer::spawn(Arc::clone(&self.shared), view);
    }

    pub(super) fn answer_claim(&mut self, ask: &ClaimRequest) -> Reply {
        Reply::Claim(self.holder.claim(self.shared.clock.now_ms(), ask))
    }

    pub(super) fn answer_report(&mut self, report: &Report) -> Reply {
        self.holder.apply_report(self.shared.clock.now_ms(), report);
        Reply::Noted
    }

    pub(super) fn answer_seal(&mut self, source: MemberId, seal: &Seal) -> Reply {
        let is_meant = source == self.shared.me.id;
        Reply::Page(is_meant.then(|| self.holder.seal(seal)))
    }

    pub(super) fn answer_transferred(&self, view: ViewNumber) -> Reply {
        Reply::Transferred(self.transferred == view)
    }

    pub(super) fn tick_claims(&mut self) {
        if self.ticks.is_multiple_of(FORGET_EVERY_TICKS) {
            self.holder.evict_expired(self.shared.clock.now_ms());
        }
        let metrics = &self.shared.metrics;
        metrics.claims.set(self.holder.len() as i64);
        let open = self.holder.open_partitions();
        metrics.open_partitions.set(open as i64);
    }
}
