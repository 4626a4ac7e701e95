//! State of a batch job at the node that owns it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{CommitBatch, Item, ItemKey, ItemResult, Outcome, Pace, Submission, groups};

/// Maximum time that a finished item waits for others to be committed with it, in milliseconds.
/// Two commits per second are a small fraction of the store's capacity.
const COMMIT_DELAY_MS: u64 = 500;
/// Maximum time that a complete group waits for its commit, in milliseconds; trainers read results
/// about twice per second.
const GROUP_DELAY_MS: u64 = 150;
/// Maximum size of the results in one commit. A stored value is limited to one megabyte, and its
/// encoding as text adds a third.
const MAX_COMMIT_BYTES: usize = 512 << 10;
/// Pause before an item is retried after it found no free slot or its endpoint failed, in
/// milliseconds.
const RETRY_PAUSE_MS: u64 = 60;

/// A batch job: the state of each item, and the results in the order in which they are listed.
///
/// A result is listed, that is visible to callers at a fixed position, once its commit to the
/// store is acknowledged.
#[derive(Debug)]
pub struct Job {
    submission: Submission,
    states: Vec<ItemState>,
    order: Vec<ItemKey>,
    groups: BTreeMap<Box<str>, Group>,
    listed: Vec<ItemResult>,
    pending: Vec<(u64, ItemKey, ItemResult)>,
    in_commit: usize,
    max_failures: u32,
    expires_at_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ItemState {
    Waiting { not_before_ms: u64, failures: u32 },
    Running { failures: u32 },
    Done,
}

#[derive(Debug, Default)]
struct Group {
    unfinished: u32,
}

/// Consecutive results of a batch job, from a position on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Number of items of the batch job.
    pub total: u32,
    /// Results, in the order of their positions.
    pub results: Vec<ItemResult>,
    /// Position after the last of these results.
    pub next: u32,
}

impl Job {
    /// Creates a batch job whose items have not run yet.
    ///
    /// An item is abandoned after `max_failures` failures, and all unfinished items expire at
    /// `expires_at_ms`.
    pub fn new(submission: Submission, max_failures: u32, expires_at_ms: u64) -> Self {
        let states = vec![
            ItemState::Waiting {
                not_before_ms: 0,
                failures: 0
            };
            submission.items.len()
        ];
        let mut groups: BTreeMap<Box<str>, Group> = BTreeMap::new();
        for group in submission
            .items
            .iter()
            .filter_map(|item| item.group.clone())
        {
            groups.entry(group).or_default().unfinished += 1;
        }
        let mut order: Vec<_> = (0..submission.items.len() as u32).map(ItemKey).collect();
        // Longest first, so that the item that starts last is not the one that takes longest.
        order
            .sort_by_key(|key| std::cmp::Reverse(submission.items[key.0 as usize].expected_tokens));
        Self {
            submission,
            states,
            order,
            groups,
            listed: Vec::new(),
            pending: Vec::new(),
            in_commit: 0,
            max_failures,
            expires_at_ms,
        }
    }

    /// Adds results that a previous owner has listed, and marks their items as done.
    pub fn with_listed(mut self, listed: Vec<ItemResult>) -> Self {
        for result in listed {
            if let Some(key) = self.key_of(&result.id) {
                self.set_done(key);
            }
            self.listed.push(result);
        }
        self
    }

    /// Returns the submission as the caller sent it.
    pub fn submission(&self) -> &Submission {
        &self.submission
    }

    /// Returns the item with an index.
    pub fn item(&self, key: ItemKey) -> Option<&Item> {
        self.submission.items.get(key.0 as usize)
    }

    /// Returns the index of the item with an id.
    pub fn key_of(&self, id: &str) -> Option<ItemKey> {
        let mut items = self.submission.items.iter();
        items
            .position(|item| &*item.id == id)
            .map(|index| ItemKey(index as u32))
    }

    /// Returns `true` if an item has completed or was abandoned.
    pub fn is_item_done(&self, key: ItemKey) -> bool {
        self.states.get(key.0 as usize) == Some(&ItemState::Done)
    }

    /// Returns `true` if all items have completed or were abandoned.
    pub fn is_done(&self) -> bool {
        self.states.iter().all(|&state| state == ItemState::Done)
    }

    /// Returns `true` if the results of all items are listed.
    pub fn is_all_listed(&self) -> bool {
        self.listed.len() == self.submission.items.len()
    }

    /// Returns the number of items that are waiting to run, for the first time or again.
    pub fn waiting(&self) -> usize {
        let states = self.states.iter();
        states
            .filter(|state| matches!(state, ItemState::Waiting { .. }))
            .count()
    }

    /// Marks the next runnable item as running and returns it.
    pub fn start_next(&mut self, now_ms: u64) -> Option<ItemKey> {
        let key = self.next_runnable(now_ms)?;
        if let ItemState::Waiting { failures, .. } = self.states[key.0 as usize] {
            self.states[key.0 as usize] = ItemState::Running { failures };
        }
        Some(key)
    }

    /// Returns the item that [`start_next`](Self::start_next) would start.
    pub fn next_runnable(&self, now_ms: u64) -> Option<ItemKey> {
        let mut keys = self.order.iter().copied();
        keys.find(|key| match self.states[key.0 as usize] {
            ItemState::Waiting { not_before_ms, .. } => not_before_ms <= now_ms,
            _ => false,
        })
    }

    /// Orders the items anew by the groups that can be complete within `left_ms` at a pace.
    pub fn order_by_groups(&mut self, left_ms: u64, pace: Pace) {
        let keys = (0..self.states.len() as u32).map(ItemKey);
        let unfinished = keys.filter(|&key| !self.is_item_done(key)).collect();
        self.order = groups::order(&self.submission.items, unfinished, left_ms, pace);
    }

    /// Returns the longest length hint of an unfinished item, in tokens, or 0 without hints.
    pub fn longest_hint(&self) -> u32 {
        let items = self.submission.items.iter().zip(&self.states);
        let unfinished = items.filter(|(_, state)| **state != ItemState::Done);
        let hints = unfinished.filter_map(|(item, _)| item.length_hint);
        hints.max().unwrap_or(0)
    }

    /// Lets a waiting item wait for another pause, while others start.
    pub fn defer(&mut self, now_ms: u64, key: ItemKey) {
        if let ItemState::Waiting { not_before_ms, .. } = &mut self.states[key.0 as usize] {
            *not_before_ms = now_ms + RETRY_PAUSE_MS;
        }
    }

    /// Returns a running item to the waiting state, to run again after a pause.
    pub fn requeue(&mut self, now_ms: u64, key: ItemKey) {
        if let ItemState::Running { failures } = self.states[key.0 as usize] {
            let not_before_ms = now_ms + RETRY_PAUSE_MS;
            self.states[key.0 as usize] = ItemState::Waiting {
                not_before_ms,
                failures,
            };
        }
    }

    /// Returns a running item to the waiting state, to run again at once.
    pub fn requeue_now(&mut self, key: ItemKey) {
        if let ItemState::Running { failures } = self.states[key.0 as usize] {
            self.states[key.0 as usize] = ItemState::Waiting {
                not_before_ms: 0,
                failures,
            };
        }
    }

    /// Records a failure of a running item and returns `true` if the item must be abandoned.
    pub fn record_failure(&mut self, key: ItemKey) -> bool {
        match &mut self.states[key.0 as usize] {
            ItemState::Running { failures } => {
                *failures += 1;
                *failures >= self.max_failures
            }
            _ => false,
        }
    }

    /// Returns the number of recorded failures of an item that has not finished.
    pub fn failures(&self, key: ItemKey) -> u32 {
        match self.states.get(key.0 as usize) {
            Some(ItemState::Waiting { failures, .. } | ItemState::Running { failures }) => {
                *failures
            }
            Some(ItemState::Done) | None => 0,
        }
    }

    /// Adds failures that a previous owner has recorded for an item that has not started.
    pub fn restore_failures(&mut self, key: ItemKey, previous: u32) {
        if let Some(ItemState::Waiting { failures, .. }) = self.states.get_mut(key.0 as usize) {
            *failures = previous.max(*failures);
        }
    }

    /// Marks an item as done and queues its result for the next commit.
    ///
    /// Has no effect on an item that is already done.
    pub fn finish(&mut self, now_ms: u64, key: ItemKey, outcome: Outcome) {
        if self.states[key.0 as usize] == ItemState::Done {
            return;
        }
        self.set_done(key);
        let id = self.submission.items[key.0 as usize].id.clone();
        self.pending.push((now_ms, key, ItemResult { id, outcome }));
    }

    /// Finishes all remaining items as [`Outcome::Dead`] once the batch job has expired, and
    /// returns their number.
    pub fn expire(&mut self, now_ms: u64) -> usize {
        if now_ms < self.expires_at_ms {
            return 0;
        }
        let unlisted = self.pending.len();
        for index in 0..self.states.len() {
            self.finish(now_ms, ItemKey(index as u32), Outcome::Dead);
        }
        self.pending.len() - unlisted
    }

    /// Returns the time at which the remaining items expire, in milliseconds on the clock of
    /// `now_ms`.
    pub fn expires_at_ms(&self) -> u64 {
        self.expires_at_ms
    }

    fn set_done(&mut self, key: ItemKey) {
        let state = &mut self.states[key.0 as usize];
        if *state == ItemState::Done {
            return;
        }
        *state = ItemState::Done;
        let group = self.submission.items[key.0 as usize].group.as_ref();
        if let Some(group) = group.and_then(|name| self.groups.get_mut(name)) {
            group.unfinished -= 1;
        }
    }

    /// Returns the time of the next commit, or `None` if no result is pending or a commit is in
    /// progress.
    pub fn commit_at_ms(&self) -> Option<u64> {
        if self.in_commit > 0 {
            return None;
        }
        let is_done = self.is_done();
        let due = self.pending.iter().map(|(at_ms, key, _)| {
            let group = self.submission.items[key.0 as usize].group.as_ref();
            let is_complete = group.is_some_and(|name| self.groups[name].unfinished == 0);
            match is_complete {
                _ if is_done => *at_ms,
                true => at_ms + GROUP_DELAY_MS,
                false => at_ms + COMMIT_DELAY_MS,
            }
        });
        due.min()
    }

    /// Returns the results to commit if a commit is due.
    ///
    /// The caller must call [`finish_commit`](Self::finish_commit) once the store has
    /// acknowledged the commit.
    pub fn begin_commit(&mut self, now_ms: u64) -> Option<CommitBatch> {
        match self.commit_at_ms() {
            Some(at_ms) if at_ms <= now_ms => {}
            _ => return None,
        }
        let mut size_bytes = 0;
        let results: Vec<_> = self
            .pending
            .iter()
            .take_while(|(_, _, result)| {
                let is_first = size_bytes == 0;
                size_bytes += result.size_bytes();
                is_first || size_bytes <= MAX_COMMIT_BYTES
            })
            .map(|(_, _, result)| result.clone())
            .collect();
        self.in_commit = results.len();
        Some(CommitBatch {
            first: self.listed.len() as u32,
            results,
        })
    }

    /// Lists the results of the commit that the store has acknowledged.
    pub fn finish_commit(&mut self) {
        let committed = self.pending.drain(..self.in_commit);
        self.listed.extend(committed.map(|(_, _, result)| result));
        self.in_commit = 0;
    }

    /// Returns the number of listed results.
    pub fn listed(&self) -> u32 {
        self.listed.len() as u32
    }

    /// Returns the approximate memory of the items and their results, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let pending = self.pending.iter().map(|(_, _, result)| result);
        let results = self.listed.iter().chain(pending);
        self.submission.memory_bytes() + results.map(ItemResult::size_bytes).sum::<usize>()
    }

    /// Returns the listed results from position `after` on, up to `max_bytes` but at least one if
    /// there is any.
    pub fn page(&self, after: u32, max_bytes: usize) -> Page {
        page(
            self.submission.items.len() as u32,
            &self.listed,
            after,
            max_bytes,
        )
    }
}

impl Page {
    /// Returns a page of results that were read from the store, as [`Job::page`] does.
    ///
    /// `listed` must hold all listed results in the order of their positions.
    pub fn from_listed(total: u32, listed: &[ItemResult], after: u32, max_bytes: usize) -> Self {
        page(total, listed, after, max_bytes)
    }
}

fn page(total: u32, listed: &[ItemResult], after: u32, max_bytes: usize) -> Page {
    let rest = listed.get(after as usize..).unwrap_or_default();
    let mut size_bytes = 0;
    let results: Vec<_> = rest
        .iter()
        .take_while(|result| {
            let is_first = size_bytes == 0;
            size_bytes += result.size_bytes();
            is_first || size_bytes <= max_bytes
        })
        .cloned()
        .collect();
    let next = after + results.len() as u32;
    Page {
        total,
        results,
        next,
    }
}
