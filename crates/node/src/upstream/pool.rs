//! Pool of idle connections to endpoints.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout};
use wisteriapoint_types::EndpointName;

use super::stream::{EndpointStream, HeadAllowance};
use super::{ResponseBuffer, ResponseMemory};
use crate::dialect::Dialect;
use crate::event;

/// Timeout for opening a connection: many round trips, but far below a route's latency objective.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
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

/// Idle connections by endpoint; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    idle: Rc<RefCell<BTreeMap<EndpointName, Vec<IdleConnection>>>>,
    memory: ResponseMemory,
    /// Time at which a connection to any endpoint was last opened.
    last_opened: Rc<Cell<Option<Instant>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Body>,
    task: AbortHandle,
    head_allowance: HeadAllowance,
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
        self.task.abort();
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
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes an idle connection on which a request may follow the last one from the pool.
    pub(super) fn take_idle(
        &self,
        endpoint: &EndpointName,
        key: &RequestKey,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        let now = Instant::now();
        connections.retain(|idle| idle.expires_at > now && idle.connection.sender.is_ready());
        let index = connections
            .iter()
            .rposition(|idle| key.may_follow(&idle.connection.last_request))?;
        let idle = connections.remove(index);
        Some(self.check_out(endpoint, idle.connection))
    }

    /// Opens a new connection.
    pub(super) async fn connect<D: Dialect>(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
    ) -> io::Result<PooledConnection> {
        let stream = self.open_direct::<D>(endpoint, address).await?;
        stream.set_nodelay(true)?;
        let head_allowance = HeadAllowance::default();
        let stream = EndpointStream::new(stream, head_allowance.clone());
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
        let task = task.abort_handle();
        let connection = Connection {
            sender,
            task,
            head_allowance,
            sent_requests: 0,
            last_request: RequestKey::default(),
        };
        Ok(self.check_out(endpoint, connection))
    }

    async fn open_direct<D: Dialect>(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
    ) -> io::Result<TcpStream> {
        let opened = timeout(CONNECT_TIMEOUT, D::connect(address)).await;
        let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let now = Instant::now();
        let last_opened = match &opened {
            Ok(_) => self.last_opened.replace(Some(now)),
            Err(_) => self.last_opened.get(),
        };
        if let Err(error) = &opened {
            let age = last_opened.map(|at| now.duration_since(at).as_millis());
            event!(
                info,
                "connection to endpoint failed",
                endpoint = endpoint,
                error = error,
                any_opened_before_ms = age.map_or("never".to_owned(), |age| age.to_string()),
            );
        }
        opened
    }

    /// Returns `true` if an endpoint accepts a new connection, which is then kept for reuse.
    pub async fn is_accepting<D: Dialect>(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
    ) -> bool {
        match self.connect::<D>(endpoint, address).await {
            Ok(connection) => {
                connection.return_to_pool(None);
                true
            }
            Err(_) => false,
        }
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
        self.idle.borrow_mut().remove(endpoint);
    }
}

impl PooledConnection {
    /// Records that a request is sent and returns the sender for it.
    pub(super) fn begin_request(&mut self, key: &RequestKey) -> &mut SendRequest<Body> {
        self.connection.sent_requests += 1;
        self.connection.last_request.clone_from(key);
        self.connection.head_allowance.begin();
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

    /// Returns the connection to the pool.
    ///
    /// Closes it if its keep-alive time is too short or the pool holds enough for its endpoint.
    /// `keep_alive_ms` is the time that the endpoint stated.
    pub fn return_to_pool(self, keep_alive_ms: Option<u64>) {
        let keep_alive = match keep_alive_ms {
            Some(keep_alive_ms) => Duration::from_millis(keep_alive_ms),
            None => DEFAULT_KEEP_ALIVE,
        };
        let Some(keep_alive) = keep_alive.checked_sub(KEEP_ALIVE_MARGIN) else {
            return;
        };
        let mut idle = self.pool.idle.borrow_mut();
        let connections = idle.entry(self.endpoint).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            connections.push(IdleConnection {
                connection: self.connection,
                expires_at: Instant::now() + keep_alive,
            });
        }
    }
}
