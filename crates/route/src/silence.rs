//! Runs that ended without an answer, until their endpoint answers again or has crashed.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Digest, EndpointName, FailureDomain};

/// Time for which a run waits for evidence, in milliseconds: an endpoint that crashes is back after some
/// seconds, or its row ends after three heartbeats.
const MAX_AGE_MS: u64 = 10_000;
/// Number of runs that are kept.
const MAX_RUNS: usize = 4_096;
/// Time for which a crash waits for those of other endpoints, in milliseconds: endpoints that lose power
/// together are back within a second or two of each other.
const SETTLE_MS: u64 = 1_000;
/// Time between two crashes that may have a common cause, in milliseconds.
const CORRELATION_WINDOW_MS: u64 = 2_000;
/// Crashes of this many other endpoints suggest a common cause in any failure domain; in one failure domain,
/// a single one does.
const BURST_ENDPOINTS: usize = 2;

/// A run of a request that its sender has given up without an answer of the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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

/// A crash of an endpoint under a run that ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentCrash {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The run.
    pub run: SilentRun,
    /// `true` if other endpoints, which did not run the request, crashed at about the same time.
    pub correlated: bool,
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
    /// Runs whose endpoints have crashed, with the times at which this was known.
    crashed: Vec<(u64, EndpointName, SilentRun)>,
    /// Recent crashes of endpoints.
    recent: Vec<EndpointCrash>,
}

/// A crash of an endpoint, and the requests that ran there.
#[derive(Debug)]
struct EndpointCrash {
    /// Time at which it was known.
    known_ms: u64,
    endpoint: EndpointName,
    failure_domain: FailureDomain,
    digests: Vec<Digest>,
}

impl SilentRuns {
    /// Creates a state without runs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns `true` if no run waits for evidence, or for the crashes of other endpoints.
    pub fn is_empty(&self) -> bool {
        self.count == 0 && self.crashed.is_empty()
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
            self.crashed.retain(|(_, _, run)| run.digest != digest);
        }
    }

    /// Removes and returns the crashes that have waited for those of other endpoints.
    ///
    /// `born_unix_ms` returns the start of the registered instance of an endpoint; `None` if it is not
    /// registered.
    pub fn take_crashed(
        &mut self,
        now_ms: u64,
        born_unix_ms: impl Fn(&EndpointName) -> Option<u64>,
    ) -> Vec<SilentCrash> {
        self.retain(|ended_ms, _| now_ms < ended_ms + MAX_AGE_MS);
        self.find_crashed(now_ms, born_unix_ms);
        let is_settled =
            |(known_ms, ..): &mut (u64, EndpointName, SilentRun)| now_ms >= *known_ms + SETTLE_MS;
        let settled: Vec<_> = self.crashed.extract_if(.., is_settled).collect();
        let crashes = settled
            .into_iter()
            .map(|(known_ms, endpoint, run)| SilentCrash {
                endpoint,
                correlated: self.is_correlated(known_ms, &run),
                run,
            });
        crashes.collect()
    }

    fn find_crashed(&mut self, now_ms: u64, born_unix_ms: impl Fn(&EndpointName) -> Option<u64>) {
        let window_ms = CORRELATION_WINDOW_MS + SETTLE_MS;
        self.recent
            .retain(|crash| now_ms < crash.known_ms + window_ms);
        for (endpoint, runs) in &mut self.runs {
            let born_unix_ms = born_unix_ms(endpoint);
            let has_crashed = |(_, run): &mut (u64, SilentRun)| {
                born_unix_ms.is_none_or(|born_unix_ms| run.born_unix_ms != born_unix_ms)
            };
            let ended: Vec<_> = runs.extract_if(.., has_crashed).collect();
            let Some((_, first)) = ended.first() else {
                continue;
            };
            self.recent.push(EndpointCrash {
                known_ms: now_ms,
                endpoint: endpoint.clone(),
                failure_domain: first.failure_domain.clone(),
                digests: ended.iter().map(|(_, run)| run.digest).collect(),
            });
            let ended = ended.into_iter();
            self.crashed
                .extend(ended.map(|(_, run)| (now_ms, endpoint.clone(), run)));
        }
        self.retain(|_, _| true);
    }

    /// Returns `true` if endpoints that did not run the request crashed at about the same time.
    fn is_correlated(&self, known_ms: u64, run: &SilentRun) -> bool {
        let own: BTreeSet<_> = self
            .recent
            .iter()
            .filter(|crash| crash.digests.contains(&run.digest))
            .map(|crash| &crash.endpoint)
            .collect();
        let others = self.recent.iter().filter(|crash| {
            known_ms.abs_diff(crash.known_ms) <= CORRELATION_WINDOW_MS
                && !own.contains(&crash.endpoint)
        });
        let others: BTreeMap<_, _> = others
            .map(|crash| (&crash.endpoint, &crash.failure_domain))
            .collect();
        others.len() >= BURST_ENDPOINTS
            || others.values().any(|&other| *other == run.failure_domain)
    }

    fn retain(&mut self, is_kept: impl Fn(u64, &SilentRun) -> bool) {
        self.runs.retain(|_, runs| {
            runs.retain(|(ended_ms, run)| is_kept(*ended_ms, run));
            !runs.is_empty()
        });
        self.count = self.runs.values().map(Vec::len).sum();
    }
}
