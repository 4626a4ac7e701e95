//! The claims of one partition.

use std::ops::Bound;

use wisteriapoint_types::{RequestKey, ViewNumber};

use crate::age::{forget_at_ms, is_distrusted};
use crate::{Attempt, AttemptState, ClaimRequest, ClaimResponse, Page, Report, Transfer};

/// Size at which a page of a transfer ends, in bytes.
pub const PAGE_BYTES: usize = 1 << 20;

const RECORD_BYTES: usize = 256;

/// One partition at one holder.
///
/// It is open in a view once it knows every claim of the views before, and sealed as soon
/// as it learns a later view.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Partition {
    sealed: ViewNumber,
    opened: ViewNumber,
    claims: Transfer,
}

impl Partition {
    /// Makes a partition that is open in no view and knows no claims.
    pub fn new() -> Self {
        Self::default()
    }

    /// Refuses the asks of all views before this one, for good.
    pub fn seal(&mut self, view: ViewNumber) {
        self.sealed = self.sealed.max(view);
    }

    /// Opens the partition in a view, unless a later view is known.
    ///
    /// The transfer has to hold every claim of the views before.
    pub fn open(&mut self, view: ViewNumber, transfer: Transfer) {
        self.claims.merge(transfer);
        if view >= self.sealed {
            self.sealed = view;
            self.opened = view;
        }
    }

    /// Whether asks of a view are answered.
    pub fn is_open(&self, view: ViewNumber) -> bool {
        self.opened == view && self.sealed == view
    }

    /// The last view that the partition was open in.
    pub fn opened(&self) -> ViewNumber {
        self.opened
    }

    /// Number of keys that are known.
    pub fn len(&self) -> usize {
        self.claims.records.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.claims.records.is_empty()
    }

    /// Answers a claimant.
    pub fn claim(&mut self, now_ms: u64, ask: &ClaimRequest) -> ClaimResponse {
        if !self.is_open(ask.view) {
            return ClaimResponse::NotOpen { view: self.sealed };
        }
        let answer = self.look(now_ms, ask);
        if answer == ClaimResponse::Granted {
            let record = self.claims.records.entry(ask.key.clone()).or_default();
            let forget_at_ms = forget_at_ms(now_ms, &ask.key, ask.horizon_ms);
            record.expires_at_ms = record.expires_at_ms.max(forget_at_ms);
            record.merge_attempt(ask.nonce, ask.attempt());
        }
        answer
    }

    fn look(&self, now_ms: u64, ask: &ClaimRequest) -> ClaimResponse {
        let distrusted = is_distrusted(now_ms, self.claims.lost_at_ms, &ask.key, ask.horizon_ms);
        let free = match distrusted {
            true => ClaimResponse::Lost,
            false => ClaimResponse::Granted,
        };
        let Some(record) = self.claims.records.get(&ask.key) else {
            return free;
        };
        let own = record.attempts.get(&ask.nonce);
        let other = record
            .unreleased_attempts()
            .find(|(nonce, _)| **nonce != ask.nonce);
        let mismatch = record
            .unreleased_attempts()
            .any(|(_, live)| live.digest != ask.digest);
        match (record.settled(), other) {
            _ if mismatch => ClaimResponse::Mismatch,
            (Some(settled), _) => ClaimResponse::Settled(settled.clone()),
            (None, Some((&nonce, attempt))) => ClaimResponse::Held {
                claimant: attempt.claimant,
                nonce,
            },
            (None, None) if own.is_some_and(Attempt::is_released) => ClaimResponse::Released,
            (None, None) => free,
        }
    }

    /// Takes a claimant's report, in any state and view.
    pub fn apply_report(&mut self, now_ms: u64, report: &Report) {
        let state = match &report.settled {
            Some(settled) => AttemptState::Settled(settled.clone()),
            None => AttemptState::Released,
        };
        let ask = &report.request;
        let record = self.claims.records.entry(ask.key.clone()).or_default();
        let forget_at_ms = forget_at_ms(now_ms, &ask.key, ask.horizon_ms);
        record.expires_at_ms = record.expires_at_ms.max(forget_at_ms);
        record.merge_attempt(
            ask.nonce,
            Attempt {
                state,
                ..ask.attempt()
            },
        );
    }

    /// The records after a key, as many as fit a page.
    pub fn page(&self, after: Option<&RequestKey>) -> Page {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut records = self
            .claims
            .records
            .range((from, Bound::Unbounded))
            .peekable();
        let mut page = Page {
            sealed: self.sealed,
            opened: self.opened,
            transfer: Transfer {
                lost_at_ms: self.claims.lost_at_ms,
                ..Transfer::default()
            },
            next: None,
        };
        let mut bytes = 0;
        while let Some((key, record)) = records.next() {
            bytes += RECORD_BYTES * record.attempts.len() + key.as_str().len();
            bytes += record.body_bytes();
            page.transfer.records.insert(key.clone(), record.clone());
            if bytes >= PAGE_BYTES && records.peek().is_some() {
                page.next = Some(key.clone());
                return page;
            }
        }
        page
    }

    /// Forgets records whose time is over.
    pub fn evict_expired(&mut self, now_ms: u64) {
        let records = &mut self.claims.records;
        records.retain(|_, record| record.expires_at_ms > now_ms);
    }
}

impl Attempt {
    /// Whether it was not dispatched and never will be.
    pub fn is_released(&self) -> bool {
        self.state == AttemptState::Released
    }
}
