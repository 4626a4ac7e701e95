//! Naive variant: round robin, no limits, up to three attempts.

use wisteriapoint_route::CrashReport;

use super::variant::{Ask, End, Order, Place, Policy};

/// Round robin without limits or knowledge.
#[derive(Debug)]
pub struct Baseline {
    leaving: Vec<bool>,
    next: usize,
}

impl Baseline {
    /// Makes the variant; `offset` is where the daemon's round begins.
    pub fn new(places: &[Place], offset: usize) -> Self {
        Self {
            leaving: vec![false; places.len()],
            next: offset,
        }
    }
}

impl Policy for Baseline {
    fn admit(&mut self, _now_ms: u64, request: usize, _ask: &Ask) -> Vec<Order> {
        let count = self.leaving.len();
        let round = (1..=count).map(|step| (self.next + step) % count);
        let Some(endpoint) = round.into_iter().find(|&index| !self.leaving[index]) else {
            let retry_after_ms = Some(1_000);
            return vec![Order::Refuse {
                request,
                retry_after_ms,
            }];
        };
        self.next = endpoint;
        vec![Order::Dispatch { request, endpoint }]
    }

    fn finish(&mut self, _: u64, _: usize, _: usize, _: End) -> Vec<Order> {
        Vec::new()
    }

    fn wake(&mut self, _now_ms: u64) -> Vec<Order> {
        Vec::new()
    }

    fn withdraw(&mut self, _request: usize) {}

    fn report(&mut self, _: u64, _: u64, _: usize, _: u32, _: u32) {}

    fn set_leaving(&mut self, endpoint: usize) {
        self.leaving[endpoint] = true;
    }

    fn may_retry(&mut self) -> bool {
        true
    }

    fn export(&self) -> Vec<CrashReport> {
        Vec::new()
    }

    fn import(&mut self, _now_ms: u64, _strikes: &[CrashReport]) {}
}
