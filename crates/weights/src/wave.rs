//! Waves: which engines may load a new version at the same time.

use std::collections::BTreeMap;

use wisteriapoint_types::{EndpointName, hash64};

const MAX_POLLED_ENGINES: usize = 64;

/// The order in which the engines of a service load, the same on every daemon.
///
/// In a service of up to 64 engines, an engine may load while fewer engines before it than
/// the bound are still behind, as they report themselves. So no more than the bound load at
/// once, although no daemon knows what the others order. An engine that stays behind holds
/// up the others only until their time in the wave has come.
///
/// In a larger service each daemon lets its share of its own engines load.
///
/// ```
/// use wisteriapoint_types::EndpointName;
/// use wisteriapoint_weights::Wave;
///
/// let engines: Vec<_> = (0..9).map(|n| EndpointName::new(format!("engine-{n}"))).collect();
/// let wave = Wave::new(engines.iter(), 0.34, 33);
/// let may_load = |engine: &&EndpointName| wave.may_load(engine, 0, |_| true);
/// assert_eq!(engines.iter().filter(may_load).count(), 3);
/// ```
#[derive(Debug)]
pub struct Wave {
    ranks: BTreeMap<EndpointName, usize>,
    ranked: Vec<EndpointName>,
    loading_share: f64,
    wave_ms: u64,
}

impl Wave {
    /// Makes the order of a service's engines, of which `loading_share` may load at the
    /// same time, and all within `wave_s` seconds.
    pub fn new<'a>(
        engines: impl IntoIterator<Item = &'a EndpointName>,
        loading_share: f64,
        wave_s: u64,
    ) -> Self {
        let mut ranked: Vec<EndpointName> = engines.into_iter().cloned().collect();
        ranked.sort_by_key(|engine| hash64(0, engine.as_str().as_bytes()));
        let ranks = ranked.iter().enumerate();
        Self {
            ranks: ranks.map(|(rank, engine)| (engine.clone(), rank)).collect(),
            ranked,
            loading_share,
            wave_ms: wave_s * 1_000,
        }
    }

    /// Engines that may load at the same time.
    pub fn max_loading(&self) -> usize {
        share_of(self.ranked.len(), self.loading_share).max(1)
    }

    /// Whether a daemon has to read the engines of others for [`Wave::may_load`].
    pub fn needs_all_reports(&self) -> bool {
        self.ranked.len() <= MAX_POLLED_ENGINES
    }

    /// How many of its own engines a daemon may have loading at the same time.
    pub fn max_loading_owned(&self, owned: usize) -> usize {
        match self.needs_all_reports() {
            true => owned,
            false => share_of(owned, self.loading_share).max(1),
        }
    }

    /// Whether an engine may begin to load `elapsed_ms` after the version was published.
    ///
    /// `is_behind` tells whether an engine does not report that version.
    pub fn may_load(
        &self,
        engine: &EndpointName,
        elapsed_ms: u64,
        is_behind: impl Fn(&EndpointName) -> bool,
    ) -> bool {
        let Some(&rank) = self.ranks.get(engine) else {
            return false;
        };
        if !self.needs_all_reports() || elapsed_ms >= self.latest_start_ms(rank) {
            return true;
        }
        let before = self.ranked[..rank].iter();
        let behind = before.filter(|engine| is_behind(engine));
        behind.count() < self.max_loading()
    }

    /// When an engine loads even if those before it are stuck.
    fn latest_start_ms(&self, rank: usize) -> u64 {
        let max_loading = self.max_loading();
        let rounds = self.ranked.len().div_ceil(max_loading) as u64;
        let round = (rank / max_loading) as u64;
        self.wave_ms * round / (rounds + 1)
    }
}

fn share_of(engines: usize, share: f64) -> usize {
    (engines as f64 * share) as usize
}
