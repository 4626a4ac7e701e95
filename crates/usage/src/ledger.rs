//! Collection of the counts of all nodes, and the decision of a window's counts.

use std::collections::BTreeMap;

use crate::{WindowCounts, Windows};

/// Time after which a run of a node that reports nothing more is not waited for, in milliseconds:
/// several reports of a live one.
const SILENT_AFTER_MS: u64 = 4_000;
/// Time by which a report has to reach beyond the end of a window to be complete for it, in
/// milliseconds. A report shows the counts at the time when it was sent, up to 600 ms before (the
/// timeout of its answer), and the time of day differs by up to 200 ms between VMs; until then the
/// sender may still count in the window.
const WINDOW_SLACK_MS: u64 = 850;
/// Number of windows for which the counts of a run that has ended are kept.
const KEPT_WINDOWS: u64 = 24;

/// The counts that nodes have reported, and the first window that is not decided.
#[derive(Debug)]
pub struct UsageLedger {
    windows: Windows,
    first_open: u64,
    runs: BTreeMap<(Box<str>, u64), Run>,
}

/// What one run of a node has reported.
#[derive(Debug)]
struct Run {
    reported_at_ms: u64,
    counts: BTreeMap<u64, BTreeMap<Box<str>, u64>>,
}

impl UsageLedger {
    /// Creates a ledger whose first window to decide is `first_open`.
    pub fn new(windows: Windows, first_open: u64) -> Self {
        Self {
            windows,
            first_open,
            runs: BTreeMap::new(),
        }
    }

    /// Returns the first window that is not decided.
    pub fn first_open(&self) -> u64 {
        self.first_open
    }

    /// Records the cumulative counts of a run of a node, received at a time in Unix milliseconds.
    pub fn record(&mut self, (vm, run): (&str, u64), now_unix_ms: u64, open: Vec<WindowCounts>) {
        let entry = self.runs.entry((vm.into(), run)).or_insert_with(|| Run {
            reported_at_ms: now_unix_ms,
            counts: BTreeMap::new(),
        });
        entry.reported_at_ms = entry.reported_at_ms.max(now_unix_ms);
        for counts in open {
            if counts.window >= self.first_open {
                entry.counts.insert(counts.window, counts.counts);
            }
        }
    }

    /// Returns the counts of the next window if it is over and all live nodes have reported beyond its
    /// end, or if `wait_ms` have passed since.
    ///
    /// The caller stores them and then calls [`settle`](Self::settle); until then the same window is
    /// decided again, as nothing has been said of it.
    pub fn decide(&self, now_unix_ms: u64, wait_ms: u64) -> Option<WindowCounts> {
        let window = self.first_open;
        let complete_at_ms = self.complete_at_ms();
        if now_unix_ms < complete_at_ms {
            return None;
        }
        let is_complete = !self.runs.is_empty() && self.awaited(now_unix_ms).is_empty();
        if !is_complete && now_unix_ms < complete_at_ms + wait_ms {
            return None;
        }
        let mut counts: BTreeMap<Box<str>, u64> = BTreeMap::new();
        let reported = self.runs.values().filter_map(|run| run.counts.get(&window));
        for (workspace, count) in reported.flatten() {
            *counts.entry(workspace.clone()).or_default() += count;
        }
        Some(WindowCounts { window, counts })
    }

    /// Returns the live nodes that have not reported beyond the end of the next window.
    pub fn awaited(&self, now_unix_ms: u64) -> Vec<&str> {
        let complete_at_ms = self.complete_at_ms();
        let awaited = self.runs.iter().filter(|(_, run)| {
            run.reported_at_ms < complete_at_ms
                && now_unix_ms < run.reported_at_ms + SILENT_AFTER_MS
        });
        awaited.map(|((vm, _), _)| &**vm).collect()
    }

    /// Makes the counts of the windows before `first_open` final.
    pub fn settle(&mut self, first_open: u64) {
        self.first_open = self.first_open.max(first_open);
        let oldest_ms = self
            .windows
            .end_ms(self.first_open.saturating_sub(KEPT_WINDOWS));
        for run in self.runs.values_mut() {
            run.counts = run.counts.split_off(&self.first_open);
        }
        self.runs
            .retain(|_, run| run.reported_at_ms >= oldest_ms || !run.counts.is_empty());
    }

    fn complete_at_ms(&self) -> u64 {
        self.windows.end_ms(self.first_open) + WINDOW_SLACK_MS
    }
}
