//! Streams of server-sent events, forwarded to callers as they arrive.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::CONTENT_LENGTH;
use tokio::sync::mpsc::{Sender, channel};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wisteriapoint_directory::{Requirements, Route};
use wisteriapoint_types::{
    Digest, EndpointName, ServiceName, SoftwareVersion, StreamOrigin, Verdict,
};

use super::response::{
    CallerResponse, Payload, StreamAborted, endpoint_response, failure_response,
};
use crate::dialect::{Dialect, InboundMetadata, OutboundMetadata};
use crate::forward::{
    ForwardFailure, ForwardRequest, InFlightGuard, LIMIT_REASON, OVERLOAD_BACKOFF_MS,
    PLACEMENT_OBJECTIVE_DIVISOR, QUARANTINE_REASON, pause_suspect, record_send_failure,
};
use crate::node::Node;
use crate::suspects::{self, Isolation, Placement, Run};
use crate::upstream::{EventReader, SendFailure, UpstreamRequest, UpstreamResponse};
use crate::{event, limits, streams};

/// Events buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 64;
/// Longest gap between two events of an endpoint; callers disconnect after 2 s.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait of a suspect for an endpoint without other suspects, in milliseconds: a part of the
/// gap after which callers disconnect.
const MAX_ISOLATION_WAIT_MS: u64 = 500;
/// Longest wait of a stream that has begun for an endpoint that may go on with it, or for a permit there,
/// in milliseconds: a part of the gap after which callers disconnect.
const MAX_RESUME_WAIT_MS: u64 = 1_000;
/// Interval at which such endpoints are asked again.
const RESUME_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Retry delay sent to a caller whose request has not run.
const RETRY_AFTER_MS: u64 = 150;

/// Reason of the refusal of a stream of which no node knows what began it.
const UNKNOWN_ORIGIN_REASON: &str = "it is not known which software version began the stream";
/// Reason of the refusal of a stream that no endpoint may go on with.
const NO_ORIGIN_REASON: &str = "no endpoint of the software version that began the stream has room";

/// State needed to resume a stream at another endpoint.
#[derive(Debug)]
struct StreamForwarder {
    id: Box<str>,
    upstream_request: UpstreamRequest,
    digest: Option<Digest>,
    route: Route,
    service: ServiceName,
    end_at_ms: u64,
    /// Attempt at which the caller got the first event, as it says.
    first_attempt: Option<Box<str>>,
    last_event: Option<u64>,
    origin: StreamOrigin,
    excluded: Vec<EndpointName>,
    /// Sends after which the request may have run.
    attempts: u32,
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
            Some(found) => (Some(found.service), StreamOrigin::Software(found.software)),
            None => return fail::<D>(id, &failure(Verdict::NotRun, UNKNOWN_ORIGIN_REASON)),
        },
    };
    let Some(service) = service else {
        return fail::<D>(id, &failure(Verdict::NotRun, "route without a service"));
    };
    let mut forwarder = StreamForwarder {
        id: id.into(),
        upstream_request: request.upstream_request,
        digest: request.digest,
        route: route.clone(),
        service,
        end_at_ms: request
            .deadline_at_ms
            .min(request.arrived_at_ms + route.timeout_ms),
        first_attempt: metadata.first_attempt,
        origin,
        last_event: metadata.last_event,
        excluded: Vec::new(),
        attempts: 0,
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

/// How the forwarding of an endpoint's events ended.
enum StreamEnd {
    /// The caller has all events.
    Complete,
    /// The caller has disconnected.
    CallerLeft,
}

/// A stream that an endpoint has begun.
struct UpstreamStream<D: Dialect> {
    run: Run<D>,
    endpoint: EndpointName,
    address: SocketAddr,
    response: UpstreamResponse,
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
    ) -> Result<UpstreamStream<D>, ForwardFailure> {
        let mut failure = match self.attempts {
            0 => failure(Verdict::NotRun, "no endpoint has room"),
            _ => failure(Verdict::MayHaveRun, "no endpoint has room"),
        };
        let isolation_end_ms = node.now_ms() + MAX_ISOLATION_WAIT_MS;
        let wait_end_ms = match self.attempts {
            0 => node.now_ms() + self.route.objective_ms / PLACEMENT_OBJECTIVE_DIVISOR,
            _ => node.now_ms() + MAX_RESUME_WAIT_MS,
        };
        loop {
            if node.now_ms() >= self.end_at_ms {
                failure.is_timeout = true;
                return Err(failure);
            }
            let (run, endpoint, address) = match self.place(node, isolation_end_ms).await {
                Placement::Run {
                    run,
                    endpoint,
                    address,
                } => (run, endpoint, address),
                Placement::Conflict => {
                    pause_suspect().await;
                    continue;
                }
                Placement::Limited { wait_ms } => {
                    if node.now_ms() + wait_ms < wait_end_ms {
                        sleep(Duration::from_millis(wait_ms)).await;
                        continue;
                    }
                    let requirements = self.requirements(node);
                    let left_ms = self.end_at_ms.saturating_sub(node.now_ms());
                    failure.reason = LIMIT_REASON.into();
                    failure.retry_after_ms =
                        limits::return_delay_ms(node, requirements, wait_ms, left_ms);
                    return Err(failure);
                }
                // Others would not do, so endpoints that just refused it are asked again.
                Placement::NoEndpoint if self.may_wait(node, wait_end_ms) => {
                    sleep(RESUME_POLL_INTERVAL).await;
                    self.excluded.clear();
                    continue;
                }
                Placement::NoEndpoint if self.origin != StreamOrigin::None => {
                    failure.reason = NO_ORIGIN_REASON.into();
                    return Err(failure);
                }
                Placement::NoEndpoint => return Err(failure),
                Placement::Quarantined(quarantine) => {
                    failure.reason = QUARANTINE_REASON.into();
                    failure.retry_after_ms = quarantine.expires_in_ms;
                    return Err(failure);
                }
            };
            let error = match self.send(node, &endpoint, address).await {
                Ok(response) => {
                    self.attempts += 1;
                    self.log_begin(&run, &endpoint, &response);
                    return Ok(UpstreamStream {
                        run,
                        endpoint,
                        address,
                        response,
                    });
                }
                Err(error) => error,
            };
            if error.connection_lost {
                run.record_lost_connection(address, &error.reason).await;
            }
            self.excluded.push(endpoint);
            failure.reason = error.reason;
            failure.is_timeout = node.now_ms() >= self.end_at_ms;
            if error.verdict != Verdict::NotRun {
                failure.verdict = Verdict::MayHaveRun;
                self.attempts += 1;
                if failure.is_timeout || !self.may_resume() {
                    return Err(failure);
                }
            }
        }
    }

    /// Logs that an endpoint begins the stream, or goes on with it.
    fn log_begin<D: Dialect>(
        &self,
        run: &Run<D>,
        endpoint: &EndpointName,
        response: &UpstreamResponse,
    ) {
        event!(
            info,
            "stream begins at endpoint",
            id = self.id,
            endpoint = endpoint,
            software = run.software().map_or("", SoftwareVersion::as_str),
            status = response.status.as_u16(),
            last_event = self.last_event.unwrap_or(0),
            first_attempt = self.first_attempt.as_deref().unwrap_or_default(),
        );
    }

    /// Returns the requirements on an endpoint that begins the stream or goes on with it.
    fn requirements<'a, D: Dialect>(&'a self, node: &'a Node<D>) -> Requirements<'a> {
        Requirements {
            origin: &self.origin,
            ..node.plain_requirements(&self.service)
        }
    }

    /// Returns `true` if the stream has begun, and an endpoint that may go on with it may have room
    /// soon.
    fn may_wait<D: Dialect>(&self, node: &Node<D>, end_ms: u64) -> bool {
        let now_ms = node.now_ms();
        let directory = node.directory.borrow();
        self.origin != StreamOrigin::None
            && now_ms < end_ms
            && directory
                .registry
                .has_eligible(now_ms, self.requirements(node), &[])
    }

    /// Chooses an endpoint for the stream.
    ///
    /// A suspect runs beside others if it has crashed one endpoint only and none is free for it in time:
    /// all streams of a crashed engine are suspects, and most of them are innocent.
    async fn place<D: Dialect>(&self, node: &Rc<Node<D>>, isolation_end_ms: u64) -> Placement<D> {
        let now_ms = node.now_ms();
        let crashes = |digest| node.suspects.reports(now_ms, digest).len();
        let isolation = match self.digest.map_or(0, crashes) {
            ..=1 if now_ms >= isolation_end_ms => Isolation::Waived,
            _ => Isolation::Required,
        };
        let requirements = self.requirements(node);
        let key = (&*self.id, self.digest);
        suspects::place(node, key, requirements, &self.excluded, isolation).await
    }

    /// Sends the request to an endpoint, and records and logs a failure.
    async fn send<D: Dialect>(
        &self,
        node: &Rc<Node<D>>,
        endpoint: &EndpointName,
        address: SocketAddr,
    ) -> Result<UpstreamResponse, SendFailure> {
        let left_ms = self.end_at_ms.saturating_sub(node.now_ms());
        let outbound = OutboundMetadata {
            id: &self.id,
            endpoint,
            remaining_ms: Some(left_ms),
            last_event: self.last_event,
        };
        let pending = limits::send(node, address, &self.upstream_request, outbound);
        let sent = timeout(Duration::from_millis(left_ms), pending).await;
        // The endpoint is not to blame for a request whose time was short.
        let failure = match sent {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(failure)) => failure,
            Err(_) => return Err(SendFailure::ambiguous("its time is over")),
        };
        record_send_failure(
            &mut node.directory.borrow_mut(),
            node.now_ms(),
            endpoint,
            &failure,
            OVERLOAD_BACKOFF_MS,
        );
        event!(
            info,
            "send to endpoint failed",
            id = self.id,
            endpoint = endpoint,
            verdict = failure.verdict,
            reason = failure.reason,
        );
        Err(failure)
    }

    /// Reads the body of a response that is no success, and returns the response to the caller.
    async fn read_failure<D: Dialect>(
        &self,
        node: &Rc<Node<D>>,
        stream: UpstreamStream<D>,
    ) -> Result<CallerResponse, ForwardFailure> {
        let (headers, status) = (stream.response.headers.clone(), stream.response.status);
        let left_ms = self.end_at_ms.saturating_sub(node.now_ms());
        let body = stream.response.read_body();
        let body = timeout(Duration::from_millis(left_ms), body).await;
        let error = match body.unwrap_or_else(|_| Err(SendFailure::ambiguous("its time is over"))) {
            Ok(body) => {
                if !status.is_server_error() {
                    stream.run.record_completion();
                }
                let payload = Payload::Full(Some(body));
                return Ok(endpoint_response::<D>(status, &headers, payload));
            }
            Err(error) => error,
        };
        event!(
            info,
            "send to endpoint failed",
            id = self.id,
            endpoint = stream.endpoint,
            reason = error.reason
        );
        if error.connection_lost {
            let address = stream.address;
            stream
                .run
                .record_lost_connection(address, &error.reason)
                .await;
        }
        Err(ForwardFailure {
            is_timeout: node.now_ms() >= self.end_at_ms,
            ..failure(error.verdict, &error.reason)
        })
    }

    /// Forwards events, and resumes at another endpoint when one fails.
    async fn forward_stream<D: Dialect>(
        mut self,
        node: Rc<Node<D>>,
        mut stream: UpstreamStream<D>,
        events: Sender<Result<Bytes, StreamAborted>>,
    ) {
        loop {
            let UpstreamStream {
                run,
                endpoint,
                address,
                response,
            } = stream;
            let forwarded = self.forward_events(&node, &run, response, &events).await;
            let failure = match forwarded {
                Ok(StreamEnd::Complete) => return run.record_completion(),
                Ok(StreamEnd::CallerLeft) => return,
                Err(failure) => failure,
            };
            event!(
                info,
                "stream interrupted at endpoint",
                id = self.id,
                endpoint = endpoint,
                reason = failure.reason
            );
            if let Some(entry) = node.directory.borrow_mut().registry.get_mut(&endpoint) {
                entry.record_failure(node.now_ms());
            }
            if failure.connection_lost {
                run.record_lost_connection(address, &failure.reason).await;
            }
            match self.resume_upstream(&node, endpoint, &events).await {
                Ok(next) => stream = next,
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
    ) -> Result<UpstreamStream<D>, Box<str>> {
        // Endpoints that failed earlier may have recovered; only the last one is excluded.
        self.excluded = vec![interrupted];
        while self.may_resume() && !events.is_closed() {
            let opened = self.open_upstream(node).await;
            let stream = opened.map_err(|failure| failure.reason)?;
            if stream.response.status.is_success() {
                return Ok(stream);
            }
            event!(
                info,
                "send to endpoint failed",
                id = self.id,
                endpoint = stream.endpoint,
                reason = format_args!("unexpected status {}", stream.response.status),
            );
            self.excluded = vec![stream.endpoint];
        }
        Err("stream can't be resumed".into())
    }

    /// Records which software version begins the stream, before the caller gets its first event.
    async fn record_begin<D: Dialect>(
        &mut self,
        node: &Rc<Node<D>>,
        software: Option<&SoftwareVersion>,
    ) {
        self.origin.record_event(software);
        if let Some(software) = self.origin.software().filter(|_| self.route.resumable) {
            streams::record_begin(node, &self.id, &self.service, software).await;
        }
    }

    /// Forwards events until the response ends or the caller disconnects.
    ///
    /// # Errors
    ///
    /// Fails if the response is incomplete, breaks off or pauses for too long.
    async fn forward_events<D: Dialect>(
        &mut self,
        node: &Rc<Node<D>>,
        run: &Run<D>,
        response: UpstreamResponse,
        events: &Sender<Result<Bytes, StreamAborted>>,
    ) -> Result<StreamEnd, SendFailure> {
        let endpoint = run.endpoint();
        let _in_flight = InFlightGuard::new(node, endpoint);
        let UpstreamResponse {
            head,
            body,
            connection,
            ..
        } = response;
        let mut reader = EventReader::new(body, &connection);
        loop {
            let next = tokio::select! {
                next = timeout(EVENT_TIMEOUT, reader.next()) => next,
                () = events.closed() => return Ok(StreamEnd::CallerLeft),
            };
            let next = next.map_err(|_| SendFailure::ambiguous("no event within the timeout"))?;
            let event = match next? {
                Some(event) => event,
                None => break,
            };
            let expected = self.last_event.map(|last| last + 1);
            match event.id {
                Some(id) if expected.is_none_or(|expected| expected == id) => {
                    self.last_event = Some(id);
                }
                _ => return Err(SendFailure::ambiguous("event out of order")),
            }
            if self.origin == StreamOrigin::None {
                self.record_begin(node, run.software()).await;
            }
            if events.send(Ok(event.raw)).await.is_err() {
                return Ok(StreamEnd::CallerLeft);
            }
        }
        if !head.closes {
            connection.return_to_pool(head.keep_alive_ms);
        }
        if let Some(entry) = node.directory.borrow_mut().registry.get_mut(endpoint) {
            entry.record_success();
        }
        Ok(StreamEnd::Complete)
    }
}
