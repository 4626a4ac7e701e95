//! Validity of a request key by its time of issue.
//!
//! All rules of the claim protocol that depend on clocks are in this module.

use wisteriapoint_types::RequestKey;

/// Largest assumed difference between the clocks of any two callers or daemons, in
/// milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 5_000;

/// Validity of a request key by its time of issue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Age {
    /// The key may be claimed.
    Valid,
    /// The time of issue is further ahead than clock skew allows.
    Future,
    /// The key is older than the retry horizon, so its claim may have been evicted.
    Expired,
}

impl Age {
    /// Classifies a key that a caller has sent; a key without a time of issue is always
    /// valid.
    pub fn new(now_ms: u64, key: &RequestKey, horizon_ms: u64) -> Self {
        match key.issued_at_ms() {
            Some(issued_ms) if issued_ms > now_ms.saturating_add(MAX_CLOCK_SKEW_MS) => Self::Future,
            Some(issued_ms) if issued_ms.saturating_add(horizon_ms) < now_ms => Self::Expired,
            _ => Self::Valid,
        }
    }
}

/// Returns `true` if a request may have run before its partition lost claims.
///
/// The accepting daemon admits keys issued up to one clock skew in its future, and its
/// clock may be one skew ahead of the holder's, hence twice the skew.
pub(crate) fn may_have_run_before_loss(
    now_ms: u64,
    lost_at_ms: Option<u64>,
    key: &RequestKey,
    horizon_ms: u64,
) -> bool {
    let Some(lost_at_ms) = lost_at_ms else {
        return false;
    };
    let complete_since_ms = lost_at_ms.saturating_add(2 * MAX_CLOCK_SKEW_MS);
    match key.issued_at_ms() {
        Some(issued_ms) => issued_ms <= complete_since_ms,
        None => now_ms <= complete_since_ms.saturating_add(horizon_ms),
    }
}

/// Returns the time at which a claim made now expires, in Unix milliseconds.
pub(crate) fn expires_at_ms(now_ms: u64, key: &RequestKey, horizon_ms: u64) -> u64 {
    let from_ms = key.issued_at_ms().unwrap_or(now_ms).max(now_ms);
    from_ms
        .saturating_add(horizon_ms)
        .saturating_add(2 * MAX_CLOCK_SKEW_MS)
}
