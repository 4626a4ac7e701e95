//! Faults injected into the weight orders of an engine.

/// Faults to inject into weight orders.
#[derive(Debug, Clone, Default)]
pub struct OrderFaults {
    /// Number of orders, from the next one on, that fail and leave the weight version unchanged.
    pub fail: u32,
    /// Number of orders, after the failing ones, that take effect but are answered with status 500.
    pub drop_responses: u32,
    /// Time after a change of version during which status reports still name the previous one, in
    /// milliseconds.
    pub report_lag_ms: u64,
}

/// Outcome of one order.
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
