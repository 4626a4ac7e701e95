//! The holder of claims.

use std::collections::BTreeMap;

use wisteriapoint_types::{Digest, MemberId, Nonce, RequestKey, ViewNumber};

use crate::{Answer, Ask, Report, Settled};

/// The claims that one daemon keeps.
#[derive(Debug, Default)]
pub struct Holder {
    view: ViewNumber,
    claims: BTreeMap<RequestKey, Claim>,
}

#[derive(Debug)]
struct Claim {
    digest: Digest,
    claimant: MemberId,
    nonce: Nonce,
    forget_at_ms: u64,
    settled: Option<Settled>,
}

impl Holder {
    /// Makes a holder that knows no view and no claims.
    pub fn new() -> Self {
        Self::default()
    }

    /// Opens the holder in a view.
    pub fn open(&mut self, view: ViewNumber) {
        self.view = view;
    }

    /// Number of claims kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Answers a claimant.
    pub fn ask(&mut self, now_ms: u64, ask: &Ask) -> Answer {
        if ask.view != self.view {
            return Answer::NotOpen { view: self.view };
        }
        let claim = self.claims.entry(ask.key.clone()).or_insert(Claim {
            digest: ask.digest,
            claimant: ask.claimant,
            nonce: ask.nonce,
            forget_at_ms: now_ms.saturating_add(ask.horizon_ms),
            settled: None,
        });
        match &claim.settled {
            _ if claim.digest != ask.digest => Answer::Mismatch,
            Some(settled) => Answer::Settled(settled.clone()),
            None if claim.nonce == ask.nonce => Answer::Granted,
            None => Answer::Held {
                claimant: claim.claimant,
                nonce: claim.nonce,
            },
        }
    }

    /// Takes a claimant's report.
    pub fn report(&mut self, report: &Report) {
        let Some(claim) = self.claims.get_mut(&report.key) else {
            return;
        };
        match &report.settled {
            _ if claim.nonce != report.nonce => {}
            Some(settled) => {
                claim.settled.get_or_insert_with(|| settled.clone());
            }
            None => {
                self.claims.remove(&report.key);
            }
        }
    }

    /// Forgets claims whose time is over.
    pub fn forget(&mut self, now_ms: u64) {
        self.claims.retain(|_, claim| claim.forget_at_ms > now_ms);
    }
}
