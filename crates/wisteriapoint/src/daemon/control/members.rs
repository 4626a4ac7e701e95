//! Membership: the current view and proposals of the next one.

use std::sync::Arc;

use wisteriapoint_membership::{Member, PROPOSERS, RosterAction, View};
use wisteriapoint_types::Nonce;

use super::Control;
use crate::daemon::{platform, probe};

const ROSTER_EVERY_TICKS: u64 = 10;

impl Control {
    pub(super) fn apply_view(&mut self, view: View) {
        if view.number <= self.snapshot.view.number {
            return;
        }
        log::info!(
            "applied view {} with {} members",
            view.number,
            view.members.len()
        );
        self.shared.metrics.view_number.set(view.number.0 as i64);
        self.shared.metrics.members.set(view.members.len() as i64);
        self.shared.metrics.open_partitions.set(0);
        self.shared
            .peers
            .retain(|address| view.members.iter().any(|m| m.peer_address == address));
        self.snapshot.view = Arc::new(view);
        self.publish();
        self.start_transfer();
        self.gossip.schedule_digest();
    }

    pub(super) fn set_leases(&mut self, leases: Option<Vec<Member>>) {
        match leases {
            Some(leases) => self.roster.set_leases(leases),
            None => self.roster.reset(),
        }
    }

    pub(super) fn tick_members(&mut self) {
        if !self.ticks.is_multiple_of(ROSTER_EVERY_TICKS) {
            return;
        }
        let view = Arc::clone(&self.snapshot.view);
        let Some(rank) = self.proposal_rank(&view) else {
            return;
        };
        let now_ms = self.shared.clock.now_ms();
        let nonce = Nonce(rand::random());
        for action in self.roster.next_actions(now_ms, &view, rank, nonce) {
            match action {
                RosterAction::Probe(id) => probe::spawn(&self.shared, id),
                RosterAction::Propose(next) => platform::spawn_proposal(&self.shared, next),
            }
        }
    }

    /// Returns this daemon's rank among the proposers of the next view, or `None` if it may not
    /// propose.
    ///
    /// A daemon that is not a member ranks after all proposers, or first if the view has no
    /// members.
    fn proposal_rank(&self, view: &View) -> Option<usize> {
        match view.member(self.shared.me.id) {
            _ if self.shared.is_draining() => None,
            Some(me) => view.proposer_rank(me.id),
            None if view.members.is_empty() => Some(0),
            None => Some(PROPOSERS),
        }
    }
}
