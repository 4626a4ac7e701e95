//! Requests that crash the endpoints that run them.

use std::collections::BTreeMap;

use wisteriapoint_types::{Digest, EndpointName};

/// Different endpoints that may crash before a request is refused: a third would cost a third
/// of a small service for a request that nobody can answer.
const QUARANTINE_THRESHOLD: usize = 2;
/// Time that a suspicion is kept, in milliseconds; callers ask again within seconds.
const SUSPICION_RETENTION_MS: u64 = 60_000;
/// Most requests under suspicion at the same time.
const MAX_SUSPECTS: usize = 1_024;

/// Which requests were in flight on endpoints that broke off.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    suspects: BTreeMap<Digest, Suspect>,
}

#[derive(Debug)]
struct Suspect {
    endpoints: Vec<EndpointName>,
    last_crash_ms: u64,
}

impl CrashSuspects {
    /// Suspects nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an endpoint broke off while it had a request.
    pub fn record_crash(&mut self, now_ms: u64, digest: Digest, endpoint: &EndpointName) {
        self.suspects
            .retain(|_, suspect| now_ms < suspect.last_crash_ms + SUSPICION_RETENTION_MS);
        if self.suspects.len() >= MAX_SUSPECTS {
            return;
        }
        let suspect = self.suspects.entry(digest).or_insert(Suspect {
            endpoints: Vec::new(),
            last_crash_ms: now_ms,
        });
        suspect.last_crash_ms = now_ms;
        if !suspect.endpoints.contains(endpoint) {
            suspect.endpoints.push(endpoint.clone());
        }
    }

    /// Notes that an endpoint answered a request, so it does not crash them all.
    pub fn clear(&mut self, digest: Digest) {
        self.suspects.remove(&digest);
    }

    /// Whether a request is not to be sent on any more.
    pub fn is_quarantined(&self, now_ms: u64, digest: Digest) -> bool {
        self.suspects.get(&digest).is_some_and(|suspect| {
            suspect.endpoints.len() >= QUARANTINE_THRESHOLD
                && now_ms < suspect.last_crash_ms + SUSPICION_RETENTION_MS
        })
    }
}
