//! Requests that are suspected of crashing endpoints.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Digest, EndpointName};

const RETENTION_MS: u64 = 600_000;
const MAX_DIGESTS: usize = 4_096;
const MAX_CRASHES_PER_DIGEST: usize = 4;

/// One endpoint that crashed while it ran a request; daemons tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub digest: Digest,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Whether the request ran there alone.
    #[serde(rename = "alone")]
    pub isolated: bool,
}

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// Like any other.
    Normal,
    /// It runs alone on its endpoint.
    Suspect,
    /// It does not run again.
    Quarantined,
}

/// The strikes of all requests.
///
/// A strike beside others only raises a suspicion: when a failure domain is lost, many
/// requests get several. A strike alone condemns.
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
    /// Notes that an endpoint crashed while it ran a request, alone or beside others.
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
        // Strikes alone sort last and stay.
        crashes.sort_by_key(|record| (record.isolated, record.at_ms));
        let surplus = crashes.len().saturating_sub(MAX_CRASHES_PER_DIGEST);
        crashes.drain(..surplus);
    }

    /// Clears a suspect that ran to its end; a quarantined request stays so.
    pub fn clear(&mut self, now_ms: u64, digest: Digest) {
        if self.status(now_ms, digest) == SuspectStatus::Suspect {
            self.records.remove(&digest);
        }
    }

    /// Takes back strikes since `since_ms` at endpoints that crashed together, since no
    /// single request crashed them all; a request that ran on several of them keeps its own.
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

    /// How a request is treated; strikes are forgotten after ten minutes.
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

    /// Whether an endpoint crashed with a request.
    pub fn has_crashed(&self, digest: Digest, endpoint: &EndpointName) -> bool {
        let crashes = self.records.get(&digest);
        crashes.is_some_and(|crashes| crashes.iter().any(|record| record.endpoint == *endpoint))
    }

    /// The strikes not older than `max_age_ms`, for the other daemons.
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

    /// Takes the strikes of another daemon.
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
