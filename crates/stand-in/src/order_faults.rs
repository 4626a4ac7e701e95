//! What goes wrong with an engine's weight orders.

/// Faults of weight orders.
#[derive(Debug, Clone, Default)]
pub struct OrderFaults {
    /// So many of the next orders fail and leave the old version.
    pub fail: u32,
    /// So many of the next orders take effect and are answered 500.
    pub drop_responses: u32,
    /// Time for which status reports still name the version before a swap, in milliseconds.
    pub report_lag_ms: u64,
}

/// What becomes of one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    Applied,
    Failed,
    ResponseDropped,
}

impl OrderFaults {
    pub(crate) fn next_outcome(&mut self) -> OrderOutcome {
        match self {
            Self { fail: 1.., .. } => {
                self.fail -= 1;
                OrderOutcome::Failed
            }
            Self {
                drop_responses: 1..,
                ..
            } => {
                self.drop_responses -= 1;
                OrderOutcome::ResponseDropped
            }
            _ => OrderOutcome::Applied,
        }
    }
}
