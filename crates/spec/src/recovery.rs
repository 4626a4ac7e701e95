//! Properties that have to hold once faults have stopped.

use std::rc::Rc;

use wisteriapoint_claim::{Decision, Progress, Pull, Tally};
use wisteriapoint_types::ViewNumber;

use crate::rule::Rule;
use crate::state::{Bounds, CLAIMANTS, Phase, State, claim_request};
use crate::step::Step;
use crate::views::{self, DAEMONS, PARTITION};

const RETRY_CLAIMANT: usize = CLAIMANTS;

const RECOVERY_BOUNDS: Bounds = Bounds {
    views: u64::MAX,
    crashes: 0,
    ticks: 2,
    lost_responses: u8::MAX,
    reports: u8::MAX,
    request_latest_view: 0,
    retry_earliest_view: 0,
};

/// Returns the property that a retry violates once faults have stopped, if any: a retry has to get
/// a final answer, and the right one.
///
/// Both a retry after the claimants have run to completion and one after they have stopped are
/// checked.
pub fn violation(state: &State, without: Option<Rule>) -> Option<&'static str> {
    let mut finished = state.clone();
    finished.time = 2;
    finish_claimants(&mut finished, without);
    let with_claimants = check_retry(finished, true);
    let mut stopped = state.clone();
    stopped.time = 2;
    with_claimants.or_else(|| check_retry(stopped, false))
}

fn finish_claimants(state: &mut State, without: Option<Rule>) {
    for c in 0..CLAIMANTS {
        let time_outs = (0..DAEMONS).map(|h| Step::TimeOut(c, h));
        let dispatch = [Step::Dispatch(c)];
        for step in time_outs.chain(dispatch) {
            if let Some(next) = state.apply(step, RECOVERY_BOUNDS, without) {
                *state = next;
            }
        }
    }
    for c in 0..CLAIMANTS {
        for h in 0..DAEMONS {
            if let Some(next) = state.apply(Step::DeliverReport(c, h), RECOVERY_BOUNDS, without) {
                *state = next;
            }
        }
    }
}

/// Removes crashed daemons from the view, opens the holders of the new view and sends them the claim
/// of a retry.
fn check_retry(mut state: State, claimants_live: bool) -> Option<&'static str> {
    let crashed: Vec<_> = (0..DAEMONS)
        .filter(|&h| state.holders[h].crashed)
        .map(views::id)
        .collect();
    let view = state
        .view(state.latest)
        .view
        .without_members(&crashed, Default::default());
    let holders = view.holders(PARTITION);
    if holders.members.is_empty() {
        return None;
    }
    for &id in &holders.members {
        let mut pull = Pull::new(&view, PARTITION);
        while let Progress::Pending(missing) = pull.progress(state.now_ms()) {
            for source in missing {
                let from = Rc::make_mut(&mut state.holders[views::index(source)]);
                from.partition.seal(view.number);
                match from.crashed {
                    true => pull.mark_terminated(source),
                    false => pull.add_page(source, from.partition.page(None)),
                }
            }
        }
        let transfer = match pull.progress(state.now_ms()) {
            Progress::Complete(transfer) | Progress::Lost(transfer) => transfer,
            Progress::Pending(_) => return Some("a pull did not complete"),
        };
        let holder = Rc::make_mut(&mut state.holders[views::index(id)]);
        holder.partition.open(view.number, transfer);
    }
    check_decision(&mut state, view.number, &holders.members, claimants_live)
}

fn check_decision(
    state: &mut State,
    view: ViewNumber,
    holders: &[wisteriapoint_types::MemberId],
    claimants_live: bool,
) -> Option<&'static str> {
    let mut tally = Tally::new(holders.len(), holders.len() / 2 + 1);
    let mut decision = Decision::Wait;
    for &id in holders {
        let now_ms = state.now_ms();
        let holder = Rc::make_mut(&mut state.holders[views::index(id)]);
        let response = holder
            .partition
            .claim(now_ms, &claim_request(RETRY_CLAIMANT, view.0));
        if decision == Decision::Wait {
            decision = tally.count(Some(response));
        }
    }
    let may_run = state
        .claimants
        .iter()
        .any(|claimant| matches!(claimant.phase, Phase::Won | Phase::Completed));
    match decision {
        Decision::Dispatch if may_run => {
            Some("a retry was granted for a request that may have run")
        }
        Decision::Dispatch | Decision::Settled(_) | Decision::Lost => None,
        Decision::Release if !claimants_live && !tally.claimants().is_empty() => None,
        _ => Some("a retry gets no final answer"),
    }
}
