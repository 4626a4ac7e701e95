//! Control's part in claims: what this daemon holds.

use wisteriapoint_claim::{Ask, Report};

use super::Control;
use crate::daemon::message::Reply;

const FORGET_EVERY_TICKS: u64 = 500;

impl Control {
    pub(super) fn answer_claim(&mut self, ask: &Ask) -> Reply {
        Reply::Claim(self.holder.ask(self.shared.clock.now_ms(), ask))
    }

    pub(super) fn answer_report(&mut self, report: &Report) -> Reply {
        self.holder.report(report);
        Reply::Noted
    }

    pub(super) fn tick_claims(&mut self) {
        if self.ticks.is_multiple_of(FORGET_EVERY_TICKS) {
            self.holder.forget(self.shared.clock.now_ms());
        }
        self.shared.metrics.claims.set(self.holder.len() as i64);
    }
}
