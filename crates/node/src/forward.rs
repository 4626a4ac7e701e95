//! Forwarding of plain requests: choice of the endpoint, retries, and the outcome for the caller.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode, Uri};
use tokio::time::{sleep, timeout};
use wisteriapoint_directory::{Priority, Requirements, Route, RouteKind};
use wisteriapoint_types::{Digest, EndpointName, ServiceName, Verdict};
use wisteriapoint_workspace::Credential;

use crate::dialect::{Dialect, OutboundMetadata, ResponseHead};
use crate::node::Node;
use crate::suspects::{self, Isolation, Placement, Quarantine, Run};
use crate::upstream::{SendFailure, UpstreamRequest, UpstreamResponse};
use crate::{event, limits};

/// Timeout of an attempt that may be repeated, in latency objectives: after that, another endpoint
/// is likely to respond sooner than one that is slow or unresponsive.
const ATTEMPT_TIMEOUT_OBJECTIVES: u64 = 2;
/// Delay before an endpoint that refused a request for lack of capacity is tried again, in
/// milliseconds.
pub const OVERLOAD_BACKOFF_MS: u64 = 15;
/// The latency objective divided by this is the time to find an endpoint with capacity; after that
/// the request is refused, so that the caller still has time to retry.
pub const PLACEMENT_OBJECTIVE_DIVISOR: u64 = 4;
/// Longest random pause before a crash suspect is placed again, in milliseconds: a few network hops
/// and the duration of a short request.
const MAX_SUSPECT_PAUSE_MS: u64 = 25;
/// Retry delay sent to a caller whose request has not run: a few times the duration of a plain
/// request.
const RETRY_AFTER_MS: u64 = 100;

/// Reason of the refusal of a quarantined request.
pub const QUARANTINE_REASON: &str = "it has crashed the endpoints that ran it";

/// Reason of the refusal of a request whose key has been removed, or may have been.
pub const KEY_REASON: &str = "its key is not known to be valid any more";

/// Reason of the refusal of a request for which no endpoint accepts more.
pub const LIMIT_REASON: &str = "its endpoints accept no more requests now";

/// A request to forward.
#[derive(Debug)]
pub struct ForwardRequest<'a> {
    /// Request id sent to the endpoints.
    pub id: &'a str,
    /// Route that selects the service and limits the attempts.
    pub route: &'a Route,
    /// Request as sent to each endpoint.
    pub upstream_request: UpstreamRequest,
    /// Digest by which a resent request is recognised; `None` for a call of a batch job, which is owed
    /// whatever happened to its endpoints, and so never a crash suspect.
    pub digest: Option<Digest>,
    /// Workspace that sent it, of which endpoints are told.
    pub workspace: Option<Rc<str>>,
    /// Credential that has to be valid at each send; `None` for calls of batch jobs, which go on when a
    /// key is removed, and are not counted.
    pub credential: Option<Credential>,
    /// Deadline of the caller on the node's clock, in milliseconds.
    pub deadline_at_ms: u64,
    /// Time of arrival on the node's clock, in milliseconds.
    pub arrived_at_ms: u64,
}

/// Outcome of a forwarded request.
#[derive(Debug)]
pub enum ForwardOutcome {
    /// An endpoint sent a complete response.
    Response(Box<ForwardResponse>),
    /// No endpoint sent a complete response.
    Failed(ForwardFailure),
}

/// Complete response of an endpoint.
#[derive(Debug)]
pub struct ForwardResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers from the endpoint.
    pub headers: HeaderMap,
    /// Values parsed from the headers.
    pub head: ResponseHead,
    /// Complete body.
    pub body: Bytes,
    /// Endpoint that sent the response.
    pub endpoint: EndpointName,
    /// Number of requests that were sent on its connection, including this one.
    pub sent_requests: u32,
}

/// Failure of a request that got no complete response.
#[derive(Debug, Clone)]
pub struct ForwardFailure {
    /// States whether the request may have run.
    pub verdict: Verdict,
    /// Reason, as sent to the caller.
    pub reason: Box<str>,
    /// `true` if the deadline had passed.
    pub is_timeout: bool,
    /// Delay after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Attempts made so far for one request.
#[derive(Debug, Default)]
struct AttemptHistory {
    excluded: Vec<EndpointName>,
    possibly_run_attempts: u32,
    last_response: Option<ForwardOutcome>,
    last_reason: Box<str>,
}

impl AttemptHistory {
    fn verdict(&self) -> Verdict {
        match self.possibly_run_attempts {
            0 => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    /// Records a failed send; returns `true` if another endpoint may be tried.
    fn record_failure(
        &mut self,
        route: &Route,
        endpoint: EndpointName,
        failure: SendFailure,
    ) -> bool {
        self.excluded.push(endpoint);
        self.last_reason = failure.reason;
        let may_repeat = route.kind.allows_rerun();
        if failure.verdict == Verdict::NotRun {
            return self.possibly_run_attempts == 0 || may_repeat;
        }
        self.possibly_run_attempts += 1;
        may_repeat && self.possibly_run_attempts < route.max_attempts.max(1)
    }

    /// Returns the last response if there was one, else the failure of a quarantined request.
    fn into_refusal(self, quarantine: Quarantine) -> ForwardOutcome {
        let mut outcome = self.into_outcome(QUARANTINE_REASON, false);
        if let ForwardOutcome::Failed(failure) = &mut outcome {
            failure.retry_after_ms = quarantine.expires_in_ms;
        }
        outcome
    }

    /// Returns the last response if there was one, else the failure of a request for which no endpoint
    /// accepts more; its caller may return after `delay_ms`.
    fn into_limited(self, delay_ms: u64) -> ForwardOutcome {
        let mut outcome = self.into_outcome(LIMIT_REASON, false);
        if let ForwardOutcome::Failed(failure) = &mut outcome {
            failure.retry_after_ms = delay_ms;
        }
        outcome
    }

    /// Returns the last response if there was one, else a failure with `reason`.
    fn into_outcome(self, reason: &str, is_timeout: bool) -> ForwardOutcome {
        let verdict = self.verdict();
        let reason = match &*self.last_reason {
            "" => reason.into(),
            last => format!("{reason}; last: {last}").into(),
        };
        match self.last_response {
            Some(response) => response,
            None => ForwardOutcome::Failed(ForwardFailure {
                verdict,
                reason,
                is_timeout,
                retry_after_ms: RETRY_AFTER_MS,
            }),
        }
    }
}

/// Sends a request to one endpoint after another until one responds or no attempt is left.
pub async fn forward<D: Dialect>(
    node: &Rc<Node<D>>,
    request: &ForwardRequest<'_>,
) -> ForwardOutcome {
    let Some(service) = request.route.select_service(rand::random()).cloned() else {
        return AttemptHistory::default().into_outcome("route without a service", false);
    };
    let digest = request.digest;
    let end_at_ms = request
        .deadline_at_ms
        .min(request.arrived_at_ms + request.route.timeout_ms);
    let placement_end_ms =
        request.arrived_at_ms + request.route.objective_ms / PLACEMENT_OBJECTIVE_DIVISOR;
    let mut history = AttemptHistory::default();
    loop {
        let now_ms = node.now_ms();
        if now_ms >= end_at_ms {
            return history.into_outcome("its time is over", true);
        }
        // A request that may have run can no longer be refused, so it may wait in any queue.
        let objective_ms =
            (history.possibly_run_attempts == 0).then_some(request.route.objective_ms);
        let requirements = Requirements {
            objective_ms,
            priority: match digest {
                Some(_) => Priority::Caller,
                None => Priority::Batch,
            },
            ..node.plain_requirements(&service)
        };
        let key = (request.id, digest);
        let (excluded, isolation) = (&history.excluded, Isolation::Required);
        let placed = suspects::place(node, key, requirements, excluded, isolation).await;
        let (run, endpoint, address) = match placed {
            Placement::Run {
                run,
                endpoint,
                address,
            } => (run, endpoint, address),
            Placement::Quarantined(quarantine) => return history.into_refusal(quarantine),
            Placement::Conflict if may_wait(request, &history, now_ms) => {
                pause_suspect().await;
                continue;
            }
            Placement::Conflict => {
                return history.into_outcome("no endpoint is free for a crash suspect", false);
            }
            Placement::Limited { wait_ms } => {
                let wait_end_ms = match history.possibly_run_attempts {
                    0 => placement_end_ms,
                    _ => end_at_ms,
                };
                if node.now_ms() + wait_ms < wait_end_ms {
                    sleep(Duration::from_millis(wait_ms)).await;
                    continue;
                }
                let left_ms = end_at_ms.saturating_sub(node.now_ms());
                let delay_ms = limits::return_delay_ms(node, requirements, wait_ms, left_ms);
                return history.into_limited(delay_ms);
            }
            Placement::NoEndpoint => match may_place_later(node, requirements, &history) {
                true if now_ms < placement_end_ms => {
                    history.excluded.clear();
                    sleep(Duration::from_millis(OVERLOAD_BACKOFF_MS)).await;
                    continue;
                }
                true => return history.into_outcome("no endpoint has room", false),
                false => return history.into_outcome("no endpoint is left to ask", false),
            },
        };
        let now_ms = node.now_ms();
        if now_ms >= end_at_ms {
            return history.into_outcome("its time is over", true);
        }
        if !may_send(node, request.workspace.as_deref(), request.credential) {
            return history.into_outcome(KEY_REASON, false);
        }
        let occupancy = node.occupancy(&endpoint);
        let timeout_ms = attempt_timeout_ms(request, &history, end_at_ms - now_ms);
        run.record_send();
        let counted = begin_counting(node, request.workspace.as_deref(), request.credential);
        let attempt = send_to_endpoint(node, request, &endpoint, address, end_at_ms - now_ms);
        let result = timeout(Duration::from_millis(timeout_ms), attempt).await;
        let result = result.unwrap_or_else(|_| {
            Err(SendFailure::silent(format!(
                "no answer for {timeout_ms} ms"
            )))
        });
        let start = SendStart {
            at_ms: now_ms,
            occupancy: occupancy.saturating_add(1),
        };
        if let (Err(failure), Some(workspace)) = (&result, &request.workspace)
            && failure.verdict == Verdict::NotRun
        {
            node.coordination.cancel(counted, workspace);
        }
        record_result(node, &endpoint, &service, start, &result);
        end_run(run, address, &result).await;
        let failure = match result {
            Ok(response) if may_retry_response(request.route, &response, &history) => {
                history.possibly_run_attempts += 1;
                history.excluded.push(endpoint);
                history.last_response = Some(response);
                continue;
            }
            Ok(response) => return response,
            Err(failure) => failure,
        };
        event!(
            info,
            "send to endpoint failed",
            id = request.id,
            endpoint = endpoint,
            verdict = failure.verdict,
            reason = failure.reason,
            elapsed_ms = node.now_ms() - now_ms,
        );
        if !history.record_failure(request.route, endpoint, failure) {
            let is_timeout = node.now_ms() >= end_at_ms;
            return history.into_outcome("the endpoint did not answer it", is_timeout);
        }
    }
}

/// Returns `true` if the credential of a request is still that of its workspace.
pub fn may_send<D: Dialect>(
    node: &Node<D>,
    workspace: Option<&str>,
    credential: Option<Credential>,
) -> bool {
    let (Some(workspace), Some(credential)) = (workspace, credential) else {
        return true;
    };
    let valid = node.configuration().is_some_and(|configuration| {
        let found = configuration.authenticate(&credential, false);
        found.is_ok_and(|found| found.is_none_or(|found| found.name() == workspace))
    });
    valid && node.knows_keys()
}

/// Counts a request of a workspace as running; returns its window.
pub fn begin_counting<D: Dialect>(
    node: &Node<D>,
    workspace: Option<&str>,
    credential: Option<Credential>,
) -> Option<u64> {
    let (Some(workspace), Some(_)) = (workspace, credential) else {
        return None;
    };
    let now_unix_ms = node.clock.unix_ms_with_suspension();
    node.coordination.begin(now_unix_ms, workspace)
}

/// Waits before a crash suspect is placed again, so that two of them don't meet once more.
pub async fn pause_suspect() {
    let pause_ms = rand::random_range(1..=MAX_SUSPECT_PAUSE_MS);
    sleep(Duration::from_millis(pause_ms)).await;
}

/// Returns `true` if a crash suspect may wait for an endpoint: within its objective if it has not run,
/// else within its deadline.
fn may_wait(request: &ForwardRequest<'_>, history: &AttemptHistory, now_ms: u64) -> bool {
    let objective_end_ms = request.arrived_at_ms + request.route.objective_ms;
    history.possibly_run_attempts > 0 || now_ms < objective_end_ms
}

/// Records what the end of a run says about the request.
async fn end_run<D: Dialect>(
    run: Run<D>,
    address: SocketAddr,
    result: &Result<ForwardOutcome, SendFailure>,
) {
    match result {
        Ok(ForwardOutcome::Response(response)) if !response.status.is_server_error() => {
            run.record_completion();
        }
        Err(failure) if failure.connection_lost => {
            run.record_lost_connection(address, &failure.reason).await;
        }
        Err(failure) if failure.was_silent => {}
        _ => run.record_end(),
    }
}

/// Returns `true` if the request has not run and an endpoint may have capacity for it soon.
fn may_place_later<D: Dialect>(
    node: &Node<D>,
    requirements: Requirements<'_>,
    history: &AttemptHistory,
) -> bool {
    let directory = node.directory.borrow();
    let is_only_busy =
        directory
            .registry
            .has_eligible(node.now_ms(), requirements, &history.excluded);
    history.possibly_run_attempts == 0 && (is_only_busy || !history.excluded.is_empty())
}

/// Returns the timeout of one attempt: all remaining time, unless another attempt is allowed.
fn attempt_timeout_ms(request: &ForwardRequest<'_>, history: &AttemptHistory, left_ms: u64) -> u64 {
    let may_repeat = request.route.kind == RouteKind::Idempotent
        && history.possibly_run_attempts + 1 < request.route.max_attempts;
    match may_repeat {
        true => left_ms.min(request.route.objective_ms * ATTEMPT_TIMEOUT_OBJECTIVES),
        false => left_ms,
    }
}

/// Returns `true` if a response is a server error and another endpoint may be tried.
fn may_retry_response(route: &Route, response: &ForwardOutcome, history: &AttemptHistory) -> bool {
    let is_server_error =
        matches!(response, ForwardOutcome::Response(response) if response.status.is_server_error());
    is_server_error
        && route.kind.allows_rerun()
        && history.possibly_run_attempts + 1 < route.max_attempts
}

async fn send_to_endpoint<D: Dialect>(
    node: &Rc<Node<D>>,
    request: &ForwardRequest<'_>,
    endpoint: &EndpointName,
    address: SocketAddr,
    left_ms: u64,
) -> Result<ForwardOutcome, SendFailure> {
    let _in_flight = InFlightGuard::new(node, endpoint);
    let outbound = OutboundMetadata {
        id: request.id,
        endpoint,
        remaining_ms: Some(left_ms),
        last_event: None,
        workspace: request.workspace.as_deref(),
    };
    let response: UpstreamResponse =
        limits::send(node, address, &request.upstream_request, outbound).await?;
    let (status, headers, head) = (
        response.status,
        response.headers.clone(),
        response.head.clone(),
    );
    let sent_requests = response.connection.sent_requests();
    let body = response.read_body().await?;
    Ok(ForwardOutcome::Response(Box::new(ForwardResponse {
        status,
        headers,
        head,
        body,
        endpoint: endpoint.clone(),
        sent_requests,
    })))
}

/// Counts a request in flight at an endpoint as long as the guard exists.
pub struct InFlightGuard<D: Dialect> {
    node: Rc<Node<D>>,
    endpoint: EndpointName,
}

impl<D: Dialect> InFlightGuard<D> {
    /// Increments the endpoint's number of requests in flight.
    pub fn new(node: &Rc<Node<D>>, endpoint: &EndpointName) -> Self {
        if let Some(endpoint) = node.directory.borrow_mut().registry.get_mut(endpoint) {
            endpoint.in_flight += 1;
        }
        Self {
            node: node.clone(),
            endpoint: endpoint.clone(),
        }
    }
}

impl<D: Dialect> Drop for InFlightGuard<D> {
    fn drop(&mut self) {
        let mut directory = self.node.directory.borrow_mut();
        if let Some(endpoint) = directory.registry.get_mut(&self.endpoint) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }
}

/// Time at which a request was sent, and the endpoint's occupancy including it.
#[derive(Debug, Clone, Copy)]
struct SendStart {
    at_ms: u64,
    occupancy: u32,
}

fn record_result<D: Dialect>(
    node: &Node<D>,
    endpoint: &EndpointName,
    service: &ServiceName,
    start: SendStart,
    result: &Result<ForwardOutcome, SendFailure>,
) {
    let now_ms = node.now_ms();
    let mut directory = node.directory.borrow_mut();
    let outcome = match result {
        Ok(ForwardOutcome::Response(response)) => {
            if let Some(entry) = directory.registry.get_mut(endpoint) {
                entry.record_response(now_ms - start.at_ms, start.occupancy);
                if let Some(load) = response.head.load {
                    entry.record_load(now_ms, load);
                }
            }
            match response.status.is_success() {
                true => "answered",
                false => "failed",
            }
        }
        Ok(ForwardOutcome::Failed(_)) => "given-up",
        Err(failure) => record_send_failure(
            &mut directory,
            now_ms,
            endpoint,
            failure,
            OVERLOAD_BACKOFF_MS,
        ),
    };
    node.metrics
        .sends
        .with_label_values(&[service.as_str(), outcome])
        .inc();
}

/// Records a failed send in the directory and returns its outcome label for the metrics.
pub fn record_send_failure(
    directory: &mut crate::node::Directory,
    now_ms: u64,
    endpoint: &EndpointName,
    failure: &SendFailure,
    overload_backoff_ms: u64,
) -> &'static str {
    match directory.registry.get_mut(endpoint) {
        Some(entry) if failure.was_overloaded => entry.record_overload(now_ms, overload_backoff_ms),
        Some(entry) => {
            entry.record_failure(now_ms);
            if failure.is_unreachable {
                entry.record_down(now_ms);
            }
        }
        None => {}
    }
    match failure.verdict {
        Verdict::NotRun if failure.was_overloaded => "full",
        Verdict::NotRun => "not-run",
        _ => "may-have-run",
    }
}

/// Returns the digest of path, query, body and sender, which identifies a repeated request.
///
/// Callers without credentials can't be told apart, nor those of one workspace.
pub fn request_digest(upstream_request: &UpstreamRequest, workspace: Option<&str>) -> Digest {
    let path = upstream_request
        .uri
        .path_and_query()
        .map_or("", |path| path.as_str());
    let mut parts = vec![path.as_bytes(), &upstream_request.body];
    let credentials = upstream_request.headers.get(AUTHORIZATION);
    parts.extend(credentials.map(HeaderValue::as_bytes));
    parts.extend(workspace.map(str::as_bytes));
    Digest::new(&parts)
}

/// Returns a POST request, as batch jobs send it.
pub fn post_request(uri: Uri, headers: HeaderMap, body: Bytes) -> UpstreamRequest {
    UpstreamRequest {
        method: Method::POST,
        uri,
        headers,
        body,
    }
}
