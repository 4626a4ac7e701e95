//! Connections to endpoints, kept for reuse while they are idle.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::sync::{Notify, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};
use wisteriapoint_directory::Paths;
use wisteriapoint_peer::{Client, ExchangeMark, SharedStream};
use wisteriapoint_types::EndpointName;

use super::stream::{Activity, EndpointStream, HeadAllowance, Link};
use super::{ResponseBuffer, ResponseMemory};
use crate::clock::Clock;
use crate::dialect::{Dialect, ResponseHead};
use crate::event;
use crate::suspects::KnownPeers;

/// Time without a byte of a response after which the link is checked when the request is given up: more
/// than the times between the events of a stream.
const MIN_SILENCE: Duration = Duration::from_millis(250);
/// Time for which a new connection stays open if the endpoint is alive: a process that ends closes all
/// that it has within some milliseconds.
const ACCEPT_HOLD_TIME: Duration = Duration::from_millis(25);
/// Number of connections that are opened to tell whether an endpoint is alive.
const MAX_ACCEPT_CHECKS: u32 = 2;
/// Keep-alive time assumed for an endpoint that states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Part of the endpoint's keep-alive time in which an idle connection is no longer used: a
/// request that crosses with the endpoint's close may have run.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(800);
/// Most idle connections to one endpoint; eight nodes share the connections that it accepts.
const MAX_IDLE_PER_ENDPOINT: usize = 12;

/// Size of the buffer for what a connection receives, and so of the largest head of a response.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Body of a request to an endpoint.
pub type Body = Full<Bytes>;

/// Connections to endpoints, kept for reuse while they are idle; clones share them.
#[derive(Debug, Clone)]
pub struct Pool {
    idle: Rc<RefCell<BTreeMap<EndpointName, Vec<IdleConnection>>>>,
    open: Rc<RefCell<Vec<Weak<OpenConnection>>>>,
    memory: ResponseMemory,
    /// Client for requests to other nodes, which connect this node to endpoints.
    pub(super) peers: Client,
    known_peers: Rc<KnownPeers>,
    paths: Rc<RefCell<Paths>>,
    clock: Clock,
    /// Whether the node is cut off from the endpoints.
    pub(super) cut_off: watch::Sender<bool>,
    /// Whether direct connections hang rather than fail.
    pub(super) hangs: Rc<Cell<bool>>,
    /// Time at which a connection to any endpoint was last opened directly.
    pub(super) last_opened: Rc<Cell<Option<Instant>>>,
    pub(super) silences: Rc<Silences>,
    probes: Rc<Cell<usize>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Way on which a connection was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Path {
    /// By this node itself.
    Direct,
    /// Through the node at this address.
    Relayed(SocketAddr),
}

/// A request that was given up after a time without a byte of a response.
#[derive(Debug, Clone)]
pub(super) struct Silence {
    pub(super) endpoint: EndpointName,
    pub(super) address: SocketAddr,
    pub(super) path: Path,
}

/// Requests that were given up so, until their links are checked.
#[derive(Debug, Default)]
pub(super) struct Silences {
    reported: RefCell<Vec<Silence>>,
    added: Notify,
}

impl Silences {
    fn report(&self, silence: Silence) {
        self.reported.borrow_mut().push(silence);
        self.added.notify_one();
    }

    /// Waits for reports and returns them.
    pub(super) async fn take(&self) -> Vec<Silence> {
        self.added.notified().await;
        self.reported.take()
    }
}

/// An open connection, in use or idle.
#[derive(Debug)]
struct OpenConnection {
    task: AbortHandle,
    activity: Activity,
    path: Path,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Body>,
    open: Rc<OpenConnection>,
    silences: Rc<Silences>,
    endpoint: EndpointName,
    address: SocketAddr,
    /// `true` while no response is expected.
    is_idle: bool,
    head_allowance: HeadAllowance,
    exchange: ExchangeMark<Link>,
    /// Number of requests that were sent on the connection.
    sent_requests: u32,
    last_request: RequestKey,
}

/// What tells the response to a request from that to the request before it on the connection.
#[derive(Debug, Clone, Default)]
pub(super) struct RequestKey {
    /// Id that the endpoint echoes; empty for a request without an id.
    id: Box<str>,
    is_safe: bool,
}

impl RequestKey {
    pub(super) fn new(id: &str, method: &Method) -> Self {
        Self {
            id: id.into(),
            is_safe: method.is_safe(),
        }
    }

    /// Returns `true` if no response to the request before can pass for the one to this request.
    ///
    /// An endpoint may repeat its last response before the next one. A repeated response to a safe
    /// request without an id is only out of date.
    fn may_follow(&self, last: &Self) -> bool {
        match self.id.is_empty() && last.id.is_empty() {
            true => self.is_safe && last.is_safe,
            false => self.id != last.id,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.open.task.abort();
        if !self.is_idle && self.open.activity.last_at().elapsed() >= MIN_SILENCE {
            self.silences.report(Silence {
                endpoint: self.endpoint.clone(),
                address: self.address,
                path: self.open.path,
            });
        }
    }
}

/// A connection in exclusive use by one request; closed on drop unless it is returned to the pool.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Pool,
    endpoint: EndpointName,
    connection: Connection,
}

impl Pool {
    /// Creates an empty pool of the node at an address, which other nodes may connect to endpoints.
    pub fn new(own: SocketAddr, peers: Client, known_peers: Rc<KnownPeers>, clock: Clock) -> Self {
        Self {
            idle: Rc::default(),
            open: Rc::default(),
            memory: ResponseMemory::new(),
            peers,
            known_peers,
            paths: Rc::new(RefCell::new(Paths::new(own))),
            clock,
            cut_off: watch::channel(false).0,
            hangs: Rc::default(),
            last_opened: Rc::default(),
            silences: Rc::default(),
            probes: Rc::default(),
        }
    }

    /// Sets the most bytes of responses that the node holds.
    pub fn with_max_response_bytes(self, max_bytes: usize) -> Self {
        Self {
            memory: ResponseMemory::with_max_bytes(max_bytes),
            ..self
        }
    }

    /// Returns `true` if this node is cut off from the endpoints, and others are not.
    pub fn is_cut_off(&self) -> bool {
        self.paths().is_cut_off()
    }

    /// Returns a receiver of whether this node is cut off from the endpoints.
    pub fn cut_off_changes(&self) -> watch::Receiver<bool> {
        self.cut_off.subscribe()
    }

    /// Waits until this node becomes cut off from the endpoints.
    pub async fn wait_for_cut_off(&self) {
        let mut cut_off = self.cut_off_changes();
        while cut_off.changed().await.is_ok() {
            if *cut_off.borrow_and_update() {
                return;
            }
        }
    }

    pub(super) fn paths(&self) -> RefMut<'_, Paths> {
        self.paths.borrow_mut()
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the nodes to ask for a connection to an endpoint, in order.
    pub(super) fn relays(&self) -> Vec<SocketAddr> {
        let now_ms = self.now_ms();
        let known = self.known_peers.addresses(now_ms);
        self.paths().relays(now_ms, known)
    }

    fn track(&self, connection: &Rc<OpenConnection>) {
        let mut open = self.open.borrow_mut();
        open.retain(|connection| connection.strong_count() > 0);
        open.push(Rc::downgrade(connection));
    }

    /// Closes the direct connections that have received nothing since a time; returns their number.
    pub(super) fn close_silent_direct(&self, since: Instant) -> usize {
        let open = self.open.borrow();
        let open = open.iter().filter_map(Weak::upgrade);
        let silent = open.filter(|connection| {
            connection.path == Path::Direct && connection.activity.last_at() <= since
        });
        silent.map(|connection| connection.task.abort()).count()
    }

    /// Closes all idle connections, since the way on which they were opened is no longer used.
    pub(super) fn close_all_idle(&self) {
        let idle = self.idle.take();
        drop(idle);
    }

    /// Closes the idle connections that were opened on a path.
    pub(super) fn close_idle_on(&self, path: Path) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.connection.open.path != path);
        }
    }

    /// Returns up to `count` endpoints, with their addresses, to which idle connections exist.
    pub(super) fn idle_endpoints(&self, count: usize) -> Vec<(EndpointName, SocketAddr)> {
        let idle = self.idle.borrow();
        let endpoints = idle
            .iter()
            .filter_map(|(name, idle)| Some((name.clone(), idle.first()?.connection.address)));
        endpoints.take(count).collect()
    }

    /// Returns the next two endpoints, in turn, to which a direct connection is tried.
    pub(super) fn next_probed(&self) -> Vec<(EndpointName, SocketAddr)> {
        let all = self.paths().probed();
        let first = self.probes.get();
        self.probes.set(first.wrapping_add(1));
        let count = all.len().max(1);
        let turn = all.into_iter().cycle().skip(first % count);
        turn.take(2.min(count)).collect()
    }

    /// Removes an idle connection on which a request may follow the last one from the pool.
    pub(super) fn take_idle(
        &self,
        endpoint: &EndpointName,
        key: &RequestKey,
        is_usable: impl Fn(Path) -> bool,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        let now = Instant::now();
        connections.retain(|idle| idle.expires_at > now && idle.connection.sender.is_ready());
        let index = connections.iter().rposition(|idle| {
            key.may_follow(&idle.connection.last_request) && is_usable(idle.connection.open.path)
        })?;
        let idle = connections.remove(index);
        Some(self.check_out(endpoint, idle.connection))
    }

    /// Opens a new connection, through another node if only that works.
    pub(super) async fn connect<D: Dialect>(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
    ) -> io::Result<PooledConnection> {
        let (link, path) = self.open::<D>(endpoint, address).await?;
        self.add(endpoint, address, link, path).await
    }

    /// Opens a new connection of this node itself.
    pub(super) async fn connect_directly<D: Dialect>(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
    ) -> io::Result<PooledConnection> {
        match self.open_direct::<D>(endpoint, address).await {
            Ok((link, path)) => self.add(endpoint, address, link, path).await,
            Err(error) => {
                self.silences.report(Silence {
                    endpoint: endpoint.clone(),
                    address,
                    path: Path::Direct,
                });
                Err(error)
            }
        }
    }

    async fn add(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
        link: Link,
        path: Path,
    ) -> io::Result<PooledConnection> {
        let head_allowance = HeadAllowance::default();
        let activity = Activity::new();
        let link = SharedStream::new(link);
        let exchange = link.mark();
        let stream = EndpointStream::new(link, head_allowance.clone(), activity.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let endpoint_name = endpoint.clone();
        let task = spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(
                    "\"event\":\"endpoint connection failed\",\"endpoint\":\"{endpoint_name}\",\"error\":\"{error}\""
                );
            }
        });
        let open = Rc::new(OpenConnection {
            task: task.abort_handle(),
            activity,
            path,
        });
        self.track(&open);
        let connection = Connection {
            sender,
            open,
            silences: self.silences.clone(),
            endpoint: endpoint.clone(),
            address,
            is_idle: true,
            head_allowance,
            exchange,
            sent_requests: 0,
            last_request: RequestKey::default(),
        };
        Ok(self.check_out(endpoint, connection))
    }

    /// Returns `true` if an endpoint accepts a new connection and leaves it open, or does so again after
    /// it has closed one. A connection that stays open is kept for reuse.
    ///
    /// A process that ends closes its listener last, and with it the connections that it has not
    /// served; one that has too many connections accepts the next one all the same.
    pub async fn is_accepting<D: Dialect>(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
    ) -> bool {
        for _ in 0..MAX_ACCEPT_CHECKS {
            let Ok(connection) = self.connect::<D>(endpoint, address).await else {
                return false;
            };
            sleep(ACCEPT_HOLD_TIME).await;
            if !connection.connection.sender.is_closed() {
                connection.return_to_pool(None);
                return true;
            }
        }
        true
    }

    fn check_out(&self, endpoint: &EndpointName, connection: Connection) -> PooledConnection {
        PooledConnection {
            pool: self.clone(),
            endpoint: endpoint.clone(),
            connection,
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: &EndpointName) {
        let closed = self.idle.borrow_mut().remove(endpoint);
        drop(closed);
    }

    /// Closes the idle connections to an endpoint that is no longer registered.
    pub fn forget(&self, endpoint: &EndpointName) {
        self.close_idle(endpoint);
        self.paths().forget(endpoint);
    }
}

impl PooledConnection {
    /// Records that a request is sent and returns the sender for it.
    pub(super) fn begin_request(&mut self, key: &RequestKey) -> &mut SendRequest<Body> {
        self.connection.sent_requests += 1;
        self.connection.is_idle = false;
        self.connection.open.activity.restart();
        self.connection.last_request.clone_from(key);
        self.connection.head_allowance.begin();
        let marked = self.connection.exchange.begin();
        self.log_unmarked(marked);
        &mut self.connection.sender
    }

    /// Records that the head of the response has been received.
    pub(super) fn end_head(&self) {
        self.connection.head_allowance.end();
    }

    /// Returns an empty buffer for a part of the response of at most `max_bytes`.
    pub fn buffer(&self, max_bytes: usize) -> ResponseBuffer {
        self.pool.memory.buffer(max_bytes)
    }

    /// Returns the number of requests that were sent on the connection.
    pub fn sent_requests(&self) -> u32 {
        self.connection.sent_requests
    }

    fn log_unmarked(&self, marked: io::Result<()>) {
        if let Err(error) = marked {
            event!(
                warn,
                "close of a connection to an endpoint not set",
                endpoint = self.endpoint,
                error = error
            );
        }
    }

    /// Ends the exchange after the response was read in full, and returns the connection to the pool
    /// unless the endpoint closes it.
    pub fn release(self, head: &ResponseHead) {
        match head.closes {
            true => drop(self.into_idle()),
            false => self.return_to_pool(head.keep_alive_ms),
        }
    }

    fn into_idle(mut self) -> Self {
        self.connection.is_idle = true;
        let marked = self.connection.exchange.end();
        self.log_unmarked(marked);
        self
    }

    /// Returns the connection to the pool.
    ///
    /// Closes it if its keep-alive time is too short or the pool holds enough for its endpoint.
    /// `keep_alive_ms` is the time that the endpoint stated.
    pub fn return_to_pool(self, keep_alive_ms: Option<u64>) {
        let this = self.into_idle();
        let keep_alive = match keep_alive_ms {
            Some(keep_alive_ms) => Duration::from_millis(keep_alive_ms),
            None => DEFAULT_KEEP_ALIVE,
        };
        let Some(keep_alive) = keep_alive.checked_sub(KEEP_ALIVE_MARGIN) else {
            return;
        };
        let mut idle = this.pool.idle.borrow_mut();
        let connections = idle.entry(this.endpoint).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            connections.push(IdleConnection {
                connection: this.connection,
                expires_at: Instant::now() + keep_alive,
            });
        }
    }
}
