//! Waves, which limit how many engines load a new weight version at the same time.

use std::collections::BTreeMap;

use wisteriapoint_types::{EndpointName, hash64};

/// Largest service in which each daemon reads the versions of all engines.
const MAX_POLLED_ENGINES: usize = 64;

/// The sequence in which the engines of a service load a new version, equal on every daemon.
///
/// In a service of up to 64 engines, an engine may load while the number of engines before it
/// that still report an older version is below [`max_loading`](Self::max_loading). No more than
/// that load at the same time, although no daemon knows the orders of the others. An engine that
/// stays on an older version can delay another engine only until the latest start of that engine,
/// which is within the duration of the wave.
///
/// In a larger service, each daemon applies the loading share to its own engines only.
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
    /// Creates the sequence of a service's engines.
    ///
    /// Up to the fraction `loading_share` of them may load at the same time, and all should have
    /// loaded within `wave_s` seconds.
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

    /// Returns the maximum number of engines that may load at the same time; at least 1.
    pub fn max_loading(&self) -> usize {
        share_of(self.ranked.len(), self.loading_share).max(1)
    }

    /// Returns `true` if [`Wave::may_load`] needs the reports of all engines, including those
    /// that other daemons own.
    pub fn needs_all_reports(&self) -> bool {
        self.ranked.len() <= MAX_POLLED_ENGINES
    }

    /// Returns how many of its `owned` engines a daemon may let load at the same time.
    pub fn max_loading_owned(&self, owned: usize) -> usize {
        match self.needs_all_reports() {
            true => owned,
            false => share_of(owned, self.loading_share).max(1),
        }
    }

    /// Returns `true` if an engine may start to load `elapsed_ms` after the version was published.
    ///
    /// `is_behind` returns `true` for an engine that does not report that version.
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

    /// Returns the time after publication from which an engine may load even if engines before it
    /// have not finished.
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
