//! Requests that wait for an endpoint.

use std::collections::BTreeMap;

use crate::{Class, Demand};

/// Key of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketKey(pub u64);

/// Bounded queue, callers before rollouts, otherwise in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<(bool, u64), Demand>,
    next: u64,
}

impl Queue {
    pub(crate) fn len(&self, class: Class) -> usize {
        let rollout = is_rollout(class);
        self.waiting
            .range((rollout, 0)..=(rollout, u64::MAX))
            .count()
    }

    pub(crate) fn push(&mut self, demand: Demand) -> TicketKey {
        let ticket = TicketKey(self.next);
        self.next += 1;
        self.waiting
            .insert((is_rollout(demand.class), ticket.0), demand);
        ticket
    }

    pub(crate) fn remove(&mut self, ticket: TicketKey) -> Option<Demand> {
        self.waiting
            .remove(&(false, ticket.0))
            .or_else(|| self.waiting.remove(&(true, ticket.0)))
    }

    pub(crate) fn tickets(&self) -> Vec<TicketKey> {
        self.waiting
            .keys()
            .map(|&(_, key)| TicketKey(key))
            .collect()
    }

    pub(crate) fn get(&self, ticket: TicketKey) -> Option<&Demand> {
        self.waiting
            .get(&(false, ticket.0))
            .or_else(|| self.waiting.get(&(true, ticket.0)))
    }
}

fn is_rollout(class: Class) -> bool {
    matches!(class, Class::Rollout { .. })
}
