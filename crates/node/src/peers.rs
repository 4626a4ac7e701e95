//! Requests between nodes and their responses.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use wisteriapoint_batch::{Owner, Page, PartialOutput, TakeOverReason};
use wisteriapoint_directory::{Permit, Priority, RateLimit, StreamRecord};
use wisteriapoint_duties::{CoordinationRequest, CoordinationResponse};
use wisteriapoint_peer::{Answer, serve_with_tunnels};
use wisteriapoint_route::{CrashReport, SilentRun};
use wisteriapoint_store::Error as StoreError;
use wisteriapoint_types::{Digest, EndpointName, hash64};

use crate::control::feed::{self, FeedRequest, FeedResponse};
use crate::control::leaving;
use crate::dialect::Dialect;
use crate::event;
use crate::jobs::takeover::{Room, TakeOver};
use crate::jobs::{self, Lookup, SubmitOutcome, read};
use crate::node::{Node, Stage};
use crate::relay::{StoreCall, StoreResponse};
use crate::upstream::ConnectOutcome;
use crate::{limits, streams, suspects};

/// Time for a peer's response beyond the wait that the request allows: some network hops, and a
/// peer whose process waits for CPU time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for a peer's response to a call about crash suspects, for which a caller's request waits:
/// many network hops.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Capacity of the queue of requests from peers.
const MAX_PENDING_REQUESTS: usize = 256;

/// A request from one node to another; those about a batch job go to the node that owns it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Reads results of a batch job.
    Results {
        /// Id of the batch job.
        job: Box<str>,
        /// Position of the first result to return.
        after: u32,
        /// Time to wait for a result, in milliseconds.
        wait_ms: u64,
    },
    /// Reads the body of an item.
    Body {
        /// Id of the batch job.
        job: Box<str>,
        /// Id of the item.
        item: Box<str>,
    },
    /// Ends a batch job.
    End {
        /// Id of the batch job.
        job: Box<str>,
    },
    /// Asks the node to take a batch job over; sent by an earlier build, and to one.
    #[serde(rename = "Adopt")]
    TakeOver {
        /// Id of the batch job.
        job: Box<str>,
        /// Partial outputs of its unfinished items.
        parts: Vec<PartialOutput>,
    },
    /// Asks the leader for endpoint changes.
    Endpoints(FeedRequest),
    /// Asks the node to call the store, which does not serve the requester.
    Store(StoreCall),
    /// Reports crashes of endpoints.
    Crashes {
        /// Address at which the sender accepts requests of peers.
        from: SocketAddr,
        /// The crashes.
        reports: Vec<CrashReport>,
    },
    /// Requests reports of all crashes, and introduces the sender.
    CrashHistory {
        /// Address at which the sender accepts requests of peers.
        from: SocketAddr,
    },
    /// Asks to keep an endpoint for a crash suspect.
    RunIsolated {
        /// Digest of the suspect.
        digest: Digest,
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// Reports that an endpoint completed a crash suspect.
    Completed(Digest),
    /// Reports that a crash suspect no longer needs an endpoint.
    EndIsolated(Digest),
    /// Requests a permit for a request to an endpoint with a limit.
    Permit {
        /// The endpoint.
        endpoint: EndpointName,
        /// Its limit.
        limit: RateLimit,
        /// Precedence of the request.
        priority: Priority,
    },
    /// Tells the limit of an endpoint.
    LimitChanged {
        /// The endpoint.
        endpoint: EndpointName,
        /// Its limit; `None` if it has ended.
        limit: Option<RateLimit>,
    },
    /// Tells what began a stream.
    StreamBegan {
        /// Digest of the id of the attempt that brings its first event.
        attempt: Digest,
        /// What began it.
        record: StreamRecord,
    },
    /// Asks what began a stream, by the same digest.
    StreamRecord(Digest),
    /// Tells that an endpoint is leaving.
    EndpointLeaving {
        /// The endpoint.
        endpoint: EndpointName,
        /// Start of the instance that said so, in Unix milliseconds.
        born_unix_ms: u64,
    },
    /// Asks the node to connect the requester to an endpoint, on the connection of this request.
    Connect {
        /// The endpoint.
        endpoint: EndpointName,
        /// Its address.
        address: SocketAddr,
    },
    /// Tells the holder of the duties what the sender counts, and asks for the newest configuration.
    Coordinate(CoordinationRequest),
    /// Submits a batch job to the node that is to own it.
    Submit {
        /// Id of the batch job.
        job: Box<str>,
        /// Host that selects its route.
        host: Box<str>,
        /// Path under which it was submitted.
        path: Box<str>,
        /// Workspace that submitted it.
        workspace: Option<Box<str>>,
        /// Request body as received.
        body: Vec<u8>,
    },
    /// Asks whether the node owns a batch job; one that does not looks for it nowhere.
    Owns {
        /// Id of the batch job.
        job: Box<str>,
    },
    /// Asks how much memory the node has free for batch jobs.
    FreeMemory,
    /// Asks to watch whether an endpoint has crashed that did not answer a request, in case the sender ends.
    WatchSilent {
        /// The endpoint.
        endpoint: EndpointName,
        /// The run of the request.
        run: SilentRun,
    },
    /// Asks the node to take a batch job over for a reason; an earlier build does not know this request.
    TakeOverFrom {
        /// Id of the batch job.
        job: Box<str>,
        /// Partial outputs of its unfinished items.
        parts: Vec<PartialOutput>,
        /// Why it may be taken from its owner.
        reason: TakeOverReason,
    },
}

/// The response to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse {
    /// Results of a batch job.
    Page {
        /// The page of results.
        page: Page,
        /// Whether the node definitely owns the batch job; if not, there may be more results.
        #[serde(rename = "is_sure")]
        is_definite: bool,
    },
    /// Body of an item.
    Body(Vec<u8>),
    /// The request has been executed.
    Done,
    /// The node owns the batch job, which has no such item.
    #[serde(rename = "Nothing")]
    NotFound,
    /// This node does not own the batch job.
    NotOwner,
    /// Endpoint changes; `None` if the node has no current view of the endpoints.
    Endpoints(Option<FeedResponse>),
    /// Response of the store.
    Store(Result<StoreResponse, StoreError>),
    /// The request could not be executed.
    Failed,
    /// Crashes of endpoints.
    Crashes(Vec<CrashReport>),
    /// The reports are recorded. Contains those of their endpoints at which the node runs callers'
    /// requests, or has run some until the crash.
    CrashesRecorded(Vec<EndpointName>),
    /// Whether a crash suspect can run isolated.
    RunIsolated {
        /// `true` if the endpoint is kept for another suspect, or the suspect runs elsewhere.
        is_conflicting: bool,
        /// Number of callers' requests that the node runs at the endpoint.
        running: u32,
        /// The crashes of the suspect.
        reports: Vec<CrashReport>,
    },
    /// Decision on a permit.
    Permit(Permit),
    /// What began a stream; `None` if the node does not know it.
    StreamRecord(Option<StreamRecord>),
    /// Whether the connection now leads to the endpoint.
    Connect(ConnectOutcome),
    /// The newest configuration, and which counts are final.
    Coordinated(CoordinationResponse),
    /// Outcome of a submission, and the node that stored it.
    Submitted(SubmitOutcome, Owner),
    /// The node owns the batch job, which this workspace submitted.
    Owns {
        /// The node.
        owner: Owner,
        /// The workspace.
        workspace: Option<Box<str>>,
    },
    /// Memory that the node has free for batch jobs.
    FreeMemory {
        /// Size in bytes; 0 if it takes none.
        bytes: usize,
    },
    /// The batch job was not taken over, as its owner may be back.
    ReasonLost,
}

type PendingRequest = (PeerRequest, oneshot::Sender<Answer<PeerResponse>>);

/// Starts to serve requests of other nodes.
pub fn start<D: Dialect>(node: &Rc<Node<D>>, listener: TcpListener) {
    let (requests, mut pending) = mpsc::channel::<PendingRequest>(MAX_PENDING_REQUESTS);
    // The transport needs a handler that is `Send`, which the node's state is not.
    tokio::spawn(serve_with_tunnels(listener, move |request| {
        let requests = requests.clone();
        async move {
            const FAILED: Answer<PeerResponse> = Answer::Response(PeerResponse::Failed);
            let (sender, response) = oneshot::channel();
            match requests.send((request, sender)).await {
                Ok(()) => response.await.unwrap_or(FAILED),
                Err(_) => FAILED,
            }
        }
    }));
    let node = node.clone();
    spawn_local(async move {
        while let Some((request, sender)) = pending.recv().await {
            let node = node.clone();
            spawn_local(async move {
                let answer = match request {
                    PeerRequest::Connect { endpoint, address } => {
                        connect_peer(&node, &endpoint, address).await
                    }
                    request => Answer::Response(handle(&node, request).await),
                };
                // Fails if the peer no longer waits.
                let _is_waiting = sender.send(answer).is_ok();
            });
        }
    });
}

/// Connects another node to an endpoint, unless this one is cut off itself, stopping, or connects too
/// many.
async fn connect_peer<D: Dialect>(
    node: &Rc<Node<D>>,
    endpoint: &EndpointName,
    address: SocketAddr,
) -> Answer<PeerResponse> {
    let refuse = |outcome| Answer::Response(PeerResponse::Connect(outcome));
    let permit = match node.tunnels.clone().try_acquire_owned() {
        Ok(permit) if node.stage.get() != Stage::Stopping && !node.pool.is_cut_off() => permit,
        _ => return refuse(ConnectOutcome::Unavailable),
    };
    let opened = node.pool.open_for_peer::<D>(address).await;
    event!(
        debug,
        "connection to endpoint for another node",
        endpoint = endpoint,
        is_open = opened.is_some()
    );
    match opened {
        Some(target) => Answer::Tunnel {
            response: PeerResponse::Connect(ConnectOutcome::Connected),
            target,
            permit,
        },
        None => refuse(ConnectOutcome::Unreached),
    }
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
                // The requester read in the store that this node owns the batch job.
                jobs::takeover::spawn_acquire_own(node, &job);
                PeerResponse::NotOwner
            }
        },
        PeerRequest::Body { job, item } => match node.jobs.get(&job) {
            Some(owned) => match read::own_body(node, &owned, &item).await {
                Lookup::Found(body) => PeerResponse::Body(body.into()),
                Lookup::NotFound => PeerResponse::NotFound,
                Lookup::Unavailable(_) => PeerResponse::Failed,
            },
            None => PeerResponse::NotOwner,
        },
        PeerRequest::End { job } => match node.jobs.get(&job) {
            Some(_) => match jobs::end::end(node, ("", &job)).await {
                Lookup::Found(()) => PeerResponse::Done,
                Lookup::NotFound | Lookup::Unavailable(_) => PeerResponse::Failed,
            },
            None => PeerResponse::NotOwner,
        },
        PeerRequest::Endpoints(query) => {
            PeerResponse::Endpoints(feed::handle_request(node, &query).await)
        }
        PeerRequest::Store(call) => PeerResponse::Store(node.store.execute_for_peer(call).await),
        PeerRequest::Crashes { from, reports } => {
            node.suspects.peers.add(node.now_ms(), from);
            suspects::apply_reports(node, from, &reports);
            let endpoints = reports.into_iter().map(|report| report.endpoint);
            PeerResponse::CrashesRecorded(
                endpoints
                    .filter(|endpoint| node.suspects.running(endpoint) > 0)
                    .collect(),
            )
        }
        PeerRequest::CrashHistory { from } => {
            node.suspects.peers.add(node.now_ms(), from);
            PeerResponse::Crashes(node.suspects.history(node.now_ms()))
        }
        PeerRequest::RunIsolated { digest, endpoint } => PeerResponse::RunIsolated {
            is_conflicting: !node
                .suspects
                .keep_for_peer(node.now_ms(), digest, &endpoint),
            running: node.suspects.running(&endpoint),
            reports: node.suspects.reports(node.now_ms(), digest),
        },
        PeerRequest::Completed(digest) => {
            suspects::apply_completion(node, digest);
            PeerResponse::Done
        }
        PeerRequest::EndIsolated(digest) => {
            node.suspects.release(digest);
            PeerResponse::Done
        }
        PeerRequest::Permit {
            endpoint,
            limit,
            priority,
        } => PeerResponse::Permit(limits::decide_permit(node, &endpoint, limit, priority)),
        PeerRequest::LimitChanged { endpoint, limit } => {
            limits::apply_told_limit(node, &endpoint, limit);
            PeerResponse::Done
        }
        PeerRequest::StreamBegan { attempt, record } => {
            node.streams.insert(node.now_ms(), attempt, record);
            PeerResponse::Done
        }
        PeerRequest::StreamRecord(attempt) => {
            PeerResponse::StreamRecord(node.streams.get(node.now_ms(), attempt))
        }
        PeerRequest::EndpointLeaving {
            endpoint,
            born_unix_ms,
        } => {
            leaving::apply(node, &endpoint, born_unix_ms, "peer", "");
            PeerResponse::Done
        }
        PeerRequest::Coordinate(request) => {
            PeerResponse::Coordinated(node.coordination.handle(&**node, request))
        }
        PeerRequest::Submit {
            job,
            host,
            path,
            workspace,
            body,
        } => {
            let place = (&*host, &*path);
            let outcome =
                jobs::submit_for_peer(node, &job, place, workspace.as_deref(), body.into()).await;
            PeerResponse::Submitted(outcome, node.owner.clone())
        }
        PeerRequest::Owns { job } => match node.jobs.get(&job) {
            Some(owned) => PeerResponse::Owns {
                owner: node.owner.clone(),
                workspace: owned.workspace.clone(),
            },
            None => PeerResponse::NotOwner,
        },
        // Handled before, as it also needs the connection of the request.
        PeerRequest::Connect { .. } => PeerResponse::Failed,
        PeerRequest::TakeOver { job, parts } => {
            match jobs::take_over(node, &job, parts, Room::Required, None).await {
                TakeOver::Settled => PeerResponse::Done,
                // An earlier build knows no other response.
                TakeOver::Failed | TakeOver::ReasonLost => PeerResponse::Failed,
            }
        }
        PeerRequest::TakeOverFrom { job, parts, reason } => {
            match jobs::take_over(node, &job, parts, Room::Required, Some(&reason)).await {
                TakeOver::Settled => PeerResponse::Done,
                TakeOver::Failed => PeerResponse::Failed,
                TakeOver::ReasonLost => PeerResponse::ReasonLost,
            }
        }
        PeerRequest::WatchSilent { endpoint, run } => {
            match suspects::silent::watch_for_peer(node, &endpoint, run) {
                true => PeerResponse::Done,
                false => PeerResponse::Failed,
            }
        }
        PeerRequest::FreeMemory => PeerResponse::FreeMemory {
            bytes: match node.stage.get() {
                Stage::Serving => node.intake.budget.free_bytes(),
                Stage::Starting | Stage::Stopping => 0,
            },
        },
    }
}

/// Returns this node and those that answer, in the order in which they are responsible for a key.
///
/// Nodes with different views of the members have different orders for a moment, and a node that is
/// cut off is the first of its own.
pub fn ranked_nodes<D: Dialect>(node: &Node<D>, key: &[u8]) -> Vec<SocketAddr> {
    let seed = hash64(0, key);
    let peers = node.suspects.peers.responsive(node.now_ms()).into_iter();
    let mut nodes: Vec<_> = peers.chain([node.owner.address]).collect();
    nodes.sort_by_cached_key(|address| Reverse(hash64(seed, address.to_string().as_bytes())));
    nodes.dedup();
    nodes
}

/// Sends a request to a node that is responsible for its subject, and leaves the node out of
/// [`ranked_nodes`] for a while if there is no response in time.
pub async fn call_ranked<D: Dialect>(
    node: &Node<D>,
    address: SocketAddr,
    request: &PeerRequest,
) -> Option<PeerResponse> {
    let response = call_peer(node, address, request).await;
    if response.is_none() {
        node.suspects.peers.record_silence(node.now_ms(), address);
    }
    response
}

/// Sends a request to another node; returns `None` if there is no response in time.
pub async fn call_peer<D: Dialect>(
    node: &Node<D>,
    address: SocketAddr,
    request: &PeerRequest,
) -> Option<PeerResponse> {
    let timeout = match request {
        PeerRequest::Results { wait_ms, .. } => RESPONSE_TIMEOUT + Duration::from_millis(*wait_ms),
        PeerRequest::Crashes { .. }
        | PeerRequest::RunIsolated { .. }
        | PeerRequest::WatchSilent { .. } => SUSPECT_TIMEOUT,
        PeerRequest::Permit { .. } => limits::PERMIT_TIMEOUT,
        PeerRequest::StreamBegan { .. } | PeerRequest::StreamRecord(_) => streams::STREAM_TIMEOUT,
        _ => RESPONSE_TIMEOUT,
    };
    call_peer_within(node, address, request, timeout).await
}

/// Same as [`call_peer`], with a timeout for the response.
pub async fn call_peer_within<D: Dialect>(
    node: &Node<D>,
    address: SocketAddr,
    request: &PeerRequest,
    timeout: Duration,
) -> Option<PeerResponse> {
    match node.peers.call(address, request, timeout).await {
        Ok(response) => Some(response),
        Err(error) => {
            event!(
                info,
                "request to peer failed",
                peer = address,
                error = error
            );
            None
        }
    }
}
