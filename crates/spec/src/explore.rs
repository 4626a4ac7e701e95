//! Exhaustive exploration of the reachable states.

use std::cell::Cell;
use std::hash::{Hash, Hasher};

use pathfinding::prelude::bfs;

use crate::recovery;
use crate::rule::Rule;
use crate::state::{Bounds, State};
use crate::step::Step;

/// Result of an exploration.
#[derive(Debug)]
pub struct Exploration {
    /// Number of states generated; a state counts once for each step that leads to it.
    pub states: usize,
    /// Number of steps on the longest path generated.
    pub depth: usize,
    /// Shortest path to a state that violates the specification, if there is one.
    pub violation: Option<Violation>,
}

/// Path from the initial state to a state that violates the specification.
#[derive(Debug)]
pub struct Violation {
    /// Property that the last state violates.
    pub description: &'static str,
    /// Steps from the initial state, in order.
    pub steps: Vec<Step>,
}

#[derive(Debug, Clone)]
struct Node {
    state: State,
    step: Option<Step>,
    depth: usize,
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Visits every reachable state within the bounds in breadth-first order, and stops at the first
/// that violates the specification.
pub fn explore(bounds: Bounds, without: Option<Rule>) -> Exploration {
    let states = Cell::new(0);
    let depth = Cell::new(0);
    let start = Node {
        state: State::new(bounds),
        step: None,
        depth: 0,
    };
    let successors = |node: &Node| {
        let depth = node.depth + 1;
        let steps = node.state.successors(bounds, without).into_iter();
        let nodes = steps.map(move |(step, state)| Node {
            state,
            step: Some(step),
            depth,
        });
        nodes.collect::<Vec<_>>()
    };
    let path = bfs(&start, successors, |node| {
        states.set(states.get() + 1);
        depth.set(depth.get().max(node.depth));
        violation(&node.state, without).is_some()
    });
    let violation = path.and_then(|path| {
        let description = violation(&path.last()?.state, without)?;
        let steps = path.iter().filter_map(|node| node.step).collect();
        Some(Violation { description, steps })
    });
    Exploration {
        states: states.get(),
        depth: depth.get(),
        violation,
    }
}

fn violation(state: &State, without: Option<Rule>) -> Option<&'static str> {
    state
        .violation()
        .or_else(|| recovery::violation(state, without))
}
