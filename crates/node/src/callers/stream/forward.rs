//! Forwarding of a stream's events, and its resumption at another endpoint.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;
use wisteriapoint_types::{EndpointName, SoftwareVersion, StreamOrigin};

use super::open::end_run;
use super::{StreamForwarder, UpstreamStream, failure};
use crate::callers::response::{CallerResponse, Payload, StreamAborted, endpoint_response};
use crate::dialect::Dialect;
use crate::forward::{ForwardFailure, InFlightGuard, begin_counting};
use crate::node::Node;
use crate::suspects::Run;
use crate::upstream::{EventReader, SendFailure, UpstreamResponse};
use crate::{event, streams};

/// Gap between two events after which a stream goes on at another endpoint, in milliseconds: callers
/// disconnect after 2 s, or four times the objective if that is longer.
const MIN_RESUME_GAP_MS: u64 = 1_500;
/// The same in multiples of the objective.
const RESUME_GAP_OBJECTIVES: u64 = 3;

/// How the forwarding of an endpoint's events ended.
enum StreamEnd {
    /// The caller has all events.
    Complete,
    /// The caller has disconnected.
    CallerLeft,
}

impl StreamForwarder {
    /// Reads the body of a response that is no success, and returns the response to the caller.
    pub(super) async fn read_failure<D: Dialect>(
        &self,
        node: &Rc<Node<D>>,
        stream: UpstreamStream<D>,
    ) -> Result<CallerResponse, ForwardFailure> {
        let (headers, status) = (stream.response.headers.clone(), stream.response.status);
        let left_ms = self.end_at_ms.saturating_sub(node.now_ms());
        let body = stream.response.read_body();
        let body = timeout(Duration::from_millis(left_ms), body).await;
        let error = match body.unwrap_or_else(|_| Err(SendFailure::silent("its time is over"))) {
            Ok(body) => {
                match status.is_server_error() {
                    true => stream.run.record_end(),
                    false => stream.run.record_completion(),
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
        end_run(stream.run, stream.address, &error).await;
        Err(ForwardFailure {
            is_timeout: node.now_ms() >= self.end_at_ms,
            ..failure(error.verdict, &error.reason)
        })
    }

    /// Forwards events, and resumes at another endpoint when one fails.
    pub(super) async fn forward_stream<D: Dialect>(
        mut self,
        node: Rc<Node<D>>,
        mut stream: UpstreamStream<D>,
        events: Sender<Result<Bytes, StreamAborted>>,
    ) {
        let mut is_resumed = false;
        loop {
            let UpstreamStream {
                run,
                endpoint,
                address,
                response,
            } = stream;
            let forwarded = self
                .forward_events(&node, &run, response, &events, is_resumed)
                .await;
            is_resumed = true;
            let failure = match forwarded {
                Ok(StreamEnd::Complete) => {
                    node.record_duration(&self.route.name, self.arrived_at_ms);
                    return run.record_completion();
                }
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
            end_run(run, address, &failure).await;
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

    /// Resumes the stream at one endpoint after another until one responds with status 200; another success
    /// says that the body is no stream.
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
            if stream.response.status == StatusCode::OK {
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
        begin_counting(node, self.workspace.as_deref(), self.credential);
        if let Some(software) = self.origin.software().filter(|_| self.route.resumable) {
            streams::record_begin(node, &self.id, &self.service, software).await;
        }
    }

    /// Returns the longest time to wait for the next event.
    ///
    /// An endpoint that preempts a request is silent for a while. A stream that can't go on elsewhere
    /// waits for it as long as its caller does, and until its time is over.
    fn event_timeout<D: Dialect>(&self, node: &Node<D>) -> Duration {
        let gap_ms = MIN_RESUME_GAP_MS.max(self.route.objective_ms * RESUME_GAP_OBJECTIVES);
        let timeout_ms = match self.may_resume() {
            true => gap_ms,
            false => gap_ms.max(self.end_at_ms.saturating_sub(node.now_ms())),
        };
        Duration::from_millis(timeout_ms)
    }

    /// Forwards events until the response ends or the caller disconnects.
    ///
    /// # Errors
    ///
    /// Fails if the response is incomplete, breaks off or pauses for too long, and if it holds no event after
    /// those of another endpoint, unless a second one has none either.
    async fn forward_events<D: Dialect>(
        &mut self,
        node: &Rc<Node<D>>,
        run: &Run<D>,
        response: UpstreamResponse,
        events: &Sender<Result<Bytes, StreamAborted>>,
        is_resumed: bool,
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
        let last_event = self.last_event;
        loop {
            let next = tokio::select! {
                next = timeout(self.event_timeout(node), reader.next()) => next,
                () = events.closed() => return Ok(StreamEnd::CallerLeft),
            };
            let next = next.map_err(|_| SendFailure::silent("no event within the timeout"))?;
            let event = match next? {
                Some(event) => event,
                None => break,
            };
            run.record_part();
            let expected = self.last_event.map(|last| last + 1);
            match event.id {
                Some(id) if expected.is_none_or(|expected| expected == id) => {
                    self.last_event = Some(id);
                    self.was_empty = false;
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
        let is_empty = is_resumed && self.last_event == last_event;
        if is_empty && !std::mem::replace(&mut self.was_empty, true) {
            return Err(SendFailure::ambiguous("no event after the last one"));
        }
        connection.release(&head);
        if let Some(entry) = node.directory.borrow_mut().registry.get_mut(endpoint) {
            entry.record_success();
        }
        Ok(StreamEnd::Complete)
    }
}
