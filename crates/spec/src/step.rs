//! Transitions between states of the model.

use std::fmt;
use std::rc::Rc;

use wisteriapoint_claim::{
    Age, ClaimResponse, Decision, MAX_CLOCK_SKEW_MS, Partition, Progress, Pull, Report, Tally,
    Transfer,
};
use wisteriapoint_types::ViewNumber;

use crate::rule::Rule;
use crate::state::{
    Bounds, CLAIMANTS, Claimant, HORIZON_MS, Phase, State, claim_request, key, outcome,
};
use crate::views::{self, DAEMONS, DerivedView};

/// A transition of the model; daemons and claimants are given by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The clock advances to its next reading.
    Tick,
    /// The next view is committed; if the flag is set, its record omits the views before the
    /// current one.
    ViewChange(bool),
    /// A holder crashes and does not restart.
    Crash(usize),
    /// A holder receives a view, seals the sources in a bit set, transfers their claims
    /// and opens.
    Open(usize, u64, u8),
    /// A claimant starts in a view.
    Start(usize, u64),
    /// A claim request of a claimant arrives at a holder.
    DeliverClaim(usize, usize),
    /// A claimant times out waiting for the response of a holder.
    TimeOut(usize, usize),
    /// A claimant with a granted claim dispatches the request and receives the outcome.
    Dispatch(usize),
    /// A claimant with a granted claim finds no endpoint, releases the claim and answers not-run.
    AnswerNotRun(usize),
    /// A report of a claimant arrives at a holder.
    DeliverReport(usize, usize),
    /// A holder releases a claim because it considers the claimant to be terminated.
    ForceRelease(usize, usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let holder = |index: &usize| index + 1;
        let claimant = |index: &usize| ["A", "B"][*index];
        match self {
            Self::Tick => write!(f, "the clock advances"),
            Self::ViewChange(false) => write!(f, "the view changes"),
            Self::ViewChange(true) => write!(f, "the view changes and drops earlier views"),
            Self::Crash(h) => write!(f, "holder {} crashes", holder(h)),
            Self::Open(h, view, sources) => {
                write!(f, "holder {} opens in view {view} from", holder(h))?;
                let sources = (0..DAEMONS).filter(|source| sources & (1 << source) != 0);
                sources
                    .into_iter()
                    .try_for_each(|source| write!(f, " {}", holder(&source)))
            }
            Self::Start(c, view) => write!(f, "claimant {} starts in view {view}", claimant(c)),
            Self::DeliverClaim(c, h) => {
                write!(
                    f,
                    "claimant {} requests the claim from holder {}",
                    claimant(c),
                    holder(h)
                )
            }
            Self::TimeOut(c, h) => {
                write!(
                    f,
                    "claimant {} times out on holder {}",
                    claimant(c),
                    holder(h)
                )
            }
            Self::Dispatch(c) => write!(f, "claimant {} dispatches", claimant(c)),
            Self::AnswerNotRun(c) => write!(f, "claimant {} answers not-run", claimant(c)),
            Self::DeliverReport(c, h) => {
                write!(
                    f,
                    "claimant {} reports to holder {}",
                    claimant(c),
                    holder(h)
                )
            }
            Self::ForceRelease(h, c) => {
                write!(
                    f,
                    "holder {} releases the claim of {}",
                    holder(h),
                    claimant(c)
                )
            }
        }
    }
}

impl State {
    /// Returns all possible steps with the states that they lead to, omitting steps without
    /// effect.
    pub fn successors(&self, bounds: Bounds, without: Option<Rule>) -> Vec<(Step, Self)> {
        let mut steps = vec![Step::Tick, Step::ViewChange(false), Step::ViewChange(true)];
        for h in 0..DAEMONS {
            steps.push(Step::Crash(h));
            let opened = self.holders[h].partition.opened().0;
            for view in opened.max(1) + 1..=self.latest {
                steps.extend((0..1 << DAEMONS).map(|sources| Step::Open(h, view, sources)));
            }
        }
        for c in 0..CLAIMANTS {
            steps.extend((1..=self.latest).map(|view| Step::Start(c, view)));
            steps.extend([Step::Dispatch(c), Step::AnswerNotRun(c)]);
            for h in 0..DAEMONS {
                steps.extend([Step::DeliverClaim(c, h), Step::TimeOut(c, h)]);
                steps.extend([Step::DeliverReport(c, h), Step::ForceRelease(h, c)]);
            }
        }
        let successors = steps.into_iter().filter_map(|step| {
            let next = self.apply(step, bounds, without)?;
            (next != *self).then_some((step, next))
        });
        successors.collect()
    }

    /// Returns the state after a step, or `None` if the step is not possible in this state.
    pub fn apply(&self, step: Step, bounds: Bounds, without: Option<Rule>) -> Option<Self> {
        let mut next = self.clone();
        let is_possible = match step {
            Step::Tick => next.tick(bounds),
            Step::ViewChange(drop) => next.change_view(bounds, drop, without),
            Step::Crash(h) => next.crash(h, bounds),
            Step::Open(h, view, sources) => next.open(h, view, sources, without),
            Step::Start(c, view) => next.start(c, view, bounds, without),
            Step::DeliverClaim(c, h) => next.deliver_claim(c, h, bounds, without),
            Step::TimeOut(c, h) => next.time_out(c, h, bounds, without),
            Step::Dispatch(c) => next.dispatch(c, without),
            Step::AnswerNotRun(c) => next.answer_not_run(c),
            Step::DeliverReport(c, h) => next.deliver_report(c, h, bounds),
            Step::ForceRelease(h, c) => next.force_release(h, c, without),
        };
        is_possible.then_some(next)
    }

    fn tick(&mut self, bounds: Bounds) -> bool {
        self.time += 1;
        self.time <= bounds.ticks
    }

    fn change_view(&mut self, bounds: Bounds, drop: bool, without: Option<Rule>) -> bool {
        let view = self.view(self.latest);
        let holders = &view.holders;
        let is_open = |id: &&_| {
            let holder = &self.holders[views::index(**id)];
            holder.partition.is_open(view.view.number)
        };
        let open = holders.members.iter().filter(is_open).count();
        let may_drop = open >= holders.majority() || without == Some(Rule::RetainEarlierViews);
        let oldest = self.oldest[self.latest as usize - 1];
        self.latest += 1;
        if self.latest > bounds.views || (drop && !may_drop) {
            return false;
        }
        self.oldest[self.latest as usize - 1] = if drop { self.latest - 1 } else { oldest };
        true
    }

    fn crash(&mut self, h: usize, bounds: Bounds) -> bool {
        self.crashes += 1;
        let holder = Rc::make_mut(&mut self.holders[h]);
        let was_alive = !holder.crashed;
        // A crashed holder never responds again. Resetting its data merges equivalent states.
        *holder = Default::default();
        holder.crashed = true;
        was_alive && self.crashes <= bounds.crashes
    }

    fn open(&mut self, h: usize, number: u64, sources: u8, without: Option<Rule>) -> bool {
        let derived = self.view(number);
        let view = derived.view.number;
        let holds = derived.holders.members.contains(&views::id(h));
        let holder = &self.holders[h];
        if holder.crashed || !holds || holder.partition.opened() >= view {
            return false;
        }
        let transfer = match without {
            Some(Rule::Transfer) if sources == 0 => Transfer::default(),
            Some(Rule::Transfer) => return false,
            _ => match self.pull_claims(h, derived, sources, without) {
                Some(transfer) => transfer,
                None => return false,
            },
        };
        let holder = Rc::make_mut(&mut self.holders[h]);
        holder.partition.seal(view);
        holder.partition.open(view, transfer);
        true
    }

    /// Pulls the claims from the given sources; returns `None` if one of them has crashed or is not
    /// needed, or if others are needed too.
    fn pull_claims(
        &mut self,
        h: usize,
        derived: &DerivedView,
        sources: u8,
        without: Option<Rule>,
    ) -> Option<Transfer> {
        let view = derived.view.number;
        let mut pull = derived.pull.clone();
        for source in 0..DAEMONS {
            let is_source = sources & (1 << source) != 0;
            match without {
                _ if self.holders[source].crashed => pull.mark_terminated(views::id(source)),
                Some(Rule::ConfirmedTermination) if !is_source && source != h => {
                    pull.mark_terminated(views::id(source));
                }
                _ => {}
            }
        }
        for source in (0..DAEMONS).filter(|source| sources & (1 << source) != 0) {
            if self.holders[source].crashed || !is_missing(&pull, source) {
                return None;
            }
            let from = Rc::make_mut(&mut self.holders[source]);
            if without != Some(Rule::Seal) {
                from.partition.seal(view);
            }
            let mut page = from.partition.page(None);
            if without == Some(Rule::OpenedSource) {
                page.opened = ViewNumber(view.0 - 1);
            }
            pull.add_page(views::id(source), page);
        }
        let now_ms = self.now_ms();
        match pull.progress(now_ms) {
            Progress::Pending(_) => None,
            Progress::Complete(transfer) => Some(transfer),
            Progress::Lost(mut transfer) => {
                match without {
                    Some(Rule::AmbiguousAfterLoss) => transfer.lost_at_ms = None,
                    Some(Rule::ClockSkew) => {
                        transfer.lost_at_ms = now_ms.checked_sub(2 * MAX_CLOCK_SKEW_MS);
                    }
                    _ => {}
                }
                Some(transfer)
            }
        }
    }

    fn start(&mut self, c: usize, number: u64, bounds: Bounds, without: Option<Rule>) -> bool {
        let may_start = match c {
            0 => number <= bounds.request_latest_view,
            _ => number >= bounds.retry_earliest_view && self.claimants[0].phase != Phase::Idle,
        };
        let age = Age::new(self.now_ms(), &key(), HORIZON_MS);
        if !may_start || self.claimants[c].phase != Phase::Idle || age != Age::Valid {
            return false;
        }
        let holders = &self.view(number).holders;
        let majority = match without {
            Some(Rule::Majority) => 1,
            _ => holders.majority(),
        };
        self.claimants[c] = Claimant {
            view: number,
            phase: Phase::AwaitingResponses,
            tally: Some(Tally::new(holders.members.len(), majority)),
            ..Claimant::default()
        };
        true
    }

    fn deliver_claim(&mut self, c: usize, h: usize, bounds: Bounds, without: Option<Rule>) -> bool {
        let view = self.claimants[c].view;
        let is_counted = self.claimants[c].counted_holders & (1 << h) != 0;
        match self.claimants[c].phase {
            Phase::Idle => return false,
            Phase::AwaitingResponses if !is_counted => {}
            // The request is delayed or repeated, and the response to it is lost.
            _ => self.lost_responses += 1,
        }
        if self.holders[h].crashed || self.lost_responses > bounds.lost_responses {
            return false;
        }
        let before = self.holders[h].partition.clone();
        let holders = &self.view(view).holders;
        if !holders.members.contains(&views::id(h)) {
            return false;
        }
        let now_ms = self.now_ms();
        let holder = Rc::make_mut(&mut self.holders[h]);
        let response = holder.partition.claim(now_ms, &claim_request(c, view));
        let changed = holder.partition != before;
        self.count_response(c, h, Some(response), without) || changed
    }

    fn time_out(&mut self, c: usize, h: usize, bounds: Bounds, without: Option<Rule>) -> bool {
        let view = self.claimants[c].view;
        if self.claimants[c].phase != Phase::AwaitingResponses {
            return false;
        }
        if !self.holders[h].crashed {
            self.lost_responses += 1;
        }
        let holders = &self.view(view).holders;
        let is_holder = holders.members.contains(&views::id(h));
        is_holder
            && self.lost_responses <= bounds.lost_responses
            && self.count_response(c, h, None, without)
    }

    fn count_response(
        &mut self,
        c: usize,
        h: usize,
        response: Option<ClaimResponse>,
        without: Option<Rule>,
    ) -> bool {
        let claimant = &mut self.claimants[c];
        let bit = 1 << h;
        let Some(tally) = &mut claimant.tally else {
            return false;
        };
        if claimant.phase != Phase::AwaitingResponses || claimant.counted_holders & bit != 0 {
            return false;
        }
        claimant.counted_holders |= bit;
        match tally.count(response) {
            Decision::Wait => return true,
            Decision::Dispatch => claimant.phase = Phase::Won,
            Decision::Release if without == Some(Rule::MayHaveRun) => {
                claimant.phase = Phase::Released;
                self.record_not_run(c);
            }
            _ => claimant.phase = Phase::Released,
        }
        // The decision is made. Resetting the count merges equivalent states.
        self.claimants[c].tally = None;
        self.claimants[c].counted_holders = 0;
        true
    }

    fn record_not_run(&mut self, c: usize) {
        self.claimants[c].answered_not_run = true;
        let others = self.claimants.iter().enumerate();
        let mut others = others.filter(|(other, _)| *other != c);
        let may_run = others.any(|(_, other)| matches!(other.phase, Phase::Won | Phase::Completed));
        self.false_not_run |= may_run || self.claimants[c].dispatched;
    }

    fn dispatch(&mut self, c: usize, without: Option<Rule>) -> bool {
        let claimant = &mut self.claimants[c];
        let may_dispatch_again = without == Some(Rule::NotRunIsFinal) && claimant.answered_not_run;
        if claimant.phase != Phase::Won
            && !(may_dispatch_again && claimant.phase == Phase::Released)
        {
            return false;
        }
        claimant.phase = Phase::Completed;
        claimant.dispatched = true;
        self.false_not_run |= claimant.answered_not_run;
        true
    }

    fn answer_not_run(&mut self, c: usize) -> bool {
        if self.claimants[c].phase != Phase::Won {
            return false;
        }
        self.claimants[c].phase = Phase::Released;
        self.record_not_run(c);
        true
    }

    fn deliver_report(&mut self, c: usize, h: usize, bounds: Bounds) -> bool {
        let settled = match self.claimants[c].phase {
            Phase::Completed => Some(outcome(c)),
            Phase::Released => None,
            _ => return false,
        };
        let report = Report {
            request: claim_request(c, self.claimants[c].view),
            settled,
        };
        let before = self.holders[h].partition.clone();
        let delivered = self.apply_report(h, &report) && self.holders[h].partition != before;
        self.claimants[c].reports += 1;
        delivered && self.claimants[c].reports <= bounds.reports
    }

    fn force_release(&mut self, h: usize, c: usize, without: Option<Rule>) -> bool {
        let is_allowed = without == Some(Rule::ReleaseByClaimant);
        if !is_allowed || self.claimants[c].phase == Phase::Idle || self.latest < 2 {
            return false;
        }
        let report = Report {
            request: claim_request(c, self.claimants[c].view),
            settled: None,
        };
        self.apply_report(h, &report)
    }

    fn apply_report(&mut self, h: usize, report: &Report) -> bool {
        let now_ms = self.now_ms();
        let holder = Rc::make_mut(&mut self.holders[h]);
        if holder.crashed {
            return false;
        }
        let before = recorded_outcome(&holder.partition);
        holder.partition.apply_report(now_ms, report);
        let changed = before.is_some() && before != recorded_outcome(&holder.partition);
        self.changed_outcome |= changed;
        true
    }
}

fn is_missing(pull: &Pull, source: usize) -> bool {
    match pull.progress(0) {
        Progress::Pending(missing) => missing.contains(&views::id(source)),
        _ => false,
    }
}

fn recorded_outcome(partition: &Partition) -> Option<wisteriapoint_claim::Settled> {
    let page = partition.page(None);
    let record = page.transfer.records.get(&key())?;
    record.settled().cloned()
}
