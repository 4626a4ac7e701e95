//! One request of a caller, from its head to its answer.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{ACCEPT_ENCODING, CONNECTION, HOST, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use wisteriapoint_directory::{Configuration, Route, RouteKind};

use super::answer::{self, Answer, Payload, copy_headers, not_run, text};
use super::{batch, stream};
use crate::dialect::{Call, Dialect, InboundMetadata};
use crate::event;
use crate::forward::{Ending, Forward, forward};
use crate::node::{Node, Stage};
use crate::upstream::Sending;

/// How long a caller is told to wait for the first configuration, in milliseconds.
const NO_CONFIGURATION_MS: u64 = 500;
/// Time for a request without a deadline of its own, in milliseconds; its route's timeout is less.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// What is read of a body beyond the limit, in bytes, before its sender is told.
const MAX_EXCESS_BYTES: usize = 8 << 20;

/// A caller's request with its route.
#[derive(Debug)]
pub struct Incomer {
    /// What the caller says of it.
    pub arrival: InboundMetadata,
    /// Id for logs; empty if the caller gave none.
    pub id: Box<str>,
    /// When it arrived, in milliseconds of the node's clock.
    pub arrived_at_ms: u64,
    /// Configuration in force when it arrived.
    pub configuration: Rc<Configuration>,
    /// The head.
    pub head: hyper::http::request::Parts,
    /// Value of its `Host` header.
    pub host: Box<str>,
    /// The body to come.
    pub body: Incoming,
}

/// Counts a request in progress for as long as it lives.
struct InProgress<D: Dialect>(Rc<Node<D>>);

impl<D: Dialect> InProgress<D> {
    fn new(node: Rc<Node<D>>) -> Self {
        node.in_progress.set(node.in_progress.get() + 1);
        Self(node)
    }
}

impl<D: Dialect> Drop for InProgress<D> {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// Answers a request.
pub async fn answer<D: Dialect>(node: Rc<Node<D>>, request: Request<Incoming>) -> Answer {
    let _in_progress = InProgress::new(node.clone());
    let arrived_at_ms = node.now_ms();
    let (head, body) = request.into_parts();
    let arrival = D::parse_inbound_metadata(&head.headers);
    let Some(configuration) = node.configuration() else {
        return not_run::<D>("no configuration yet", NO_CONFIGURATION_MS);
    };
    let host = head
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default()
        .into();
    let incomer = Incomer {
        id: arrival.id.clone().unwrap_or_default(),
        arrival,
        arrived_at_ms,
        configuration,
        head,
        host,
        body,
    };
    let (method, path) = (
        incomer.head.method.clone(),
        incomer.head.uri.path().to_owned(),
    );
    let id = incomer.id.clone();
    let call = D::classify_request(&incomer.head.method, &incomer.head.uri);
    let (route, mut answer) = dispatch(&node, call, incomer).await;
    if node.stage.get() == Stage::Stopping {
        // Callers that are told move on before their connection ends.
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    let elapsed_ms = node.now_ms() - arrived_at_ms;
    let status = answer.status();
    node.metrics
        .record_request(&route, status.as_str(), elapsed_ms);
    event!(
        info,
        "request answered",
        id = id,
        method = method,
        path = path,
        route = route,
        status = status.as_u16(),
        elapsed_ms = elapsed_ms,
    );
    answer
}

async fn dispatch<D: Dialect>(
    node: &Rc<Node<D>>,
    call: Call,
    incomer: Incomer,
) -> (Box<str>, Answer) {
    let configuration = incomer.configuration.clone();
    match call {
        Call::ReadResults { job, after } => {
            let wait_ms = incomer.arrival.wait_ms.unwrap_or(0);
            (
                "results".into(),
                batch::results(node, &job, after, wait_ms).await,
            )
        }
        Call::ReadBody { job, item } => ("body".into(), batch::body(node, &job, &item).await),
        Call::EndJob { job } => ("end".into(), batch::end(node, &job).await),
        Call::Request => {
            let Some(route) = configuration.route(&incomer.host, incomer.head.uri.path()) else {
                return ("none".into(), text(StatusCode::NOT_FOUND, "no route"));
            };
            (route.name.clone(), on_route(node, route, incomer).await)
        }
    }
}

async fn on_route<D: Dialect>(node: &Rc<Node<D>>, route: &Route, incomer: Incomer) -> Answer {
    if incomer.arrival.id.is_none() {
        return text(StatusCode::BAD_REQUEST, "a request needs an id");
    }
    let max_body_bytes = incomer.configuration.limits.max_body_bytes;
    let Incomer {
        arrival,
        id,
        arrived_at_ms,
        head,
        host,
        body,
        ..
    } = incomer;
    let body = match read_body(body, max_body_bytes).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    if route.kind == RouteKind::Rollout {
        return batch::submit(node, route, &id, &host, head.uri.path(), body).await;
    }
    let deadline_ms = arrival.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let mut headers = HeaderMap::new();
    copy_headers(&head.headers, &mut headers, |name| {
        name == ACCEPT_ENCODING.as_str()
    });
    let request = Forward {
        id: &id,
        route,
        sending: Sending {
            method: head.method,
            uri: head.uri,
            headers,
            body,
        },
        deadline_at_ms: arrived_at_ms + deadline_ms,
        arrived_at_ms,
    };
    if route.kind == RouteKind::Streaming {
        return stream::answer(node, request, arrival.last_event).await;
    }
    match forward(node, &request).await {
        Ending::Answer {
            status,
            headers,
            body,
            ..
        } => answer::of_endpoint::<D>(status, &headers, Payload::Whole(Some(body))),
        Ending::GivenUp(given_up) => {
            event!(
                info,
                "request given up",
                id = id,
                verdict = given_up.verdict,
                why = given_up.why,
                held_ms = node.now_ms() - arrived_at_ms,
            );
            answer::given_up::<D>(&given_up)
        }
    }
}

/// Reads a body; one that is too large is read on for a while, or its sender would not see the
/// answer.
async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, Answer> {
    let mut whole = BytesMut::new();
    let mut read_bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(text(StatusCode::BAD_REQUEST, "the body broke off"));
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        read_bytes += data.len();
        match read_bytes {
            read if read <= max_bytes => whole.extend_from_slice(&data),
            read if read <= max_bytes + MAX_EXCESS_BYTES => whole.clear(),
            _ => break,
        }
    }
    match read_bytes > max_bytes {
        true => Err(text(StatusCode::PAYLOAD_TOO_LARGE, "body too large")),
        false => Ok(whole.freeze()),
    }
}
