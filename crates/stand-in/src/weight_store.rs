//! The weight store: gives out so many copies a second, one after the other.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// A weight store with a rate; clones share it.
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
    /// Makes a store that gives out so many copies a second.
    pub fn new(copies_per_s: f64) -> Self {
        Self {
            copy_interval: Duration::from_secs_f64(1.0 / copies_per_s),
            state: Arc::default(),
        }
    }

    /// The most copies that were asked for at the same time.
    pub fn max_concurrent_fetches(&self) -> u32 {
        self.lock().max_concurrent_fetches
    }

    /// Waits for a copy.
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
