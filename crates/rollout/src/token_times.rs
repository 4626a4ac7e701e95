//! Measured times per token of engines.

use std::collections::BTreeMap;

use wisteriapoint_types::EndpointName;

const SMOOTHING: f64 = 0.2;
const MAX_ENGINES: usize = 1 << 13;

/// Moving averages of the milliseconds per token of each engine of one service.
#[derive(Debug, Default)]
pub(crate) struct TokenTimes {
    ms_per_token: BTreeMap<EndpointName, f64>,
}

impl TokenTimes {
    /// Adds the time of a finished sample to the engine's average.
    pub(crate) fn record(&mut self, endpoint: &EndpointName, elapsed_ms: u64, tokens: u32) {
        let ms_per_token = elapsed_ms.max(1) as f64 / f64::from(tokens.max(1));
        let is_full = self.ms_per_token.len() >= MAX_ENGINES;
        match self.ms_per_token.get_mut(endpoint) {
            Some(average) => *average += SMOOTHING * (ms_per_token - *average),
            None if is_full => {}
            None => _ = self.ms_per_token.insert(endpoint.clone(), ms_per_token),
        }
    }

    /// Returns the average of an engine, or `None` if it has not finished a sample.
    pub(crate) fn get(&self, endpoint: &EndpointName) -> Option<f64> {
        self.ms_per_token.get(endpoint).copied()
    }

    /// Returns the first quartile of the engines' averages; a quarter of the engines are at least this fast.
    pub(crate) fn fast_ms_per_token(&self) -> Option<f64> {
        let mut token_times: Vec<f64> = self.ms_per_token.values().copied().collect();
        token_times.sort_by(f64::total_cmp);
        token_times.get(token_times.len() / 4).copied()
    }

    /// Returns the engines whose average is above `ms_per_token`.
    pub(crate) fn slower_than(&self, ms_per_token: f64) -> impl Iterator<Item = &EndpointName> {
        let engines = self.ms_per_token.iter();
        engines
            .filter(move |&(_, &time_ms)| time_ms > ms_per_token)
            .map(|(endpoint, _)| endpoint)
    }
}
