//! Fault injection and the reports that daemons receive.

use super::*;

impl<P: Policy> Simulation<'_, P> {
    /// Distributes the crash reports of each daemon to all daemons.
    pub(super) fn gossip(&mut self) {
        let reports: Vec<_> = self
            .policies
            .iter()
            .flat_map(Policy::crash_reports)
            .collect();
        for policy in &mut self.policies {
            policy.apply_crash_reports(self.now_ms, &reports);
        }
        self.schedule_after(GOSSIP_INTERVAL_MS, Event::Gossip);
    }

    pub(super) fn send_load_report(&mut self, index: usize) {
        let reports = self.scenario.reports;
        let endpoint = &self.endpoints[index];
        let received = Event::ReceiveReport {
            endpoint: index,
            running: endpoint.running() as u32,
            waiting: endpoint.waiting() as u32,
            leaving: endpoint.leaving,
        };
        let is_up = endpoint.up;
        if is_up && !self.rng.random_bool(reports.gap_share) {
            self.schedule_after(reports.lag_ms, received);
        }
        self.schedule_after(reports.interval_ms, Event::SendReport(index));
    }

    pub(super) fn receive_load_report(
        &mut self,
        endpoint: usize,
        running: u32,
        waiting: u32,
        leaving: bool,
    ) {
        let at_ms = self.now_ms.saturating_sub(self.scenario.reports.lag_ms);
        let domain = self.endpoints[endpoint].failure_domain;
        let receivers = match self.unreachable_domain {
            Some(unreachable) if unreachable == domain => self.policies.len().div_ceil(2),
            _ => self.policies.len(),
        };
        for policy in &mut self.policies[..receivers] {
            policy.record_load(at_ms, self.now_ms, endpoint, running, waiting);
            if leaving {
                policy.set_leaving(endpoint);
            }
        }
    }

    pub(super) fn inject_fault(&mut self, index: usize) {
        match self.scenario.faults[index] {
            Fault::Crash {
                endpoint, down_ms, ..
            } => {
                self.crash(endpoint);
                self.schedule_after(down_ms, Event::Recover(endpoint));
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
                    self.schedule_after(down_ms, Event::Recover(endpoint));
                }
            }
            Fault::Leave {
                endpoint, grace_ms, ..
            } => {
                self.endpoints[endpoint].leaving = true;
                self.schedule_after(grace_ms, Event::Terminate(endpoint));
            }
            Fault::Cut {
                failure_domain,
                cut_ms,
                ..
            } => {
                self.unreachable_domain = Some(failure_domain);
                self.schedule_after(cut_ms, Event::EndCut);
            }
            Fault::CrashingRequest { resends, .. } => {
                let digest = Digest(self.arrival_rng.random());
                let request =
                    Request::new(Kind::Caller, self.now_ms, self.now_ms + TAIL_MS, 1, digest);
                self.submit(Request {
                    crashes_endpoint: true,
                    resends,
                    ..request
                });
            }
        }
    }

    pub(super) fn crash_by_request(&mut self, attempt: Attempt) {
        if let Some(target) = self.current_endpoint(attempt) {
            self.crashed_by_request += 1;
            self.crash(target);
        }
    }

    pub(super) fn crash(&mut self, endpoint: usize) {
        for attempt in self.endpoints[endpoint].crash() {
            self.schedule_after(
                FAILURE_DELAY_MS,
                Event::Failed(attempt, AttemptOutcome::Crashed),
            );
        }
    }
}
