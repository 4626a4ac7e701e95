//! A weight store that serves copies sequentially at a limited rate.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// A rate-limited weight store whose clones share its state.
#[derive(Debug, Clone)]
pub struct WeightStore {
    copy_interval: Duration,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    available_at: Option<Instant>,
    fetching: u32,
    max_concurrent_fetches: u32,
}

impl WeightStore {
    /// Creates a store that serves the given number of copies per second.
    pub fn new(copies_per_s: f64) -> Self {
        Self {
            copy_interval: Duration::from_secs_f64(1.0 / copies_per_s),
            state: Arc::default(),
        }
    }

    /// Returns the highest number of fetches that were pending at the same time.
    pub fn max_concurrent_fetches(&self) -> u32 {
        self.lock().max_concurrent_fetches
    }

    /// Waits until a copy has been served.
    pub async fn fetch(&self) {
        let ready_at = {
            let mut state = self.lock();
            state.fetching += 1;
            state.max_concurrent_fetches = state.max_concurrent_fetches.max(state.fetching);
            let now = Instant::now();
            let ready_at = state.available_at.unwrap_or(now).max(now) + self.copy_interval;
            state.available_at = Some(ready_at);
            ready_at
        };
        sleep_until(ready_at).await;
        self.lock().fetching -= 1;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
