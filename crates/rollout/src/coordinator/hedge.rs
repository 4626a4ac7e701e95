//! Second copies of stragglers.

use std::collections::BTreeMap;

use wisteriapoint_types::{EndpointName, ServiceName};

use super::Coordinator;
use super::state::State;
use crate::attempt::{Attempt, FIRST_REPORT_MS};
use crate::speed::Speeds;
use crate::{AttemptKey, StepId, Task};

const PERIOD_MS: u64 = 250;
const MAX_COPIES: usize = 2;
const GROWTH: f64 = 1.5;
const SILENT_PERIODS: u64 = 2;
const MAX_AVOIDED: usize = 64;

/// A sample that a second copy is expected to finish earlier.
struct Straggler {
    id: StepId,
    index: u32,
    service: ServiceName,
    gain_ms: f64,
}

impl Coordinator {
    /// Adds second copies once no sample waits, those that gain most first.
    pub(super) fn take_hedges(&mut self, now_ms: u64, limit: usize, tasks: &mut Vec<Task>) {
        let is_due = now_ms >= self.hedged_at_ms + PERIOD_MS;
        if !is_due || tasks.len() >= limit {
            return;
        }
        self.hedged_at_ms = now_ms;
        let mut stragglers = self.stragglers(now_ms);
        stragglers.sort_by(|a, b| b.gain_ms.total_cmp(&a.gain_ms));
        for straggler in stragglers {
            let has_room = tasks.len() < limit && self.has_room(&straggler.service);
            if has_room && self.pay(&straggler) {
                let avoid = self.avoid(&straggler);
                tasks.push(self.dispatch(now_ms, &straggler.id, straggler.index, avoid));
            }
        }
    }

    fn stragglers(&self, now_ms: u64) -> Vec<Straggler> {
        let fleets = self.fleets.iter();
        let fast: BTreeMap<&ServiceName, f64> = fleets
            .filter_map(|(service, fleet)| Some((service, fleet.speeds.fast()?)))
            .collect();
        let attempts = self.attempts.values();
        attempts
            .filter_map(|attempt| {
                let fast = *fast.get(&attempt.service)?;
                self.straggler(now_ms, attempt, fast)
            })
            .collect()
    }

    fn straggler(&self, now_ms: u64, attempt: &Attempt, fast: f64) -> Option<Straggler> {
        let step = self.steps.get(&attempt.id)?;
        let is_alone = matches!(step.state(attempt.index),
            State::Running(attempts) if attempts.len() < MAX_COPIES);
        if !is_alone {
            return None;
        }
        let speeds = &self.fleets.get(&attempt.service)?.speeds;
        let expected = f64::from(step.expected_tokens(attempt.index, &self.lengths));
        let max_tokens = f64::from(step.spec.max_tokens);
        let length = Length {
            expected,
            max_tokens,
        };
        let outlook = outlook(now_ms, attempt, length, speeds, fast);
        let gain_ms = outlook.left_ms - outlook.anew_ms;
        (gain_ms > 0.0).then(|| Straggler {
            id: attempt.id.clone(),
            index: attempt.index,
            service: attempt.service.clone(),
            gain_ms,
        })
    }

    /// Takes the cost of a second copy from the step's budget, if that has enough.
    fn pay(&mut self, straggler: &Straggler) -> bool {
        let Some(step) = self.steps.get_mut(&straggler.id) else {
            return false;
        };
        let fleet = self.fleets.get(&straggler.service);
        let ratio = fleet.map_or(0.0, |fleet| fleet.hedge_ratio);
        let budget_tokens = step.started_tokens as f64 * ratio;
        let tokens = u64::from(step.expected_tokens(straggler.index, &self.lengths));
        let is_paid = (step.hedged_tokens + tokens) as f64 <= budget_tokens;
        if is_paid {
            step.hedged_tokens += tokens;
        }
        is_paid
    }

    /// The engines that a second copy must not go to: the first one's and the slow ones.
    fn avoid(&self, straggler: &Straggler) -> Vec<EndpointName> {
        let Some(step) = self.steps.get(&straggler.id) else {
            return Vec::new();
        };
        let first = match step.state(straggler.index) {
            State::Running(attempts) => attempts.iter().find_map(|key| self.endpoint(*key)),
            _ => None,
        };
        let speeds = self.fleets.get(&straggler.service).map(|f| &f.speeds);
        let fast = speeds.and_then(Speeds::fast).unwrap_or(f64::MAX);
        let slow = speeds.into_iter().flat_map(|s| s.slower(fast * GROWTH));
        let avoided = first.into_iter().chain(slow);
        avoided.take(MAX_AVOIDED).cloned().collect()
    }

    fn endpoint(&self, key: AttemptKey) -> Option<&EndpointName> {
        let (begun, _) = self.attempts.get(&key)?.begun.as_ref()?;
        Some(&begun.endpoint)
    }
}

/// Expected times of a sample from now on.
struct Outlook {
    /// Until the copy in progress finishes.
    left_ms: f64,
    /// Until a new copy on a free fast engine would.
    anew_ms: f64,
}

/// Tokens that a sample may have.
struct Length {
    expected: f64,
    max_tokens: f64,
}

fn outlook(now_ms: u64, attempt: &Attempt, length: Length, speeds: &Speeds, fast: f64) -> Outlook {
    let Length {
        expected,
        max_tokens,
    } = length;
    let Some((begun, at_ms)) = &attempt.begun else {
        let waited_ms = now_ms.saturating_sub(attempt.dispatched_ms) as f64;
        let anew_ms = expected * fast;
        return Outlook {
            left_ms: waited_ms,
            anew_ms,
        };
    };
    let heard_ms = attempt.reported.map_or(*at_ms, |reported| reported.at_ms);
    let period_ms = heard_ms.saturating_sub(*at_ms).max(FIRST_REPORT_MS);
    let speed = match attempt.reported {
        Some(reported) => period_ms as f64 / f64::from(reported.tokens.max(1)),
        None => speeds.get(&begun.endpoint).unwrap_or(fast),
    };
    let done = now_ms.saturating_sub(*at_ms) as f64 / speed;
    let expected = expected.max(done * GROWTH).min(max_tokens);
    let left_ms = match now_ms.saturating_sub(heard_ms) {
        silent_ms if silent_ms > SILENT_PERIODS * period_ms => f64::MAX,
        _ => (expected - done).max(0.0) * speed,
    };
    Outlook {
        left_ms,
        anew_ms: expected * fast,
    }
}
