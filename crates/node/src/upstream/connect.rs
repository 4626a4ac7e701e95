//! Opening of connections to endpoints: directly, or through another node if only that works.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use wisteriapoint_directory::paths::{Change, Way};
use wisteriapoint_peer::TunnelStream;
use wisteriapoint_types::EndpointName;

use super::Pool;
use super::pool::{Path, Silence};
use super::stream::Link;
use crate::dialect::Dialect;
use crate::event;
use crate::peers::{PeerRequest, PeerResponse};

/// Timeout for opening a connection: many round trips, but far below a route's latency objective.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which another node is asked while a direct connection is being opened: several round
/// trips between regions, and a part of a latency objective.
const HEDGE_DELAY: Duration = Duration::from_millis(40);
/// Time in which a node opens a connection for another one. Its answer that the endpoint is not reached
/// must arrive within [`RELAY_TIMEOUT`], which tells a silent endpoint from a silent node.
const RELAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for the answer of a node that is asked for a connection.
const RELAY_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of nodes that are asked for one connection: as many as answer within [`CONNECT_TIMEOUT`].
const MAX_RELAYS: usize = 5;
/// Interval at which direct connections are tried while the node is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two checks of links on which requests got no answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of further endpoints that are checked after a request got no answer.
const MAX_CHECKED_ENDPOINTS: usize = 2;
/// Time without a byte after which an open connection counts as lost once the node is cut off and new
/// connections hang: an engine sends several events in it.
const SILENT_LINK_TIME: Duration = Duration::from_millis(300);

/// What a node did with a request to connect another one to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectOutcome {
    /// The connection is open.
    Connected,
    /// The node does not reach the endpoint.
    Unreached,
    /// The node connects no others: it is cut off itself, stopping, or has connected too many.
    Unavailable,
}

/// Why no other node connected to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayFailure {
    /// Another node did not reach the endpoint either.
    Unreached,
    /// No node answered.
    NoPeer,
}

impl Pool {
    /// Opens a connection on the way that is likely to work.
    pub(super) async fn open<D: Dialect>(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
    ) -> io::Result<(Link, Path)> {
        let now_ms = self.now_ms();
        let way = self.paths().way(now_ms, endpoint, address);
        match way {
            Way::Direct => self.open_hedged::<D>(endpoint, address).await,
            Way::DirectOnly => self.open_direct::<D>(endpoint, address).await,
            Way::Relayed => match self.open_relayed(endpoint, address).await {
                Ok(opened) => Ok(opened),
                Err(RelayFailure::Unreached) if self.is_cut_off() => {
                    Err(io::Error::other("no node reaches the endpoint"))
                }
                Err(_) => self.open_direct::<D>(endpoint, address).await,
            },
        }
    }

    /// Opens a direct connection, and one through another node if that takes long or fails.
    async fn open_hedged<D: Dialect>(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
    ) -> io::Result<(Link, Path)> {
        let direct = self.open_direct::<D>(endpoint, address);
        tokio::pin!(direct);
        let early = timeout(HEDGE_DELAY, &mut direct).await.ok();
        self.hangs.set(early.is_none());
        let relayed = self.open_relayed(endpoint, address);
        tokio::pin!(relayed);
        let (direct_error, relayed) = match early {
            Some(Ok(opened)) => return Ok(opened),
            Some(Err(error)) => (error, relayed.await),
            None => tokio::select! {
                opened = &mut direct => match opened {
                    Ok(opened) => return Ok(opened),
                    Err(error) => (error, relayed.await),
                },
                relayed = &mut relayed => match relayed {
                    Ok(opened) => return Ok(opened),
                    Err(failure) => match direct.await {
                        Ok(opened) => return Ok(opened),
                        Err(error) => (error, Err(failure)),
                    },
                },
            },
        };
        relayed.map_err(|_| {
            self.paths().record_unreached(self.now_ms(), endpoint);
            direct_error
        })
    }

    /// Opens a connection without the help of other nodes.
    pub(super) async fn open_direct<D: Dialect>(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
    ) -> io::Result<(Link, Path)> {
        let opened = timeout(CONNECT_TIMEOUT, connect::<D>(address)).await;
        let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let now = Instant::now();
        match opened {
            Ok(stream) => {
                self.last_opened.set(Some(now));
                let change = self.paths().record_direct(self.now_ms(), endpoint);
                self.apply_change(change);
                Ok((Link::Direct(stream), Path::Direct))
            }
            Err(error) => {
                self.paths().record_direct_failure();
                let last_opened = self.last_opened.get();
                let age = last_opened.map(|at| now.duration_since(at).as_millis());
                event!(
                    info,
                    "connection to endpoint failed",
                    endpoint = endpoint,
                    error = error,
                    any_opened_before_ms = age.map_or("never".to_owned(), |age| age.to_string()),
                );
                Err(error)
            }
        }
    }

    /// Opens a connection through one of the other nodes, asked one after the other.
    async fn open_relayed(
        &self,
        endpoint: &EndpointName,
        address: SocketAddr,
    ) -> Result<(Link, Path), RelayFailure> {
        let mut relays = self.relays().into_iter().take(MAX_RELAYS);
        let mut unreached_by = Vec::new();
        let mut asked = JoinSet::new();
        loop {
            if let Some(peer) = relays.next() {
                let (pool, endpoint) = (self.clone(), endpoint.clone());
                asked.spawn_local(
                    async move { (peer, pool.ask_peer(peer, endpoint, address).await) },
                );
            }
            let joined = tokio::select! {
                joined = asked.join_next() => joined,
                () = sleep(HEDGE_DELAY), if relays.len() > 0 => continue,
            };
            match joined {
                Some(Ok((peer, Some((ConnectOutcome::Connected, stream))))) => {
                    self.record_relayed(endpoint, peer, &unreached_by);
                    return Ok((Link::Relayed(stream), Path::Relayed(peer)));
                }
                Some(Ok((peer, Some((ConnectOutcome::Unreached, _))))) => {
                    self.paths().record_peer_unreached(self.now_ms(), peer);
                    unreached_by.push(peer);
                }
                Some(Ok((peer, _))) => self.paths().record_peer_failure(self.now_ms(), peer),
                Some(Err(error)) => event!(error, "request to peer failed", error = error),
                None if relays.len() > 0 => {}
                None if unreached_by.is_empty() => return Err(RelayFailure::NoPeer),
                None => return Err(RelayFailure::Unreached),
            }
        }
    }

    async fn ask_peer(
        &self,
        peer: SocketAddr,
        endpoint: EndpointName,
        address: SocketAddr,
    ) -> Option<(ConnectOutcome, TunnelStream)> {
        let request = PeerRequest::Connect { endpoint, address };
        let opened = self.peers.open_tunnel(peer, &request, RELAY_TIMEOUT).await;
        match opened {
            Ok((PeerResponse::Connect(outcome), stream)) => Some((outcome, stream)),
            Ok(_) => None,
            Err(error) => {
                event!(info, "request to peer failed", peer = peer, error = error);
                None
            }
        }
    }

    fn record_relayed(
        &self,
        endpoint: &EndpointName,
        peer: SocketAddr,
        unreached_by: &[SocketAddr],
    ) {
        event!(
            debug,
            "connected to endpoint through another node",
            endpoint = endpoint,
            peer = peer
        );
        let now_ms = self.now_ms();
        let mut paths = self.paths();
        for &other in unreached_by {
            paths.record_peer_failure(now_ms, other);
        }
        let change = paths.record_relayed(now_ms, endpoint, peer);
        drop(paths);
        self.apply_change(change);
    }

    /// Opens a direct connection for another node; `None` if the endpoint is not reached.
    pub(crate) async fn open_for_peer<D: Dialect>(&self, address: SocketAddr) -> Option<TcpStream> {
        let opened = timeout(RELAY_CONNECT_TIMEOUT, connect::<D>(address)).await;
        opened.ok()?.ok()
    }

    fn apply_change(&self, change: Option<Change>) {
        match change {
            Some(Change::CutOff) => {
                event!(
                    warn,
                    "cut off from the endpoints; connecting through other nodes",
                    hangs = self.hangs.get()
                );
                self.close_all_idle();
                if self.hangs.get() {
                    spawn_local(close_silent(self.clone(), Instant::now()));
                }
                self.cut_off.send_replace(true);
            }
            Some(Change::Returned { after_ms }) => {
                event!(info, "endpoints reached again", after_ms = after_ms);
                self.close_all_idle();
                self.cut_off.send_replace(false);
            }
            None => {}
        }
    }
}

async fn connect<D: Dialect>(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = D::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Closes the direct connections on which nothing arrives after the node was cut off.
async fn close_silent(pool: Pool, cut_off_at: Instant) {
    sleep(SILENT_LINK_TIME).await;
    let closed = pool.close_silent_direct(cut_off_at);
    event!(
        info,
        "silent connections to endpoints closed",
        count = closed
    );
}

/// Checks links on which requests got no answer, and tries direct connections while the node is cut
/// off, until the task is dropped.
pub async fn watch_links<D: Dialect>(pool: Pool) {
    let mut cut_off = pool.cut_off_changes();
    let mut next_check = Instant::now();
    let mut next_probe = Instant::now();
    loop {
        tokio::select! {
            silences = pool.silences.take() => {
                let direct = pool.handle_silences(silences);
                if !direct.is_empty() && Instant::now() >= next_check {
                    next_check = Instant::now() + CHECK_INTERVAL;
                    spawn_local(check_links::<D>(pool.clone(), direct));
                }
            }
            // The sender lives as long as the pool.
            _changed = cut_off.changed() => next_probe = Instant::now() + PROBE_INTERVAL,
            () = sleep_until(next_probe), if pool.is_cut_off() => {
                next_probe = Instant::now() + PROBE_INTERVAL;
                probe::<D>(&pool).await;
            }
        }
    }
}

impl Pool {
    /// Closes connections on which requests are likely to get no answer; returns the endpoints that did not
    /// answer on a direct one.
    fn handle_silences(&self, silences: Vec<Silence>) -> BTreeMap<EndpointName, SocketAddr> {
        let mut direct = BTreeMap::new();
        for silence in silences {
            match silence.path {
                Path::Direct => {
                    self.close_idle(&silence.endpoint);
                    direct.insert(silence.endpoint, silence.address);
                }
                Path::Relayed(peer) => {
                    self.paths().record_peer_failure(self.now_ms(), peer);
                    self.close_idle_on(silence.path);
                }
            }
        }
        direct
    }
}

/// Opens new connections to endpoints that did not answer and to a few others, which tells slow endpoints
/// from lost links.
async fn check_links<D: Dialect>(pool: Pool, mut endpoints: BTreeMap<EndpointName, SocketAddr>) {
    endpoints.extend(pool.idle_endpoints(MAX_CHECKED_ENDPOINTS));
    let mut checks = JoinSet::new();
    for (endpoint, address) in endpoints {
        let pool = pool.clone();
        checks.spawn_local(async move {
            // A failure is logged, and counts for the way to the endpoint.
            if let Ok(connection) = pool.connect::<D>(&endpoint, address).await {
                connection.return_to_pool(None);
            }
        });
    }
    checks.join_all().await;
}

/// Tries direct connections to two endpoints.
async fn probe<D: Dialect>(pool: &Pool) {
    let probed = pool.next_probed();
    for (endpoint, address) in probed {
        let opened = pool.open_direct::<D>(&endpoint, address).await;
        if opened.is_err() || !pool.is_cut_off() {
            return;
        }
    }
}
