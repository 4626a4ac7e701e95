//! Crash history of requests, and the decision which of them may run.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Digest, EndpointName, FailureDomain};

/// Time for which a crash counts, in milliseconds: callers resend within minutes.
const RETENTION_MS: u64 = 600_000;
/// Number of requests whose crashes are kept.
const MAX_DIGESTS: usize = 4_096;
/// Crashes after which a request is refused even if each had another likely cause.
const MAX_CRASHES_PER_DIGEST: usize = 4;
/// Daemons that see an endpoint crash within this time see the same crash: it is back after
/// seconds, and daemons notice its crash within the timeout of a connection.
const SAME_CRASH_MS: u64 = 1_000;
/// Crashes of several endpoints within this time may have a common cause.
const CORRELATION_WINDOW_MS: u64 = 100;
/// Crashes of this many other endpoints at the same time suggest a common cause in any failure
/// domain; in one failure domain, a single one does.
const BURST_ENDPOINTS: usize = 2;
/// Number of recent endpoint crashes that are compared; a burst is recognised by the first few.
const MAX_RECENT_CRASHES: usize = 64;

/// Report that an endpoint crashed while it ran a request; daemons exchange these reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Random number that the daemon gave to the crash when it saw it.
    pub id: u64,
    /// Digest of the request.
    pub digest: Digest,
    /// Endpoint that crashed.
    pub endpoint: EndpointName,
    /// Failure domain of the endpoint.
    pub failure_domain: FailureDomain,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// `true` if the request ran isolated, so that no other suspect explains the crash.
    #[serde(rename = "alone")]
    pub isolated: bool,
    /// `true` if another request of a caller ran there as well.
    pub shared: bool,
    /// `true` if other endpoints, which did not run the request, crashed at the same time, or the
    /// endpoint was leaving its service.
    pub correlated: bool,
}

/// Treatment of a request by its crash history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// The request is dispatched without restriction.
    Normal,
    /// The request runs isolated.
    Suspect,
    /// The request is refused.
    Quarantined,
}

/// Crash history of requests by digest.
///
/// A crash while the request was not isolated only makes it suspect, since other requests may have
/// caused it. A crash while it ran isolated quarantines it, unless another request ran there after
/// all, other endpoints crashed at the same time, or the endpoint was leaving its service. So a
/// request that is resent after each failure crashes two endpoints, and at most
/// [`MAX_CRASHES_PER_DIGEST`] if each crash has another likely cause.
#[derive(Debug, Default)]
pub struct Suspects {
    records: BTreeMap<Digest, Vec<CrashRecord>>,
    /// Recent crashes of endpoints, the last one first.
    recent: VecDeque<EndpointCrash>,
    /// Times and digests of the recent crash records, the last one first.
    recent_records: VecDeque<(u64, Digest)>,
    is_isolation_exclusive: bool,
}

/// A crash of an endpoint while it ran a request, as this daemon saw it.
#[derive(Debug, Clone, Copy)]
pub struct Crash<'a> {
    /// Random number by which reports of this crash are recognised, however late they arrive.
    pub id: u64,
    /// The endpoint.
    pub endpoint: &'a EndpointName,
    /// Failure domain of the endpoint.
    pub failure_domain: &'a FailureDomain,
    /// `true` if the request ran isolated.
    pub isolated: bool,
    /// `true` if the endpoint was leaving its service, which may have ended it.
    pub is_leaving: bool,
}

/// A crash of an endpoint while it ran a request.
#[derive(Debug, Clone)]
struct CrashRecord {
    id: u64,
    endpoint: EndpointName,
    failure_domain: FailureDomain,
    at_ms: u64,
    isolated: bool,
    shared: bool,
    correlated: bool,
}

/// A recent crash of an endpoint, whatever it ran.
#[derive(Debug)]
struct EndpointCrash {
    endpoint: EndpointName,
    failure_domain: FailureDomain,
    at_ms: u64,
    /// `true` if a suspect ran isolated, which explains the crash.
    is_explained: bool,
    /// One of the requests that ran there.
    digest: Option<Digest>,
}

/// Effect of a recorded crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recorded {
    /// `true` if the crash was not known before, or not as isolated.
    pub is_new: bool,
    /// Request whose unexpired history was discarded, because too many are kept.
    pub evicted: Option<Digest>,
}

impl Suspects {
    /// Lets a crash count as isolated only if no other request has a record of the same crash.
    ///
    /// For processes that keep the endpoint of an isolated run free of the requests of all others.
    /// Where these may run beside it, such a rule would let a request crash a third endpoint.
    pub fn with_exclusive_isolation(mut self) -> Self {
        self.is_isolation_exclusive = true;
        self
    }

    /// Records that an endpoint crashed while it ran a request.
    pub fn record_crash(&mut self, now_ms: u64, digest: Digest, crash: Crash<'_>) -> Recorded {
        let crash = CrashRecord {
            id: crash.id,
            endpoint: crash.endpoint.clone(),
            failure_domain: crash.failure_domain.clone(),
            at_ms: now_ms,
            isolated: crash.isolated,
            shared: false,
            correlated: crash.is_leaving,
        };
        self.record(now_ms, digest, crash)
    }

    /// Adds a crash record; `now_ms` is the present, which may be later than the crash.
    fn record(&mut self, now_ms: u64, digest: Digest, crash: CrashRecord) -> Recorded {
        let evicted = match self.records.contains_key(&digest) {
            true => None,
            false => self.evict(now_ms),
        };
        let crashes = self.records.entry(digest).or_default();
        crashes.retain(|record| record.at_ms + RETENTION_MS > now_ms);
        let known = crashes.iter_mut().find(|record| record.is_same(&crash));
        let is_new = match known {
            Some(record) => {
                let is_new = crash.isolated && !record.isolated;
                record.at_ms = record.at_ms.min(crash.at_ms);
                record.isolated |= crash.isolated;
                record.shared |= crash.shared;
                record.correlated |= crash.correlated;
                is_new
            }
            None => {
                crashes.push(crash.clone());
                self.recent_records.push_front((crash.at_ms, digest));
                true
            }
        };
        // Isolated crashes sort last, so that the limit removes the others first.
        crashes.sort_by_key(|record| (record.isolated, record.at_ms));
        let surplus = crashes.len().saturating_sub(MAX_CRASHES_PER_DIGEST);
        crashes.drain(..surplus);
        let other = self.record_recent(EndpointCrash {
            endpoint: crash.endpoint.clone(),
            failure_domain: crash.failure_domain.clone(),
            at_ms: crash.at_ms,
            is_explained: crash.isolated && !crash.shared,
            digest: Some(digest),
        });
        if let Some(other) = other.filter(|_| self.is_isolation_exclusive) {
            self.mark_shared(digest, &crash);
            self.mark_shared(other, &crash);
        }
        Recorded { is_new, evicted }
    }

    /// Records that an endpoint crashed, whatever it ran.
    ///
    /// Endpoints that crash at about the same time have a common cause, which can't be a request
    /// that ran on only some of them, unless a suspect ran isolated on the others. Their crashes
    /// alone raise no suspicion and quarantine no request.
    pub fn record_endpoint_crash(
        &mut self,
        at_ms: u64,
        endpoint: &EndpointName,
        failure_domain: &FailureDomain,
    ) {
        self.record_recent(EndpointCrash {
            endpoint: endpoint.clone(),
            failure_domain: failure_domain.clone(),
            at_ms,
            is_explained: false,
            digest: None,
        });
    }

    /// Marks the record of a crash as that of an endpoint which also ran another request.
    fn mark_shared(&mut self, digest: Digest, crash: &CrashRecord) {
        let records = self.records.get_mut(&digest).into_iter().flatten();
        for record in records.filter(|record| record.is_same(crash)) {
            record.shared = true;
        }
    }

    /// Records a crash of an endpoint; returns another request that ran there, if one is known.
    fn record_recent(&mut self, crash: EndpointCrash) -> Option<Digest> {
        let at_ms = crash.at_ms;
        self.recent
            .retain(|known| known.at_ms + SAME_CRASH_MS > at_ms);
        self.recent_records
            .retain(|&(record_ms, _)| record_ms + SAME_CRASH_MS > at_ms);
        self.recent_records.truncate(MAX_DIGESTS);
        let is_same = |known: &&mut EndpointCrash| {
            known.endpoint == crash.endpoint && is_within(CORRELATION_WINDOW_MS, known.at_ms, at_ms)
        };
        let other = match self.recent.iter_mut().find(is_same) {
            Some(known) => {
                let other = known.digest.filter(|_| known.digest != crash.digest);
                known.digest = known.digest.or(crash.digest);
                known.is_explained |= crash.is_explained;
                known.is_explained &= other.is_none() || !self.is_isolation_exclusive;
                other
            }
            None => {
                self.recent.truncate(MAX_RECENT_CRASHES - 1);
                self.recent.push_front(crash);
                None
            }
        };
        self.mark_correlated(at_ms);
        other
    }

    /// Marks the crash records around `at_ms` that other crashes explain better than the request.
    fn mark_correlated(&mut self, at_ms: u64) {
        let recent = &self.recent;
        let is_affected = |record_ms: u64| is_within(CORRELATION_WINDOW_MS, record_ms, at_ms);
        let mut endpoints = recent.iter().map(|crash| &crash.endpoint);
        let first = endpoints.next();
        if endpoints.all(|other| Some(other) == first) {
            return;
        }
        let recent_records = self.recent_records.iter();
        for &(_, digest) in recent_records.filter(|&&(record_ms, _)| is_affected(record_ms)) {
            let Some(crashes) = self.records.get_mut(&digest) else {
                continue;
            };
            let own: Vec<_> = crashes
                .iter()
                .map(|record| record.endpoint.clone())
                .collect();
            let uncorrelated = crashes.iter_mut().filter(|record| !record.correlated);
            for record in uncorrelated.filter(|record| is_affected(record.at_ms)) {
                let others = recent.iter().filter(|crash| {
                    is_within(CORRELATION_WINDOW_MS, crash.at_ms, record.at_ms)
                        && !crash.is_explained
                        && !own.contains(&crash.endpoint)
                });
                let (mut others_count, mut is_same_domain) = (0, false);
                for other in others {
                    others_count += 1;
                    is_same_domain |= other.failure_domain == record.failure_domain;
                }
                record.correlated = is_same_domain || others_count >= BURST_ENDPOINTS;
            }
        }
    }

    /// Records that the endpoint of a crash also ran another request, whose crash may be reported later.
    pub fn record_shared(&mut self, digest: Digest, crash_id: u64) {
        let records = self.records.get_mut(&digest).into_iter().flatten();
        for record in records.filter(|record| record.id == crash_id) {
            record.shared = true;
        }
    }

    /// Clears a request that was completed; a quarantined request stays quarantined.
    ///
    /// Returns `true` if it had a crash history.
    pub fn clear(&mut self, now_ms: u64, digest: Digest) -> bool {
        self.status(now_ms, digest) != SuspectStatus::Quarantined
            && self.records.remove(&digest).is_some()
    }

    /// Returns the status of a request; crash records expire after ten minutes.
    pub fn status(&self, now_ms: u64, digest: Digest) -> SuspectStatus {
        let (mut count, mut uncorrelated) = (0, 0);
        for record in self.live(now_ms, digest) {
            if record.isolated && !record.shared && !record.correlated {
                return SuspectStatus::Quarantined;
            }
            count += 1;
            uncorrelated += usize::from(!record.correlated);
        }
        match count {
            MAX_CRASHES_PER_DIGEST.. => SuspectStatus::Quarantined,
            // A second crash in which others crashed as well is no coincidence any more.
            2.. => SuspectStatus::Suspect,
            _ if uncorrelated > 0 => SuspectStatus::Suspect,
            _ => SuspectStatus::Normal,
        }
    }

    fn live(&self, now_ms: u64, digest: Digest) -> impl Iterator<Item = &CrashRecord> {
        let crashes = self.records.get(&digest).into_iter().flatten();
        crashes.filter(move |record| record.at_ms + RETENTION_MS > now_ms)
    }

    /// Returns the time in milliseconds until the history of a request has expired.
    pub fn expires_in_ms(&self, now_ms: u64, digest: Digest) -> u64 {
        let expires_ms = self.live(now_ms, digest).map(|record| record.at_ms);
        let expires_ms = expires_ms.max().map_or(0, |at_ms| at_ms + RETENTION_MS);
        expires_ms.saturating_sub(now_ms)
    }

    /// Returns `true` if the endpoint crashed while it ran the request.
    pub fn has_crashed(&self, digest: Digest, endpoint: &EndpointName) -> bool {
        let crashes = self.records.get(&digest);
        crashes.is_some_and(|crashes| crashes.iter().any(|record| record.endpoint == *endpoint))
    }

    /// Returns reports of the crashes of one request.
    pub fn reports(&self, now_ms: u64, digest: Digest) -> Vec<CrashReport> {
        self.live(now_ms, digest)
            .map(|record| record.report(now_ms, digest))
            .collect()
    }

    /// Returns reports of the crashes that are not older than `max_age_ms`.
    pub fn export(&self, now_ms: u64, max_age_ms: u64) -> Vec<CrashReport> {
        let digests = self.records.keys();
        digests
            .flat_map(|&digest| self.reports(now_ms, digest))
            .filter(|report| report.age_ms <= max_age_ms)
            .collect()
    }

    /// Records the crash report of another daemon.
    pub fn import(&mut self, now_ms: u64, report: &CrashReport) -> Recorded {
        if report.age_ms >= RETENTION_MS {
            return Recorded {
                is_new: false,
                evicted: None,
            };
        }
        let crash = CrashRecord {
            id: report.id,
            endpoint: report.endpoint.clone(),
            failure_domain: report.failure_domain.clone(),
            at_ms: now_ms.saturating_sub(report.age_ms),
            isolated: report.isolated,
            shared: report.shared,
            correlated: report.correlated,
        };
        self.record(now_ms, report.digest, crash)
    }

    /// Makes room for one more request; returns the one whose unexpired history was discarded.
    fn evict(&mut self, now_ms: u64) -> Option<Digest> {
        if self.records.len() < MAX_DIGESTS {
            return None;
        }
        self.records
            .retain(|_, crashes| latest_ms(crashes) + RETENTION_MS > now_ms);
        if self.records.len() < MAX_DIGESTS {
            return None;
        }
        let all = self.records.iter();
        let oldest = all.min_by_key(|(_, crashes)| latest_ms(crashes));
        let digest = oldest.map(|(&digest, _)| digest)?;
        self.records.remove(&digest);
        Some(digest)
    }
}

impl CrashRecord {
    /// Returns `true` if both records are of one crash of one endpoint.
    ///
    /// The time of a reported crash is too late by the time that its report took to arrive.
    fn is_same(&self, other: &Self) -> bool {
        let is_same_time = is_within(SAME_CRASH_MS, self.at_ms, other.at_ms);
        self.id == other.id || (self.endpoint == other.endpoint && is_same_time)
    }

    fn report(&self, now_ms: u64, digest: Digest) -> CrashReport {
        CrashReport {
            id: self.id,
            digest,
            endpoint: self.endpoint.clone(),
            failure_domain: self.failure_domain.clone(),
            age_ms: now_ms.saturating_sub(self.at_ms),
            isolated: self.isolated,
            shared: self.shared,
            correlated: self.correlated,
        }
    }
}

fn is_within(window_ms: u64, a_ms: u64, b_ms: u64) -> bool {
    a_ms.abs_diff(b_ms) <= window_ms
}

fn latest_ms(crashes: &[CrashRecord]) -> u64 {
    crashes.iter().map(|record| record.at_ms).max().unwrap_or(0)
}
