//! The claims of one partition at one holder.

use std::ops::Bound;

use wisteriapoint_types::{RequestKey, ViewNumber};

use crate::age::{expires_at_ms, may_have_run_before_loss};
use crate::{Attempt, AttemptState, ClaimRequest, ClaimResponse, Page, Report, Transfer};

/// Estimated size at which a page of a transfer ends, in bytes.
pub const PAGE_BYTES: usize = 1 << 20;

/// Estimated size of an attempt without its response body, in bytes.
const ATTEMPT_BYTES: usize = 256;

/// One partition at one holder.
///
/// It is open in a view once it has every claim of the earlier views, and sealed as soon as
/// the holder receives a later view.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Partition {
    sealed: ViewNumber,
    opened: ViewNumber,
    claims: Transfer,
}

impl Partition {
    /// Creates a partition that is open in no view and has no claims.
    pub fn new() -> Self {
        Self::default()
    }

    /// Refuses claim requests of all views before this one permanently.
    pub fn seal(&mut self, view: ViewNumber) {
        self.sealed = self.sealed.max(view);
    }

    /// Adds the claims of a transfer, and opens the partition in a view unless it is sealed by
    /// a later one.
    ///
    /// The transfer has to contain every claim of the earlier views.
    pub fn open(&mut self, view: ViewNumber, transfer: Transfer) {
        self.claims.merge(transfer);
        if view >= self.sealed {
            self.sealed = view;
            self.opened = view;
        }
    }

    /// Returns `true` if the partition accepts claim requests of a view.
    pub fn is_open(&self, view: ViewNumber) -> bool {
        self.opened == view && self.sealed == view
    }

    /// Returns the last view in which the partition was open.
    pub fn opened(&self) -> ViewNumber {
        self.opened
    }

    /// Returns the number of keys with a record.
    pub fn len(&self) -> usize {
        self.claims.records.len()
    }

    /// Returns `true` if no key has a record.
    pub fn is_empty(&self) -> bool {
        self.claims.records.is_empty()
    }

    /// Processes a claim request, records the attempt if it is granted, and returns the
    /// response.
    pub fn claim(&mut self, now_ms: u64, request: &ClaimRequest) -> ClaimResponse {
        if !self.is_open(request.view) {
            return ClaimResponse::NotOpen { view: self.sealed };
        }
        let response = self.evaluate(now_ms, request);
        if response == ClaimResponse::Granted {
            let record = self.claims.records.entry(request.key.clone()).or_default();
            let expires_at_ms = expires_at_ms(now_ms, &request.key, request.horizon_ms);
            record.expires_at_ms = record.expires_at_ms.max(expires_at_ms);
            record.merge_attempt(request.nonce, request.attempt());
        }
        response
    }

    fn evaluate(&self, now_ms: u64, request: &ClaimRequest) -> ClaimResponse {
        let may_have_run = may_have_run_before_loss(
            now_ms,
            self.claims.lost_at_ms,
            &request.key,
            request.horizon_ms,
        );
        let unclaimed = match may_have_run {
            true => ClaimResponse::Lost,
            false => ClaimResponse::Granted,
        };
        let Some(record) = self.claims.records.get(&request.key) else {
            return unclaimed;
        };
        let own = record.attempts.get(&request.nonce);
        let other = record
            .unreleased_attempts()
            .find(|(nonce, _)| **nonce != request.nonce);
        let mismatch = record
            .unreleased_attempts()
            .any(|(_, attempt)| attempt.digest != request.digest);
        match (record.settled(), other) {
            _ if mismatch => ClaimResponse::Mismatch,
            (Some(settled), _) => ClaimResponse::Settled(settled.clone()),
            (None, Some((&nonce, attempt))) => ClaimResponse::Held {
                claimant: attempt.claimant,
                nonce,
            },
            (None, None) if own.is_some_and(Attempt::is_released) => ClaimResponse::Released,
            (None, None) => unclaimed,
        }
    }

    /// Applies a claimant's report, which settles or releases an attempt.
    ///
    /// Reports are accepted in any view, also while the partition is not open.
    pub fn apply_report(&mut self, now_ms: u64, report: &Report) {
        let state = match &report.settled {
            Some(settled) => AttemptState::Settled(settled.clone()),
            None => AttemptState::Released,
        };
        let request = &report.request;
        let record = self.claims.records.entry(request.key.clone()).or_default();
        let expires_at_ms = expires_at_ms(now_ms, &request.key, request.horizon_ms);
        record.expires_at_ms = record.expires_at_ms.max(expires_at_ms);
        record.merge_attempt(
            request.nonce,
            Attempt {
                state,
                ..request.attempt()
            },
        );
    }

    /// Returns a page of the records after a key, or of the first records if `after` is `None`.
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
            bytes += ATTEMPT_BYTES * record.attempts.len() + key.as_str().len();
            bytes += record.body_bytes();
            page.transfer.records.insert(key.clone(), record.clone());
            if bytes >= PAGE_BYTES && records.peek().is_some() {
                page.next = Some(key.clone());
                return page;
            }
        }
        page
    }

    /// Evicts all records that have expired.
    pub fn evict_expired(&mut self, now_ms: u64) {
        let records = &mut self.claims.records;
        records.retain(|_, record| record.expires_at_ms > now_ms);
    }
}

impl Attempt {
    /// Returns `true` if the attempt was not dispatched and never will be.
    pub fn is_released(&self) -> bool {
        self.state == AttemptState::Released
    }
}
