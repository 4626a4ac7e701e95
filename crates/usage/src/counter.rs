//! Counts of one node.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Number of windows that are kept while none is final: some minutes of an absent collector.
const MAX_OPEN_WINDOWS: usize = 24;

/// Division of time into windows that count from the start of 1970.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Windows {
    length_ms: u64,
}

impl Windows {
    /// Creates windows of a length in milliseconds, at least 1.
    pub fn new(length_ms: u64) -> Self {
        Self {
            length_ms: length_ms.max(1),
        }
    }

    /// Returns the window of a time in Unix milliseconds.
    pub fn window_of(self, unix_ms: u64) -> u64 {
        unix_ms / self.length_ms
    }

    /// Returns the end of a window in Unix milliseconds.
    pub fn end_ms(self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.length_ms)
    }
}

/// Counts of one window by workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Number of the window.
    pub window: u64,
    /// Requests that began to run in it, by workspace; none is 0.
    pub counts: BTreeMap<Box<str>, u64>,
}

/// Counts of the windows that are not final yet, at one node.
#[derive(Debug)]
pub struct UsageCounter {
    windows: Windows,
    open: BTreeMap<u64, BTreeMap<Box<str>, u64>>,
    /// First window that may still change.
    first_open: u64,
    is_changed: bool,
}

impl UsageCounter {
    /// Creates a counter without counts.
    pub fn new(windows: Windows) -> Self {
        Self {
            windows,
            open: BTreeMap::new(),
            first_open: 0,
            is_changed: false,
        }
    }

    /// Counts a request of a workspace, and returns its window for [`cancel`](Self::cancel).
    pub fn begin(&mut self, unix_ms: u64, workspace: &str) -> u64 {
        let window = self.windows.window_of(unix_ms);
        if window < self.first_open {
            return window;
        }
        let counts = self.open.entry(window).or_default();
        *counts.entry(workspace.into()).or_default() += 1;
        self.is_changed = true;
        if self.open.len() > MAX_OPEN_WINDOWS {
            self.open.pop_first();
        }
        window
    }

    /// Takes a request back that turned out not to have run.
    pub fn cancel(&mut self, window: u64, workspace: &str) {
        let Some(counts) = self.open.get_mut(&window) else {
            return;
        };
        if let Some(count) = counts.get_mut(workspace) {
            *count -= 1;
            self.is_changed = true;
            if *count == 0 {
                counts.remove(workspace);
            }
        }
    }

    /// Forgets the windows before `first_open`, whose counts are final.
    pub fn settle(&mut self, first_open: u64) {
        self.first_open = self.first_open.max(first_open);
        self.open = self.open.split_off(&self.first_open);
    }

    /// Returns the counts of all windows that are not final.
    pub fn open(&self) -> Vec<WindowCounts> {
        let open = self.open.iter().map(|(&window, counts)| WindowCounts {
            window,
            counts: counts.clone(),
        });
        open.collect()
    }

    /// Returns whether counts have changed since the last call.
    pub fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }
}
