//! Handling of one caller's request, from its head to its response.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{ACCEPT_ENCODING, CONNECTION, HOST, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use wisteriapoint_directory::{Configuration, Route, RouteKind};
use wisteriapoint_intake::{Connection, Stage as ConnectionStage};
use wisteriapoint_types::Verdict;
use wisteriapoint_workspace::{Credential, Rejection, Workspace};

use super::body::read_body;
use super::response::{
    self, CallerResponse, Payload, account_full_response, body_error_response, copy_headers,
    not_run_response, stopping_response, text_response,
};
use super::{batch, stream};
use crate::clock::boot_ms;
use crate::dialect::{Dialect, InboundMetadata, Operation};
use crate::event;
use crate::forward::{ForwardOutcome, ForwardRequest, forward, request_digest};
use crate::node::{Node, Stage};
use crate::upstream::UpstreamRequest;

/// Retry delay sent to a caller before the first configuration has been received.
const NO_CONFIGURATION_RETRY_AFTER_MS: u64 = 500;
/// Retry delay sent to a caller while the node does not know yet which requests crash endpoints.
const STARTING_RETRY_AFTER_MS: u64 = 200;
/// Retry delay sent to a caller with a key by a node that can't tell whether it is valid: another node
/// takes the request.
const UNKNOWN_KEYS_RETRY_AFTER_MS: u64 = 50;
/// Deadline of a request that states none; the timeout of its route is shorter.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// A caller's request, before its body has been read.
#[derive(Debug)]
pub struct CallerRequest {
    /// Metadata parsed from the headers.
    pub metadata: InboundMetadata,
    /// Request id for logs; empty if the caller sent none.
    pub id: Box<str>,
    /// Time of arrival on the node's clock, in milliseconds.
    pub arrived_at_ms: u64,
    /// Configuration in force at the time of arrival.
    pub configuration: Rc<Configuration>,
    /// Method, URI and headers.
    pub head: hyper::http::request::Parts,
    /// Value of the `Host` header; empty if it is missing or not text.
    pub host: Box<str>,
    /// Body, not yet read.
    pub body: Incoming,
    /// Connection on which the request arrived.
    pub connection: Rc<Connection>,
}

/// Counts a request in progress as long as the guard exists.
struct InProgressGuard<D: Dialect>(Rc<Node<D>>);

impl<D: Dialect> InProgressGuard<D> {
    fn new(node: Rc<Node<D>>) -> Self {
        node.in_progress.set(node.in_progress.get() + 1);
        Self(node)
    }
}

impl<D: Dialect> Drop for InProgressGuard<D> {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// Handles a request and returns its response.
pub async fn handle_request<D: Dialect>(
    node: Rc<Node<D>>,
    connection: Rc<Connection>,
    request: Request<Incoming>,
) -> CallerResponse {
    let _in_progress = InProgressGuard::new(node.clone());
    let arrived_at_ms = node.now_ms();
    let (head, body) = request.into_parts();
    let metadata = D::parse_inbound_metadata(&head.headers);
    let Some(configuration) = node.configuration() else {
        return not_run_response::<D>("no configuration yet", NO_CONFIGURATION_RETRY_AFTER_MS);
    };
    let host = head
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default()
        .into();
    let request = CallerRequest {
        id: metadata.id.clone().unwrap_or_default(),
        metadata,
        arrived_at_ms,
        configuration,
        head,
        host,
        body,
        connection,
    };
    let (method, path) = (
        request.head.method.clone(),
        request.head.uri.path().to_owned(),
    );
    let id = request.id.clone();
    let operation = D::classify_request(&request.head.method, &request.head.uri);
    let (route, mut response) = tokio::select! {
        biased;
        answered = dispatch(&node, operation, request) => answered,
        () = node.shutdown.exiting() => (
            "unfinished".into(),
            text_response(StatusCode::BAD_GATEWAY, "the node stopped before the request ended"),
        ),
    };
    if node.stage.get() == Stage::Stopping {
        // `Connection: close` lets callers reconnect to another node before this connection ends.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    let elapsed_ms = node.now_ms() - arrived_at_ms;
    let status = response.status();
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
    response
}

async fn dispatch<D: Dialect>(
    node: &Rc<Node<D>>,
    operation: Operation,
    request: CallerRequest,
) -> (Box<str>, CallerResponse) {
    let configuration = request.configuration.clone();
    let route = match operation {
        Operation::Request => match configuration.route(&request.host, request.head.uri.path()) {
            Some(route) => Some(route),
            None => {
                let response = text_response(StatusCode::NOT_FOUND, "no route");
                return ("none".into(), response);
            }
        },
        _ => None,
    };
    let is_anonymous = route.is_some_and(|route| route.is_anonymous);
    let workspace = match authenticate(node, &request, is_anonymous) {
        Ok(workspace) => workspace,
        Err(response) => return ("unauthenticated".into(), *response),
    };
    if let Operation::ReadResults { job, .. }
    | Operation::ReadBody { job, .. }
    | Operation::EndJob { job } = &operation
        && configuration.workspaces.is_some()
        && let Some(response) =
            batch::check_access(node, (&request.host, job), workspace.as_deref()).await
    {
        return ("hidden".into(), response);
    }
    match operation {
        Operation::ReadResults { job, after } => {
            let wait_ms = request.metadata.wait_ms.unwrap_or(0);
            let left_ms = node.shutdown.left_ms(node.now_ms()).unwrap_or(wait_ms);
            let wait_ms = wait_ms.min(left_ms);
            let place = (&*request.host, &*job);
            let results = batch::read_results(node, place, after, wait_ms).await;
            ("results".into(), keep_answer(node, &request.id, results))
        }
        Operation::ReadBody { job, item } => {
            let body = batch::read_item_body(node, (&request.host, &job), &item).await;
            ("body".into(), keep_answer(node, &request.id, body))
        }
        Operation::EndJob { job } => (
            "end".into(),
            batch::end_job(node, (&request.host, &job)).await,
        ),
        Operation::Request => match route {
            Some(route) => (
                route.name.clone(),
                handle_routed_request(node, route, request, workspace).await,
            ),
            None => (
                "none".into(),
                text_response(StatusCode::NOT_FOUND, "no route"),
            ),
        },
    }
}

/// Returns the workspace that sent a request; `None` if requests carry no keys, or this one needs none.
fn authenticate<D: Dialect>(
    node: &Node<D>,
    request: &CallerRequest,
    is_anonymous: bool,
) -> Result<Option<Rc<str>>, Box<CallerResponse>> {
    let credential = &request.metadata.credential;
    let configuration = &request.configuration;
    if configuration.workspaces.is_none() {
        return Ok(None);
    }
    let is_key = matches!(credential, Credential::Key(_));
    if is_key && !node.knows_keys() {
        node.metrics
            .unauthenticated
            .with_label_values(&["old-knowledge"])
            .inc();
        event!(
            info,
            "request refused; the configuration may have changed",
            id = request.id,
            age_ms = node.coordination.knowledge.age_ms(boot_ms()).unwrap_or(0),
        );
        let line = "it is not known whether the key is valid";
        return Err(Box::new(not_run_response::<D>(
            line,
            UNKNOWN_KEYS_RETRY_AFTER_MS,
        )));
    }
    match configuration.authenticate(credential, is_anonymous) {
        Ok(workspace) => Ok(workspace.map(Workspace::shared_name)),
        Err(rejection) => {
            let reason = match rejection {
                Rejection::NoKey => "no-key",
                Rejection::MalformedKey => "malformed-key",
                Rejection::UnknownKey => "unknown-key",
            };
            node.metrics
                .unauthenticated
                .with_label_values(&[reason])
                .inc();
            event!(
                info,
                "request rejected; it has no valid key",
                id = request.id,
                reason = reason,
                version = configuration.version,
            );
            let line = rejection.to_string();
            Err(Box::new(text_response(StatusCode::UNAUTHORIZED, &line)))
        }
    }
}

async fn handle_routed_request<D: Dialect>(
    node: &Rc<Node<D>>,
    route: &Route,
    request: CallerRequest,
    workspace: Option<Rc<str>>,
) -> CallerResponse {
    if request.metadata.id.is_none() {
        return text_response(StatusCode::BAD_REQUEST, "a request needs an id");
    }
    let has_workspaces = request.configuration.workspaces.is_some();
    let limits = request.configuration.limits;
    let CallerRequest {
        metadata,
        id,
        arrived_at_ms,
        head,
        host,
        body,
        connection,
        ..
    } = request;
    connection.set_stage(ConnectionStage::Body {
        since_ms: node.now_ms(),
    });
    let held = (&node.intake.budget, &*connection);
    let body = tokio::select! {
        body = read_body(body, limits, held, node.clock) => body,
        () = node.shutdown.exiting() => return stopping_response::<D>(),
    };
    connection.set_stage(ConnectionStage::Running);
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            if let Some(reason) = error.failure.refusal_reason() {
                node.record_refusal(&id, reason);
            }
            return body_error_response::<D>(error);
        }
    };
    if route.kind == RouteKind::Rollout {
        return batch::submit_job(
            node,
            route,
            &id,
            (&host, head.uri.path()),
            workspace.as_deref(),
            body,
        )
        .await;
    }
    if !node.suspects.is_history_loaded() {
        return not_run_response::<D>("starting", STARTING_RETRY_AFTER_MS);
    }
    let deadline_ms = metadata.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let limit_ms = deadline_ms.min(route.timeout_ms);
    if !can_end_before_exit(node, route, &id, limit_ms) {
        return stopping_response::<D>();
    }
    let mut headers = HeaderMap::new();
    copy_headers(&head.headers, &mut headers, |name| {
        name == ACCEPT_ENCODING.as_str() || (has_workspaces && D::is_identity_header(name))
    });
    let upstream_request = UpstreamRequest {
        method: head.method,
        uri: head.uri,
        headers,
        body,
    };
    let request = ForwardRequest {
        id: &id,
        route,
        digest: Some(request_digest(&upstream_request, workspace.as_deref())),
        upstream_request,
        credential: workspace.is_some().then_some(metadata.credential),
        workspace,
        deadline_at_ms: arrived_at_ms + deadline_ms,
        arrived_at_ms,
    };
    if route.kind == RouteKind::Streaming {
        return stream::handle_stream(node, request, metadata).await;
    }
    let outcome = forward(node, &request).await;
    record_duration(node, route, arrived_at_ms, &outcome);
    match outcome {
        ForwardOutcome::Response(response) => {
            let payload = Payload::Full(Some(response.body));
            response::endpoint_response::<D>(response.status, &response.headers, payload)
        }
        ForwardOutcome::Failed(failure) => {
            event!(
                info,
                "request failed without a response",
                id = id,
                verdict = failure.verdict,
                reason = failure.reason,
                elapsed_ms = node.now_ms() - arrived_at_ms,
            );
            response::failure_response::<D>(&failure)
        }
    }
}

/// Counts the answer to a read, which waits in memory for a slow reader; refuses it if there is no room.
fn keep_answer<D: Dialect>(node: &Node<D>, id: &str, response: CallerResponse) -> CallerResponse {
    let (head, payload) = response.into_parts();
    let kept = match payload {
        Payload::Full(Some(answer)) => {
            let kept = node.intake.budget.keep(answer);
            kept.map(|answer| Payload::Full(Some(answer)))
        }
        payload => Ok(payload),
    };
    match kept {
        Ok(payload) => CallerResponse::from_parts(head, payload),
        Err(_) => {
            node.record_refusal(id, "account-full");
            account_full_response::<D>()
        }
    }
}

/// Returns `true` unless the node stops and would probably exit before a request ends, which lasts
/// `limit_ms` at most.
fn can_end_before_exit<D: Dialect>(node: &Node<D>, route: &Route, id: &str, limit_ms: u64) -> bool {
    let Some(left_ms) = node.shutdown.left_ms(node.now_ms()) else {
        return true;
    };
    let durations = node.durations.borrow();
    let expected_ms = durations.expected_ms(node.now_ms(), &route.name, limit_ms);
    if expected_ms <= left_ms {
        return true;
    }
    event!(
        info,
        "request refused; it would not end before the node exits",
        id = id,
        route = route.name,
        expected_ms = expected_ms,
        left_ms = left_ms,
    );
    false
}

/// Records how long a request has lasted, unless it did not run.
fn record_duration<D: Dialect>(
    node: &Node<D>,
    route: &Route,
    arrived_at_ms: u64,
    outcome: &ForwardOutcome,
) {
    match outcome {
        ForwardOutcome::Failed(failure) if failure.verdict == Verdict::NotRun => {}
        _ => node.record_duration(&route.name, arrived_at_ms),
    }
}
