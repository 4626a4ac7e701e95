//! Requests suspected of crashing the endpoints that run them.

use std::collections::BTreeMap;

use wisteriapoint_types::{Digest, EndpointName};

/// Number of different endpoints that may crash on a request before it is refused. A third crash
/// would cost a third of a small service for a request that no endpoint can complete.
const QUARANTINE_THRESHOLD: usize = 2;
/// Time from the last crash until a suspicion expires; callers retry within seconds.
const SUSPICION_RETENTION_MS: u64 = 60_000;
/// Largest number of requests under suspicion at the same time; no crash is recorded while there
/// are as many.
const MAX_SUSPECTS: usize = 1_024;

/// Requests that were in flight on endpoints that closed the connection.
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
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an endpoint closed the connection while it ran a request.
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

    /// Returns the endpoints that crashed on a request, and the time since the last crash in
    /// milliseconds.
    pub fn crashes(&self, now_ms: u64, digest: Digest) -> (&[EndpointName], u64) {
        match self.suspects.get(&digest) {
            Some(suspect) => (
                &suspect.endpoints,
                now_ms.saturating_sub(suspect.last_crash_ms),
            ),
            None => (&[], 0),
        }
    }

    /// Clears a request that an endpoint responded to, since it does not crash all of them.
    pub fn clear(&mut self, digest: Digest) {
        self.suspects.remove(&digest);
    }

    /// Returns `true` if the request may not be sent to any further endpoint.
    pub fn is_quarantined(&self, now_ms: u64, digest: Digest) -> bool {
        self.suspects.get(&digest).is_some_and(|suspect| {
            suspect.endpoints.len() >= QUARANTINE_THRESHOLD
                && now_ms < suspect.last_crash_ms + SUSPICION_RETENTION_MS
        })
    }
}
