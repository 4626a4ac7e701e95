//! A fake endpoint: slots, speed, a queue by priority and a prefix cache.

use std::collections::VecDeque;

/// Number of prompt beginnings that an endpoint keeps.
const CACHED_PREFIXES: usize = 8;

/// Key of one attempt: the request's index and the attempt's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) request: usize,
    pub(crate) number: u32,
}

/// A fake endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) failure_domain: usize,
    pub(crate) ms_per_token: f64,
    pub(crate) up: bool,
    pub(crate) leaving: bool,
    slots: usize,
    running: Vec<Attempt>,
    callers: VecDeque<Attempt>,
    rollouts: VecDeque<Attempt>,
    cache: VecDeque<u64>,
}

impl Endpoint {
    pub(crate) fn new(failure_domain: usize, slots: u32, ms_per_token: f64) -> Self {
        Self {
            failure_domain,
            ms_per_token,
            up: true,
            leaving: false,
            slots: slots as usize,
            running: Vec::new(),
            callers: VecDeque::new(),
            rollouts: VecDeque::new(),
            cache: VecDeque::new(),
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.callers.len() + self.rollouts.len()
    }

    pub(crate) fn push(&mut self, attempt: Attempt, is_caller: bool) {
        match is_caller {
            true => self.callers.push_back(attempt),
            false => self.rollouts.push_back(attempt),
        }
    }

    /// Takes the next attempt into a free slot, callers first.
    pub(crate) fn start(&mut self) -> Option<Attempt> {
        if self.running.len() >= self.slots {
            return None;
        }
        let attempt = self
            .callers
            .pop_front()
            .or_else(|| self.rollouts.pop_front())?;
        self.running.push(attempt);
        Some(attempt)
    }

    /// Forgets an attempt; gives whether it was there.
    pub(crate) fn remove(&mut self, attempt: Attempt) -> bool {
        let before = self.running.len() + self.waiting();
        self.running.retain(|&held| held != attempt);
        self.callers.retain(|&held| held != attempt);
        self.rollouts.retain(|&held| held != attempt);
        before != self.running.len() + self.waiting()
    }

    /// Loses everything.
    pub(crate) fn crash(&mut self) -> Vec<Attempt> {
        self.up = false;
        self.cache.clear();
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.callers.drain(..));
        lost.extend(self.rollouts.drain(..));
        lost
    }

    /// Looks up a prompt's beginning and keeps it; gives whether it was there.
    pub(crate) fn cached(&mut self, prefix: u64) -> bool {
        let position = self.cache.iter().position(|&kept| kept == prefix);
        if let Some(position) = position {
            self.cache.remove(position);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.pop_front();
        }
        position.is_some()
    }
}
