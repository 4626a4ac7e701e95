//! Simulated engine with slots, a speed, slowdowns and loads of weight versions.

use wisteriapoint_rollout::{AttemptKey, SampleKey, Span};
use wisteriapoint_types::{EndpointName, WeightVersion};

/// Factor by which an engine is slower during a slowdown.
const SLOWDOWN_FACTOR: f64 = 8.0;

#[derive(Debug)]
pub(super) struct Engine {
    pub(super) name: EndpointName,
    pub(super) tokens_per_s: f64,
    pub(super) slots: usize,
    pub(super) version: WeightVersion,
    pub(super) loading_until_ms: Option<u64>,
    pub(super) slow_until_ms: u64,
    pub(super) running: Vec<Request>,
}

/// Attempt to generate one sample, which occupies a slot.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) attempt: AttemptKey,
    pub(super) step: u64,
    pub(super) key: SampleKey,
    pub(super) tokens: f64,
    pub(super) generated_tokens: f64,
    pub(super) first_token_ms: Option<u64>,
    pub(super) next_report_ms: u64,
    pub(super) oldest_version: WeightVersion,
    pub(super) spans: Vec<(WeightVersion, f64)>,
}

impl Request {
    pub(super) fn spans(&self) -> Vec<Span> {
        let spans = self.spans.iter();
        spans
            .map(|&(version, tokens)| Span {
                version,
                tokens: (tokens.round() as u32).max(1),
            })
            .collect()
    }
}

impl Engine {
    pub(super) fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots
    }

    /// Advances all requests by `elapsed_ms`; an engine that loads a version generates no tokens.
    pub(super) fn advance(&mut self, now_ms: u64, elapsed_ms: u64) {
        if self.loading_until_ms.is_some() {
            return;
        }
        let factor = match now_ms {
            now_ms if now_ms < self.slow_until_ms => SLOWDOWN_FACTOR,
            _ => 1.0,
        };
        let tokens = self.tokens_per_s / factor * elapsed_ms as f64 / 1_000.0;
        for request in &mut self.running {
            let generated = tokens.min(request.tokens - request.generated_tokens);
            request.generated_tokens += generated;
            match request.spans.last_mut() {
                Some((version, tokens)) if *version == self.version => *tokens += generated,
                _ => request.spans.push((self.version, generated)),
            }
        }
    }

    /// Removes and returns the requests that are complete.
    pub(super) fn take_finished(&mut self) -> Vec<Request> {
        let is_complete = |request: &mut Request| request.generated_tokens >= request.tokens;
        self.running.extract_if(.., is_complete).collect()
    }

    /// Removes and returns the request of a cancelled attempt.
    pub(super) fn cancel(&mut self, attempt: AttemptKey) -> Option<Request> {
        let position = self
            .running
            .iter()
            .position(|request| request.attempt == attempt)?;
        Some(self.running.swap_remove(position))
    }
}
