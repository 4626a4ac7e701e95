//! Exploration of the reachable states.

use std::cell::Cell;
use std::hash::{Hash, Hasher};

use pathfinding::prelude::bfs;

use super::recovery;
use super::state::{Bounds, State, Step};
use super::{Fault, Rule};

/// Result of an exploration.
#[derive(Debug)]
pub struct Exploration {
    /// Number of states generated; a state counts once for each step that leads to it.
    pub states: usize,
    /// Shortest path to a state that violates the specification, if there is one.
    pub violation: Option<Violation>,
}

/// Path from the initial state to a state that violates the specification.
#[derive(Debug)]
pub struct Violation {
    /// Invariant that the last state breaks.
    pub fault: Fault,
    /// Steps from the initial state, in order.
    pub steps: Vec<Step>,
}

/// A state with the step that leads to it, which is no part of its identity.
#[derive(Debug, Clone)]
struct Reached {
    state: State,
    step: Option<Step>,
}

impl PartialEq for Reached {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl Eq for Reached {}

impl Hash for Reached {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Visits every reachable state within the bounds in breadth-first order, and stops at the first
/// that violates the specification.
pub fn explore(bounds: Bounds, without: Option<Rule>) -> Exploration {
    let states = Cell::new(0);
    let start = Reached {
        state: State::new(bounds),
        step: None,
    };
    let successors = |reached: &Reached| {
        let next = reached.state.successors(bounds, without).into_iter();
        let next = next.map(|(step, state)| Reached {
            state,
            step: Some(step),
        });
        next.collect::<Vec<_>>()
    };
    let fault = |state: &State| {
        state
            .fault()
            .or_else(|| recovery::fault(state, bounds, without))
    };
    let path = bfs(&start, successors, |reached| {
        states.set(states.get() + 1);
        fault(&reached.state).is_some()
    });
    let violation = path.and_then(|path| {
        let fault = fault(&path.last()?.state)?;
        let steps = path.iter().filter_map(|reached| reached.step).collect();
        Some(Violation { fault, steps })
    });
    Exploration {
        states: states.get(),
        violation,
    }
}
