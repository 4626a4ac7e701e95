//! Hedged copies of stragglers: second attempts that run beside the first.

use std::collections::BTreeMap;

use wisteriapoint_types::{EndpointName, ServiceName};

use super::Coordinator;
use super::state::SampleState;
use crate::attempt::{Attempt, FIRST_REPORT_MS};
use crate::token_times::TokenTimes;
use crate::{AttemptKey, StepId, Task};

const HEDGE_INTERVAL_MS: u64 = 250;
const MAX_COPIES: usize = 2;
/// Factor on the fast time per token above which an engine counts as slow, and on the tokens
/// already generated for the lower bound on the expected length of a sample.
const MARGIN_FACTOR: f64 = 1.5;
/// Time without a progress report, in multiples of the time from the first tokens to the last
/// report, after which an attempt is assumed not to finish.
const MAX_SILENT_PERIODS: u64 = 2;
const MAX_AVOIDED: usize = 64;

/// A sample that a hedged copy is expected to finish earlier than the attempt in progress.
struct Straggler {
    id: StepId,
    index: u32,
    service: ServiceName,
    gain_ms: f64,
}

impl Coordinator {
    /// Adds hedged copies once no waiting sample can be dispatched, those with the largest
    /// expected gain first.
    pub(super) fn add_hedges(&mut self, now_ms: u64, limit: usize, tasks: &mut Vec<Task>) {
        let is_due = now_ms >= self.hedged_at_ms + HEDGE_INTERVAL_MS;
        if !is_due || tasks.len() >= limit {
            return;
        }
        self.hedged_at_ms = now_ms;
        let mut stragglers = self.stragglers(now_ms);
        stragglers.sort_by(|a, b| b.gain_ms.total_cmp(&a.gain_ms));
        for straggler in stragglers {
            let has_capacity = tasks.len() < limit && self.has_capacity(&straggler.service);
            if has_capacity && self.charge_budget(&straggler) {
                let avoid = self.endpoints_to_avoid(&straggler);
                tasks.push(self.dispatch(now_ms, &straggler.id, straggler.index, avoid));
            }
        }
    }

    fn stragglers(&self, now_ms: u64) -> Vec<Straggler> {
        let fleets = self.fleets.iter();
        let fast_ms_per_token: BTreeMap<&ServiceName, f64> = fleets
            .filter_map(|(service, fleet)| Some((service, fleet.token_times.fast_ms_per_token()?)))
            .collect();
        let attempts = self.attempts.values();
        attempts
            .filter_map(|attempt| {
                let fast_ms_per_token = *fast_ms_per_token.get(&attempt.service)?;
                self.straggler(now_ms, attempt, fast_ms_per_token)
            })
            .collect()
    }

    fn straggler(
        &self,
        now_ms: u64,
        attempt: &Attempt,
        fast_ms_per_token: f64,
    ) -> Option<Straggler> {
        let step = self.steps.get(&attempt.id)?;
        let can_copy = matches!(step.state(attempt.index),
            SampleState::Running(attempts) if attempts.len() < MAX_COPIES);
        if !can_copy {
            return None;
        }
        let token_times = &self.fleets.get(&attempt.service)?.token_times;
        let expected = f64::from(step.expected_tokens(attempt.index, &self.lengths));
        let max_tokens = f64::from(step.spec.max_tokens);
        let length = LengthEstimate {
            expected,
            max_tokens,
        };
        let estimate = estimate(now_ms, attempt, length, token_times, fast_ms_per_token);
        let gain_ms = estimate.remaining_ms - estimate.new_copy_ms;
        (gain_ms > 0.0).then(|| Straggler {
            id: attempt.id.clone(),
            index: attempt.index,
            service: attempt.service.clone(),
            gain_ms,
        })
    }

    /// Charges a hedged copy to the step's budget; returns `false` if the budget is too small.
    fn charge_budget(&mut self, straggler: &Straggler) -> bool {
        let Some(step) = self.steps.get_mut(&straggler.id) else {
            return false;
        };
        let fleet = self.fleets.get(&straggler.service);
        let ratio = fleet.map_or(0.0, |fleet| fleet.hedge_ratio);
        let budget_tokens = step.dispatched_tokens as f64 * ratio;
        let tokens = u64::from(step.expected_tokens(straggler.index, &self.lengths));
        let is_affordable = (step.hedged_tokens + tokens) as f64 <= budget_tokens;
        if is_affordable {
            step.hedged_tokens += tokens;
        }
        is_affordable
    }

    /// Returns the engines that a hedged copy should avoid: that of the first attempt and
    /// the slow ones.
    fn endpoints_to_avoid(&self, straggler: &Straggler) -> Vec<EndpointName> {
        let Some(step) = self.steps.get(&straggler.id) else {
            return Vec::new();
        };
        let first = match step.state(straggler.index) {
            SampleState::Running(attempts) => {
                attempts.iter().find_map(|key| self.attempt_endpoint(*key))
            }
            _ => None,
        };
        let token_times = self.fleets.get(&straggler.service).map(|f| &f.token_times);
        let fast_ms_per_token = token_times
            .and_then(TokenTimes::fast_ms_per_token)
            .unwrap_or(f64::MAX);
        let slow = token_times
            .into_iter()
            .flat_map(|s| s.slower_than(fast_ms_per_token * MARGIN_FACTOR));
        let avoided = first.into_iter().chain(slow);
        avoided.take(MAX_AVOIDED).cloned().collect()
    }

    fn attempt_endpoint(&self, key: AttemptKey) -> Option<&EndpointName> {
        let (first_tokens, _) = self.attempts.get(&key)?.first_tokens.as_ref()?;
        Some(&first_tokens.endpoint)
    }
}

/// Expected times from now until a sample is finished.
struct Estimate {
    /// Time that the attempt in progress still needs.
    remaining_ms: f64,
    /// Time that a new copy would take on an idle fast engine.
    new_copy_ms: f64,
}

/// Expected and maximum length of a sample, in tokens.
struct LengthEstimate {
    expected: f64,
    max_tokens: f64,
}

fn estimate(
    now_ms: u64,
    attempt: &Attempt,
    length: LengthEstimate,
    token_times: &TokenTimes,
    fast_ms_per_token: f64,
) -> Estimate {
    let LengthEstimate {
        expected,
        max_tokens,
    } = length;
    let Some((first_tokens, at_ms)) = &attempt.first_tokens else {
        let waited_ms = now_ms.saturating_sub(attempt.dispatched_ms) as f64;
        let new_copy_ms = expected * fast_ms_per_token;
        return Estimate {
            remaining_ms: waited_ms,
            new_copy_ms,
        };
    };
    let last_report_ms = attempt.last_report.map_or(*at_ms, |report| report.at_ms);
    let period_ms = last_report_ms.saturating_sub(*at_ms).max(FIRST_REPORT_MS);
    let ms_per_token = match attempt.last_report {
        Some(report) => period_ms as f64 / f64::from(report.tokens.max(1)),
        None => token_times
            .get(&first_tokens.endpoint)
            .unwrap_or(fast_ms_per_token),
    };
    let done_tokens = now_ms.saturating_sub(*at_ms) as f64 / ms_per_token;
    let expected = expected.max(done_tokens * MARGIN_FACTOR).min(max_tokens);
    let remaining_ms = match now_ms.saturating_sub(last_report_ms) {
        silent_ms if silent_ms > MAX_SILENT_PERIODS * period_ms => f64::MAX,
        _ => (expected - done_tokens).max(0.0) * ms_per_token,
    };
    Estimate {
        remaining_ms,
        new_copy_ms: expected * fast_ms_per_token,
    }
}
