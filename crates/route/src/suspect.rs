//! Tracking of requests that are suspected of crashing endpoints.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Digest, EndpointName};

const RETENTION_MS: u64 = 600_000;
const MAX_DIGESTS: usize = 4_096;
const MAX_CRASHES_PER_DIGEST: usize = 4;

/// Report that an endpoint crashed while it ran a request; daemons exchange these reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Digest of the request.
    pub digest: Digest,
    /// Endpoint that crashed.
    pub endpoint: EndpointName,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// `true` if no other request of the reporting daemon ran on the endpoint.
    #[serde(rename = "alone")]
    pub isolated: bool,
}

/// Treatment of a request by its crash history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// The request is dispatched without restriction.
    Normal,
    /// The request runs isolated: alone on a reserved endpoint.
    Suspect,
    /// The request is refused.
    Quarantined,
}

/// Crash history of requests by digest.
///
/// A crash while the request was not isolated only makes it suspect, since the loss of a
/// failure domain leaves many requests with several such crashes. A crash while the request
/// ran isolated quarantines it.
#[derive(Debug, Default)]
pub struct Suspects {
    records: BTreeMap<Digest, Vec<CrashRecord>>,
}

#[derive(Debug)]
struct CrashRecord {
    endpoint: EndpointName,
    at_ms: u64,
    isolated: bool,
}

impl Suspects {
    /// Records that an endpoint crashed while it ran a request.
    pub fn record_crash(
        &mut self,
        now_ms: u64,
        digest: Digest,
        endpoint: &EndpointName,
        isolated: bool,
    ) {
        self.evict(now_ms);
        let crashes = self.records.entry(digest).or_default();
        crashes.retain(|record| record.at_ms + RETENTION_MS > now_ms);
        match crashes
            .iter_mut()
            .find(|record| record.endpoint == *endpoint)
        {
            Some(record) => {
                record.at_ms = record.at_ms.max(now_ms);
                record.isolated |= isolated;
            }
            None => crashes.push(CrashRecord {
                endpoint: endpoint.clone(),
                at_ms: now_ms,
                isolated,
            }),
        }
        // Isolated crashes sort last, so that the limit removes the others first.
        crashes.sort_by_key(|record| (record.isolated, record.at_ms));
        let surplus = crashes.len().saturating_sub(MAX_CRASHES_PER_DIGEST);
        crashes.drain(..surplus);
    }

    /// Clears a suspect whose request was completed; a quarantined request stays quarantined.
    pub fn clear(&mut self, now_ms: u64, digest: Digest) {
        if self.status(now_ms, digest) == SuspectStatus::Suspect {
            self.records.remove(&digest);
        }
    }

    /// Discards crash records since `since_ms` on endpoints that crashed at about the same
    /// time.
    ///
    /// Such crashes have a common cause, which can't be a request that ran on only one of the
    /// endpoints. The records of a request that ran on several of them are not discarded.
    pub fn discard_correlated(&mut self, since_ms: u64, endpoints: &[EndpointName]) {
        let is_correlated = |record: &CrashRecord| {
            !record.isolated && record.at_ms >= since_ms && endpoints.contains(&record.endpoint)
        };
        self.records.retain(|_, crashes| {
            if crashes
                .iter()
                .filter(|record| is_correlated(record))
                .count()
                == 1
            {
                crashes.retain(|record| !is_correlated(record));
            }
            !crashes.is_empty()
        });
    }

    /// Returns the status of a request; crash records expire after ten minutes.
    pub fn status(&self, now_ms: u64, digest: Digest) -> SuspectStatus {
        match self.records.get(&digest) {
            None => SuspectStatus::Normal,
            Some(crashes) if latest_ms(crashes) + RETENTION_MS <= now_ms => SuspectStatus::Normal,
            Some(crashes) if crashes.iter().any(|record| record.isolated) => {
                SuspectStatus::Quarantined
            }
            Some(_) => SuspectStatus::Suspect,
        }
    }

    /// Returns `true` if the endpoint crashed while it ran the request.
    pub fn has_crashed(&self, digest: Digest, endpoint: &EndpointName) -> bool {
        let crashes = self.records.get(&digest);
        crashes.is_some_and(|crashes| crashes.iter().any(|record| record.endpoint == *endpoint))
    }

    /// Returns reports of the crashes that are not older than `max_age_ms`.
    pub fn export(&self, now_ms: u64, max_age_ms: u64) -> Vec<CrashReport> {
        let all = self.records.iter();
        all.flat_map(|(&digest, crashes)| crashes.iter().map(move |record| (digest, record)))
            .map(|(digest, record)| CrashReport {
                digest,
                endpoint: record.endpoint.clone(),
                age_ms: now_ms.saturating_sub(record.at_ms),
                isolated: record.isolated,
            })
            .filter(|report| report.age_ms <= max_age_ms)
            .collect()
    }

    /// Records the crash reports of another daemon.
    pub fn import(&mut self, now_ms: u64, reports: &[CrashReport]) {
        for report in reports.iter().filter(|report| report.age_ms < RETENTION_MS) {
            let at_ms = now_ms.saturating_sub(report.age_ms);
            self.record_crash(at_ms, report.digest, &report.endpoint, report.isolated);
        }
    }

    fn evict(&mut self, now_ms: u64) {
        if self.records.len() < MAX_DIGESTS {
            return;
        }
        self.records
            .retain(|_, crashes| latest_ms(crashes) + RETENTION_MS > now_ms);
        while self.records.len() >= MAX_DIGESTS {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, crashes)| latest_ms(crashes));
            match oldest.map(|(&digest, _)| digest) {
                Some(digest) => self.records.remove(&digest),
                None => return,
            };
        }
    }
}

fn latest_ms(crashes: &[CrashRecord]) -> u64 {
    crashes.iter().map(|record| record.at_ms).max().unwrap_or(0)
}
