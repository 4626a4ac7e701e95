//! Requests that are suspected of crashing endpoints.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::{Digest, EndpointName};

const FORGET_MS: u64 = 600_000;
const MAX_DIGESTS: usize = 4_096;
const MAX_STRIKES: usize = 4;

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
    records: BTreeMap<Digest, Vec<Held>>,
}

#[derive(Debug)]
struct Held {
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
        self.forget(now_ms);
        let strikes = self.records.entry(digest).or_default();
        strikes.retain(|held| held.at_ms + FORGET_MS > now_ms);
        match strikes.iter_mut().find(|held| held.endpoint == *endpoint) {
            Some(held) => {
                held.at_ms = held.at_ms.max(now_ms);
                held.isolated |= isolated;
            }
            None => strikes.push(Held {
                endpoint: endpoint.clone(),
                at_ms: now_ms,
                isolated,
            }),
        }
        // Strikes alone sort last and stay.
        strikes.sort_by_key(|held| (held.isolated, held.at_ms));
        let surplus = strikes.len().saturating_sub(MAX_STRIKES);
        strikes.drain(..surplus);
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
        let is_of_crash = |held: &Held| {
            !held.isolated && held.at_ms >= since_ms && endpoints.contains(&held.endpoint)
        };
        self.records.retain(|_, strikes| {
            if strikes.iter().filter(|held| is_of_crash(held)).count() == 1 {
                strikes.retain(|held| !is_of_crash(held));
            }
            !strikes.is_empty()
        });
    }

    /// How a request is treated; strikes are forgotten after ten minutes.
    pub fn status(&self, now_ms: u64, digest: Digest) -> SuspectStatus {
        match self.records.get(&digest) {
            None => SuspectStatus::Normal,
            Some(strikes) if latest_ms(strikes) + FORGET_MS <= now_ms => SuspectStatus::Normal,
            Some(strikes) if strikes.iter().any(|held| held.isolated) => SuspectStatus::Quarantined,
            Some(_) => SuspectStatus::Suspect,
        }
    }

    /// Whether an endpoint crashed with a request.
    pub fn has_crashed(&self, digest: Digest, endpoint: &EndpointName) -> bool {
        let strikes = self.records.get(&digest);
        strikes.is_some_and(|strikes| strikes.iter().any(|held| held.endpoint == *endpoint))
    }

    /// The strikes not older than `max_age_ms`, for the other daemons.
    pub fn export(&self, now_ms: u64, max_age_ms: u64) -> Vec<CrashReport> {
        let all = self.records.iter();
        all.flat_map(|(&digest, strikes)| strikes.iter().map(move |held| (digest, held)))
            .map(|(digest, held)| CrashReport {
                digest,
                endpoint: held.endpoint.clone(),
                age_ms: now_ms.saturating_sub(held.at_ms),
                isolated: held.isolated,
            })
            .filter(|strike| strike.age_ms <= max_age_ms)
            .collect()
    }

    /// Takes the strikes of another daemon.
    pub fn import(&mut self, now_ms: u64, strikes: &[CrashReport]) {
        for strike in strikes.iter().filter(|strike| strike.age_ms < FORGET_MS) {
            let at_ms = now_ms.saturating_sub(strike.age_ms);
            self.record_crash(at_ms, strike.digest, &strike.endpoint, strike.isolated);
        }
    }

    fn forget(&mut self, now_ms: u64) {
        if self.records.len() < MAX_DIGESTS {
            return;
        }
        self.records
            .retain(|_, strikes| latest_ms(strikes) + FORGET_MS > now_ms);
        while self.records.len() >= MAX_DIGESTS {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, strikes)| latest_ms(strikes));
            match oldest.map(|(&digest, _)| digest) {
                Some(digest) => self.records.remove(&digest),
                None => return,
            };
        }
    }
}

fn latest_ms(strikes: &[Held]) -> u64 {
    strikes.iter().map(|held| held.at_ms).max().unwrap_or(0)
}
