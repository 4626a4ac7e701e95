//! The leader row, the leases under which nodes claim it, and the passage of time.

use super::Rule;
use super::state::{Bounds, LEASE, Node, Phase, State, TTL, Term};

impl State {
    /// Lets a unit of time pass.
    ///
    /// Returns `true`, as it always can.
    pub fn tick(&mut self, bounds: Bounds, without: Option<Rule>) -> bool {
        for node in &mut self.nodes {
            node.lease_left = node.lease_left.saturating_sub(1);
            node.store_lease_left = node.store_lease_left.saturating_sub(1);
            if let Some(term) = &mut node.term {
                term.waited = (term.waited + 1).min(LEASE);
                if let Phase::Checked(_, is_thawed) = &mut term.phase {
                    *is_thawed = true;
                }
            }
        }
        self.leader = self
            .leader
            .filter(|&(_, node, _)| self.nodes[node].store_lease_left > 0);
        for call in &mut self.calls {
            call.age = (call.age + 1).min(bounds.call_delay + 1);
        }
        if without != Some(Rule::ResetAfterCall) {
            self.calls.retain(|call| call.age <= bounds.call_delay);
        }
        self.platform.tick();
        true
    }

    /// Ends the lease of the leader row at the store.
    pub fn expire(&mut self) -> bool {
        self.leader.take().is_some()
    }

    /// Claims the leader row with a fresh lease, if there is none or it is that of an earlier run.
    pub fn claim(&mut self, node: usize, is_answered: bool, without: Option<Rule>) -> bool {
        let run = self.nodes[node].run;
        let may_claim = match self.leader {
            None => true,
            Some((_, holder, holder_run)) => holder == node && holder_run != run,
        };
        if !may_claim || self.nodes[node].term.is_some() {
            return false;
        }
        self.claims += 1;
        self.leader = Some((self.claims, node, run));
        let local = &mut self.nodes[node];
        local.lease_left = TTL;
        local.store_lease_left = TTL;
        !is_answered || self.confirm(node, without)
    }

    /// Begins to lead if the leader row is that of this run of the node.
    pub fn confirm(&mut self, node: usize, without: Option<Rule>) -> bool {
        let local = &mut self.nodes[node];
        let fence = match self.leader {
            Some((fence, holder, run)) if holder == node && run == local.run => fence,
            _ => return false,
        };
        if local.term.is_some() {
            return false;
        }
        local.own_claims += 1;
        local.term = Some(Term {
            fence: match without {
                Some(Rule::FenceFromRow) => local.own_claims,
                _ => fence,
            },
            is_lease_of_claim: true,
            waited: 0,
            phase: Phase::Loading,
        });
        if without != Some(Rule::FenceFromRow) {
            local.own_claims = 0;
        }
        true
    }

    /// Renews the lease of the leader row.
    pub fn renew(&mut self, node: usize) -> bool {
        let is_leader = self.leader.is_some_and(|(_, holder, _)| holder == node);
        let local = &mut self.nodes[node];
        if !is_leader || local.lease_left == TTL || local.store_lease_left == 0 {
            return false;
        }
        // A run that has just started has no lease of its own to renew.
        if local.term.is_none() && local.lease_left == 0 {
            return false;
        }
        local.lease_left = TTL;
        local.store_lease_left = TTL;
        true
    }

    /// Obtains another lease after that of the claim has expired, before the node has learnt that
    /// it is no longer the leader.
    pub fn obtain(&mut self, node: usize) -> bool {
        let local = &mut self.nodes[node];
        let Some(term) = &mut local.term else {
            return false;
        };
        if local.store_lease_left > 0 {
            return false;
        }
        term.is_lease_of_claim = false;
        local.lease_left = TTL;
        local.store_lease_left = TTL;
        true
    }

    /// Ends the leadership of a node that has learnt that the row is no longer its own.
    pub fn notice(&mut self, node: usize) -> bool {
        let is_leader = self.leader.is_some_and(|(_, holder, _)| holder == node);
        if self.nodes[node].term.is_none() || is_leader {
            return false;
        }
        self.end_term(node);
        true
    }

    /// Gives the leader row up.
    pub fn release(&mut self, node: usize) -> bool {
        let is_leader = self.leader.is_some_and(|(_, holder, _)| holder == node);
        if self.nodes[node].term.is_none() || !is_leader {
            return false;
        }
        self.leader = None;
        self.end_term(node);
        true
    }

    /// Kills a node and starts it again; its rows stay until its lease expires.
    pub fn kill(&mut self, node: usize) -> bool {
        if self.nodes[node].term.is_none() {
            return false;
        }
        self.kills += 1;
        self.abandon_writes(node);
        let local = &self.nodes[node];
        self.nodes[node] = Node {
            run: local.run + 1,
            store_lease_left: local.store_lease_left,
            own_claims: 0,
            ..Node::default()
        };
        true
    }

    fn end_term(&mut self, node: usize) {
        self.abandon_writes(node);
        let local = &mut self.nodes[node];
        local.term = None;
        // The lease of a node that leads nothing matters only at its next claim, which sets it.
        local.lease_left = 0;
        local.store_lease_left = 0;
    }

    fn abandon_writes(&mut self, node: usize) {
        for write in &mut self.writes {
            write.waiting = write.waiting.filter(|waiting| *waiting != node);
        }
    }
}
