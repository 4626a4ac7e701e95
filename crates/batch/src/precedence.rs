//! Precedence among the open batch jobs of a node, whose items compete for the same slots.

/// Divisor of the time between submission and due time. A batch job whose slack is shorter than the
/// quotient precedes others of its priority; until then, equal ones share the slots.
const URGENT_SLACK_DIVISOR: u64 = 4;

/// Precedence of a batch job; the least is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    priority: u8,
    /// Slack if it is short, else the largest value.
    urgent_slack_ms: u64,
}

impl Precedence {
    /// Creates the precedence of a batch job with the priority of its workspace or route.
    ///
    /// `left_ms` is the time until its results are due, of `due_ms` from its submission on, and
    /// `needed_ms` the time that its longest item needs. A batch job that can't be in time any more
    /// precedes none of its priority, so that it does not make others late too.
    pub fn new(priority: u8, left_ms: u64, due_ms: u64, needed_ms: u64) -> Self {
        let slack_ms = left_ms.checked_sub(needed_ms);
        let is_urgent = |slack_ms: &u64| left_ms > 0 && *slack_ms < due_ms / URGENT_SLACK_DIVISOR;
        Self {
            priority,
            urgent_slack_ms: slack_ms.filter(is_urgent).unwrap_or(u64::MAX),
        }
    }
}
