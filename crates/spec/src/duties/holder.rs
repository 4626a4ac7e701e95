//! The work of the holder: it decides, stores and sends windows.

use std::rc::Rc;

use wisteriapoint_usage::{UsageLedger, WindowCounts, Windows};

use super::Rule;
use super::platform::Call;
use super::state::{Bounds, LEASE, Phase, Record, State, StoredRecord, Write};

const WORKSPACE: &str = "forms";
const WINDOW_MS: u64 = 5_000;
/// Time after the end of a window at which it is decided; reports are complete by then.
const DECIDED_AFTER_MS: u64 = 1_000;

impl State {
    fn phase(&mut self, node: usize) -> Option<&mut Phase> {
        self.nodes[node].term.as_mut().map(|term| &mut term.phase)
    }
}

/// Reads the row of the decided windows.
pub fn load(state: &mut State, node: usize) -> bool {
    let usage = state.usage.clone();
    match state.phase(node) {
        Some(phase @ Phase::Loading) => {
            *phase = Phase::Ready(usage);
            true
        }
        _ => false,
    }
}

/// Decides the next window after the reports of `count` nodes, and sends the write.
pub fn decide(
    state: &mut State,
    node: usize,
    count: u8,
    bounds: Bounds,
    without: Option<Rule>,
) -> bool {
    if state.writes.iter().any(|write| write.sender == node) {
        return false;
    }
    let Some(phase) = state.phase(node) else {
        return false;
    };
    let known = match phase {
        Phase::Ready(known) if known.record.0.first_open < bounds.windows.into() => known.clone(),
        _ => return false,
    };
    let decided = count_window(known.record.0.first_open, count);
    let record = known.record.0.clone().with_decided(decided);
    let stored = StoredRecord {
        revision: known.revision,
        record: Rc::new(Record(record)),
    };
    let is_sent_first = without == Some(Rule::StoreBeforeSend);
    *phase = match is_sent_first {
        true => Phase::Ready(stored.clone()),
        false => Phase::Storing(known),
    };
    let waiting = (!is_sent_first).then_some(node);
    let sender = node;
    state.writes.push(Write {
        sender,
        waiting,
        stored,
    });
    true
}

/// Returns the counts that a ledger decides after the reports of `count` nodes.
pub fn count_window(window: u64, count: u8) -> WindowCounts {
    let windows = Windows::new(WINDOW_MS);
    let now_ms = windows.end_ms(window) + DECIDED_AFTER_MS;
    let mut ledger = UsageLedger::new(windows, window);
    for vm in 0..count {
        let counts = [(WORKSPACE.into(), 1)].into();
        let open = vec![WindowCounts { window, counts }];
        ledger.record((&format!("vm-{vm}"), 1), now_ms, open);
    }
    let decided = ledger.decide(now_ms, 0);
    decided.expect("the window is over")
}

/// Executes a write; the node that waits for it learns the result or gives up.
pub fn store(state: &mut State, index: usize, is_answered: bool, without: Option<Rule>) -> bool {
    let write = state.writes.remove(index);
    let is_done =
        write.stored.revision == state.usage.revision || without == Some(Rule::ConditionalWrite);
    if is_done {
        state.usage = StoredRecord {
            revision: state.usage.revision + 1,
            record: write.stored.record,
        };
        record_decided(state);
    }
    let usage = state.usage.clone();
    match write.waiting {
        Some(node) if is_answered => {
            if let Some(phase) = state.phase(node) {
                *phase = match is_done {
                    true => Phase::Ready(usage),
                    false => Phase::Loading,
                };
            }
            true
        }
        // A result that is lost and one that nobody waits for any more are the same.
        waiting => waiting.is_none() && !is_answered,
    }
}

/// Compares the counts in the row with those that were stored first.
fn record_decided(state: &mut State) {
    for decided in &state.usage.record.0.pending {
        let count = decided.counts.values().sum::<u64>() as u8;
        let first = &mut state.decided[decided.window as usize];
        if *first.get_or_insert(count) != count {
            state.fault = Some(super::Fault::ChangedCounts);
        }
    }
}

/// Gives up on the result of a write, which may still take effect.
pub fn abandon_write(state: &mut State, node: usize, without: Option<Rule>) -> bool {
    let revision = state.usage.revision;
    let Some(phase) = state.phase(node) else {
        return false;
    };
    let Phase::Storing(known) = phase else {
        return false;
    };
    *phase = match without {
        Some(Rule::ReadAfterAmbiguity) => Phase::Ready(StoredRecord {
            revision,
            record: known.record.clone(),
        }),
        _ => Phase::Loading,
    };
    for write in &mut state.writes {
        write.waiting = write.waiting.filter(|waiting| *waiting != node);
    }
    true
}

/// Checks that a call may be made.
pub fn check(state: &mut State, node: usize, without: Option<Rule>) -> bool {
    let local = &mut state.nodes[node];
    let Some(term) = &mut local.term else {
        return false;
    };
    let has_waited = term.waited >= LEASE || without == Some(Rule::WaitAfterClaim);
    let has_lease = match without {
        Some(Rule::LeaseCheck) => true,
        Some(Rule::LeaseOfClaim) => local.lease_left > 0,
        _ => local.lease_left > 0 && term.is_lease_of_claim,
    };
    match &term.phase {
        Phase::Ready(known) if has_waited && has_lease && !known.record.0.pending.is_empty() => {
            term.phase = Phase::Checked(known.clone(), false);
            true
        }
        _ => false,
    }
}

/// Sends the oldest window that is not known to be accepted.
pub fn send(state: &mut State, node: usize) -> bool {
    if state.calls.iter().any(|call| call.sender.0 == node) {
        return false;
    }
    let local = &mut state.nodes[node];
    let Some(term) = &mut local.term else {
        return false;
    };
    let Phase::Checked(known, is_thawed) = &term.phase else {
        return false;
    };
    let Some(oldest) = known.record.0.pending.front() else {
        return false;
    };
    state.calls.push(Call {
        sender: (node, local.run),
        fence: term.fence,
        window: oldest.window as u8,
        count: oldest.counts.values().sum::<u64>() as u8,
        age: 0,
        is_thawed: *is_thawed,
    });
    term.phase = Phase::Calling(known.clone());
    true
}

/// Executes a call; its answer reaches the sender or is lost.
pub fn execute(state: &mut State, index: usize, is_answered: bool, bounds: Bounds) -> bool {
    let call = state.calls.remove(index);
    let (node, run) = call.sender;
    let is_waiting = state.nodes[node].run == run
        && state.nodes[node].term.as_ref().is_some_and(|term| {
            term.fence == call.fence && matches!(term.phase, Phase::Calling(_))
        });
    // An answer that is lost and one that nobody waits for any more are the same.
    if is_answered != is_waiting {
        return false;
    }
    let is_accepted = match state.platform.execute(call, bounds) {
        Ok(is_accepted) => is_accepted,
        Err(fault) => {
            state.fault = Some(fault);
            return true;
        }
    };
    match state.phase(node) {
        Some(phase) if is_answered => {
            if let Phase::Calling(known) = phase {
                let record = known.record.0.clone().with_accepted(call.window.into());
                *phase = match is_accepted {
                    true => Phase::Ready(StoredRecord {
                        revision: known.revision,
                        record: Rc::new(Record(record)),
                    }),
                    false => Phase::Refused,
                };
            }
            true
        }
        _ => true,
    }
}

/// Gives up on the answer to a call, which may still be executed.
pub fn abandon_call(state: &mut State, node: usize) -> bool {
    match state.phase(node) {
        Some(phase @ Phase::Calling(_)) => {
            if let Phase::Calling(known) = phase {
                *phase = Phase::Ready(known.clone());
            }
            true
        }
        _ => false,
    }
}
