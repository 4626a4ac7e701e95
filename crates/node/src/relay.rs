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
use crate::peers::{Question, Reply};

/// Time for which a way that failed is not tried first, in milliseconds.
const BAD_WAY: Duration = Duration::from_millis(1_000);
/// Longest wait of a relayed watch: with the time for the call it stays below the two seconds
/// within which a configuration is in force, should the peer vanish meanwhile.
const RELAYED_WAIT: Duration = Duration::from_millis(800);
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
pub enum StoreAnswer {
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
pub struct Relayed<L> {
    direct: L,
    peers: Client,
    shared: Rc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    others: RefCell<Vec<SocketAddr>>,
    direct_bad_until: Cell<Option<Instant>>,
    direct_failed: Notify,
    relay_bad_until: Cell<Option<Instant>>,
}

fn is_bad(until: &Cell<Option<Instant>>) -> bool {
    until.get().is_some_and(|until| Instant::now() < until)
}

impl<L: TransactionalStore> Relayed<L> {
    /// A store that no other node is known to reach yet.
    pub fn new(direct: L, peers: Client) -> Self {
        Self {
            direct,
            peers,
            shared: Rc::default(),
        }
    }

    /// Sets the addresses of the other nodes.
    pub fn set_others(&self, others: Vec<SocketAddr>) {
        self.shared.others.replace(others);
    }

    /// Carries a call of another node out, directly.
    ///
    /// # Errors
    ///
    /// As the call itself.
    pub async fn serve(&self, call: StoreCall) -> Result<StoreAnswer, Error> {
        run(&self.direct, call).await
    }

    async fn call(&self, call: StoreCall) -> Result<StoreAnswer, Error> {
        if is_bad(&self.shared.direct_bad_until)
            && let Some(answer) = self.relay(&call).await
        {
            return answer;
        }
        let answer = self.run_directly(call.clone()).await;
        match &answer {
            Err(error) if !error.is_healthy_response() => {
                let until = Instant::now() + BAD_WAY;
                self.shared.direct_bad_until.set(Some(until));
                // A watch that was cut may have missed a change, which its caller has to read.
                if let StoreCall::Watch(..) = call {
                    return answer;
                }
                self.shared.direct_failed.notify_waiters();
                self.relay(&call).await.unwrap_or(answer)
            }
            _ => answer,
        }
    }

    /// Calls the store; a watch ends as soon as another call fails.
    ///
    /// Its connection may be cut as well and would hear nothing for seconds, while other calls
    /// go on through a peer.
    async fn run_directly(&self, call: StoreCall) -> Result<StoreAnswer, Error> {
        let is_watch = matches!(call, StoreCall::Watch(..));
        tokio::select! {
            answer = run(&self.direct, call) => answer,
            () = self.shared.direct_failed.notified(), if is_watch => {
                Err(Error::Unavailable("another call got no answer".into()))
            }
        }
    }

    /// Asks another node to carry a call out; `None` if that can't be had now.
    ///
    /// A transaction that was already sent may be sent again: its conditions let it take
    /// effect once.
    async fn relay(&self, call: &StoreCall) -> Option<Result<StoreAnswer, Error>> {
        if is_bad(&self.shared.relay_bad_until) {
            return None;
        }
        let others = self.shared.others.borrow().clone();
        let place = rand::random_range(0..others.len().max(1));
        let &peer = others.get(place)?;
        let mut limit = RELAY_TIMEOUT;
        if let StoreCall::Watch(..) = call {
            limit += RELAYED_WAIT;
        }
        let question = Question::Store(call.clone());
        let reply = self.peers.call(peer, &question, limit).await;
        let answer = match reply {
            Ok(Reply::Store(answer)) => answer,
            Ok(_) => Err(Error::Unavailable("the peer did not understand".into())),
            Err(error) => Err(Error::Unavailable(error.to_string().into())),
        };
        match &answer {
            Err(error) if !error.is_healthy_response() => {
                event!(
                    debug,
                    "store not reached through peer",
                    peer = peer,
                    why = error
                );
                self.shared
                    .relay_bad_until
                    .set(Some(Instant::now() + BAD_WAY));
            }
            _ => event!(debug, "store reached through peer", peer = peer),
        }
        Some(answer)
    }
}

async fn run<L: TransactionalStore>(ledger: &L, call: StoreCall) -> Result<StoreAnswer, Error> {
    match call {
        StoreCall::Row(key, freshness) => {
            let (row, at) = ledger.row(&key, freshness).await?;
            Ok(StoreAnswer::Row(row, at))
        }
        StoreCall::Range(prefix, freshness) => {
            let (rows, at) = ledger.range(&prefix, freshness).await?;
            Ok(StoreAnswer::Rows(rows, at))
        }
        StoreCall::Watch(prefix, after, wait_ms) => {
            let wait = Duration::from_millis(wait_ms);
            let (changes, at) = ledger.watch(&prefix, after, wait).await?;
            Ok(StoreAnswer::Changes(changes, at))
        }
        StoreCall::Commit(transaction) => {
            let committed = ledger.commit(&transaction).await?;
            Ok(StoreAnswer::Committed(committed))
        }
        StoreCall::Grant(ttl_ms) => {
            let lease = ledger.grant_lease(Duration::from_millis(ttl_ms)).await?;
            Ok(StoreAnswer::Lease(lease))
        }
        StoreCall::Renew(lease) => ledger.renew_lease(lease).await.map(|()| StoreAnswer::Done),
        StoreCall::End(lease) => ledger.end_lease(lease).await.map(|()| StoreAnswer::Done),
    }
}

fn other<T>() -> Result<T, Error> {
    Err(Error::Malformed("the peer answered another call".into()))
}

impl<L: TransactionalStore> TransactionalStore for Relayed<L> {
    async fn row(&self, key: &str, freshness: Freshness) -> Result<(Option<Row>, Index), Error> {
        match self.call(StoreCall::Row(key.into(), freshness)).await? {
            StoreAnswer::Row(row, at) => Ok((row, at)),
            _ => other(),
        }
    }

    async fn range(&self, prefix: &str, freshness: Freshness) -> Result<(Vec<Row>, Index), Error> {
        match self
            .call(StoreCall::Range(prefix.into(), freshness))
            .await?
        {
            StoreAnswer::Rows(rows, at) => Ok((rows, at)),
            _ => other(),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Index,
        wait: Duration,
    ) -> Result<(Vec<Change>, Index), Error> {
        let wait = match is_bad(&self.shared.direct_bad_until) {
            true => wait.min(RELAYED_WAIT),
            false => wait,
        };
        let call = StoreCall::Watch(prefix.into(), after, wait.as_millis() as u64);
        match self.call(call).await? {
            StoreAnswer::Changes(changes, at) => Ok((changes, at)),
            _ => other(),
        }
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, Error> {
        match self.call(StoreCall::Commit(transaction.clone())).await? {
            StoreAnswer::Committed(committed) => Ok(committed),
            _ => other(),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, Error> {
        match self.call(StoreCall::Grant(ttl.as_millis() as u64)).await? {
            StoreAnswer::Lease(lease) => Ok(lease),
            _ => other(),
        }
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), Error> {
        self.call(StoreCall::Renew(lease)).await.map(drop)
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), Error> {
        self.call(StoreCall::End(lease)).await.map(drop)
    }
}
