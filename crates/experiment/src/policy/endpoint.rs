//! Simulated endpoint with slots, a speed, queues by priority and a prefix cache.

use std::collections::VecDeque;

/// Maximum number of prompt prefixes in the cache of an endpoint.
const PREFIX_CACHE_LEN: usize = 8;

/// Identifies an attempt by the index of its request and its number for that request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) request: usize,
    pub(crate) number: u32,
}

/// Simulated endpoint that starts queued callers before queued rollouts.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) failure_domain: usize,
    pub(crate) ms_per_token: f64,
    pub(crate) up: bool,
    pub(crate) leaving: bool,
    slots: usize,
    running: Vec<Attempt>,
    caller_queue: VecDeque<Attempt>,
    rollout_queue: VecDeque<Attempt>,
    cached_prefixes: VecDeque<u64>,
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
            caller_queue: VecDeque::new(),
            rollout_queue: VecDeque::new(),
            cached_prefixes: VecDeque::new(),
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.caller_queue.len() + self.rollout_queue.len()
    }

    pub(crate) fn enqueue(&mut self, attempt: Attempt, is_caller: bool) {
        match is_caller {
            true => self.caller_queue.push_back(attempt),
            false => self.rollout_queue.push_back(attempt),
        }
    }

    /// Moves the next queued attempt into a free slot, callers first, and returns it.
    pub(crate) fn start_next(&mut self) -> Option<Attempt> {
        if self.running.len() >= self.slots {
            return None;
        }
        let attempt = self
            .caller_queue
            .pop_front()
            .or_else(|| self.rollout_queue.pop_front())?;
        self.running.push(attempt);
        Some(attempt)
    }

    /// Removes an attempt; returns `true` if it was running or queued.
    pub(crate) fn remove(&mut self, attempt: Attempt) -> bool {
        let count = self.running.len() + self.waiting();
        self.running.retain(|&other| other != attempt);
        self.caller_queue.retain(|&other| other != attempt);
        self.rollout_queue.retain(|&other| other != attempt);
        count != self.running.len() + self.waiting()
    }

    /// Marks the endpoint as down, clears its cache and returns all its attempts.
    pub(crate) fn crash(&mut self) -> Vec<Attempt> {
        self.up = false;
        self.cached_prefixes.clear();
        let mut attempts = std::mem::take(&mut self.running);
        attempts.extend(self.caller_queue.drain(..));
        attempts.extend(self.rollout_queue.drain(..));
        attempts
    }

    /// Makes a prefix the most recently used one in the cache, evicting the oldest if the cache is
    /// full; returns `true` if it was cached before.
    pub(crate) fn lookup_prefix(&mut self, prefix: u64) -> bool {
        let position = self
            .cached_prefixes
            .iter()
            .position(|&cached| cached == prefix);
        if let Some(position) = position {
            self.cached_prefixes.remove(position);
        }
        self.cached_prefixes.push_back(prefix);
        if self.cached_prefixes.len() > PREFIX_CACHE_LEN {
            self.cached_prefixes.pop_front();
        }
        position.is_some()
    }
}
