//! Calls to the store, relayed through another node while the store does not serve this one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;
use wisteriapoint_peer::{Client, Reply};
use wisteriapoint_store::{
    Change, CommitOutcome, Error, Freshness, Index, LeaseId, Row, Transaction, TransactionalStore,
};

use crate::event;
use crate::peers::{PeerRequest, PeerResponse};

/// Time after a failure during which the direct path is not tried first, and a relayed one not at
/// all.
const FAILED_PATH_BACKOFF: Duration = Duration::from_millis(1_000);
/// Time for which a peer through which a call failed is not used: the store may refuse a part of the
/// nodes for many seconds.
const FAILED_PEER_PAUSE: Duration = Duration::from_secs(3);
/// Number of peers that one call is tried through.
const MAX_RELAY_PEERS: usize = 3;
/// Longest wait of a relayed watch. With [`RELAY_TIMEOUT`] it stays below the two seconds within
/// which a configuration must be in force, even if the peer fails meanwhile.
const MAX_RELAYED_WATCH: Duration = Duration::from_millis(800);
/// Timeout of a relayed call: the peer's own call to a slow store, and the transit of the response.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A call to the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreCall {
    /// Calls [`TransactionalStore::row`].
    Row(Box<str>, Freshness),
    /// Calls [`TransactionalStore::range`].
    Range(Box<str>, Freshness),
    /// Calls [`TransactionalStore::watch`] with a wait in milliseconds.
    Watch(Box<str>, Index, u64),
    /// Calls [`TransactionalStore::commit`].
    Commit(Transaction),
    /// Calls [`TransactionalStore::grant_lease`] with a time to live in milliseconds.
    Grant(u64),
    /// Calls [`TransactionalStore::renew_lease`].
    Renew(LeaseId),
    /// Calls [`TransactionalStore::end_lease`].
    End(LeaseId),
}

/// A response of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreResponse {
    /// A row, if it exists, and the revision of the store.
    Row(Option<Row>, Index),
    /// Rows and the revision from which a watch continues.
    Rows(Vec<Row>, Index),
    /// Changes and the last revision that they cover.
    Changes(Vec<Change>, Index),
    /// Outcome of a transaction.
    Committed(CommitOutcome),
    /// Id of a granted lease.
    Lease(LeaseId),
    /// A lease was renewed or ended.
    Done,
}

/// A store that is called directly, or through another node if the direct call fails.
#[derive(Debug, Clone)]
pub struct RelayedStore<S> {
    direct: S,
    peers: Client,
    shared: Rc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    peer_addresses: RefCell<Vec<SocketAddr>>,
    direct_backoff_until: Cell<Option<Instant>>,
    direct_failed: Notify,
    relay_backoff_until: Cell<Option<Instant>>,
    /// Peers through which a call failed lately, with the time until which they are not used.
    failed_peers: RefCell<BTreeMap<SocketAddr, Instant>>,
}

fn is_backing_off(until: &Cell<Option<Instant>>) -> bool {
    until.get().is_some_and(|until| Instant::now() < until)
}

impl<S: TransactionalStore> RelayedStore<S> {
    /// Wraps a direct client; relays no call until a peer is [set](Self::set_peers) or
    /// [added](Self::add_peer).
    pub fn new(direct: S, peers: Client) -> Self {
        Self {
            direct,
            peers,
            shared: Rc::default(),
        }
    }

    /// Sets the addresses of the nodes through which calls may be relayed.
    pub fn set_peers(&self, addresses: Vec<SocketAddr>) {
        self.shared.peer_addresses.replace(addresses);
    }

    /// Adds the address of a node through which calls may be relayed.
    pub fn add_peer(&self, address: SocketAddr) {
        let mut addresses = self.shared.peer_addresses.borrow_mut();
        if !addresses.contains(&address) {
            addresses.push(address);
        }
    }

    /// Executes a call for another node, without relaying it further.
    ///
    /// # Errors
    ///
    /// Fails as the call itself does.
    pub async fn execute_for_peer(&self, call: StoreCall) -> Result<StoreResponse, Error> {
        execute(&self.direct, &call).await
    }

    async fn call(&self, call: StoreCall) -> Result<StoreResponse, Error> {
        if is_backing_off(&self.shared.direct_backoff_until)
            && let Some(response) = self.relay(&call).await
        {
            return response;
        }
        let direct_error = match self.call_directly(&call).await {
            Err(error) if !error.is_healthy_response() => error,
            response => return response,
        };
        let until = Instant::now() + FAILED_PATH_BACKOFF;
        self.shared.direct_backoff_until.set(Some(until));
        // A failed watch may have missed a change, so its caller must read all rows again.
        if let StoreCall::Watch(..) = call {
            return Err(direct_error);
        }
        self.shared.direct_failed.notify_waiters();
        match self.relay(&call).await {
            Some(response) => response.map_err(|error| error.after(direct_error)),
            None => Err(direct_error),
        }
    }

    /// Calls the store directly; a watch fails as soon as another call fails.
    ///
    /// The connection of the watch may have failed as well and would deliver nothing for seconds,
    /// while other calls succeed through a peer.
    async fn call_directly(&self, call: &StoreCall) -> Result<StoreResponse, Error> {
        let is_watch = matches!(call, StoreCall::Watch(..));
        tokio::select! {
            response = execute(&self.direct, call) => response,
            () = self.shared.direct_failed.notified(), if is_watch => {
                Err(Error::Unavailable("another call got no answer".into()))
            }
        }
    }

    /// Relays a call through one random peer after another; returns `None` if that is not possible now.
    ///
    /// A transaction that was already sent may be sent again: its conditions let it take effect
    /// only once. A call through a peer that did not answer in time is not tried further.
    async fn relay(&self, call: &StoreCall) -> Option<Result<StoreResponse, Error>> {
        if is_backing_off(&self.shared.relay_backoff_until) {
            return None;
        }
        let mut timeout = RELAY_TIMEOUT;
        if let StoreCall::Watch(..) = call {
            timeout += MAX_RELAYED_WATCH;
        }
        let end = Instant::now() + timeout;
        let mut last: Option<Error> = None;
        let mut tried = Vec::new();
        for _ in 0..MAX_RELAY_PEERS {
            let Some(peer) = self
                .shared
                .random_peer(&tried)
                .filter(|_| Instant::now() < end)
            else {
                break;
            };
            tried.push(peer);
            let request = PeerRequest::Store(call.clone());
            let left = end - Instant::now();
            let reply = self.peers.call_for_reply(peer, &request, left).await;
            let response = reply.map_or_else(
                |error| Err(Error::Unavailable(error.to_string().into())),
                relayed_response,
            );
            match response {
                Err(error) if !error.is_healthy_response() => {
                    event!(
                        debug,
                        "store call through peer failed",
                        peer = peer,
                        error = error
                    );
                    self.shared.record_failed_peer(peer);
                    last = Some(match last {
                        Some(earlier) => error.after(earlier),
                        None => error,
                    });
                }
                response => {
                    event!(debug, "store call through peer succeeded", peer = peer);
                    return Some(response);
                }
            }
        }
        let until = Instant::now() + FAILED_PATH_BACKOFF;
        last.map(|error| {
            self.shared.relay_backoff_until.set(Some(until));
            Err(error)
        })
    }
}

impl Shared {
    /// Returns a random peer that has not been tried, one without a recent failure if there is any.
    fn random_peer(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let now = Instant::now();
        let addresses = self.peer_addresses.borrow();
        let failed = self.failed_peers.borrow();
        let is_usable =
            |address: &&SocketAddr| failed.get(address).is_none_or(|until| *until <= now);
        let untried: Vec<_> = addresses
            .iter()
            .filter(|address| !tried.contains(address))
            .collect();
        let usable: Vec<_> = untried.iter().copied().filter(is_usable).collect();
        let candidates = match usable.is_empty() {
            true => untried,
            false => usable,
        };
        let index = rand::random_range(0..candidates.len().max(1));
        candidates.get(index).map(|address| **address)
    }

    fn record_failed_peer(&self, peer: SocketAddr) {
        let now = Instant::now();
        let mut failed = self.failed_peers.borrow_mut();
        failed.retain(|_, until| *until > now);
        failed.insert(peer, now + FAILED_PEER_PAUSE);
    }
}

fn relayed_response(reply: Reply<PeerResponse>) -> Result<StoreResponse, Error> {
    let PeerResponse::Store(response) = reply.response else {
        return Err(Error::Unavailable("the peer did not understand".into()));
    };
    response.map_err(|error| match reply.was_resent {
        true => error.after(Error::Unavailable(
            "the connection to the peer broke".into(),
        )),
        false => error,
    })
}

async fn execute<S: TransactionalStore>(
    store: &S,
    call: &StoreCall,
) -> Result<StoreResponse, Error> {
    match call {
        StoreCall::Row(key, freshness) => {
            let (row, revision) = store.row(key, *freshness).await?;
            Ok(StoreResponse::Row(row, revision))
        }
        StoreCall::Range(prefix, freshness) => {
            let (rows, revision) = store.range(prefix, *freshness).await?;
            Ok(StoreResponse::Rows(rows, revision))
        }
        StoreCall::Watch(prefix, after, wait_ms) => {
            let wait = Duration::from_millis(*wait_ms);
            let (changes, revision) = store.watch(prefix, *after, wait).await?;
            Ok(StoreResponse::Changes(changes, revision))
        }
        StoreCall::Commit(transaction) => {
            let committed = store.commit(transaction).await?;
            Ok(StoreResponse::Committed(committed))
        }
        StoreCall::Grant(ttl_ms) => {
            let lease = store.grant_lease(Duration::from_millis(*ttl_ms)).await?;
            Ok(StoreResponse::Lease(lease))
        }
        StoreCall::Renew(lease) => store
            .renew_lease(*lease)
            .await
            .map(|()| StoreResponse::Done),
        StoreCall::End(lease) => store.end_lease(*lease).await.map(|()| StoreResponse::Done),
    }
}

fn mismatched_response<T>() -> Result<T, Error> {
    Err(Error::Malformed("the peer answered another call".into()))
}

impl<S: TransactionalStore> TransactionalStore for RelayedStore<S> {
    async fn row(&self, key: &str, freshness: Freshness) -> Result<(Option<Row>, Index), Error> {
        match self.call(StoreCall::Row(key.into(), freshness)).await? {
            StoreResponse::Row(row, revision) => Ok((row, revision)),
            _ => mismatched_response(),
        }
    }

    async fn range(&self, prefix: &str, freshness: Freshness) -> Result<(Vec<Row>, Index), Error> {
        match self
            .call(StoreCall::Range(prefix.into(), freshness))
            .await?
        {
            StoreResponse::Rows(rows, revision) => Ok((rows, revision)),
            _ => mismatched_response(),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Index,
        wait: Duration,
    ) -> Result<(Vec<Change>, Index), Error> {
        let wait = match is_backing_off(&self.shared.direct_backoff_until) {
            true => wait.min(MAX_RELAYED_WATCH),
            false => wait,
        };
        let call = StoreCall::Watch(prefix.into(), after, wait.as_millis() as u64);
        match self.call(call).await? {
            StoreResponse::Changes(changes, revision) => Ok((changes, revision)),
            _ => mismatched_response(),
        }
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, Error> {
        match self.call(StoreCall::Commit(transaction.clone())).await? {
            StoreResponse::Committed(committed) => Ok(committed),
            _ => mismatched_response(),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, Error> {
        match self.call(StoreCall::Grant(ttl.as_millis() as u64)).await? {
            StoreResponse::Lease(lease) => Ok(lease),
            _ => mismatched_response(),
        }
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), Error> {
        self.call(StoreCall::Renew(lease)).await.map(drop)
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), Error> {
        self.call(StoreCall::End(lease)).await.map(drop)
    }
}
