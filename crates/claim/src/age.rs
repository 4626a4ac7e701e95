//! The age of a key: the one use of clocks.

use wisteriapoint_types::RequestKey;

/// Largest difference between two clocks, of callers or daemons, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 5_000;

/// What the time of issue says about a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Age {
    /// The key may be claimed.
    Valid,
    /// The key was issued later than any clock can show.
    Future,
    /// The key is older than the retry horizon; its claim may be forgotten.
    Expired,
}

impl Age {
    /// Judges a key at its entry; a key without a time of issue is always valid.
    pub fn new(now_ms: u64, key: &RequestKey, horizon_ms: u64) -> Self {
        match key.issued_at_ms() {
            Some(issued_ms) if issued_ms > now_ms.saturating_add(MAX_CLOCK_SKEW_MS) => Self::Future,
            Some(issued_ms) if issued_ms.saturating_add(horizon_ms) < now_ms => Self::Expired,
            _ => Self::Valid,
        }
    }
}

/// Whether a key may have run before the claims of a partition were lost.
///
/// The entry accepts a key up to one skew ahead of its clock, and its clock may be one
/// skew ahead of the holder's.
pub(crate) fn is_distrusted(
    now_ms: u64,
    lost_at_ms: Option<u64>,
    key: &RequestKey,
    horizon_ms: u64,
) -> bool {
    let Some(lost_at_ms) = lost_at_ms else {
        return false;
    };
    let known_since_ms = lost_at_ms.saturating_add(2 * MAX_CLOCK_SKEW_MS);
    match key.issued_at_ms() {
        Some(issued_ms) => issued_ms <= known_since_ms,
        None => now_ms <= known_since_ms.saturating_add(horizon_ms),
    }
}

/// When a claim made now may be forgotten.
pub(crate) fn forget_at_ms(now_ms: u64, key: &RequestKey, horizon_ms: u64) -> u64 {
    let from_ms = key.issued_at_ms().unwrap_or(now_ms).max(now_ms);
    from_ms
        .saturating_add(horizon_ms)
        .saturating_add(2 * MAX_CLOCK_SKEW_MS)
}
