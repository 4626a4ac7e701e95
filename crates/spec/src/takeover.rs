//! Exhaustive model checking of who may take a batch job, and of what its owner relies on.
//!
//! The model consists of one batch job, its state row, three nodes with their member rows, and requests to
//! take the batch job over, which a node may carry out at any later time. A lease may end and be obtained
//! again at any time. A node that pauses makes no step. Each [`Rule`] can be disabled to show that the
//! exploration detects its absence.
//!
//! ```
//! use wisteriapoint_spec::takeover::{Rule, explore};
//!
//! assert!(explore(None).violation.is_none());
//! assert!(explore(Some(Rule::MemberRow)).violation.is_some());
//! ```

use std::cell::Cell;

use pathfinding::prelude::bfs;

pub use crate::ownership::Exploration;

/// Number of nodes in the model.
const NODES: usize = 3;
/// Maximum number of leases that are obtained again.
const MAX_RETURNS: u8 = 2;
/// Maximum number of requests to take the batch job over.
const MAX_REQUESTS: u8 = 3;

/// A rule of the protocol that an exploration can disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// A take-over from an owner without a member row depends on that row.
    MemberRow,
    /// A take-over depends on the owner for which its reason was found.
    OwnerOfReason,
    /// A node under a new lease is no definite owner until it has read the state row.
    VerifyAfterReturn,
    /// A node whose verification may have missed a batch job reads its state row before it begins it.
    VerifyBeforeInsert,
    /// An owner is no definite owner from before it asks another node to take the batch job over.
    CloseBeforeHandOver,
}

/// Why a node may take the batch job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Reason {
    /// The owner had no member row.
    OwnerGone(usize),
    /// The owner gives it away.
    HandedOver(usize),
}

/// A request to take the batch job over that has not been carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Request {
    taker: usize,
    reason: Reason,
}

/// A batch job that a node owns according to its own write and has not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Pending {
    /// No verification has begun since the write.
    Unmissed,
    /// A verification has begun, and did not include it.
    Missed,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Node {
    /// Whether it holds a lease; its member row exists just as long.
    has_lease: bool,
    is_verified: bool,
    owns: bool,
    pending: Option<Pending>,
    has_handed_over: bool,
    has_ended: bool,
}

impl Node {
    fn is_definite_owner(&self) -> bool {
        self.owns && self.has_lease && self.is_verified && !self.has_handed_over
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// Owner according to the state row.
    owner: usize,
    nodes: [Node; NODES],
    requests: Vec<Request>,
    returns: u8,
    sent: u8,
}

impl State {
    fn new() -> Self {
        let member = Node {
            has_lease: true,
            is_verified: true,
            ..Node::default()
        };
        let mut nodes = [member; NODES];
        nodes[0].owns = true;
        Self {
            owner: 0,
            nodes,
            requests: Vec::new(),
            returns: 0,
            sent: 0,
        }
    }

    fn violation(&self) -> Option<&'static str> {
        let is_wrong = |node: usize| self.nodes[node].is_definite_owner() && self.owner != node;
        let is_violated = (0..NODES).any(is_wrong);
        is_violated.then_some("a definite owner does not own the batch job")
    }

    fn successors(&self, without: Option<Rule>) -> Vec<Self> {
        let mut next = Vec::new();
        for node in 0..NODES {
            next.extend(self.expire(node));
            next.extend(self.obtain(node, without));
            next.extend(self.verify(node));
            next.extend(self.confirm(node));
            next.extend(self.insert(node, without));
            next.extend(self.end(node));
            for taker in (0..NODES).filter(|&taker| taker != node) {
                next.extend(self.hand_over(node, taker, without));
            }
            for taker in (0..NODES).filter(|&taker| taker != self.owner) {
                next.extend(self.search(node, taker));
            }
        }
        for index in 0..self.requests.len() {
            next.push(self.carry_out(index, without));
        }
        next
    }

    fn with_node(&self, node: usize, change: impl FnOnce(&mut Node)) -> Self {
        let mut state = self.clone();
        change(&mut state.nodes[node]);
        state
    }

    /// Ends the lease of a node, at the store and by the clock of the node.
    fn expire(&self, node: usize) -> Option<Self> {
        let has_lease = self.nodes[node].has_lease;
        has_lease.then(|| self.with_node(node, |node| node.has_lease = false))
    }

    /// Obtains a lease and writes the member row under it.
    fn obtain(&self, node: usize, without: Option<Rule>) -> Option<Self> {
        let local = self.nodes[node];
        if local.has_lease || local.has_ended || self.returns >= MAX_RETURNS {
            return None;
        }
        let mut state = self.with_node(node, |node| {
            node.has_lease = true;
            node.is_verified &= without == Some(Rule::VerifyAfterReturn);
        });
        state.returns += 1;
        Some(state)
    }

    /// Reads the state row of the batch job if the node has begun it.
    fn verify(&self, node: usize) -> Option<Self> {
        let local = self.nodes[node];
        if !local.has_lease || local.is_verified {
            return None;
        }
        Some(self.with_node(node, |local| {
            local.owns &= self.owner == node;
            local.is_verified = true;
            local.pending = local.pending.map(|_| Pending::Missed);
        }))
    }

    /// Reads the state row before the batch job is begun.
    fn confirm(&self, node: usize) -> Option<Self> {
        let is_missed = self.nodes[node].pending == Some(Pending::Missed);
        is_missed.then(|| {
            self.with_node(node, |local| {
                local.pending = (self.owner == node).then_some(Pending::Unmissed);
            })
        })
    }

    /// Begins a batch job that was taken over.
    fn insert(&self, node: usize, without: Option<Rule>) -> Option<Self> {
        match self.nodes[node].pending? {
            Pending::Missed if without != Some(Rule::VerifyBeforeInsert) => None,
            _ => Some(self.with_node(node, |local| {
                local.pending = None;
                local.owns = true;
            })),
        }
    }

    /// Finds that the owner has no member row, and has a node take the batch job over.
    fn search(&self, node: usize, taker: usize) -> Option<Self> {
        let is_owner_gone = !self.nodes[self.owner].has_lease;
        let may_search = self.nodes[node].has_lease && is_owner_gone;
        may_search.then(|| self.with_request(taker, Reason::OwnerGone(self.owner)))?
    }

    /// Asks another node to take the batch job over.
    fn hand_over(&self, node: usize, taker: usize, without: Option<Rule>) -> Option<Self> {
        if !self.nodes[node].is_definite_owner() {
            return None;
        }
        let mut state = self.with_request(taker, Reason::HandedOver(node))?;
        state.nodes[node].has_handed_over = without != Some(Rule::CloseBeforeHandOver);
        Some(state)
    }

    /// Ends a node that has handed the batch job over.
    fn end(&self, node: usize) -> Option<Self> {
        let has_handed_over = self.nodes[node].has_handed_over;
        has_handed_over.then(|| {
            self.with_node(node, |node| {
                *node = Node {
                    has_ended: true,
                    ..Node::default()
                };
            })
        })
    }

    fn with_request(&self, taker: usize, reason: Reason) -> Option<Self> {
        if self.sent >= MAX_REQUESTS {
            return None;
        }
        let mut state = self.clone();
        state.sent += 1;
        state.requests.push(Request { taker, reason });
        Some(state)
    }

    /// Carries a request out, which has no effect if its conditions don't hold.
    fn carry_out(&self, index: usize, without: Option<Rule>) -> Self {
        let mut state = self.clone();
        let Request { taker, reason } = state.requests.remove(index);
        let (Reason::OwnerGone(meant) | Reason::HandedOver(meant)) = reason;
        let is_meant = self.owner == meant || without == Some(Rule::OwnerOfReason);
        let is_member_absent = !self.nodes[meant].has_lease || without == Some(Rule::MemberRow);
        let has_reason = match reason {
            Reason::OwnerGone(_) => is_meant && is_member_absent,
            Reason::HandedOver(_) => is_meant,
        };
        let local = &mut state.nodes[taker];
        if has_reason && !local.has_ended && self.owner != taker {
            state.owner = taker;
            local.owns = false;
            local.pending = Some(Pending::Unmissed);
        }
        state
    }
}

/// Visits every reachable state in breadth-first order, and stops at the first that violates the
/// specification.
pub fn explore(without: Option<Rule>) -> Exploration {
    let states = Cell::new(0);
    let successors = |state: &State| state.successors(without);
    let path = bfs(&State::new(), successors, |state| {
        states.set(states.get() + 1);
        state.violation().is_some()
    });
    let last = path.and_then(|path| path.last().cloned());
    Exploration {
        states: states.get(),
        violation: last.and_then(|state| state.violation()),
    }
}
