//! Runs that ended without an answer, until their endpoint answers again or has crashed.

use std::collections::BTreeMap;

use wisteriapoint_types::{Digest, EndpointName, FailureDomain};

/// Time for which a run waits for evidence, in milliseconds: an endpoint that crashes is back after some
/// seconds, or its row ends after three heartbeats.
const MAX_AGE_MS: u64 = 10_000;
/// Number of runs that are kept.
const MAX_RUNS: usize = 4_096;

/// A run of a request that its sender has given up without an answer of the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentRun {
    /// Digest of the request.
    pub digest: Digest,
    /// Id of the request.
    pub id: Box<str>,
    /// Failure domain of the endpoint.
    pub failure_domain: FailureDomain,
    /// Start of the instance to which the request was sent, in Unix milliseconds.
    pub born_unix_ms: u64,
    /// `true` if the request ran isolated.
    pub isolated: bool,
    /// `true` if another request of a caller ran there as well.
    pub shared: bool,
}

/// Runs that ended without an answer, by endpoint.
///
/// Silence alone is no crash: the endpoint may be slow, or its link may be cut. It has crashed if it is
/// registered as a later instance, or not any more, before it has answered anything. A request that
/// another endpoint has completed meanwhile is not to blame.
#[derive(Debug, Default)]
pub struct SilentRuns {
    runs: BTreeMap<EndpointName, Vec<(u64, SilentRun)>>,
    count: usize,
}

impl SilentRuns {
    /// Creates a state without runs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns `true` if no run waits for evidence.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds a run that has just ended; it is not kept if there are too many.
    pub fn insert(&mut self, now_ms: u64, endpoint: &EndpointName, run: SilentRun) {
        self.retain(|ended_ms, _| now_ms < ended_ms + MAX_AGE_MS);
        if self.count < MAX_RUNS {
            let runs = self.runs.entry(endpoint.clone()).or_default();
            runs.push((now_ms, run));
            self.count += 1;
        }
    }

    /// Records that an endpoint has answered a request, so it has not crashed under those before.
    pub fn record_answer(&mut self, endpoint: &EndpointName) {
        if let Some(runs) = self.runs.remove(endpoint) {
            self.count -= runs.len();
        }
    }

    /// Records that an endpoint has completed a request.
    pub fn record_completion(&mut self, digest: Digest) {
        if !self.is_empty() {
            self.retain(|_, run| run.digest != digest);
        }
    }

    /// Removes and returns the runs whose endpoints have crashed.
    ///
    /// `born_unix_ms` returns the start of the registered instance of an endpoint; `None` if it is not
    /// registered.
    pub fn take_crashed(
        &mut self,
        now_ms: u64,
        born_unix_ms: impl Fn(&EndpointName) -> Option<u64>,
    ) -> Vec<(EndpointName, SilentRun)> {
        let mut crashed = Vec::new();
        self.retain(|ended_ms, _| now_ms < ended_ms + MAX_AGE_MS);
        for (endpoint, runs) in &mut self.runs {
            let born_unix_ms = born_unix_ms(endpoint);
            let has_crashed = |(_, run): &mut (u64, SilentRun)| {
                born_unix_ms.is_none_or(|born_unix_ms| run.born_unix_ms < born_unix_ms)
            };
            let ended = runs.extract_if(.., has_crashed);
            crashed.extend(ended.map(|(_, run)| (endpoint.clone(), run)));
        }
        self.retain(|_, _| true);
        crashed
    }

    fn retain(&mut self, is_kept: impl Fn(u64, &SilentRun) -> bool) {
        self.runs.retain(|_, runs| {
            runs.retain(|(ended_ms, run)| is_kept(*ended_ms, run));
            !runs.is_empty()
        });
        self.count = self.runs.values().map(Vec::len).sum();
    }
}
