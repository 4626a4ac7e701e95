//! State shared by the daemon's threads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use wisteriapoint_gateway::{Clients, Router};
use wisteriapoint_membership::Member;
use wisteriapoint_peer::Client;
use wisteriapoint_settings::VmSettings;
use wisteriapoint_store::{HttpStore, Lease, RateLimitedStore};
use wisteriapoint_types::{MemberId, ServiceName};

use super::control::Command;
use super::message::{AddressedRequest, PeerRequest, PeerResponse, ServiceCrashReport};
use super::snapshot::Snapshot;
use crate::Error;
use crate::metrics::Metrics;

/// State that requests read without waiting for the control loop.
#[derive(Debug)]
pub struct Shared {
    /// Member record of this run of the daemon.
    pub me: Member,
    /// Control state as last published.
    pub snapshot: ArcSwap<Snapshot>,
    /// Router of each service.
    pub routers: ArcSwap<BTreeMap<ServiceName, Router>>,
    /// Queue of commands to the control loop.
    pub control: mpsc::Sender<Command>,
    /// Queue of crash reports of other daemons, for the routers.
    pub crash_reports: mpsc::Sender<Vec<ServiceCrashReport>>,
    /// Runtime of the traffic threads.
    pub traffic: Handle,
    /// Client for other daemons.
    pub peers: Client,
    /// Clients for endpoints.
    pub clients: Clients,
    /// Client for the platform, with a rate limit.
    pub store: RateLimitedStore<HttpStore>,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// `true` once a stop was requested.
    pub draining: AtomicBool,
    /// `true` once the daemon has begun to release its lease and leave the view.
    pub leaving: AtomicBool,
    /// `true` while a proposal of a view is in progress.
    pub proposing: AtomicBool,
    /// Lease of the VM, while the daemon holds it.
    pub lease: ArcSwapOption<Lease>,
    /// `true` once new requests are refused.
    pub refusing: AtomicBool,
    /// Number of requests in progress.
    pub in_flight: AtomicUsize,
    /// Wall clock of the daemon.
    pub clock: Clock,
}

/// Unix time that advances with the runtime's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    epoch: Instant,
    epoch_unix_ms: u64,
}

impl Clock {
    /// Creates a clock from a single reading of the system's wall clock.
    pub fn new() -> Self {
        let since_unix = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        Self {
            epoch: Instant::now(),
            epoch_unix_ms: since_unix.as_millis() as u64,
        }
    }

    /// Returns the current Unix time in milliseconds.
    pub fn now_ms(self) -> u64 {
        self.epoch_unix_ms + self.epoch.elapsed().as_millis() as u64
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Guard that counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Senders of the channels to the daemon's threads.
#[derive(Debug)]
pub struct Senders {
    /// Queue of commands to the control loop.
    pub control: mpsc::Sender<Command>,
    /// Queue of crash reports of other daemons, for the routers.
    pub crash_reports: mpsc::Sender<Vec<ServiceCrashReport>>,
}

impl Shared {
    /// Creates the state of a daemon without a view and configuration.
    ///
    /// # Errors
    ///
    /// Fails if a client or the metrics can't be initialized.
    pub fn new(
        settings: &VmSettings,
        me: Member,
        senders: Senders,
        traffic: Handle,
    ) -> Result<Self, Error> {
        let store = HttpStore::new(&settings.platform_url)?;
        Ok(Self {
            me,
            snapshot: Default::default(),
            routers: Default::default(),
            control: senders.control,
            crash_reports: senders.crash_reports,
            traffic,
            peers: Client::new(),
            clients: Clients::new()?,
            metrics: Metrics::new().map_err(std::io::Error::other)?,
            draining: false.into(),
            leaving: false.into(),
            proposing: false.into(),
            lease: None.into(),
            refusing: false.into(),
            in_flight: 0.into(),
            store: RateLimitedStore::new(store, settings.platform_calls_per_s),
            clock: Clock::new(),
        })
    }

    /// Counts a request as in progress until the returned guard is dropped.
    ///
    /// The count and `refusing` both use sequentially consistent ordering, so that a stop counts
    /// every request that was admitted before `refusing` was set.
    pub fn track_in_flight(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(self))
    }

    /// Returns `true` if a stop was requested.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns `true` if new requests are refused.
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::SeqCst)
    }

    /// Sends a request to a member, which may be this daemon; returns `None` if no response came.
    pub async fn call_member(
        &self,
        id: MemberId,
        request: PeerRequest,
        timeout: Duration,
    ) -> Option<PeerResponse> {
        if id == self.me.id {
            return self.call_control(request, timeout).await;
        }
        let address = self.snapshot.load().view.member(id)?.peer_address;
        let addressed = AddressedRequest {
            to: Some(id),
            request,
        };
        self.peers.call(address, &addressed, timeout).await.ok()
    }

    /// Sends a request to this daemon's control loop; returns `None` if no response came.
    pub async fn call_control(
        &self,
        request: PeerRequest,
        timeout: Duration,
    ) -> Option<PeerResponse> {
        let (reply, response) = oneshot::channel();
        let command = Command::PeerRequest(Box::new(request), reply);
        self.control.send(command).await.ok()?;
        tokio::time::timeout(timeout, response).await.ok()?.ok()
    }
}
