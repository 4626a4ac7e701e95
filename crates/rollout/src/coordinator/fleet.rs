//! Load, times per token and weight versions of the engines of one service.

use std::collections::BTreeMap;

use wisteriapoint_types::{EndpointName, WeightVersion};

use crate::Window;
use crate::token_times::TokenTimes;

/// Time for which an observed weight version of an engine is used.
const VERSION_TTL_MS: u64 = 2_000;

const MIN_RESERVE_VERSIONS: u64 = 1;

/// Load, concurrency limit, times per token and weight versions of the engines of one service.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) token_times: TokenTimes,
    pub(super) window: Window,
    pub(super) in_flight: usize,
    pub(super) hedge_ratio: f64,
    /// Number of versions by which a new sample must be fresher than the staleness bound
    /// requires.
    pub(super) reserve_versions: u64,
    versions: BTreeMap<EndpointName, (WeightVersion, u64)>,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            token_times: TokenTimes::default(),
            window: Window::default(),
            in_flight: 0,
            hedge_ratio: 0.0,
            reserve_versions: MIN_RESERVE_VERSIONS,
            versions: BTreeMap::new(),
        }
    }
}

impl Fleet {
    /// Sets `reserve_versions` to the ratio of `staleness_weight` to `idle_weight`, rounded
    /// up.
    pub(super) fn set_objective_weights(&mut self, idle_weight: f64, staleness_weight: f64) {
        let reserve_versions = (staleness_weight / idle_weight.max(f64::MIN_POSITIVE)).ceil();
        self.reserve_versions = (reserve_versions as u64).max(MIN_RESERVE_VERSIONS);
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.in_flight < self.window.limit()
    }

    /// Records the weight version that an engine used at `now_ms`.
    pub(super) fn record_version(
        &mut self,
        now_ms: u64,
        endpoint: &EndpointName,
        version: WeightVersion,
    ) {
        self.versions.insert(endpoint.clone(), (version, now_ms));
    }

    /// Returns the engines that used a version older than `oldest` within the last
    /// [`VERSION_TTL_MS`].
    pub(super) fn engines_older_than(
        &self,
        now_ms: u64,
        oldest: WeightVersion,
    ) -> Vec<EndpointName> {
        let is_older = |&(version, at_ms): &(WeightVersion, u64)| {
            version < oldest && now_ms < at_ms + VERSION_TTL_MS
        };
        let versions = self.versions.iter();
        let older = versions.filter(|(_, entry)| is_older(entry));
        older.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// Removes versions that were observed [`VERSION_TTL_MS`] ago or earlier.
    pub(super) fn expire_versions(&mut self, now_ms: u64) {
        self.versions
            .retain(|_, (_, at_ms)| now_ms < *at_ms + VERSION_TTL_MS);
    }
}
