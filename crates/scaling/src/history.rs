//! The demand of a service in the last seconds.

use std::collections::VecDeque;

use crate::Demand;

/// Time for which an order of fewer endpoints looks back, in milliseconds.
pub(crate) const DOWN_WINDOW_MS: u64 = 15_000;
/// Time for which an order of more endpoints looks back, and for which demand is observed before the
/// first order, in milliseconds: about two step intervals of a trainer.
pub(crate) const UP_WINDOW_MS: u64 = 10_000;
/// Time between two observations of a recurring peak, in milliseconds: longer than the interval at
/// which nodes report, so that they are not the same report.
const RECURRENCE_MS: u64 = 2_000;
/// Time for which work has to wait before the end of its wait is estimated, in milliseconds.
const BACKLOG_TREND_MS: u64 = 1_000;
/// Gap after which earlier observations are discarded, in milliseconds: the node was suspended.
const MAX_GAP_MS: u64 = 4_000;

/// Observations of the demand, the latest last.
#[derive(Debug, Default)]
pub(crate) struct History {
    observations: VecDeque<Observation>,
    began_ms: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    at_ms: u64,
    requests: u32,
    /// Requests for which no slot is free.
    backlog: u32,
    is_partial: bool,
}

impl History {
    pub(crate) fn observe(&mut self, now_ms: u64, demand: Demand, ready_slots: u32) {
        let last = self.observations.back();
        if last.is_some_and(|last| now_ms >= last.at_ms + MAX_GAP_MS) {
            *self = Self::default();
        }
        self.began_ms.get_or_insert(now_ms);
        let is_old = |other: &Observation| other.at_ms + DOWN_WINDOW_MS < now_ms;
        while self.observations.front().is_some_and(is_old) {
            self.observations.pop_front();
        }
        self.observations.push_back(Observation {
            at_ms: now_ms,
            requests: demand.requests(),
            backlog: demand.requests().saturating_sub(ready_slots),
            is_partial: demand.is_partial,
        });
    }

    /// Returns the time for which demand has been observed, in milliseconds.
    pub(crate) fn age_ms(&self, now_ms: u64) -> u64 {
        self.began_ms
            .map_or(0, |began_ms| now_ms.saturating_sub(began_ms))
    }

    fn since(&self, from_ms: u64) -> impl Iterator<Item = &Observation> {
        let observations = self.observations.iter();
        observations.filter(move |observation| observation.at_ms >= from_ms)
    }

    /// Returns the largest number of requests within a time.
    pub(crate) fn peak(&self, now_ms: u64, window_ms: u64) -> u32 {
        let recent = self.since(now_ms.saturating_sub(window_ms));
        recent
            .map(|observation| observation.requests)
            .max()
            .unwrap_or(0)
    }

    /// Returns the largest number of requests that was observed twice, [`RECURRENCE_MS`] apart.
    pub(crate) fn recurring_peak(&self, now_ms: u64) -> u32 {
        let recent = || self.since(now_ms.saturating_sub(UP_WINDOW_MS));
        let pairs = recent().filter_map(|first| {
            let later = recent().filter(|other| other.at_ms >= first.at_ms + RECURRENCE_MS);
            let later = later.map(|observation| observation.requests).max()?;
            Some(first.requests.min(later))
        });
        pairs.max().unwrap_or(0)
    }

    /// Returns `true` if work waits now, or may wait at a node whose demand is not known.
    pub(crate) fn may_have_backlog(&self) -> bool {
        let last = self.observations.back();
        last.is_some_and(|last| last.backlog > 0 || last.is_partial)
    }

    /// Returns `true` if work has waited for a while and, as its amount changes, will wait for longer
    /// than `boot_ms`.
    pub(crate) fn outlasts_boot(&self, now_ms: u64, boot_ms: u64) -> bool {
        let from_ms = now_ms.saturating_sub(BACKLOG_TREND_MS);
        let earlier = self.observations.iter().rev();
        let Some(first) = earlier.into_iter().find(|other| other.at_ms <= from_ms) else {
            return false;
        };
        let Some(last) = self.observations.back() else {
            return false;
        };
        let mut since = self.since(first.at_ms);
        if since.any(|observation| observation.backlog == 0) {
            return false;
        }
        let elapsed_ms = last.at_ms - first.at_ms;
        match first.backlog.saturating_sub(last.backlog) {
            0 => true,
            fall => u64::from(last.backlog) * elapsed_ms > u64::from(fall) * boot_ms,
        }
    }
}
