//! What the traffic threads share.

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
use super::message::{Addressed, Question, Reply, ServiceStrike};
use super::snapshot::Snapshot;
use crate::Error;
use crate::metrics::Metrics;

/// State that every request may use; nothing in it waits for control.
#[derive(Debug)]
pub struct Shared {
    /// This run of the daemon.
    pub me: Member,
    /// The latest state of control.
    pub snapshot: ArcSwap<Snapshot>,
    /// Routers by service.
    pub routers: ArcSwap<BTreeMap<ServiceName, Router>>,
    /// Commands to control.
    pub control: mpsc::Sender<Command>,
    /// Strikes of other daemons, for the routers.
    pub strikes: mpsc::Sender<Vec<ServiceStrike>>,
    /// The traffic threads.
    pub traffic: Handle,
    /// Calls to other daemons.
    pub peers: Client,
    /// Calls to endpoints.
    pub clients: Clients,
    /// The platform.
    pub store: RateLimitedStore<HttpStore>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Whether a stop was asked for.
    pub draining: AtomicBool,
    /// Whether the daemon is about to leave the view, and its lease with it.
    pub leaving: AtomicBool,
    /// Whether a proposal of a view is on its way to the platform.
    pub proposing: AtomicBool,
    /// The VM's lease, as long as it is held.
    pub lease: ArcSwapOption<Lease>,
    /// Whether new requests are refused.
    pub refusing: AtomicBool,
    /// Requests in progress.
    pub in_flight: AtomicUsize,
    /// The daemon's wall clock.
    pub clock: Clock,
}

/// Unix time that advances with the runtime's clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    epoch: Instant,
    epoch_unix_ms: u64,
}

impl Clock {
    /// Reads the wall clock once.
    pub fn new() -> Self {
        let since_unix = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        Self {
            epoch: Instant::now(),
            epoch_unix_ms: since_unix.as_millis() as u64,
        }
    }

    /// Unix milliseconds.
    pub fn now_ms(self) -> u64 {
        self.epoch_unix_ms + self.epoch.elapsed().as_millis() as u64
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Counts a request in progress until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Channels into the daemon's threads.
#[derive(Debug)]
pub struct Senders {
    /// Commands to control.
    pub control: mpsc::Sender<Command>,
    /// Strikes of other daemons, for the routers.
    pub strikes: mpsc::Sender<Vec<ServiceStrike>>,
}

impl Shared {
    /// Makes the state of a daemon that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Fails if a library can't be set up.
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
            strikes: senders.strikes,
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

    /// Counts a request in progress.
    ///
    /// One order over this count and `refusing` makes a stop see every request that
    /// found it not refusing.
    pub fn begin(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(self))
    }

    /// Whether a stop was asked for.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Whether new requests are refused.
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::SeqCst)
    }

    /// Asks a member, this daemon included; none if no answer came.
    pub async fn ask(&self, id: MemberId, question: Question, limit: Duration) -> Option<Reply> {
        if id == self.me.id {
            return self.ask_self(question, limit).await;
        }
        let address = self.snapshot.load().view.member(id)?.peer_address;
        let addressed = Addressed {
            to: Some(id),
            question,
        };
        self.peers.call(address, &addressed, limit).await.ok()
    }

    /// Puts a question to this daemon's own control.
    pub async fn ask_self(&self, question: Question, limit: Duration) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        let command = Command::Question(Box::new(question), sender);
        self.control.send(command).await.ok()?;
        tokio::time::timeout(limit, receiver).await.ok()?.ok()
    }
}
