//! Streams of server-sent events, forwarded to callers as they arrive.

mod forward;
mod open;

use std::net::SocketAddr;
use std::rc::Rc;

use hyper::header::CONTENT_LENGTH;
use tokio::sync::mpsc::channel;
use tokio::task::spawn_local;
use wisteriapoint_directory::Route;
use wisteriapoint_types::{Digest, EndpointName, ServiceName, StreamOrigin, Verdict};
use wisteriapoint_workspace::Credential;

use super::response::{CallerResponse, Payload, endpoint_response, failure_response};
use crate::dialect::{Dialect, InboundMetadata};
use crate::event;
use crate::forward::{ForwardFailure, ForwardRequest};
use crate::node::Node;
use crate::streams::{self, UnknownOrigin};
use crate::suspects::Run;
use crate::upstream::{UpstreamRequest, UpstreamResponse};

/// Events buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 64;
/// Retry delay sent to a caller whose request has not run.
const RETRY_AFTER_MS: u64 = 150;

/// Reason of the refusal of a stream of which no node knows what began it.
const UNKNOWN_ORIGIN_REASON: &str = "it is not known which software version began the stream";
/// Reason of the refusal of a stream by a node that does not know yet which software endpoints run.
const STARTING_REASON: &str = "it is not known yet which software version the endpoints run";

/// State needed to resume a stream at another endpoint.
#[derive(Debug)]
struct StreamForwarder {
    id: Box<str>,
    upstream_request: UpstreamRequest,
    digest: Option<Digest>,
    workspace: Option<Rc<str>>,
    credential: Option<Credential>,
    route: Route,
    service: ServiceName,
    arrived_at_ms: u64,
    end_at_ms: u64,
    /// Attempt at which the caller got the first event, as it says.
    first_attempt: Option<Box<str>>,
    last_event: Option<u64>,
    origin: StreamOrigin,
    excluded: Vec<EndpointName>,
    /// Sends after which the request may have run.
    attempts: u32,
    /// Whether the last endpoint that was to go on with the stream had nothing to add.
    was_empty: bool,
}

/// Sends a streaming request to an endpoint and returns a response that forwards its events.
pub async fn handle_stream<D: Dialect>(
    node: &Rc<Node<D>>,
    request: ForwardRequest<'_>,
    metadata: InboundMetadata,
) -> CallerResponse {
    let route = request.route;
    let id = request.id;
    let (service, origin) = match metadata.last_event {
        None => (
            route.select_service(rand::random()).cloned(),
            StreamOrigin::None,
        ),
        Some(_) => match streams::find(node, route, metadata.first_attempt.as_deref()).await {
            Ok(found) => (Some(found.service), StreamOrigin::Software(found.software)),
            Err(unknown) => return fail::<D>(id, &unknown_origin(unknown)),
        },
    };
    let Some(service) = service else {
        return fail::<D>(id, &failure(Verdict::NotRun, "route without a service"));
    };
    let mut forwarder = StreamForwarder {
        id: id.into(),
        upstream_request: request.upstream_request,
        digest: request.digest,
        workspace: request.workspace,
        credential: request.credential,
        route: route.clone(),
        service,
        arrived_at_ms: request.arrived_at_ms,
        end_at_ms: request
            .deadline_at_ms
            .min(request.arrived_at_ms + route.timeout_ms),
        first_attempt: metadata.first_attempt,
        origin,
        last_event: metadata.last_event,
        excluded: Vec::new(),
        attempts: 0,
        was_empty: false,
    };
    match forwarder.open_upstream(node).await {
        Ok(stream) if !stream.response.status.is_success() => {
            match forwarder.read_failure(node, stream).await {
                Ok(response) => response,
                Err(failure) => fail::<D>(id, &failure),
            }
        }
        Ok(stream) => {
            let headers = stream.response.headers.clone();
            let status = stream.response.status;
            let (events, chunks) = channel(MAX_BUFFERED_EVENTS);
            spawn_local(forwarder.forward_stream(node.clone(), stream, events));
            let mut response = endpoint_response::<D>(status, &headers, Payload::Chunks(chunks));
            response.headers_mut().remove(CONTENT_LENGTH);
            response
        }
        Err(failure) => fail::<D>(id, &failure),
    }
}

/// Returns the failure of a request whose time is not over.
fn failure(verdict: Verdict, reason: &str) -> ForwardFailure {
    ForwardFailure {
        verdict,
        reason: reason.into(),
        is_timeout: false,
        retry_after_ms: RETRY_AFTER_MS,
    }
}

/// Returns the failure of a stream whose software version can't be known.
fn unknown_origin(unknown: UnknownOrigin) -> ForwardFailure {
    match unknown {
        UnknownOrigin::Unknown => failure(Verdict::NotRun, UNKNOWN_ORIGIN_REASON),
        UnknownOrigin::Starting { wait_ms } => ForwardFailure {
            retry_after_ms: wait_ms,
            ..failure(Verdict::NotRun, STARTING_REASON)
        },
    }
}

/// Logs a failure before the first event and returns the response to the caller.
fn fail<D: Dialect>(id: &str, failure: &ForwardFailure) -> CallerResponse {
    event!(
        info,
        "stream request failed",
        id = id,
        verdict = failure.verdict,
        reason = failure.reason
    );
    failure_response::<D>(failure)
}

/// A stream that an endpoint has begun.
struct UpstreamStream<D: Dialect> {
    run: Run<D>,
    endpoint: EndpointName,
    address: SocketAddr,
    response: UpstreamResponse,
}
