//! Control's part in membership: the view in force, and proposals for the next.

use std::sync::Arc;

use wisteriapoint_membership::{Member, PROPOSERS, RosterAction, View};
use wisteriapoint_types::Nonce;

use super::Control;
use crate::daemon::{platform, probe};

const STEP_EVERY_TICKS: u64 = 10;

impl Control {
    pub(super) fn take_view(&mut self, view: View) {
        if view.number <= self.snapshot.view.number {
            return;
        }
        log::info!("view {} with {} members", view.number, view.members.len());
        self.shared.metrics.view_number.set(view.number.0 as i64);
        self.shared.metrics.members.set(view.members.len() as i64);
        self.shared
            .peers
            .retain(|address| view.members.iter().any(|m| m.peer_address == address));
        self.snapshot.view = Arc::new(view);
        self.publish();
        self.start_transfer();
        self.relay.spread();
    }

    pub(super) fn take_leases(&mut self, leases: Option<Vec<Member>>) {
        match leases {
            Some(leases) => self.roster.set_leases(leases),
            None => self.roster.reset(),
        }
    }

    pub(super) fn tick_members(&mut self) {
        if !self.ticks.is_multiple_of(STEP_EVERY_TICKS) {
            return;
        }
        let view = Arc::clone(&self.snapshot.view);
        let Some(rank) = self.proposing_rank(&view) else {
            return;
        };
        let now_ms = self.shared.clock.now_ms();
        let nonce = Nonce(rand::random());
        for step in self.roster.next_actions(now_ms, &view, rank, nonce) {
            match step {
                RosterAction::Probe(id) => probe::spawn(&self.shared, id),
                RosterAction::Propose(next) => platform::spawn_proposal(&self.shared, next),
            }
        }
    }

    /// Proposers propose in the order of their rank; a daemon that is not a member comes
    /// after them, and first where there is no member at all.
    fn proposing_rank(&self, view: &View) -> Option<usize> {
        match view.member(self.shared.me.id) {
            _ if self.shared.is_draining() => None,
            Some(me) => view.proposer_rank(me.id),
            None if view.members.is_empty() => Some(0),
            None => Some(PROPOSERS),
        }
    }
}
