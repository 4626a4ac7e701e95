//! Baseline variant: round robin without limits and with up to three attempts.

use wisteriapoint_route::CrashReport;

use super::variant::{Action, AttemptOutcome, EndpointSpec, Policy, RequestInfo};

/// Round robin without limits, load reports or crash reports.
#[derive(Debug)]
pub struct Baseline {
    leaving: Vec<bool>,
    next: usize,
}

impl Baseline {
    /// Creates the variant; `offset` sets the endpoint at which this daemon's round robin starts.
    pub fn new(endpoint_specs: &[EndpointSpec], offset: usize) -> Self {
        Self {
            leaving: vec![false; endpoint_specs.len()],
            next: offset,
        }
    }
}

impl Policy for Baseline {
    fn admit(&mut self, _now_ms: u64, request: usize, _info: &RequestInfo) -> Vec<Action> {
        let count = self.leaving.len();
        let candidates = (1..=count).map(|step| (self.next + step) % count);
        let Some(endpoint) = candidates.into_iter().find(|&index| !self.leaving[index]) else {
            let retry_after_ms = Some(1_000);
            return vec![Action::Refuse {
                request,
                retry_after_ms,
            }];
        };
        self.next = endpoint;
        vec![Action::Dispatch { request, endpoint }]
    }

    fn finish(&mut self, _: u64, _: usize, _: usize, _: AttemptOutcome) -> Vec<Action> {
        Vec::new()
    }

    fn dispatch_waiting(&mut self, _now_ms: u64) -> Vec<Action> {
        Vec::new()
    }

    fn cancel_waiting(&mut self, _request: usize) {}

    fn record_load(&mut self, _: u64, _: u64, _: usize, _: u32, _: u32) {}

    fn set_leaving(&mut self, endpoint: usize) {
        self.leaving[endpoint] = true;
    }

    fn try_take_retry(&mut self) -> bool {
        true
    }

    fn crash_reports(&self) -> Vec<CrashReport> {
        Vec::new()
    }

    fn apply_crash_reports(&mut self, _now_ms: u64, _reports: &[CrashReport]) {}
}
