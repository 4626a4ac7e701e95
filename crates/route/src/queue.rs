//! Queue of the requests that wait for an endpoint.

use std::collections::BTreeMap;

use crate::{Class, Demand};

slotmap::new_key_type! {
    /// Key of a request in a [`crate::Pool`], valid from admission until the request ends.
    pub struct TicketKey;
}

/// Sort key of a waiting request among those of its class; the lowest is dispatched first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// Deadline in milliseconds for callers, virtual finish in tokens for rollouts.
    rank: u64,
    sequence: u64,
}

/// Queues callers by earliest deadline and rollouts by weighted fair queueing over tokens.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    callers: BTreeMap<QueueKey, TicketKey>,
    rollouts: BTreeMap<QueueKey, TicketKey>,
    caller_tokens: u64,
    rollout_tokens: u64,
    sequence: u64,
    /// Virtual time: the highest virtual finish among dispatched rollouts.
    virtual_tokens: u64,
    /// Virtual finish of the last queued request of each trainer.
    finish_tokens: BTreeMap<u64, u64>,
}

impl Queue {
    pub(crate) fn len(&self, class: Class) -> usize {
        match class {
            Class::Caller => self.callers.len(),
            Class::Rollout { .. } => self.rollouts.len(),
        }
    }

    /// Returns the tokens of waiting requests that precede a new one of the class.
    pub(crate) fn tokens_ahead(&self, class: Class) -> u64 {
        match class {
            Class::Caller => self.caller_tokens,
            Class::Rollout { .. } => self.caller_tokens + self.rollout_tokens,
        }
    }

    pub(crate) fn push(&mut self, ticket: TicketKey, demand: &Demand) -> QueueKey {
        let cost = u64::from(demand.max_tokens);
        self.sequence += 1;
        let sequence = self.sequence;
        match demand.class {
            Class::Caller => {
                let rank = demand.deadline_ms;
                self.caller_tokens += cost;
                self.callers.insert(QueueKey { rank, sequence }, ticket);
                QueueKey { rank, sequence }
            }
            Class::Rollout { trainer } => {
                let finish = self.finish_tokens.entry(trainer).or_default();
                *finish = self.virtual_tokens.max(*finish) + cost;
                let rank = *finish;
                self.rollout_tokens += cost;
                self.rollouts.insert(QueueKey { rank, sequence }, ticket);
                QueueKey { rank, sequence }
            }
        }
    }

    pub(crate) fn remove(&mut self, key: QueueKey, demand: &Demand) {
        let cost = u64::from(demand.max_tokens);
        match demand.class {
            Class::Caller if self.callers.remove(&key).is_some() => self.caller_tokens -= cost,
            Class::Rollout { .. } if self.rollouts.remove(&key).is_some() => {
                self.rollout_tokens -= cost;
            }
            _ => {}
        }
    }

    /// Advances the virtual time to that of a dispatched rollout.
    pub(crate) fn advance_virtual_time(&mut self, key: QueueKey) {
        self.virtual_tokens = self.virtual_tokens.max(key.rank);
        let virtual_tokens = self.virtual_tokens;
        self.finish_tokens
            .retain(|_, finish| *finish > virtual_tokens);
    }

    /// Returns the first `count` callers.
    pub(crate) fn callers(&self, count: usize) -> Vec<TicketKey> {
        self.callers.values().copied().take(count).collect()
    }

    /// Returns the first `count` rollouts.
    pub(crate) fn rollouts(&self, count: usize) -> Vec<TicketKey> {
        self.rollouts.values().copied().take(count).collect()
    }
}
