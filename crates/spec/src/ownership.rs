//! Exhaustive model checking of changes of batch job ownership and of fenced orders.
//!
//! The model consists of one batch job of two items, two nodes and one engine. A write to the
//! store may take effect late, or twice if it is sent twice, and the response to it may be lost. A
//! node may pause for any time between two steps. Each [`Rule`] can be disabled to show that the
//! exploration detects its absence.
//!
//! ```
//! use wisteriapoint_spec::ownership::{Rule, explore};
//!
//! assert!(explore(None).violation.is_none());
//! assert!(explore(Some(Rule::ConditionalCommit)).violation.is_some());
//! ```

use std::cell::Cell;

use pathfinding::prelude::bfs;

/// Number of nodes in the model.
const NODES: usize = 2;
/// Number of items in the batch job.
const ITEMS: u8 = 2;
/// Maximum number of changes of the owner.
const MAX_TAKEOVERS: u8 = 2;
/// Maximum number of copies of writes in flight.
const MAX_WRITES: usize = 2;

/// A rule of the protocol that an exploration can disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// A commit is conditional on the revision of the batch job's row in the store.
    ConditionalCommit,
    /// A commit whose response was lost is sent again unchanged, not rebuilt from the current row.
    UnchangedRetry,
    /// A new owner resumes from the results that are listed in the row.
    ResumeFromResults,
    /// Engines reject orders with an older fencing token.
    Fence,
}

/// Result of an exploration.
#[derive(Debug)]
pub struct Exploration {
    /// Number of states generated; a state counts once for each step that leads to it.
    pub states: usize,
    /// Invariant that the first violating state breaks, if there is one.
    pub violation: Option<&'static str>,
}

/// Row of the batch job in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Row {
    revision: u8,
    owner: usize,
    open: bool,
    listed: Vec<u8>,
}

/// A conditional write in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    from: usize,
    expected: u8,
    listed: Vec<u8>,
}

/// Local state of a node, which may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Node {
    owns: bool,
    revision: u8,
    listed: Vec<u8>,
    finished: Vec<u8>,
    pending: Option<Write>,
    fence: u8,
}

/// An order in flight, represented by the fencing token of its sender.
type Order = u8;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    row: Row,
    nodes: [Node; NODES],
    writes: Vec<Write>,
    last_read: Vec<u8>,
    takeovers: u8,
    orders: Vec<Order>,
    accepted: Vec<Order>,
}

impl State {
    fn new() -> Self {
        let row = Row {
            revision: 1,
            owner: 0,
            open: true,
            listed: Vec::new(),
        };
        let owner = Node {
            owns: true,
            revision: 1,
            fence: 1,
            ..Node::default()
        };
        Self {
            row,
            nodes: [owner, Node::default()],
            writes: Vec::new(),
            last_read: Vec::new(),
            takeovers: 0,
            orders: Vec::new(),
            accepted: Vec::new(),
        }
    }

    fn violation(&self) -> Option<&'static str> {
        let listed = &self.row.listed;
        let has_duplicate = (1..listed.len()).any(|index| listed[..index].contains(&listed[index]));
        match () {
            () if has_duplicate => Some("an item is committed at two positions"),
            () if !listed.starts_with(&self.last_read) => {
                Some("a position that a client had read has changed")
            }
            () if !self.accepted.is_sorted() => {
                Some("an order of an older leader was accepted after one of a newer leader")
            }
            () => None,
        }
    }

    fn successors(&self, without: Option<Rule>) -> Vec<Self> {
        let mut next = Vec::new();
        for node in 0..NODES {
            self.finish_item(node, &mut next);
            self.send_commit(node, without, &mut next);
            self.take_over(node, without, &mut next);
            self.send_order(node, &mut next);
        }
        for index in 0..self.writes.len() {
            self.deliver_write(index, without, &mut next);
        }
        for index in 0..self.orders.len() {
            self.deliver_order(index, without, &mut next);
        }
        let mut read = self.clone();
        read.last_read.clone_from(&self.row.listed);
        next.push(read);
        let mut closed = self.clone();
        if closed.row.open {
            closed.row.open = false;
            closed.row.revision += 1;
            next.push(closed);
        }
        next
    }

    fn finish_item(&self, node: usize, next: &mut Vec<Self>) {
        let local = &self.nodes[node];
        if !local.owns {
            return;
        }
        for item in 0..ITEMS {
            if !local.listed.contains(&item) && !local.finished.contains(&item) {
                let mut state = self.clone();
                state.nodes[node].finished.push(item);
                next.push(state);
            }
        }
    }

    /// Sends a new commit, or sends one again that has not been answered.
    fn send_commit(&self, node: usize, without: Option<Rule>, next: &mut Vec<Self>) {
        let local = &self.nodes[node];
        if !local.owns || self.writes.len() >= MAX_WRITES {
            return;
        }
        let is_rebuilt = without == Some(Rule::UnchangedRetry);
        let write = match &local.pending {
            Some(write) if !is_rebuilt => write.clone(),
            Some(_) => Write {
                from: node,
                expected: self.row.revision,
                listed: [&*self.row.listed, &*local.finished].concat(),
            },
            None if local.finished.is_empty() => return,
            None => Write {
                from: node,
                expected: local.revision,
                listed: [&*local.listed, &*local.finished].concat(),
            },
        };
        let mut state = self.clone();
        state.nodes[node].pending = Some(write.clone());
        state.writes.push(write);
        next.push(state);
    }

    /// Delivers a write to the store, once with its response lost and, if the sender still waits
    /// for it, once with the response delivered.
    fn deliver_write(&self, index: usize, without: Option<Rule>, next: &mut Vec<Self>) {
        let mut state = self.clone();
        let write = state.writes.remove(index);
        let matches_revision = write.expected == state.row.revision;
        if matches_revision || without == Some(Rule::ConditionalCommit) {
            state.row.revision += 1;
            state.row.listed.clone_from(&write.listed);
        }
        next.push(state.clone());
        let is_pending = state.nodes[write.from].pending.as_ref() == Some(&write);
        if is_pending {
            state.deliver_response(write.from, &write);
            next.push(state);
        }
    }

    /// Compares the row with the write: unless the write took effect, the sender stops owning the
    /// batch job.
    fn deliver_response(&mut self, node: usize, write: &Write) {
        let took_effect = self.row.owner == node && self.row.listed == write.listed;
        let (revision, listed) = (self.row.revision, self.row.listed.clone());
        let local = &mut self.nodes[node];
        local.pending = None;
        match took_effect {
            true => {
                local.finished.retain(|item| !listed.contains(item));
                local.revision = revision;
                local.listed = listed;
            }
            false => local.owns = false,
        }
    }

    fn take_over(&self, node: usize, without: Option<Rule>, next: &mut Vec<Self>) {
        if self.row.owner == node || !self.row.open || self.takeovers >= MAX_TAKEOVERS {
            return;
        }
        let mut state = self.clone();
        state.takeovers += 1;
        state.row.owner = node;
        state.row.revision += 1;
        let listed = match without {
            Some(Rule::ResumeFromResults) => Vec::new(),
            _ => state.row.listed.clone(),
        };
        state.nodes[node] = Node {
            owns: true,
            revision: state.row.revision,
            listed,
            finished: Vec::new(),
            pending: None,
            fence: state.row.revision,
        };
        next.push(state);
    }

    fn send_order(&self, node: usize, next: &mut Vec<Self>) {
        let fence = self.nodes[node].fence;
        // Orders depend on takeovers only. Without this condition, the states of the orders would
        // multiply with all others.
        let has_work = self.nodes.iter().any(|node| !node.finished.is_empty());
        if has_work || !self.writes.is_empty() || !self.row.listed.is_empty() {
            return;
        }
        if fence > 0 && self.orders.len() + self.accepted.len() < 3 {
            let mut state = self.clone();
            state.orders.push(fence);
            next.push(state);
        }
    }

    fn deliver_order(&self, index: usize, without: Option<Rule>, next: &mut Vec<Self>) {
        let mut state = self.clone();
        let fence = state.orders.remove(index);
        let highest = state.accepted.iter().max().copied().unwrap_or(0);
        if fence >= highest || without == Some(Rule::Fence) {
            state.accepted.push(fence);
        }
        next.push(state);
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
