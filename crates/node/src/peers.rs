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

use crate::control::feed::{self, EndpointQuestion, Endpoints};
use crate::dialect::Dialect;
use crate::event;
use crate::jobs::{self, read};
use crate::node::Node;
use crate::relay::{StoreAnswer, StoreCall};

/// Time for a peer's answer beyond what the question may wait for: some hops, and a peer that is
/// late on its share of a core.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Questions that may wait to be taken up.
const MAX_WAITING: usize = 256;

/// A question about a batch job to the node that owns it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Question {
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
    Adopt {
        /// The batch job.
        job: Box<str>,
        /// Texts of its items so far.
        parts: Vec<PartialOutput>,
    },
    /// Asks the keeper for changes of endpoints.
    Endpoints(EndpointQuestion),
    /// Asks the node to call the store, which does not serve the asker.
    Store(StoreCall),
}

/// The answer of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// Results.
    Page {
        /// The results.
        page: Page,
        /// Whether the node is sure that it owns the batch job; else there may be more results.
        is_sure: bool,
    },
    /// A body.
    Body(Vec<u8>),
    /// Done as asked.
    Done,
    /// The owner knows that there is no such thing.
    Nothing,
    /// This node does not own the batch job.
    NotOwner,
    /// Endpoints, unless the node can't tell.
    Endpoints(Option<Endpoints>),
    /// What the store answered.
    Store(Result<StoreAnswer, StoreError>),
    /// It could not be done.
    Failed,
}

type Asked = (Question, oneshot::Sender<Reply>);

/// Answers other nodes until the node ends.
pub fn start<D: Dialect>(node: &Rc<Node<D>>, listener: TcpListener) {
    let (questions, mut waiting) = mpsc::channel::<Asked>(MAX_WAITING);
    // The transport wants a handler that could move between threads; the node's state can't.
    tokio::spawn(wisteriapoint_peer::serve(listener, move |question| {
        let questions = questions.clone();
        async move {
            let (reply, answer) = oneshot::channel();
            match questions.send((question, reply)).await {
                Ok(()) => answer.await.unwrap_or(Reply::Failed),
                Err(_) => Reply::Failed,
            }
        }
    }));
    let node = node.clone();
    spawn_local(async move {
        while let Some((question, reply)) = waiting.recv().await {
            let node = node.clone();
            spawn_local(async move {
                let answer = answer(&node, question).await;
                // A failure means that the peer no longer waits.
                let _is_waiting = reply.send(answer).is_ok();
            });
        }
    });
}

async fn answer<D: Dialect>(node: &Rc<Node<D>>, question: Question) -> Reply {
    match question {
        Question::Results {
            job,
            after,
            wait_ms,
        } => match node.jobs.get(&job) {
            Some(owned) => {
                let page = read::own_results(node, &owned, after, wait_ms).await;
                let is_sure = node.is_sure_owner(&job);
                Reply::Page { page, is_sure }
            }
            None => {
                // The asker read in the store that this node owns it.
                jobs::takeover::adopt_own(node, &job);
                Reply::NotOwner
            }
        },
        Question::Body { job, item } => match node.jobs.get(&job) {
            Some(owned) => match owned.body(&item) {
                Some(body) => Reply::Body(body),
                None => Reply::Nothing,
            },
            None => Reply::NotOwner,
        },
        Question::End { job } => match node.jobs.get(&job) {
            Some(owned) => match jobs::commit::end(node, &owned).await {
                true => Reply::Done,
                false => Reply::Failed,
            },
            None => Reply::NotOwner,
        },
        Question::Endpoints(asked) => Reply::Endpoints(feed::answer(node, &asked).await),
        Question::Store(call) => Reply::Store(node.store.serve(call).await),
        Question::Adopt { job, parts } => match jobs::take_over(node, &job, parts).await {
            true => Reply::Done,
            false => Reply::Failed,
        },
    }
}

/// Asks another node.
pub async fn ask<D: Dialect>(
    node: &Node<D>,
    address: SocketAddr,
    question: &Question,
) -> Option<Reply> {
    let wait_ms = match question {
        Question::Results { wait_ms, .. } => *wait_ms,
        Question::Endpoints(_) => feed::WAIT_MS,
        _ => 0,
    };
    let limit = ANSWER_TIMEOUT + Duration::from_millis(wait_ms);
    match node.peers.call(address, question, limit).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            event!(info, "peer did not answer", peer = address, why = error);
            None
        }
    }
}
