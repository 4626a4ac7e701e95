//! The software versions of streams that callers take up again, over all nodes.
//!
//! A caller who takes a stream up, at any node, names the attempt that brought its first event. The
//! node of that attempt tells two others before it passes the event on.

mod software;

pub(crate) use software::ensure_recorded;
pub use software::{SoftwareRows, UnknownOrigin, check_rows, maintain_rows, observe_versions};

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::task::JoinSet;
use wisteriapoint_directory::{Route, StreamRecord, StreamRecords};
use wisteriapoint_types::{Digest, ServiceName, SoftwareVersion};

use crate::dialect::Dialect;
use crate::node::Node;
use crate::peers::{PeerRequest, PeerResponse, call_ranked, ranked_nodes};

/// Time for the response to a call about a stream, for which a caller waits: many network hops, also
/// on a new connection between regions.
pub(crate) const STREAM_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of other nodes that are told of a stream; with the node that began it, streams stay known
/// when a failure domain and one more node are lost.
const HOLDERS: usize = 2;
/// Number of further nodes that are asked for a stream of which its holders know nothing: more than
/// enough if the nodes are the same as when it began.
const MAX_OTHERS_ASKED: usize = 16;
/// Number of streams for which further nodes are asked at the same time; after a loss of many nodes all
/// callers return at once.
const MAX_WIDE_SEARCHES: u32 = 8;

/// State of a node about streams.
#[derive(Debug, Default)]
pub struct Streams {
    records: RefCell<StreamRecords>,
    /// Rows that name the versions which may have begun streams.
    pub software: SoftwareRows,
    wide_searches: Cell<u32>,
}

impl Streams {
    /// Creates a state without streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a record that this node or another one has made.
    pub fn insert(&self, now_ms: u64, attempt: Digest, record: StreamRecord) {
        self.records.borrow_mut().insert(now_ms, attempt, record);
    }

    /// Returns the record of a stream, if this node knows it.
    pub fn get(&self, now_ms: u64, attempt: Digest) -> Option<StreamRecord> {
        self.records.borrow_mut().get(now_ms, attempt).cloned()
    }
}

/// Records that a stream has begun, and tells the nodes that hold its record.
///
/// Returns once they know it or are unlikely to answer; a stream of which no live node knows can't be
/// taken up again.
pub async fn record_begin<D: Dialect>(
    node: &Rc<Node<D>>,
    attempt: &str,
    service: &ServiceName,
    software: &SoftwareVersion,
) {
    let digest = Digest::new(&[attempt.as_bytes()]);
    let record = StreamRecord {
        service: service.clone(),
        software: software.clone(),
    };
    node.streams.insert(node.now_ms(), digest, record.clone());
    let own = node.owner.address;
    let others = ranked_nodes(node, &digest.0.to_le_bytes()).into_iter();
    let holders = others.filter(|address| *address != own).take(HOLDERS);
    let request = PeerRequest::StreamBegan {
        attempt: digest,
        record,
    };
    let mut calls = JoinSet::new();
    for peer in holders {
        let (node, request) = (node.clone(), request.clone());
        calls.spawn_local(async move { call_ranked(&node, peer, &request).await.is_some() });
    }
    let asked = calls.len();
    let told = calls
        .join_all()
        .await
        .into_iter()
        .filter(|&is_told| is_told);
    let outcome = match told.count() {
        0 if asked > 0 => "untold",
        _ => "told",
    };
    count(node, outcome);
}

/// Returns what began a stream that a caller takes up.
///
/// # Errors
///
/// Fails if that can't be known.
pub async fn find<D: Dialect>(
    node: &Rc<Node<D>>,
    route: &Route,
    first_attempt: Option<&str>,
) -> Result<StreamRecord, UnknownOrigin> {
    let recorded = match first_attempt {
        Some(attempt) => find_recorded(node, Digest::new(&[attempt.as_bytes()])).await,
        None => None,
    };
    let (found, source) = match recorded {
        Some((record, source)) => (Ok(record), source),
        None => match software::sole(node, route).await {
            Ok((service, software)) => (Ok(StreamRecord { service, software }), "sole"),
            Err(unknown @ UnknownOrigin::Unknown) => (Err(unknown), "unknown"),
            Err(starting @ UnknownOrigin::Starting { .. }) => (Err(starting), "starting"),
        },
    };
    count(node, source);
    let record = found?;
    // A route that no longer leads to the service leaves no endpoint to go on.
    let mut splits = route.splits.iter();
    match splits.any(|split| split.service == record.service) {
        true => Ok(record),
        false => Err(UnknownOrigin::Unknown),
    }
}

async fn find_recorded<D: Dialect>(
    node: &Rc<Node<D>>,
    attempt: Digest,
) -> Option<(StreamRecord, &'static str)> {
    if let Some(record) = node.streams.get(node.now_ms(), attempt) {
        return Some((record, "own"));
    }
    let own = node.owner.address;
    // One more than the holders, as one of these ranks may be of the node that began the stream.
    let mut ranked = ranked_nodes(node, &attempt.0.to_le_bytes());
    let others = ranked.split_off(ranked.len().min(HOLDERS + 1));
    let holders = ranked.into_iter().filter(|address| *address != own);
    if let Some(record) = ask(node, holders, attempt).await {
        return Some((record, "holder"));
    }
    if node.streams.wide_searches.get() >= MAX_WIDE_SEARCHES {
        return None;
    }
    let _search = WideSearch::new(node);
    let others = others.into_iter().filter(|address| *address != own);
    let others = others.sample(&mut rand::rng(), MAX_OTHERS_ASKED);
    let record = ask(node, others, attempt).await?;
    Some((record, "other"))
}

/// Counts a search among further nodes as long as it exists.
struct WideSearch<D: Dialect>(Rc<Node<D>>);

impl<D: Dialect> WideSearch<D> {
    fn new(node: &Rc<Node<D>>) -> Self {
        let searches = &node.streams.wide_searches;
        searches.set(searches.get() + 1);
        Self(node.clone())
    }
}

impl<D: Dialect> Drop for WideSearch<D> {
    fn drop(&mut self) {
        let searches = &self.0.streams.wide_searches;
        searches.set(searches.get() - 1);
    }
}

/// Asks nodes for a stream at the same time, and returns the first record that one has.
async fn ask<D: Dialect>(
    node: &Rc<Node<D>>,
    peers: impl IntoIterator<Item = std::net::SocketAddr>,
    attempt: Digest,
) -> Option<StreamRecord> {
    let mut calls = JoinSet::new();
    for peer in peers {
        let node = node.clone();
        calls.spawn_local(async move {
            call_ranked(&node, peer, &PeerRequest::StreamRecord(attempt)).await
        });
    }
    while let Some(answered) = calls.join_next().await {
        if let Ok(Some(PeerResponse::StreamRecord(Some(record)))) = answered {
            node.streams.insert(node.now_ms(), attempt, record.clone());
            return Some(record);
        }
    }
    None
}

/// Counts how a stream was recorded or found, and logs nothing: the line of the stream tells it.
fn count<D: Dialect>(node: &Node<D>, outcome: &str) {
    let streams = &node.metrics.streams;
    streams.with_label_values(&[outcome]).inc();
}
