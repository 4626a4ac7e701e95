//! Calls to the store through another node, while the store serves others but not this one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;
use wisteriapoint_peer::Client;
use wisteriapoint_store::{
    Change, CommitOutcome, Error, Freshness, Index, LeaseId, Row, Transaction, TransactionalStore,
};

use crate::event;
use crate::peers::{PeerRequest, PeerResponse};

/// Time for which a way that failed is not tried first, in milliseconds.
const FAILED_PATH_BACKOFF: Duration = Duration::from_millis(1_000);
/// Longest wait of a relayed watch: with the time for the call it stays below the two seconds
/// within which a configuration is in force, should the peer vanish meanwhile.
const MAX_RELAYED_WATCH: Duration = Duration::from_millis(800);
/// Time for a relayed call: the peer's own call to a slow store and its way back.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A call to the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreCall {
    /// [`TransactionalStore::row`].
    Row(Box<str>, Freshness),
    /// [`TransactionalStore::range`].
    Range(Box<str>, Freshness),
    /// [`TransactionalStore::watch`] with its wait in milliseconds.
    Watch(Box<str>, Index, u64),
    /// [`TransactionalStore::commit`].
    Commit(Transaction),
    /// [`TransactionalStore::grant_lease`] with its time to live in milliseconds.
    Grant(u64),
    /// [`TransactionalStore::renew_lease`].
    Renew(LeaseId),
    /// [`TransactionalStore::end_lease`].
    End(LeaseId),
}

/// What the store answered.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreResponse {
    /// A row and the revision of the store.
    Row(Option<Row>, Index),
    /// Rows and the revision from which a watch goes on.
    Rows(Vec<Row>, Index),
    /// Changes and the revision up to which they reach.
    Changes(Vec<Change>, Index),
    /// What became of a transaction.
    Committed(CommitOutcome),
    /// A lease.
    Lease(LeaseId),
    /// Done.
    Done,
}

/// A store that is called directly, or through another node where that fails.
#[derive(Debug, Clone)]
pub struct RelayedStore<L> {
    direct: L,
    peers: Client,
    shared: Rc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    peer_addresses: RefCell<Vec<SocketAddr>>,
    direct_backoff_until: Cell<Option<Instant>>,
    direct_failed: Notify,
    relay_backoff_until: Cell<Option<Instant>>,
}

fn is_backing_off(until: &Cell<Option<Instant>>) -> bool {
    until.get().is_some_and(|until| Instant::now() < until)
}

impl<L: TransactionalStore> RelayedStore<L> {
    /// A store that no other node is known to reach yet.
    pub fn new(direct: L, peers: Client) -> Self {
        Self {
            direct,
            peers,
            shared: Rc::default(),
        }
    }

    /// Sets the addresses of the other nodes.
    pub fn set_peers(&self, addresses: Vec<SocketAddr>) {
        self.shared.peer_addresses.replace(addresses);
    }

    /// Carries a call of another node out, directly.
    ///
    /// # Errors
    ///
    /// As the call itself.
    pub async fn execute_for_peer(&self, call: StoreCall) -> Result<StoreResponse, Error> {
        execute(&self.direct, call).await
    }

    async fn call(&self, call: StoreCall) -> Result<StoreResponse, Error> {
        if is_backing_off(&self.shared.direct_backoff_until)
            && let Some(response) = self.relay(&call).await
        {
            return response;
        }
        let response = self.call_directly(call.clone()).await;
        match &response {
            Err(error) if !error.is_healthy_response() => {
                let until = Instant::now() + FAILED_PATH_BACKOFF;
                self.shared.direct_backoff_until.set(Some(until));
                // A watch that was cut may have missed a change, which its caller has to read.
                if let StoreCall::Watch(..) = call {
                    return response;
                }
                self.shared.direct_failed.notify_waiters();
                self.relay(&call).await.unwrap_or(response)
            }
            _ => response,
        }
    }

    /// Calls the store; a watch ends as soon as another call fails.
    ///
    /// Its connection may be cut as well and would hear nothing for seconds, while other calls
    /// go on through a peer.
    async fn call_directly(&self, call: StoreCall) -> Result<StoreResponse, Error> {
        let is_watch = matches!(call, StoreCall::Watch(..));
        tokio::select! {
            response = execute(&self.direct, call) => response,
            () = self.shared.direct_failed.notified(), if is_watch => {
                Err(Error::Unavailable("another call got no answer".into()))
            }
        }
    }

    /// Asks another node to carry a call out; `None` if that can't be had now.
    ///
    /// A transaction that was already sent may be sent again: its conditions let it take
    /// effect once.
    async fn relay(&self, call: &StoreCall) -> Option<Result<StoreResponse, Error>> {
        if is_backing_off(&self.shared.relay_backoff_until) {
            return None;
        }
        let addresses = self.shared.peer_addresses.borrow().clone();
        let index = rand::random_range(0..addresses.len().max(1));
        let &peer = addresses.get(index)?;
        let mut timeout = RELAY_TIMEOUT;
        if let StoreCall::Watch(..) = call {
            timeout += MAX_RELAYED_WATCH;
        }
        let request = PeerRequest::Store(call.clone());
        let response = self.peers.call(peer, &request, timeout).await;
        let response = match response {
            Ok(PeerResponse::Store(response)) => response,
            Ok(_) => Err(Error::Unavailable("the peer did not understand".into())),
            Err(error) => Err(Error::Unavailable(error.to_string().into())),
        };
        match &response {
            Err(error) if !error.is_healthy_response() => {
                event!(
                    debug,
                    "store not reached through peer",
                    peer = peer,
                    why = error
                );
                self.shared
                    .relay_backoff_until
                    .set(Some(Instant::now() + FAILED_PATH_BACKOFF));
            }
            _ => event!(debug, "store reached through peer", peer = peer),
        }
        Some(response)
    }
}

async fn execute<L: TransactionalStore>(
    store: &L,
    call: StoreCall,
) -> Result<StoreResponse, Error> {
    match call {
        StoreCall::Row(key, freshness) => {
            let (row, at) = store.row(&key, freshness).await?;
            Ok(StoreResponse::Row(row, at))
        }
        StoreCall::Range(prefix, freshness) => {
            let (rows, at) = store.range(&prefix, freshness).await?;
            Ok(StoreResponse::Rows(rows, at))
        }
        StoreCall::Watch(prefix, after, wait_ms) => {
            let wait = Duration::from_millis(wait_ms);
            let (changes, at) = store.watch(&prefix, after, wait).await?;
            Ok(StoreResponse::Changes(changes, at))
        }
        StoreCall::Commit(transaction) => {
            let committed = store.commit(&transaction).await?;
            Ok(StoreResponse::Committed(committed))
        }
        StoreCall::Grant(ttl_ms) => {
            let lease = store.grant_lease(Duration::from_millis(ttl_ms)).await?;
            Ok(StoreResponse::Lease(lease))
        }
        StoreCall::Renew(lease) => store.renew_lease(lease).await.map(|()| StoreResponse::Done),
        StoreCall::End(lease) => store.end_lease(lease).await.map(|()| StoreResponse::Done),
    }
}

fn mismatched_response<T>() -> Result<T, Error> {
    Err(Error::Malformed("the peer answered another call".into()))
}

impl<L: TransactionalStore> TransactionalStore for RelayedStore<L> {
    async fn row(&self, key: &str, freshness: Freshness) -> Result<(Option<Row>, Index), Error> {
        match self.call(StoreCall::Row(key.into(), freshness)).await? {
            StoreResponse::Row(row, at) => Ok((row, at)),
            _ => mismatched_response(),
        }
    }

    async fn range(&self, prefix: &str, freshness: Freshness) -> Result<(Vec<Row>, Index), Error> {
        match self
            .call(StoreCall::Range(prefix.into(), freshness))
            .await?
        {
            StoreResponse::Rows(rows, at) => Ok((rows, at)),
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
            StoreResponse::Changes(changes, at) => Ok((changes, at)),
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
