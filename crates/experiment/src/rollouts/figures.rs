//! Counters of a run and the figures derived from them.

use std::collections::BTreeMap;

use super::engine::Request;

#[derive(Debug, Default)]
pub(super) struct Figures {
    pub(super) idle_ms: u64,
    pub(super) ages: Vec<u64>,
    pub(super) generated_tokens: BTreeMap<u64, f64>,
    pub(super) delivered_tokens: f64,
    pub(super) wave_ms: u64,
}

impl Figures {
    pub(super) fn add_generated(&mut self, request: &Request) {
        *self.generated_tokens.entry(request.step).or_default() += request.generated_tokens;
    }

    /// Returns the figures by name, for a run of `steps` steps that ended at `now_ms`.
    pub(super) fn into_map(mut self, now_ms: u64, steps: u64) -> BTreeMap<&'static str, f64> {
        self.ages.sort_unstable();
        let ages = &self.ages;
        let mean = ages.iter().sum::<u64>() as f64 / ages.len().max(1) as f64;
        let p99 = ages.get(ages.len() * 99 / 100).copied().unwrap_or_default();
        let generated_tokens: f64 = self.generated_tokens.range(..=steps).map(|(_, t)| t).sum();
        let wasted_share = (1.0 - self.delivered_tokens / generated_tokens).max(0.0);
        BTreeMap::from([
            ("idle_share", self.idle_ms as f64 / now_ms as f64),
            ("step_s", now_ms as f64 / 1_000.0 / steps as f64),
            ("age_mean_versions", mean),
            ("age_p99_versions", p99 as f64),
            ("wasted_share", wasted_share),
            ("wave_s", self.wave_ms as f64 / 1_000.0),
        ])
    }
}
