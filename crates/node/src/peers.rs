//! What nodes ask each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use wisteriapoint_batch::{Page, PartialOutput};
use wisteriapoint_store::Error as StoreError;

use crate::control::feed::{self, FeedRequest, FeedResponse};
use crate::dialect::Dialect;
use crate::event;
use crate::jobs::{self, read};
use crate::node::Node;
use crate::relay::{StoreCall, StoreResponse};

/// Time for a peer's answer beyond what the question may wait for: some hops, and a peer that is
/// late on its share of a core.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Questions that may wait to be taken up.
const MAX_PENDING_REQUESTS: usize = 256;

/// A question about a batch job to the node that owns it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Results from a position on.
    Results {
        /// The batch job.
        job: Box<str>,
        /// The position.
        after: u32,
        /// How long to wait for a result, in milliseconds.
        wait_ms: u64,
    },
    /// The body of an item.
    Body {
        /// The batch job.
        job: Box<str>,
        /// The item.
        item: Box<str>,
    },
    /// Ends the batch job.
    End {
        /// The batch job.
        job: Box<str>,
    },
    /// Asks the node to take the batch job over.
    #[serde(rename = "Adopt")]
    TakeOver {
        /// The batch job.
        job: Box<str>,
        /// Texts of its items so far.
        parts: Vec<PartialOutput>,
    },
    /// Asks the keeper for changes of endpoints.
    Endpoints(FeedRequest),
    /// Asks the node to call the store, which does not serve the asker.
    Store(StoreCall),
}

/// The answer of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse {
    /// Results.
    Page {
        /// The results.
        page: Page,
        /// Whether the node is sure that it owns the batch job; else there may be more results.
        #[serde(rename = "is_sure")]
        is_definite: bool,
    },
    /// A body.
    Body(Vec<u8>),
    /// Done as asked.
    Done,
    /// The owner knows that there is no such thing.
    #[serde(rename = "Nothing")]
    NotFound,
    /// This node does not own the batch job.
    NotOwner,
    /// Endpoints, unless the node can't tell.
    Endpoints(Option<FeedResponse>),
    /// What the store answered.
    Store(Result<StoreResponse, StoreError>),
    /// It could not be done.
    Failed,
}

type PendingRequest = (PeerRequest, oneshot::Sender<PeerResponse>);

/// Answers other nodes until the node ends.
pub fn start<D: Dialect>(node: &Rc<Node<D>>, listener: TcpListener) {
    let (requests, mut pending) = mpsc::channel::<PendingRequest>(MAX_PENDING_REQUESTS);
    // The transport wants a handler that could move between threads; the node's state can't.
    tokio::spawn(wisteriapoint_peer::serve(listener, move |request| {
        let requests = requests.clone();
        async move {
            let (sender, response) = oneshot::channel();
            match requests.send((request, sender)).await {
                Ok(()) => response.await.unwrap_or(PeerResponse::Failed),
                Err(_) => PeerResponse::Failed,
            }
        }
    }));
    let node = node.clone();
    spawn_local(async move {
        while let Some((request, sender)) = pending.recv().await {
            let node = node.clone();
            spawn_local(async move {
                let response = handle(&node, request).await;
                // A failure means that the peer no longer waits.
                let _is_waiting = sender.send(response).is_ok();
            });
        }
    });
}

async fn handle<D: Dialect>(node: &Rc<Node<D>>, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Results {
            job,
            after,
            wait_ms,
        } => match node.jobs.get(&job) {
            Some(owned) => {
                let page = read::own_results(node, &owned, after, wait_ms).await;
                let is_definite = node.is_definite_owner(&job);
                PeerResponse::Page { page, is_definite }
            }
            None => {
                // The asker read in the store that this node owns it.
                jobs::takeover::spawn_acquire_own(node, &job);
                PeerResponse::NotOwner
            }
        },
        PeerRequest::Body { job, item } => match node.jobs.get(&job) {
            Some(owned) => match owned.item_body(&item) {
                Some(body) => PeerResponse::Body(body),
                None => PeerResponse::NotFound,
            },
            None => PeerResponse::NotOwner,
        },
        PeerRequest::End { job } => match node.jobs.get(&job) {
            Some(owned) => match jobs::commit::end_owned(node, &owned).await {
                true => PeerResponse::Done,
                false => PeerResponse::Failed,
            },
            None => PeerResponse::NotOwner,
        },
        PeerRequest::Endpoints(query) => {
            PeerResponse::Endpoints(feed::handle_request(node, &query).await)
        }
        PeerRequest::Store(call) => PeerResponse::Store(node.store.execute_for_peer(call).await),
        PeerRequest::TakeOver { job, parts } => match jobs::take_over(node, &job, parts).await {
            true => PeerResponse::Done,
            false => PeerResponse::Failed,
        },
    }
}

/// Asks another node.
pub async fn call_peer<D: Dialect>(
    node: &Node<D>,
    address: SocketAddr,
    request: &PeerRequest,
) -> Option<PeerResponse> {
    let wait_ms = match request {
        PeerRequest::Results { wait_ms, .. } => *wait_ms,
        PeerRequest::Endpoints(_) => feed::MAX_WAIT_MS,
        _ => 0,
    };
    let timeout = RESPONSE_TIMEOUT + Duration::from_millis(wait_ms);
    match node.peers.call(address, request, timeout).await {
        Ok(response) => Some(response),
        Err(error) => {
            event!(info, "peer did not answer", peer = address, why = error);
            None
        }
    }
}
