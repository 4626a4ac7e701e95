//! The state that all tasks of a node share, its start and its stop.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;
use wisteriapoint_batch::Owner;
use wisteriapoint_directory::{
    Configuration, CrashSuspects, Registry, Requirements, ServiceSizes, Subset,
};
use wisteriapoint_peer::Client;
use wisteriapoint_store::Error as StoreError;
use wisteriapoint_types::{EndpointName, ServiceName, WeightVersion};

use crate::clock::Clock;
use crate::control::{Feed, Health, Lease};
use crate::dialect::Dialect;
use crate::jobs::Jobs;
use crate::metrics::Metrics;
use crate::relay::Relayed;
use crate::settings::NodeSettings;
use crate::upstream::Pool;
use crate::{Error, callers, control, event, jobs, peers};

/// Time for which a stopping node still takes new connections: the balancer asks once a second
/// and needs two misses.
const BALANCER_LAG: Duration = Duration::from_millis(2_300);
/// What is kept of the grace for the end of the process itself.
const STOP_MARGIN: Duration = Duration::from_millis(1_300);
/// Pause between looks at what is still in progress during a stop.
const STOP_POLL: Duration = Duration::from_millis(50);

/// What a node is in the middle of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It does not know the configuration or the endpoints yet.
    Starting,
    /// It serves.
    Serving,
    /// It finishes what it has.
    Stopping,
}

/// The state of a node; all of it belongs to one thread.
pub struct Node<D: Dialect> {
    /// Settings in force.
    pub settings: NodeSettings,
    /// This run of the daemon, as owner of batch jobs.
    pub owner: Owner,
    /// Which endpoints of large services this node uses.
    pub subset: Subset,
    /// The clock of all decisions.
    pub clock: Clock,
    /// The platform's store.
    pub store: Relayed<D::Ledger>,
    /// Whether the store answers.
    pub health: Health,
    /// Changes of endpoints, for other nodes.
    pub feed: Feed,
    /// The keeper, as this node knows it.
    pub keeper: RefCell<Option<Owner>>,
    /// The lease that the rows of this node hang on.
    pub lease: Lease,
    /// Routes, endpoints, versions.
    pub directory: RefCell<Directory>,
    /// Wakes who waits for a change of the directory.
    pub directory_changed: Notify,
    /// Kept connections to endpoints.
    pub pool: Pool,
    /// Batch jobs that this node owns.
    pub jobs: Jobs,
    /// Connections to other nodes.
    pub peers: Client,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Requests of callers in progress.
    pub in_progress: Cell<usize>,
    /// Open connections of callers.
    pub connections: Cell<usize>,
    /// What the node is in the middle of.
    pub stage: Cell<Stage>,
    /// Tells all tasks that a stop has begun.
    pub stop_begun: watch::Sender<bool>,
    /// Wakes each connection of a caller once the balancer sends no more.
    pub closing: watch::Sender<bool>,
}

/// What a node knows of routes and endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    /// The newest configuration, once one is known.
    pub configuration: Option<Rc<Configuration>>,
    /// Whether all endpoints have been read once.
    pub endpoints_known: bool,
    /// The endpoints that this node uses; all of them at the keeper.
    pub registry: Registry,
    /// Sizes of large services, of which this node uses a subset.
    pub sizes: ServiceSizes,
    /// The newest named version of each model.
    pub named: BTreeMap<Box<str>, WeightVersion>,
    /// VMs that are to be emptied and of which the operator has not been told.
    pub retiring: BTreeSet<Box<str>>,
    /// Requests that crash endpoints.
    pub suspects: CrashSuspects,
}

impl<D: Dialect> Node<D> {
    fn new(settings: NodeSettings) -> Result<Rc<Self>, Error> {
        let owner = Owner {
            vm: settings.vm.clone(),
            run: rand::random(),
            address: settings.peer_address,
        };
        let clock = Clock::new();
        let peers = Client::new();
        let direct = D::ledger(settings.store.address);
        Ok(Rc::new(Self {
            store: Relayed::new(direct, peers.clone()),
            health: Health::new(),
            feed: Feed::new(),
            keeper: RefCell::default(),
            lease: Lease::new(),
            subset: Subset::new(&owner.vm),
            owner,
            clock,
            directory: RefCell::default(),
            directory_changed: Notify::new(),
            pool: Pool::new(),
            jobs: Jobs::new(),
            peers,
            metrics: Metrics::new()?,
            in_progress: Cell::new(0),
            connections: Cell::new(0),
            stage: Cell::new(Stage::Starting),
            stop_begun: watch::channel(false).0,
            closing: watch::channel(false).0,
            settings,
        }))
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Counts a call to the store, and what it says of the store.
    pub fn note_store<T>(&self, call: &str, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) => "done",
            Err(error) if error.is_healthy_response() => "refused",
            Err(_) => "failed",
        };
        self.metrics
            .store_calls
            .with_label_values(&[call, outcome])
            .inc();
        match result {
            Err(error) if !error.is_healthy_response() => self.health.failed(self.now_ms(), error),
            _ => self.health.answered(self.now_ms()),
        }
    }

    /// Waits until a stop begins.
    pub async fn stopping(&self) {
        let mut begun = self.stop_begun.subscribe();
        // The sender lives as long as this node.
        let _begun = begun.wait_for(|&begun| begun).await;
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.directory.borrow().configuration.clone()
    }

    /// Whether no other node can have taken a batch job of this node over unnoticed.
    pub fn is_sure_owner(&self, job: &str) -> bool {
        let is_owned = self.jobs.get(job).is_some();
        is_owned && self.jobs.is_verified() && self.lease.is_sure() && !self.health.is_failing()
    }

    /// The endpoint for a request now, apart from some, and where it listens.
    pub fn choose(
        &self,
        need: Requirements<'_>,
        excluded: &[EndpointName],
    ) -> Option<(EndpointName, SocketAddr)> {
        let directory = self.directory.borrow();
        let registry = &directory.registry;
        let name = registry.choose(self.now_ms(), need, excluded)?.clone();
        let address = registry.get(&name)?.record.address;
        Some((name, address))
    }

    /// Requests that are known to be at an endpoint.
    pub fn occupancy(&self, endpoint: &EndpointName) -> u32 {
        let directory = self.directory.borrow();
        let known = directory.registry.get(endpoint);
        known.map_or(0, |known| known.occupancy(self.now_ms()))
    }

    /// Whether this node is the keeper.
    pub fn is_keeper(&self) -> bool {
        self.keeper.borrow().as_ref() == Some(&self.owner)
    }

    /// Whether this node should know an endpoint of a service.
    pub fn uses(
        &self,
        sizes: &ServiceSizes,
        service: &ServiceName,
        endpoint: &EndpointName,
    ) -> bool {
        self.is_keeper() || self.subset.contains(sizes, service, endpoint)
    }

    /// What any request to a plain service or stream needs: an endpoint, which may let it wait.
    pub fn need<'a>(&'a self, service: &'a ServiceName) -> Requirements<'a> {
        Requirements {
            service,
            model: None,
            requires_free_slot: false,
            objective_ms: None,
            sender_domain: &self.settings.failure_domain,
        }
    }

    /// Drops a batch job that another node has taken over or ended.
    pub fn lose(&self, job: &str) {
        event!(warn, "batch job lost", id = job);
        self.jobs.remove(job);
    }

    /// Becomes ready once configuration and endpoints are known.
    pub fn check_ready(&self) {
        let directory = self.directory.borrow();
        let is_known = directory.configuration.is_some() && directory.endpoints_known;
        if self.stage.get() == Stage::Starting && is_known {
            self.stage.set(Stage::Serving);
            self.metrics.set_state("ready", 1);
            event!(info, "ready", after_ms = self.now_ms());
        }
    }

    /// Runs a node until SIGTERM, then stops it gracefully. Belongs into a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Fails if the settings can't be read or an address can't be bound.
    pub async fn run(path: PathBuf) -> Result<(), Error> {
        let settings = NodeSettings::from_file(&path)?;
        let mut terminate = signal(SignalKind::terminate())
            .map_err(|error| Error::io("handler of SIGTERM", error))?;
        let hangup = on_hangup()?;
        if settings.callers.is_none() {
            event!(info, "start", vm = settings.vm, takes_requests = false);
            spawn_local(reload(settings, path, hangup));
            terminate.recv().await;
            event!(info, "stop", why = "SIGTERM");
            return Ok(());
        }
        spawn_local(reload(settings.clone(), path, hangup));
        let node = Self::start(settings).await?;
        terminate.recv().await;
        node.stop().await;
        Ok(())
    }

    /// Starts a node that takes requests. Belongs into a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn start(settings: NodeSettings) -> Result<Rc<Self>, Error> {
        event!(
            info,
            "start",
            vm = settings.vm,
            failure_domain = settings.failure_domain
        );
        let callers = settings.callers;
        let node = Self::new(settings)?;
        if let Some(callers) = callers {
            let requests = bind(callers.requests).await?;
            let ready = bind(callers.ready).await?;
            spawn_local(callers::serve_requests(node.clone(), requests));
            spawn_local(callers::serve_questions(node.clone(), ready));
        }
        let metrics = bind(node.settings.metrics_address).await?;
        spawn_local(callers::serve_questions(node.clone(), metrics));
        let peers = bind(node.settings.peer_address).await?;
        peers::start(&node, peers);
        control::start(&node);
        Ok(node)
    }

    /// Stops gracefully: not ready, then no new connections, then the end of what runs.
    pub async fn stop(self: &Rc<Self>) {
        event!(
            info,
            "stop",
            why = "SIGTERM",
            in_progress = self.in_progress.get()
        );
        let grace = Duration::from_secs(self.settings.bounds.grace_s);
        let end = tokio::time::Instant::now() + grace.saturating_sub(STOP_MARGIN);
        self.stage.set(Stage::Stopping);
        self.stop_begun.send_replace(true);
        self.metrics.set_state("ready", 0);
        sleep(BALANCER_LAG).await;
        jobs::hand_over(self).await;
        self.closing.send_replace(true);
        // An idle connection ends at once; one that carries a request ends with its answer.
        while self.connections.get() > 0 && tokio::time::Instant::now() < end {
            sleep(STOP_POLL).await;
        }
        control::leave(self).await;
        event!(info, "stopped", cut = self.in_progress.get());
    }
}

fn on_hangup() -> Result<Signal, Error> {
    signal(SignalKind::hangup()).map_err(|error| Error::io("handler of SIGHUP", error))
}

/// Reads the settings again at each SIGHUP; says whether a restart is needed for a change.
async fn reload(known: NodeSettings, path: PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match NodeSettings::from_file(&path) {
            Ok(settings) if settings == known => event!(info, "reload", changed = false),
            Ok(_) => event!(
                warn,
                "reload",
                changed = true,
                takes_effect = "at the next start"
            ),
            Err(error) => event!(error, "reload refused", why = error),
        }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| Error::io(address.to_string(), error))
}
