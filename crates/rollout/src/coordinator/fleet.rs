//! What a coordinator knows of the engines of one service.

use crate::Window;
use crate::speed::Speeds;

/// Speeds, bounds and load of the engines of one service.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    pub(super) speeds: Speeds,
    pub(super) window: Window,
    pub(super) in_flight: usize,
    pub(super) hedge_ratio: f64,
}

impl Fleet {
    pub(super) fn has_room(&self) -> bool {
        self.in_flight < self.window.limit()
    }
}
