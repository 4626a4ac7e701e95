//! Estimates of waiting and service time, and the retry delay of refusals.

use super::Pool;
use crate::{Class, Demand, Reason, Refusal};

const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;
const MIN_RETRY_AFTER_MS: u64 = 100;
const MAX_RETRY_AFTER_MS: u64 = 60_000;
const QUARANTINE_RETRY_AFTER_MS: u64 = 600_000;

impl Pool {
    /// Returns the milliseconds per token assumed for endpoints without a measurement: that
    /// of the fastest measured endpoint, or 0 if none is measured.
    pub(super) fn default_ms_per_token(&self) -> f64 {
        let measured = self.endpoints.values().map(|state| state.ms_per_token);
        let least = measured
            .filter(|&ms| ms > 0.0)
            .fold(f64::INFINITY, f64::min);
        match least {
            least if least.is_finite() => least,
            _ => 0.0,
        }
    }

    /// Estimates the time until all requests ahead of a new one of the class are dispatched,
    /// in milliseconds.
    pub(super) fn wait_ms(&self, now_ms: u64, class: Class) -> f64 {
        let default = self.default_ms_per_token();
        let available = self
            .endpoints
            .values()
            .filter(|state| state.is_available(now_ms));
        let rates = available.map(|state| match state.unloaded_ms_per_token(now_ms, default) {
            ms if ms > 0.0 => state.available_concurrency(now_ms) / ms,
            _ => 0.0,
        });
        let tokens_per_ms: f64 = rates.sum();
        match tokens_per_ms {
            rate if rate > 0.0 => self.queue.tokens_ahead(class) as f64 * self.token_share / rate,
            _ => 0.0,
        }
    }

    /// Estimates the service time of a request on the fastest available endpoint, in
    /// milliseconds.
    pub(super) fn service_ms(&self, now_ms: u64, demand: &Demand) -> f64 {
        let default = self.default_ms_per_token();
        let available = self
            .endpoints
            .values()
            .filter(|state| state.is_available(now_ms));
        let fastest = available
            .map(|state| state.expected_ms_per_token(now_ms, default))
            .fold(f64::INFINITY, f64::min);
        match fastest {
            ms if ms.is_finite() => f64::from(demand.max_tokens) * self.token_share * ms,
            _ => 0.0,
        }
    }

    pub(super) fn deadline_unreachable(&self, now_ms: u64, demand: &Demand, wait_ms: f64) -> bool {
        let expected_ms = wait_ms + self.service_ms(now_ms, demand);
        now_ms as f64 + expected_ms >= demand.deadline_ms as f64
    }

    pub(super) fn refusal(&self, now_ms: u64, reason: Reason, demand: &Demand) -> Refusal {
        let allowed_ms = demand.deadline_ms.saturating_sub(now_ms) as f64;
        let wait_ms = self.wait_ms(now_ms, demand.class);
        let retry_after_ms = match reason {
            Reason::NoEndpoint => DEFAULT_RETRY_AFTER_MS,
            Reason::Quarantined => QUARANTINE_RETRY_AFTER_MS,
            Reason::QueueFull => wait_ms as u64,
            Reason::Deadline => {
                (wait_ms + self.service_ms(now_ms, demand) - allowed_ms).max(0.0) as u64
            }
        };
        Refusal {
            reason,
            retry_after_ms: match reason {
                Reason::Quarantined => retry_after_ms,
                _ => retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
            },
        }
    }
}
