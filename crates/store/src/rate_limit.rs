//! A rate limit on the calls of one daemon to the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::{Entry, Error, Index, Lease, Store, VmEntry};

/// Calls that may be made without a pause after an idle period.
const BURST_CALLS: u64 = 8;

/// A store whose calls wait until the rate limit allows them.
#[derive(Debug, Clone)]
pub struct RateLimitedStore<S> {
    store: S,
    epoch: Instant,
    interval_ns: u64,
    next_slot_ns: Arc<AtomicU64>,
}

impl<S> RateLimitedStore<S> {
    /// Limits the calls to `store` to `calls_per_s` on average.
    pub fn new(store: S, calls_per_s: f64) -> Self {
        Self {
            store,
            epoch: Instant::now(),
            interval_ns: (1e9 / calls_per_s.max(0.001)) as u64,
            next_slot_ns: Arc::default(),
        }
    }

    /// Returns the store without the limit, for the few calls that can't wait.
    pub fn unlimited(&self) -> &S {
        &self.store
    }

    /// Waits for the next free slot. Slots are `interval_ns` apart; up to `BURST_CALLS` of them
    /// may be used early.
    async fn wait_for_slot(&self) {
        let now_ns = self.epoch.elapsed().as_nanos() as u64;
        let advance = |next_slot_ns: u64| Some(next_slot_ns.max(now_ns) + self.interval_ns);
        let slot_ns = self
            .next_slot_ns
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, advance)
            .unwrap_or_else(|unchanged| unchanged)
            .max(now_ns);
        let burst_ns = self.interval_ns * BURST_CALLS;
        let wait_ns = slot_ns.saturating_sub(now_ns + burst_ns);
        if wait_ns > 0 {
            sleep(Duration::from_nanos(wait_ns)).await;
        }
    }
}

impl<S: Store> Store for RateLimitedStore<S> {
    async fn list(
        &self,
        prefix: &str,
        changed_since: Option<Index>,
        wait: Duration,
    ) -> Result<(Vec<Entry>, Index), Error> {
        self.wait_for_slot().await;
        self.store.list(prefix, changed_since, wait).await
    }

    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.wait_for_slot().await;
        self.store.get(key).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Index,
        value: Vec<u8>,
    ) -> Result<bool, Error> {
        self.wait_for_slot().await;
        self.store.compare_and_swap(key, expected, value).await
    }

    async fn grant_lease(&self, key: &str, value: Vec<u8>, ttl: Duration) -> Result<Lease, Error> {
        self.wait_for_slot().await;
        self.store.grant_lease(key, value, ttl).await
    }

    async fn renew_lease(&self, lease: &Lease) -> Result<(), Error> {
        self.wait_for_slot().await;
        self.store.renew_lease(lease).await
    }

    async fn release_lease(&self, lease: &Lease) -> Result<(), Error> {
        self.wait_for_slot().await;
        self.store.release_lease(lease).await
    }

    async fn vms(&self) -> Result<Vec<VmEntry>, Error> {
        self.wait_for_slot().await;
        self.store.vms().await
    }
}
