//! What goes wrong with an engine's weight orders.

use wisteriapoint_types::WeightVersion;

/// Faults of weight orders, each for so many of the next orders.
#[derive(Debug, Clone, Default)]
pub struct OrderFaults {
    /// Orders that fail and leave the old version.
    pub fail: u32,
    /// Orders that take effect and are answered 500.
    pub lose_answers: u32,
    /// Status reports that still name the version before the last swap.
    pub late_reports: u32,
}

/// What becomes of one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    Works,
    Fails,
    AnswerIsLost,
}

impl OrderFaults {
    pub(crate) fn next(&mut self) -> Fate {
        match self {
            Self { fail: 1.., .. } => {
                self.fail -= 1;
                Fate::Fails
            }
            Self {
                lose_answers: 1.., ..
            } => {
                self.lose_answers -= 1;
                Fate::AnswerIsLost
            }
            _ => Fate::Works,
        }
    }

    /// The version that a status report names.
    pub(crate) fn reported(
        &mut self,
        version: WeightVersion,
        before: WeightVersion,
    ) -> WeightVersion {
        match self.late_reports {
            0 => version,
            _ => {
                self.late_reports -= 1;
                before
            }
        }
    }
}
