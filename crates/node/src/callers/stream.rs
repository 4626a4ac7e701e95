//! Streams of server-sent events, forwarded to callers as they arrive.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::CONTENT_LENGTH;
use tokio::sync::mpsc::{Sender, channel};
use tokio::task::spawn_local;
use tokio::time::timeout;
use wisteriapoint_directory::Route;
use wisteriapoint_types::{EndpointName, ServiceName, Verdict};

use super::response::{
    CallerResponse, Payload, StreamAborted, endpoint_response, failure_response,
};
use crate::dialect::{Dialect, OutboundMetadata};
use crate::event;
use crate::forward::{
    ForwardFailure, ForwardRequest, InFlightGuard, OVERLOAD_BACKOFF_MS, record_crash,
    record_send_failure, request_digest,
};
use crate::node::Node;
use crate::upstream::send::send;
use crate::upstream::{EventReader, SendFailure, UpstreamRequest, UpstreamResponse};

/// Events buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 64;
/// Longest gap between two events of an endpoint; callers disconnect after 2 s.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Retry delay sent to a caller whose request has not run.
const RETRY_AFTER_MS: u64 = 150;

/// State needed to resume a stream at another endpoint.
#[derive(Debug)]
struct StreamForwarder {
    id: Box<str>,
    upstream_request: UpstreamRequest,
    route: Route,
    service: ServiceName,
    end_at_ms: u64,
    last_event: Option<u64>,
    excluded: Vec<EndpointName>,
    /// Sends after which the request may have run.
    attempts: u32,
}

/// Sends a streaming request to an endpoint and returns a response that forwards its events.
pub async fn handle_stream<D: Dialect>(
    node: &Rc<Node<D>>,
    request: ForwardRequest<'_>,
    last_event: Option<u64>,
) -> CallerResponse {
    let route = request.route;
    let fail = |verdict, reason: &str, is_timeout| {
        event!(
            info,
            "stream request failed",
            id = request.id,
            verdict = verdict,
            reason = reason
        );
        failure_response::<D>(&ForwardFailure {
            verdict,
            reason: reason.into(),
            is_timeout,
            retry_after_ms: RETRY_AFTER_MS,
        })
    };
    let Some(service) = route.select_service(rand::random()).cloned() else {
        return fail(Verdict::NotRun, "route without a service", false);
    };
    let mut forwarder = StreamForwarder {
        id: request.id.into(),
        upstream_request: request.upstream_request,
        route: route.clone(),
        service,
        end_at_ms: request
            .deadline_at_ms
            .min(request.arrived_at_ms + route.timeout_ms),
        last_event,
        excluded: Vec::new(),
        attempts: 0,
    };
    match forwarder.open_upstream(node).await {
        Ok((endpoint, response)) if !response.status.is_success() => {
            let (headers, status) = (response.headers.clone(), response.status);
            let left_ms = forwarder.end_at_ms.saturating_sub(node.now_ms());
            let body = timeout(Duration::from_millis(left_ms), response.read_body()).await;
            match body.unwrap_or_else(|_| Err(SendFailure::ambiguous("its time is over"))) {
                Ok(body) => endpoint_response::<D>(status, &headers, Payload::Full(Some(body))),
                Err(failure) => {
                    event!(
                        info,
                        "send to endpoint failed",
                        id = forwarder.id,
                        endpoint = endpoint,
                        reason = failure.reason
                    );
                    let is_timeout = node.now_ms() >= forwarder.end_at_ms;
                    fail(failure.verdict, &failure.reason, is_timeout)
                }
            }
        }
        Ok((endpoint, response)) => {
            let headers = response.headers.clone();
            let status = response.status;
            let (events, chunks) = channel(MAX_BUFFERED_EVENTS);
            spawn_local(forwarder.forward_stream(node.clone(), endpoint, response, events));
            let mut response = endpoint_response::<D>(status, &headers, Payload::Chunks(chunks));
            response.headers_mut().remove(CONTENT_LENGTH);
            response
        }
        Err((verdict, reason)) => {
            let is_timeout = node.now_ms() >= forwarder.end_at_ms;
            fail(verdict, &reason, is_timeout)
        }
    }
}

impl StreamForwarder {
    /// Returns `true` if the route allows another attempt.
    fn may_resume(&self) -> bool {
        self.route.resumable && self.attempts < self.route.max_attempts
    }

    /// Sends the request to one endpoint after another until one begins to respond.
    async fn open_upstream<D: Dialect>(
        &mut self,
        node: &Rc<Node<D>>,
    ) -> Result<(EndpointName, UpstreamResponse), (Verdict, Box<str>)> {
        let mut verdict = match self.attempts {
            0 => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        };
        let mut reason: Box<str> = "no endpoint has room".into();
        loop {
            let now_ms = node.now_ms();
            let left_ms = self.end_at_ms.saturating_sub(now_ms);
            let Some((endpoint, address)) = node
                .choose_endpoint(node.plain_requirements(&self.service), &self.excluded)
                .filter(|_| left_ms > 0)
            else {
                return Err((verdict, reason));
            };
            let outbound = OutboundMetadata {
                id: &self.id,
                endpoint: &endpoint,
                remaining_ms: Some(left_ms),
                last_event: self.last_event,
            };
            let pending = send::<D>(&node.pool, address, &self.upstream_request, outbound);
            let failure = match timeout(Duration::from_millis(left_ms), pending).await {
                Ok(Ok(response)) => {
                    self.attempts += 1;
                    return Ok((endpoint, response));
                }
                Ok(Err(failure)) => failure,
                Err(_) => return Err((Verdict::MayHaveRun, "its time is over".into())),
            };
            let digest = Some(request_digest(&self.upstream_request));
            record_send_failure(
                &mut node.directory.borrow_mut(),
                now_ms,
                &endpoint,
                &failure,
                OVERLOAD_BACKOFF_MS,
            );
            record_crash(node, (&self.id, digest), &endpoint, address, &failure).await;
            event!(
                info,
                "send to endpoint failed",
                id = self.id,
                endpoint = endpoint,
                verdict = failure.verdict,
                reason = failure.reason,
            );
            self.excluded.push(endpoint);
            reason = failure.reason;
            if failure.verdict != Verdict::NotRun {
                verdict = Verdict::MayHaveRun;
                self.attempts += 1;
                if !self.may_resume() {
                    return Err((verdict, reason));
                }
            }
        }
    }

    /// Forwards events, and resumes at another endpoint when one fails.
    async fn forward_stream<D: Dialect>(
        mut self,
        node: Rc<Node<D>>,
        mut endpoint: EndpointName,
        mut response: UpstreamResponse,
        events: Sender<Result<Bytes, StreamAborted>>,
    ) {
        loop {
            let reason = match self
                .forward_events(&node, &endpoint, response, &events)
                .await
            {
                Ok(()) => return,
                Err(reason) => reason,
            };
            event!(
                info,
                "stream interrupted at endpoint",
                id = self.id,
                endpoint = endpoint,
                reason = reason
            );
            if let Some(entry) = node.directory.borrow_mut().registry.get_mut(&endpoint) {
                entry.record_failure(node.now_ms());
            }
            match self.resume_upstream(&node, endpoint, &events).await {
                Ok(next) => (endpoint, response) = next,
                Err(reason) => {
                    event!(info, "stream aborted", id = self.id, reason = reason);
                    // Sending fails if the caller has disconnected.
                    let _is_delivered = events.send(Err(StreamAborted)).await.is_ok();
                    return;
                }
            }
        }
    }

    /// Resumes the stream at one endpoint after another until one responds with a success.
    async fn resume_upstream<D: Dialect>(
        &mut self,
        node: &Rc<Node<D>>,
        interrupted: EndpointName,
        events: &Sender<Result<Bytes, StreamAborted>>,
    ) -> Result<(EndpointName, UpstreamResponse), Box<str>> {
        // Endpoints that failed earlier may have recovered; only the last one is excluded.
        self.excluded = vec![interrupted];
        while self.may_resume() && !events.is_closed() {
            let (endpoint, response) = self
                .open_upstream(node)
                .await
                .map_err(|(_, reason)| reason)?;
            if response.status.is_success() {
                return Ok((endpoint, response));
            }
            event!(
                info,
                "send to endpoint failed",
                id = self.id,
                endpoint = endpoint,
                reason = format_args!("unexpected status {}", response.status),
            );
            self.excluded = vec![endpoint];
        }
        Err("stream can't be resumed".into())
    }

    async fn forward_events<D: Dialect>(
        &mut self,
        node: &Rc<Node<D>>,
        endpoint: &EndpointName,
        response: UpstreamResponse,
        events: &Sender<Result<Bytes, StreamAborted>>,
    ) -> Result<(), Box<str>> {
        let _in_flight = InFlightGuard::new(node, endpoint);
        let UpstreamResponse {
            head,
            body,
            connection,
            ..
        } = response;
        let mut reader = EventReader::new(body);
        loop {
            let next = tokio::select! {
                next = timeout(EVENT_TIMEOUT, reader.next()) => next,
                () = events.closed() => return Ok(()),
            };
            let event = match next.map_err(|_| "no event within the timeout")?? {
                Some(event) => event,
                None => break,
            };
            let expected = self.last_event.map(|last| last + 1);
            match event.id {
                Some(id) if expected.is_none_or(|expected| expected == id) => {
                    self.last_event = Some(id);
                }
                _ => return Err("event out of order".into()),
            }
            if events.send(Ok(event.raw)).await.is_err() {
                return Ok(());
            }
        }
        if !head.closes {
            connection.return_to_pool(head.keep_alive_ms);
        }
        if let Some(entry) = node.directory.borrow_mut().registry.get_mut(endpoint) {
            entry.record_success();
        }
        Ok(())
    }
}
