//! State shared by all tasks of a node, and the start and stop of a node.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::spawn_local;
use wisteriapoint_batch::Owner;
use wisteriapoint_directory::{
    Configuration, Priority, Registry, Requirements, ServiceSizes, Subset, View,
};
use wisteriapoint_duties::{Coordination, ServiceDemand};
use wisteriapoint_peer::Client;
use wisteriapoint_route::Durations;
use wisteriapoint_store::{Error as StoreError, Index};
use wisteriapoint_types::{
    EndpointName, FailureDomain, ServiceName, SoftwareVersion, StreamOrigin, WeightVersion,
};

use crate::callers::intake::Intake;
use crate::clock::{Clock, boot_ms};
use crate::control::{Feed, Lease, MalformedRows, StoreHealth};
use crate::dialect::Dialect;
use crate::jobs::Jobs;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::relay::RelayedStore;
use crate::settings::{NodeSettings, SettingsFile};
use crate::shutdown::Shutdown;
use crate::streams::Streams;
use crate::suspects::SuspectRequests;
use crate::upstream::{Pool, watch_links};
use crate::{Error, callers, control, event, peers, suspects};

/// Number of connections to endpoints that a node opens for others at the same time, of which each uses
/// two sockets and 16 kB: those of several nodes at the load that one VM bears.
const MAX_TUNNELS: usize = 256;

/// Stage in the life cycle of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The configuration or the endpoints have not been read yet.
    Starting,
    /// The node is ready for requests.
    Serving,
    /// The node completes its requests and accepts no new batch jobs.
    Stopping,
}

/// State of a node, used by one thread only.
pub struct Node<D: Dialect> {
    /// Settings read at the start.
    pub settings: NodeSettings,
    /// Identity of this run of the node as an owner of batch jobs.
    pub owner: Owner,
    /// Selects the endpoints of large services that this node uses.
    pub subset: Subset,
    /// Clock on which all decisions of the node are based.
    pub clock: Clock,
    /// Client of the platform's store, directly or through another node.
    pub store: RelayedStore<D::Store>,
    /// Reachability of the store.
    pub store_health: StoreHealth,
    /// Endpoint changes that the leader publishes to other nodes.
    pub feed: Feed,
    /// Malformed rows that have been logged.
    pub malformed_rows: MalformedRows,
    /// The current leader as last read from the store; `None` if it is not known.
    pub leader: watch::Sender<Option<Owner>>,
    /// Notifies the election that the leader does not answer, and so may be replaced.
    pub leader_doubted: Notify,
    /// Store lease to which the rows of this node are attached.
    pub lease: Lease,
    /// Configuration, endpoints and weight versions.
    pub directory: RefCell<Directory>,
    /// Notifies tasks that wait for a change of the directory.
    pub directory_changed: Notify,
    /// Connections to endpoints, and the ways on which they are opened.
    pub pool: Pool,
    /// Callers' requests suspected of crashing endpoints.
    pub suspects: SuspectRequests,
    /// Streams that callers may take up again, at any node.
    pub streams: Streams,
    /// Limits that endpoints state for all nodes together.
    pub limits: Limits,
    /// Batch jobs that this node owns.
    pub jobs: Jobs,
    /// Processor shares of the VMs of the members, by the address of the node.
    pub capacities: RefCell<BTreeMap<SocketAddr, Option<f64>>>,
    /// Client for requests to other nodes.
    pub peers: Client,
    /// Permits to connect other nodes to endpoints.
    pub tunnels: Arc<Semaphore>,
    /// Prometheus metrics of this node.
    pub metrics: Metrics,
    /// Number of callers' requests in progress.
    pub in_progress: Cell<usize>,
    /// Number of open connections of callers.
    pub connections: Cell<usize>,
    /// Bytes and connections held for callers.
    pub intake: Intake,
    /// Current stage in the life cycle.
    pub stage: Cell<Stage>,
    /// Progress of the stop.
    pub shutdown: Shutdown,
    /// Knowledge of the newest configuration, counts of use, and the state of the duties.
    pub coordination: Coordination,
    /// Client of the platform's API; `None` if there are no duties.
    pub duty_client: Option<D::DutyClient>,
    /// Longest recent durations of callers' requests.
    pub durations: RefCell<Durations>,
}

/// Configuration, endpoints and weight versions as a node has received them.
#[derive(Debug, Default)]
pub struct Directory {
    /// The newest configuration; `None` until one has been read.
    pub configuration: Option<Rc<Configuration>>,
    /// Revision of its row.
    pub configuration_revision: Option<Index>,
    /// Whether all endpoints have been read at least once.
    pub endpoints_loaded: bool,
    /// Age of the endpoints.
    pub view: View,
    /// Endpoints that this node uses; at the leader, all endpoints.
    pub registry: Registry,
    /// Endpoints that the platform may reclaim; current at the leader only.
    pub spot_endpoints: BTreeSet<EndpointName>,
    /// Sizes of large services; a node uses only a subset of their endpoints.
    pub sizes: ServiceSizes,
    /// The newest published weight version of each model.
    pub published_versions: BTreeMap<Box<str>, WeightVersion>,
    /// VMs to retire whose retirement has not been reported to the operators yet.
    pub retiring_vms: BTreeSet<Box<str>>,
}

impl Directory {
    /// Records whether the platform may reclaim an endpoint.
    pub fn set_spot(&mut self, name: &EndpointName, is_spot: bool) {
        match is_spot {
            true => self.spot_endpoints.insert(name.clone()),
            false => self.spot_endpoints.remove(name),
        };
    }
}

/// An endpoint that was chosen for a request.
#[derive(Debug, Clone)]
pub struct ChosenEndpoint {
    /// Its name.
    pub name: EndpointName,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomain,
    /// Version of its software, if it is known.
    pub software: Option<SoftwareVersion>,
    /// Start of its instance, in Unix milliseconds.
    pub born_unix_ms: u64,
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
        let suspects = SuspectRequests::new();
        let intake_limits = settings.intake_limits();
        let direct = D::open_store(settings.store.address);
        Ok(Rc::new(Self {
            store: RelayedStore::new(direct, peers.clone()),
            store_health: StoreHealth::new(),
            feed: Feed::new(),
            malformed_rows: MalformedRows::new(),
            leader: watch::channel(None).0,
            lease: Lease::new(),
            subset: Subset::new(&owner.vm),
            owner,
            clock,
            directory: RefCell::default(),
            directory_changed: Notify::new(),
            pool: Pool::new(
                settings.peer_address,
                peers.clone(),
                suspects.peers.clone(),
                clock,
            )
            .with_max_response_bytes(intake_limits.answer_bytes),
            suspects,
            streams: Streams::new(),
            limits: Limits::new(),
            capacities: RefCell::default(),
            leader_doubted: Notify::new(),
            jobs: Jobs::new(),
            peers,
            tunnels: Arc::new(Semaphore::new(MAX_TUNNELS)),
            metrics: Metrics::new()?,
            in_progress: Cell::new(0),
            connections: Cell::new(0),
            intake: Intake::new(intake_limits),
            stage: Cell::new(Stage::Starting),
            shutdown: Shutdown::new(),
            durations: RefCell::default(),
            coordination: Coordination::new(settings.duties.as_ref()),
            duty_client: settings
                .duties
                .as_ref()
                .map(|duties| D::open_duties(duties.address)),
            settings,
        }))
    }

    /// Returns the time since the start of the node, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Counts a call to the store and updates the store's health by its result.
    pub fn record_store_call<T>(&self, call: &str, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) => "done",
            Err(error) if error.is_healthy_response() => "refused",
            Err(_) => "failed",
        };
        event!(debug, "store call", call = call, outcome = outcome);
        self.metrics
            .store_calls
            .with_label_values(&[call, outcome])
            .inc();
        match result {
            Err(error) if !error.is_healthy_response() => {
                self.store_health.record_failure(self.now_ms(), error)
            }
            _ => self.store_health.record_answer(self.now_ms()),
        }
    }

    /// Records that a request of a route that arrived at the given time has ended.
    pub fn record_duration(&self, route: &str, arrived_at_ms: u64) {
        let now_ms = self.now_ms();
        let mut durations = self.durations.borrow_mut();
        durations.record(now_ms, route, now_ms - arrived_at_ms);
    }

    /// Counts a refusal because of what is held for callers, and logs at most one line a second.
    pub fn record_refusal(&self, id: &str, reason: &str) {
        let counter = &self.metrics.intake_refusals;
        counter.with_label_values(&[reason]).inc();
        if let Some(count) = self.intake.count_refusal(self.now_ms()) {
            event!(
                warn,
                "refused because of what is held for callers",
                id = id,
                reason = reason,
                count = count,
                held_bytes = self.intake.budget.held_bytes(),
                unfinished_bytes = self.intake.budget.unfinished_bytes(),
                connections = self.intake.connections.count(),
            );
        }
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.directory.borrow().configuration.clone()
    }

    /// Returns `true` if this node owns a batch job and no other node can have taken it over
    /// unnoticed.
    ///
    /// Another one takes it over only if it is handed over, or if this node has no member row, which it
    /// writes under each lease before it verifies what it owns.
    pub fn is_definite_owner(&self, job: &str) -> bool {
        let owned = self.jobs.get(job);
        owned.is_some_and(|owned| !owned.is_handed_over.get())
            && self.jobs.is_verified()
            && self.lease.is_valid()
            && !self.store_health.is_failing()
    }

    /// Chooses an endpoint that meets the requirements and is not excluded.
    pub fn choose_endpoint(
        &self,
        requirements: Requirements<'_>,
        excluded: &[EndpointName],
    ) -> Option<ChosenEndpoint> {
        let directory = self.directory.borrow();
        let registry = &directory.registry;
        let name = registry
            .choose(self.now_ms(), requirements, excluded)?
            .clone();
        let record = &registry.get(&name)?.record;
        Some(ChosenEndpoint {
            address: record.address,
            failure_domain: record.failure_domain.clone(),
            software: record.software.clone(),
            born_unix_ms: record.born_unix_ms,
            name,
        })
    }

    /// Returns the number of requests known to be at an endpoint; 0 if it is not registered.
    pub fn occupancy(&self, endpoint: &EndpointName) -> u32 {
        let directory = self.directory.borrow();
        let registered = directory.registry.get(endpoint);
        registered.map_or(0, |endpoint| endpoint.occupancy(self.now_ms()))
    }

    /// Returns `true` if this node knows the endpoints as they were moments ago.
    pub fn knows_endpoints(&self) -> bool {
        self.view_left_ms() > 0
    }

    /// Returns the time until this node has to read the endpoints from the store, in milliseconds.
    pub fn view_left_ms(&self) -> u64 {
        let view = self.directory.borrow().view;
        view.left_ms(boot_ms(), self.settings.bounds.drain_ms)
    }

    /// Returns the time for which this node may pass its endpoints on to others, in milliseconds.
    pub fn view_source_left_ms(&self) -> u64 {
        self.directory.borrow().view.source_left_ms(boot_ms())
    }

    /// Returns the longest wait of a watch that confirms the endpoints while they may still be passed on,
    /// in milliseconds.
    pub fn view_source_wait_ms(&self) -> u64 {
        self.directory.borrow().view.source_wait_ms(boot_ms())
    }

    /// Returns `true` if the keys of the configuration in force may be used.
    pub fn knows_keys(&self) -> bool {
        match self.settings.bounds.revoke_ms {
            Some(bound_ms) => self.coordination.knowledge.left_ms(boot_ms(), bound_ms) > 0,
            None => true,
        }
    }

    /// Returns the requests that wait or run at this node, by service.
    pub fn demand_by_service(&self) -> Vec<ServiceDemand> {
        let Some(configuration) = self.configuration() else {
            return Vec::new();
        };
        let directory = self.directory.borrow();
        let scaled = configuration.services.iter();
        let scaled = scaled.filter(|service| service.scaling.is_some());
        let demand = scaled.map(|service| {
            let endpoints = directory.registry.iter();
            let of_service = endpoints.filter(|(_, entry)| entry.record.service == service.name);
            ServiceDemand {
                service: service.name.as_str().into(),
                running: of_service.map(|(_, entry)| entry.in_flight).sum(),
                waiting: self.jobs.waiting_items(&configuration, &service.name),
            }
        });
        demand
            .filter(|demand| demand.running + demand.waiting > 0)
            .collect()
    }

    /// Returns `true` if this node is the leader.
    pub fn is_leader(&self) -> bool {
        self.leader.borrow().as_ref() == Some(&self.owner)
    }

    /// Returns `true` if this node keeps an endpoint of a service in its registry.
    pub fn uses(
        &self,
        sizes: &ServiceSizes,
        service: &ServiceName,
        endpoint: &EndpointName,
    ) -> bool {
        self.is_leader() || self.subset.contains(sizes, service, endpoint)
    }

    /// Returns the requirements of a request to a plain service or of a stream: an endpoint of the
    /// service, which may queue the request.
    pub fn plain_requirements<'a>(&'a self, service: &'a ServiceName) -> Requirements<'a> {
        Requirements {
            service,
            model: None,
            requires_free_slot: false,
            objective_ms: None,
            sender_domain: &self.settings.failure_domain,
            priority: Priority::Caller,
            origin: &StreamOrigin::None,
        }
    }

    /// Drops a batch job that another node has taken over or ended.
    pub fn drop_job(&self, job: &str) {
        event!(
            warn,
            "batch job taken over or ended by another node; dropped",
            id = job
        );
        self.jobs.remove(job);
    }

    /// Marks the node as ready once the configuration and the endpoints have been read, and the
    /// crashes that other nodes know have been requested.
    pub fn update_readiness(&self) {
        let directory = self.directory.borrow();
        let is_loaded = directory.configuration.is_some()
            && directory.endpoints_loaded
            && self.suspects.is_history_loaded();
        if self.stage.get() == Stage::Starting && is_loaded {
            self.stage.set(Stage::Serving);
            self.metrics.set_state("ready", 1);
            event!(info, "ready", after_ms = self.now_ms());
        }
    }

    /// Runs a node until SIGTERM, then stops it gracefully; must be called inside a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Fails if the settings can't be read or an address can't be bound.
    pub async fn run(file: SettingsFile) -> Result<(), Error> {
        let settings = file.read()?;
        let mut terminate = signal(SignalKind::terminate())
            .map_err(|error| Error::io("handler of SIGTERM", error))?;
        let hangup = on_hangup()?;
        if settings.callers.is_none() {
            event!(info, "start", vm = settings.vm, takes_requests = false);
            spawn_local(reload(settings, file, hangup));
            terminate.recv().await;
            event!(info, "stop", reason = "SIGTERM");
            return Ok(());
        }
        spawn_local(reload(settings.clone(), file, hangup));
        let node = Self::start(settings).await?;
        terminate.recv().await;
        node.stop().await;
        Ok(())
    }

    /// Starts a node that takes requests; must be called inside a `LocalSet`.
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
            spawn_local(callers::serve_readiness_and_metrics(node.clone(), ready));
        }
        let metrics = bind(node.settings.metrics_address).await?;
        spawn_local(callers::serve_readiness_and_metrics(node.clone(), metrics));
        let peers = bind(node.settings.peer_address).await?;
        peers::start(&node, peers);
        suspects::exchange::start(&node);
        spawn_local(suspects::silent::watch_silent_runs(node.clone()));
        spawn_local(watch_links::<D>(node.pool.clone()));
        spawn_local(export_cut_off(node.clone()));
        control::start(&node);
        let bound_ms = node.settings.bounds.max_configuration_age_ms();
        spawn_local(wisteriapoint_duties::run(node.clone(), bound_ms));
        Ok(node)
    }
}

/// Keeps the metric that tells whether the node is cut off from the endpoints.
async fn export_cut_off<D: Dialect>(node: Rc<Node<D>>) {
    let mut cut_off = node.pool.cut_off_changes();
    while cut_off.changed().await.is_ok() {
        let is_cut_off = *cut_off.borrow_and_update();
        node.metrics.set_state("cut_off", i64::from(is_cut_off));
    }
}

fn on_hangup() -> Result<Signal, Error> {
    signal(SignalKind::hangup()).map_err(|error| Error::io("handler of SIGHUP", error))
}

/// Reads the settings again at each SIGHUP and logs whether a restart is needed to apply a change.
async fn reload(current: NodeSettings, file: SettingsFile, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match file.read() {
            Ok(settings) if settings == current => event!(info, "reload", changed = false),
            Ok(_) => event!(
                warn,
                "reload",
                changed = true,
                takes_effect = "at the next start"
            ),
            Err(error) => event!(
                error,
                "settings not reloaded, node keeps the old ones",
                error = error
            ),
        }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| Error::io(address.to_string(), error))
}
