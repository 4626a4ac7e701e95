//! What has to follow once the disturbances have ended.

use super::state::{Bounds, NODES, Phase, State};
use super::{Fault, Rule, holder};

/// Largest number of steps in which all windows have to be reported.
const MAX_STEPS: usize = 60;

/// Returns the fault of a state from which the windows are not all reported, or are reported in
/// another way than before, if nothing is lost, delayed or killed any more.
pub fn fault(state: &State, bounds: Bounds, without: Option<Rule>) -> Option<Fault> {
    let mut state = state.clone();
    for node in 0..NODES {
        holder::abandon_call(&mut state, node);
        holder::abandon_write(&mut state, node, without);
    }
    while !state.calls.is_empty() {
        holder::execute(&mut state, 0, false, bounds);
    }
    while !state.writes.is_empty() {
        holder::store(&mut state, 0, false, without);
    }
    for node in 0..NODES {
        state.notice(node);
    }
    for _ in 0..MAX_STEPS {
        let reported = &state.platform.reported[..usize::from(bounds.windows)];
        match () {
            () if state.fault().is_some() => return state.fault(),
            () if reported.iter().all(Option::is_some) => return None,
            () => advance(&mut state, bounds, without),
        }
    }
    Some(Fault::NotReported)
}

/// Makes one step of the node that leads or may lead.
fn advance(state: &mut State, bounds: Bounds, without: Option<Rule>) {
    let node = match state.leader {
        Some((_, node, _)) => node,
        None => 0,
    };
    state.renew(node);
    let Some(term) = &state.nodes[node].term else {
        if !state.confirm(node, without) && !state.claim(node, true, without) {
            state.tick(bounds, without);
        }
        return;
    };
    let made = match term.phase {
        Phase::Loading => holder::load(state, node),
        Phase::Storing(_) if state.writes.is_empty() => holder::abandon_write(state, node, without),
        Phase::Storing(_) => holder::store(state, 0, true, without),
        Phase::Ready(_) => {
            holder::decide(state, node, 1, bounds, without) || holder::check(state, node, without)
        }
        Phase::Checked(..) => holder::send(state, node),
        Phase::Calling(_) if state.calls.is_empty() => holder::abandon_call(state, node),
        Phase::Calling(_) => holder::execute(state, 0, true, bounds),
        Phase::Refused => false,
    };
    if !made {
        state.tick(bounds, without);
    }
}
