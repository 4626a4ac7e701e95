//! A bound on the calls that one daemon makes to the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::{Entry, Error, Index, Lease, Store, VmEntry};

/// Calls that may follow each other at once after a quiet time.
const BURST: u64 = 8;

/// A store whose calls wait until the budget allows them.
#[derive(Debug, Clone)]
pub struct RateLimitedStore<S> {
    store: S,
    epoch: Instant,
    pause_ns: u64,
    next_ns: Arc<AtomicU64>,
}

impl<S> RateLimitedStore<S> {
    /// Bounds the calls to `store` to `calls_per_s` on average.
    pub fn new(store: S, calls_per_s: f64) -> Self {
        Self {
            store,
            epoch: Instant::now(),
            pause_ns: (1e9 / calls_per_s.max(0.001)) as u64,
            next_ns: Arc::default(),
        }
    }

    /// The store itself, for the few calls that can't wait.
    pub fn unlimited(&self) -> &S {
        &self.store
    }

    /// Waits for the next free slot: slots are `pause_ns` apart, `BURST` may be taken early.
    async fn admit(&self) {
        let now_ns = self.epoch.elapsed().as_nanos() as u64;
        let advance = |next_ns: u64| Some(next_ns.max(now_ns) + self.pause_ns);
        let slot_ns = self
            .next_ns
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, advance)
            .unwrap_or_else(|unchanged| unchanged)
            .max(now_ns);
        let early_ns = self.pause_ns * BURST;
        let wait_ns = slot_ns.saturating_sub(now_ns + early_ns);
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
        self.admit().await;
        self.store.list(prefix, changed_since, wait).await
    }

    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.admit().await;
        self.store.get(key).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Index,
        value: Vec<u8>,
    ) -> Result<bool, Error> {
        self.admit().await;
        self.store.compare_and_swap(key, expected, value).await
    }

    async fn grant_lease(&self, key: &str, value: Vec<u8>, ttl: Duration) -> Result<Lease, Error> {
        self.admit().await;
        self.store.grant_lease(key, value, ttl).await
    }

    async fn renew_lease(&self, lease: &Lease) -> Result<(), Error> {
        self.admit().await;
        self.store.renew_lease(lease).await
    }

    async fn release_lease(&self, lease: &Lease) -> Result<(), Error> {
        self.admit().await;
        self.store.release_lease(lease).await
    }

    async fn vms(&self) -> Result<Vec<VmEntry>, Error> {
        self.admit().await;
        self.store.vms().await
    }
}
