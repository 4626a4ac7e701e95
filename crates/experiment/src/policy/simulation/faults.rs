//! What fails, and what the daemons hear of it.

use super::*;

impl<P: Policy> Simulation<'_, P> {
    /// Daemons tell each other their suspicions.
    pub(super) fn gossip(&mut self) {
        let reports: Vec<_> = self
            .policies
            .iter()
            .flat_map(Policy::crash_reports)
            .collect();
        for policy in &mut self.policies {
            policy.apply_crash_reports(self.now_ms, &reports);
        }
        self.after(GOSSIP_MS, Event::Gossip);
    }

    pub(super) fn report(&mut self, index: usize) {
        let reports = self.scenario.reports;
        let endpoint = &self.endpoints[index];
        let heard = Event::Heard {
            endpoint: index,
            running: endpoint.running() as u32,
            waiting: endpoint.waiting() as u32,
            leaving: endpoint.leaving,
        };
        let is_up = endpoint.up;
        if is_up && !self.random.random_bool(reports.gap_share) {
            self.after(reports.lag_ms, heard);
        }
        self.after(reports.interval_ms, Event::Report(index));
    }

    pub(super) fn heard(&mut self, endpoint: usize, running: u32, waiting: u32, leaving: bool) {
        let at_ms = self.now_ms.saturating_sub(self.scenario.reports.lag_ms);
        let domain = self.endpoints[endpoint].failure_domain;
        let heard_by = match self.cut {
            Some(cut) if cut == domain => self.policies.len().div_ceil(2),
            _ => self.policies.len(),
        };
        for policy in &mut self.policies[..heard_by] {
            policy.record_load(at_ms, self.now_ms, endpoint, running, waiting);
            if leaving {
                policy.set_leaving(endpoint);
            }
        }
    }

    pub(super) fn fault(&mut self, index: usize) {
        match self.scenario.faults[index] {
            Fault::Crash {
                endpoint, down_ms, ..
            } => {
                self.crash(endpoint);
                self.after(down_ms, Event::Back(endpoint));
            }
            Fault::Domain {
                failure_domain,
                down_ms,
                ..
            } => {
                for endpoint in
                    (0..self.endpoints.len()).filter(|index| index % 3 == failure_domain)
                {
                    self.crash(endpoint);
                    self.after(down_ms, Event::Back(endpoint));
                }
            }
            Fault::Leave {
                endpoint, grace_ms, ..
            } => {
                self.endpoints[endpoint].leaving = true;
                self.after(grace_ms, Event::Gone(endpoint));
            }
            Fault::Cut {
                failure_domain,
                cut_ms,
                ..
            } => {
                self.cut = Some(failure_domain);
                self.after(cut_ms, Event::Healed);
            }
            Fault::CrashingRequest { resends, .. } => {
                let digest = Digest(self.arrivals.random());
                let request =
                    Request::new(Kind::Caller, self.now_ms, self.now_ms + TAIL_MS, 1, digest);
                self.begin(Request {
                    crashes: true,
                    resends,
                    ..request
                });
            }
        }
    }

    pub(super) fn crash_by(&mut self, attempt: Attempt) {
        if let Some(target) = self.current_endpoint(attempt) {
            self.crashed_by_request += 1;
            self.crash(target);
        }
    }

    pub(super) fn crash(&mut self, endpoint: usize) {
        for attempt in self.endpoints[endpoint].crash() {
            self.after(CONNECT_MS, Event::Failed(attempt, AttemptOutcome::Crashed));
        }
    }
}
