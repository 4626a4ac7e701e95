//! Start and stop of a daemon.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::runtime::{self, Runtime};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};
use wisteriapoint_membership::Member;
use wisteriapoint_peer::DatagramSocket;
use wisteriapoint_settings::VmSettings;
use wisteriapoint_types::MemberId;

use super::control::{COMMAND_QUEUE_LENGTH, Command, Control};
use super::listeners::Listeners;
use super::message::{AddressedRequest, PeerResponse, ServiceCrashReport};
use super::platform::Watch;
use super::shared::Senders;
use super::{Addresses, Shared, crash_reports, exchange, platform, traffic, weights};
use crate::Error;
use crate::http::bounds::Bounds;
use crate::http::{self, HttpServer};

const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
const ADMIN_STOP_TIMEOUT: Duration = Duration::from_secs(1);
const CRASH_REPORT_QUEUE_LENGTH: usize = 16;
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    settings: VmSettings,
    addresses: Addresses,
    shared: Arc<Shared>,
    servers: [HttpServer; 2],
    traffic: Option<Runtime>,
    stop_control: Option<oneshot::Sender<()>>,
}

impl Daemon {
    /// Starts a daemon with one control thread and a pool of traffic threads.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound, or if a thread or client can't be created.
    pub async fn start(settings: VmSettings) -> Result<Self, Error> {
        let listeners = Listeners::bind(&settings).await?;
        let addresses = listeners.addresses()?;
        let runtime = traffic_runtime(settings.traffic_threads)?;
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_LENGTH);
        let (crash_reports, received_reports) = mpsc::channel(CRASH_REPORT_QUEUE_LENGTH);
        let (published, changes) = watch::channel(());
        let senders = Senders {
            control: commands,
            crash_reports,
        };
        let member = member(&settings, addresses);
        let shared = Shared::new(&settings, member, senders, runtime.handle().clone())?;
        let shared = Arc::new(shared);
        let datagram_socket = Arc::new(DatagramSocket::new(listeners.datagram_socket));
        let control = Control::new(
            Arc::clone(&shared),
            published,
            Arc::clone(&datagram_socket),
            settings.seed_peers.clone(),
        );
        let stop_control = start_control(control, receiver, &shared, datagram_socket, &settings)?;
        let service_router = http::service_router(&shared);
        let admin_router = http::admin_router(&shared);
        let servers = [
            HttpServer::new(
                &runtime,
                listeners.service,
                service_router,
                Bounds::service(),
            )?,
            HttpServer::new(&runtime, listeners.admin, admin_router, Bounds::admin())?,
        ];
        start_traffic(&runtime, &shared, listeners.peer, changes, received_reports);
        Ok(Self {
            settings,
            addresses,
            shared,
            servers,
            traffic: Some(runtime),
            stop_control: Some(stop_control),
        })
    }

    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the state shared by the daemon's threads.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Waits until an operator requests a drain through the admin address.
    pub async fn drain_requested(&self) {
        while !self.shared.is_draining() {
            sleep(POLL_PAUSE).await;
        }
    }

    /// Stops gracefully.
    ///
    /// First, readiness turns false. Requests are still accepted for `drain_wait_ms`, the time
    /// until load balancers react; then new ones are refused, those in flight finish, and the
    /// daemon leaves the view. Requests are aborted only at the drain limit.
    pub async fn stop(mut self) {
        self.shared.draining.store(true, Ordering::Release);
        log::info!("draining");
        sleep(Duration::from_millis(self.settings.drain_wait_ms)).await;
        self.shared.refusing.store(true, Ordering::SeqCst);
        let limit = Duration::from_secs(self.settings.drain_limit_s);
        if timeout(limit, self.finish_requests()).await.is_err() {
            log::warn!("drain limit reached with requests in flight; aborting them");
        }
        let leaving = platform::leave(&self.shared);
        if !matches!(timeout(LEAVE_TIMEOUT, leaving).await, Ok(Ok(()))) {
            log::warn!("leaving the view failed; the lease expires if it was not released");
        }
        let [_, admin] = &mut self.servers;
        // Admin connections that are still open after the timeout are closed.
        let _ = timeout(ADMIN_STOP_TIMEOUT, admin.stop()).await;
        self.stop_threads();
        log::info!("stopped");
    }

    /// Stops all threads immediately, as in a crash.
    pub fn kill(mut self) {
        self.stop_threads();
    }

    /// Waits until requests in flight have finished and their responses are sent.
    async fn finish_requests(&mut self) {
        while self.shared.in_flight.load(Ordering::SeqCst) > 0 {
            sleep(POLL_PAUSE).await;
        }
        let [service, _] = &mut self.servers;
        service.stop().await;
    }

    fn stop_threads(&mut self) {
        drop(self.stop_control.take());
        if let Some(runtime) = self.traffic.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.stop_threads();
    }
}

fn member(settings: &VmSettings, addresses: Addresses) -> Member {
    Member {
        id: MemberId(rand::random()),
        vm: settings.vm.clone(),
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
        peer_address: addresses.peer,
        admin_address: addresses.admin,
    }
}

fn traffic_runtime(threads: usize) -> Result<Runtime, Error> {
    Ok(runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()?)
}

fn start_control(
    control: Control,
    receiver: mpsc::Receiver<Command>,
    shared: &Arc<Shared>,
    datagram_socket: Arc<DatagramSocket>,
    settings: &VmSettings,
) -> Result<oneshot::Sender<()>, Error> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (stop, stopped) = oneshot::channel::<()>();
    let shared = Arc::clone(shared);
    let ttl = Duration::from_secs(settings.lease_ttl_s);
    let run = async move {
        for watch in [Watch::View, Watch::Services, Watch::Weights, Watch::Leases] {
            tokio::spawn(watch.follow_prefix(Arc::clone(&shared)));
        }
        tokio::spawn(platform::maintain_lease(Arc::clone(&shared), ttl));
        tokio::spawn(platform::poll_vms(Arc::clone(&shared)));
        tokio::spawn(exchange::receive_datagrams(
            Arc::clone(&shared),
            datagram_socket,
        ));
        tokio::select! {
            () = control.process_commands(receiver) => {}
            _ = stopped => {}
        }
    };
    thread::Builder::new()
        .name("control".into())
        .spawn(move || runtime.block_on(run))?;
    Ok(stop)
}

fn start_traffic(
    runtime: &Runtime,
    shared: &Arc<Shared>,
    peer: TcpListener,
    changes: watch::Receiver<()>,
    received_reports: mpsc::Receiver<Vec<ServiceCrashReport>>,
) {
    let handler_shared = Arc::clone(shared);
    let handler = move |addressed: AddressedRequest| {
        let shared = Arc::clone(&handler_shared);
        async move {
            let AddressedRequest { to, request } = addressed;
            if to.is_some_and(|id| id != shared.me.id) {
                return PeerResponse::Stopping;
            }
            let response = shared.call_control(request, PEER_REQUEST_TIMEOUT).await;
            response.unwrap_or(PeerResponse::Stopping)
        }
    };
    runtime.spawn(wisteriapoint_peer::serve(peer, handler));
    runtime.spawn(traffic::update_routers(Arc::clone(shared), changes));
    runtime.spawn(traffic::tick_routers(Arc::clone(shared)));
    runtime.spawn(crash_reports::forward(Arc::clone(shared), received_reports));
    runtime.spawn(traffic::poll_loads(Arc::clone(shared)));
    runtime.spawn(weights::run_controllers(Arc::clone(shared)));
}

const PEER_REQUEST_TIMEOUT: Duration = Duration::from_secs(150);
