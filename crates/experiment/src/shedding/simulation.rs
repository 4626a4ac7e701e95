//! Simulation of slots and of callers that return when they are told to.

use std::collections::{BTreeMap, BTreeSet};

use wisteriapoint_shedding::{
    Group, GroupId, HintErrors, Outcome, Request, RequestId, Room, WorkspaceId,
};

use super::figures::{self, Record};
use super::load::{Arrival, Load};
use super::variant::Variant;
use crate::report::Run;

#[derive(Debug)]
struct Simulation {
    load: Load,
    variant: Variant,
    arrivals: Vec<Arrival>,
    records: Vec<Record>,
    /// Indices of the requests that run or wait, in the order in which they came.
    present: Vec<usize>,
    /// Time at which each running request started.
    started_at_ms: BTreeMap<usize, u64>,
    /// Refused requests by the time of their return.
    returning: BTreeSet<(u64, usize)>,
    errors: HintErrors,
}

/// Runs one variant under a load with one seed.
pub fn run_variant(load: Load, variant: Variant, seed: u64) -> Run {
    let arrivals = load.arrivals(seed);
    let mut simulation = Simulation {
        load,
        variant,
        records: vec![Record::default(); arrivals.len()],
        present: Vec::new(),
        started_at_ms: BTreeMap::new(),
        returning: (arrivals.iter().enumerate())
            .map(|(index, arrival)| (arrival.at_ms, index))
            .collect(),
        errors: HintErrors::new(),
        arrivals,
    };
    simulation.run();
    Run {
        scenario: load.as_str().into(),
        variant: variant.as_str().into(),
        seed,
        figures: figures::compute(&simulation.arrivals, &simulation.records),
    }
}

impl Simulation {
    fn run(&mut self) {
        let mut now_ms = 0;
        while !self.present.is_empty() || !self.returning.is_empty() {
            let is_changed = self.end_requests(now_ms)
                | self.interrupt_excess(now_ms)
                | self.admit(now_ms)
                | (now_ms > 0 && self.load.slots(now_ms) != self.load.slots(now_ms - 1));
            if is_changed {
                self.decide(now_ms);
            }
            now_ms += 1;
        }
    }

    /// Ends requests that are complete or whose deadline has passed.
    fn end_requests(&mut self, now_ms: u64) -> bool {
        let ended: Vec<usize> = self
            .present
            .iter()
            .copied()
            .filter(|index| {
                let arrival = &self.arrivals[*index];
                let started_at_ms = self.started_at_ms.get(index);
                let is_complete = started_at_ms.is_some_and(|at| at + arrival.work_ms <= now_ms);
                let record = &mut self.records[*index];
                match arrival.deadline_at_ms {
                    _ if is_complete => {
                        record.completed_at_ms = Some(now_ms);
                        self.errors.record(arrival.hint_ms, arrival.work_ms);
                    }
                    deadline_at_ms if deadline_at_ms <= now_ms => record.lost_at_ms = Some(now_ms),
                    _ => return false,
                }
                true
            })
            .collect();
        for &index in &ended {
            self.stop(now_ms, index);
            self.present.retain(|&other| other != index);
        }
        !ended.is_empty()
    }

    /// Returns the requests of lost slots to the queue, without what they have generated.
    fn interrupt_excess(&mut self, now_ms: u64) -> bool {
        let slots = self.load.slots(now_ms) as usize;
        let is_excess = self.started_at_ms.len() > slots;
        while self.started_at_ms.len() > slots
            && let Some((&index, _)) = self.started_at_ms.first_key_value()
        {
            self.stop(now_ms, index);
        }
        is_excess
    }

    fn stop(&mut self, now_ms: u64, index: usize) {
        if let Some(started_at_ms) = self.started_at_ms.remove(&index) {
            self.records[index].used_ms += now_ms - started_at_ms;
        }
    }

    fn admit(&mut self, now_ms: u64) -> bool {
        let later = self.returning.split_off(&(now_ms + 1, 0));
        let arrived = std::mem::replace(&mut self.returning, later);
        self.present.extend(arrived.iter().map(|(_, index)| index));
        !arrived.is_empty()
    }

    fn decide(&mut self, now_ms: u64) {
        let requests: Vec<_> = self
            .present
            .iter()
            .map(|&index| self.request(now_ms, index))
            .collect();
        let groups = self.groups(now_ms);
        let room = Room::new(self.load.slots(now_ms));
        let outcomes = self
            .variant
            .decide(now_ms, &requests, &groups, &room, &self.errors);
        let present = std::mem::take(&mut self.present);
        for (index, outcome) in present.into_iter().zip(outcomes) {
            let record = &mut self.records[index];
            match outcome {
                Outcome::Start => {
                    self.started_at_ms.insert(index, now_ms);
                }
                Outcome::Wait | Outcome::Continue => {}
                Outcome::Refuse { return_at_ms }
                    // A trainer does not send a group again that was given up.
                    if self.arrivals[index].group.is_none()
                        && return_at_ms < self.arrivals[index].deadline_at_ms =>
                {
                    record.refusals += 1;
                    self.returning.insert((return_at_ms, index));
                    continue;
                }
                Outcome::Refuse { .. } | Outcome::GiveUp => {
                    record.lost_at_ms = Some(now_ms);
                    self.stop(now_ms, index);
                    continue;
                }
            }
            self.present.push(index);
        }
    }

    fn request(&self, now_ms: u64, index: usize) -> Request {
        let arrival = &self.arrivals[index];
        let started_at_ms = self.started_at_ms.get(&index);
        Request {
            id: RequestId(index as u64),
            workspace: WorkspaceId(arrival.workspace),
            priority: arrival.priority,
            arrived_at_ms: arrival.at_ms,
            deadline_at_ms: arrival.deadline_at_ms,
            objective_ms: arrival.objective_ms,
            work_ms: arrival.hint_ms,
            spent_ms: started_at_ms.map_or(0, |at_ms| now_ms - at_ms),
            is_running: started_at_ms.is_some(),
            retry_ms: arrival.hint_ms,
            group: arrival.group.map(GroupId),
        }
    }

    /// Returns the groups of the requests that are present.
    fn groups(&self, now_ms: u64) -> Vec<Group> {
        let mut groups: BTreeMap<u32, Group> = BTreeMap::new();
        for (arrival, record) in self.arrivals.iter().zip(&self.records) {
            let (Some(id), true) = (arrival.group, arrival.at_ms <= now_ms) else {
                continue;
            };
            let group = groups.entry(id).or_insert(Group {
                id: GroupId(id),
                due_at_ms: arrival.deadline_at_ms,
                remaining_ms: 0,
            });
            group.remaining_ms = match record {
                record if record.lost_at_ms.is_some() => u64::MAX,
                record if record.completed_at_ms.is_some() => group.remaining_ms,
                _ => group.remaining_ms.saturating_add(arrival.hint_ms),
            };
        }
        groups.into_values().collect()
    }
}
