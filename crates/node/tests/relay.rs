//! Errors of store calls that are relayed through a peer.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wisteriapoint_node::peers::{PeerRequest, PeerResponse};
use wisteriapoint_node::relay::{RelayedStore, StoreCall, StoreResponse};
use wisteriapoint_peer::{Client, PROTOCOL_VERSION};
use wisteriapoint_store::{
    Change, CommitOutcome, Error, Freshness, Index, LeaseId, Row, Transaction, TransactionalStore,
};

/// A store that refuses every call.
#[derive(Debug, Clone)]
struct RefusingStore;

fn refused<T>() -> Result<T, Error> {
    Err(Error::Refused("refused".into()))
}

impl TransactionalStore for RefusingStore {
    async fn row(&self, _: &str, _: Freshness) -> Result<(Option<Row>, Index), Error> {
        refused()
    }

    async fn range(&self, _: &str, _: Freshness) -> Result<(Vec<Row>, Index), Error> {
        refused()
    }

    async fn watch(&self, _: &str, _: Index, _: Duration) -> Result<(Vec<Change>, Index), Error> {
        refused()
    }

    async fn commit(&self, _: &Transaction) -> Result<CommitOutcome, Error> {
        refused()
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, Error> {
        refused()
    }

    async fn renew_lease(&self, _: LeaseId) -> Result<(), Error> {
        refused()
    }

    async fn end_lease(&self, _: LeaseId) -> Result<(), Error> {
        refused()
    }
}

async fn read_call(stream: &mut TcpStream) -> io::Result<StoreCall> {
    let mut header = [0; 5];
    stream.read_exact(&mut header).await?;
    let [_, length @ ..] = header;
    let mut body = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut body).await?;
    match postcard::from_bytes(&body) {
        Ok(PeerRequest::Store(call)) => Ok(call),
        other => panic!("not a store call: {other:?}"),
    }
}

async fn respond(stream: &mut TcpStream, response: Result<StoreResponse, Error>) -> io::Result<()> {
    let body = postcard::to_stdvec(&PeerResponse::Store(response)).unwrap();
    let mut frame = vec![PROTOCOL_VERSION];
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(body);
    stream.write_all(&frame).await
}

/// Guards against a definite error for a commit that a peer received before its connection broke,
/// and refused when it was sent again: the peer may have executed the first copy.
#[tokio::test]
async fn a_commit_that_a_peer_refuses_when_it_is_resent_is_ambiguous() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store = RelayedStore::new(RefusingStore, Client::new());
    store.set_peers(vec![listener.local_addr().unwrap()]);
    let peer = async {
        let (mut first, _) = listener.accept().await?;
        read_call(&mut first).await?;
        respond(&mut first, Ok(StoreResponse::Done)).await?;
        let received = read_call(&mut first).await?;
        drop(first);
        let (mut second, _) = listener.accept().await?;
        let resent = read_call(&mut second).await?;
        respond(&mut second, refused()).await?;
        Ok::<_, io::Error>([received, resent])
    };
    let calls = async {
        store.renew_lease(LeaseId(1)).await.unwrap();
        let transaction = Transaction::new().with_put("key", b"value".to_vec());
        store.commit(&transaction).await.unwrap_err()
    };
    let (received, error) = tokio::join!(peer, calls);
    let received = received.unwrap();
    assert!(matches!(
        received,
        [StoreCall::Commit(_), StoreCall::Commit(_)]
    ));
    assert!(error.may_have_taken_effect(), "{error}");
}

/// Guards against an ambiguous error for a commit that was never sent to the store: its caller could
/// not be told to retry.
#[tokio::test]
async fn a_commit_that_a_peer_refuses_at_once_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store = RelayedStore::new(RefusingStore, Client::new());
    store.set_peers(vec![listener.local_addr().unwrap()]);
    let peer = async {
        let (mut stream, _) = listener.accept().await?;
        read_call(&mut stream).await?;
        respond(&mut stream, refused()).await
    };
    let transaction = Transaction::new().with_put("key", b"value".to_vec());
    let (sent, committed) = tokio::join!(peer, store.commit(&transaction));
    sent.unwrap();
    assert!(!committed.unwrap_err().may_have_taken_effect());
}

/// The load: the store refuses this node and some of its peers. Guards against a lease that is lost as a
/// renewal meets such a peer, and no other is tried for a second.
#[tokio::test]
async fn a_call_goes_through_another_peer_if_the_store_refuses_the_first() {
    let store = RelayedStore::new(RefusingStore, Client::new());
    let mut peers = Vec::new();
    for is_refused in [true, true, false] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        peers.push(listener.local_addr().unwrap());
        tokio::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                tokio::spawn(async move {
                    while read_call(&mut stream).await.is_ok() {
                        let response = match is_refused {
                            true => refused(),
                            false => Ok(StoreResponse::Done),
                        };
                        if respond(&mut stream, response).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
    store.set_peers(peers);
    for _ in 0..20 {
        store.renew_lease(LeaseId(1)).await.unwrap();
    }
}
