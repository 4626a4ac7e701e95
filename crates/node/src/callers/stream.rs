//! Streams of events, passed on as they arrive.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::CONTENT_LENGTH;
use tokio::sync::mpsc::{Sender, channel};
use tokio::task::spawn_local;
use tokio::time::timeout;
use wisteriapoint_directory::Route;
use wisteriapoint_types::{EndpointName, ServiceName, Verdict};

use super::answer::{Answer, BrokenOff, Payload, given_up, of_endpoint};
use crate::dialect::{Addressed, Dialect};
use crate::event;
use crate::forward::{FULL_PAUSE_MS, Forward, GivenUp, Occupied, digest_of, note_failure};
use crate::node::Node;
use crate::upstream::send::send;
use crate::upstream::{EventReader, Received, Sending};

/// Events that may wait for a slow caller.
const MAX_WAITING_EVENTS: usize = 64;
/// Longest silence of an endpoint within a stream: callers leave after two seconds.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);
/// What a refused caller is told to wait, in milliseconds.
const COME_BACK_MS: u64 = 150;

/// What is needed to go on with a stream at another endpoint.
#[derive(Debug)]
struct Course {
    id: Box<str>,
    sending: Sending,
    route: Route,
    service: ServiceName,
    end_at_ms: u64,
    last_event: Option<u64>,
    excluded: Vec<EndpointName>,
    started: u32,
}

/// Answers a request for a stream.
pub async fn answer<D: Dialect>(
    node: &Rc<Node<D>>,
    request: Forward<'_>,
    last_event: Option<u64>,
) -> Answer {
    let route = request.route;
    let give_up = |verdict, why: &str, is_timeout| {
        event!(
            info,
            "stream given up",
            id = request.id,
            verdict = verdict,
            why = why
        );
        given_up::<D>(&GivenUp {
            verdict,
            why: why.into(),
            is_timeout,
            come_back_ms: COME_BACK_MS,
        })
    };
    let Some(service) = route.select_service(rand::random()).cloned() else {
        return give_up(Verdict::NotRun, "route without a service", false);
    };
    let mut course = Course {
        id: request.id.into(),
        sending: request.sending,
        route: route.clone(),
        service,
        end_at_ms: request
            .deadline_at_ms
            .min(request.arrived_at_ms + route.timeout_ms),
        last_event,
        excluded: Vec::new(),
        started: 0,
    };
    match course.start(node).await {
        Ok((endpoint, received)) if !received.status.is_success() => {
            let (headers, status) = (received.headers.clone(), received.status);
            match received.whole().await {
                Ok(body) => of_endpoint::<D>(status, &headers, Payload::Whole(Some(body))),
                Err(failure) => {
                    event!(
                        info,
                        "send failed",
                        id = course.id,
                        endpoint = endpoint,
                        why = failure.why
                    );
                    give_up(failure.verdict, &failure.why, false)
                }
            }
        }
        Ok((endpoint, received)) => {
            let headers = received.headers.clone();
            let status = received.status;
            let (events, pieces) = channel(MAX_WAITING_EVENTS);
            spawn_local(course.run(node.clone(), endpoint, received, events));
            let mut answer = of_endpoint::<D>(status, &headers, Payload::Pieces(pieces));
            answer.headers_mut().remove(CONTENT_LENGTH);
            answer
        }
        Err((verdict, why)) => {
            let is_timeout = node.now_ms() >= course.end_at_ms;
            give_up(verdict, &why, is_timeout)
        }
    }
}

impl Course {
    /// Whether the stream may be started again.
    fn may_resume(&self) -> bool {
        self.route.resumable && self.started < self.route.max_attempts
    }

    /// Sends the request until an endpoint begins to answer it.
    async fn start<D: Dialect>(
        &mut self,
        node: &Rc<Node<D>>,
    ) -> Result<(EndpointName, Received), (Verdict, Box<str>)> {
        let mut verdict = match self.started {
            0 => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        };
        let mut why: Box<str> = "no endpoint has room".into();
        loop {
            let now_ms = node.now_ms();
            let left_ms = self.end_at_ms.saturating_sub(now_ms);
            let Some((endpoint, address)) = node
                .choose(node.need(&self.service), &self.excluded)
                .filter(|_| left_ms > 0)
            else {
                return Err((verdict, why));
            };
            let addressed = Addressed {
                id: &self.id,
                endpoint: &endpoint,
                left_ms: Some(left_ms),
                last_event: self.last_event,
            };
            let sent = send::<D>(&node.pool, address, &self.sending, addressed);
            let failure = match timeout(Duration::from_millis(left_ms), sent).await {
                Ok(Ok(received)) => {
                    self.started += 1;
                    return Ok((endpoint, received));
                }
                Ok(Err(failure)) => failure,
                Err(_) => return Err((Verdict::MayHaveRun, "its time is over".into())),
            };
            let digest = digest_of(&self.sending);
            note_failure(
                &mut node.directory.borrow_mut(),
                now_ms,
                &endpoint,
                digest,
                &failure,
                FULL_PAUSE_MS,
            );
            event!(
                info,
                "send failed",
                id = self.id,
                endpoint = endpoint,
                verdict = failure.verdict,
                why = failure.why,
            );
            self.excluded.push(endpoint);
            why = failure.why;
            if failure.verdict != Verdict::NotRun {
                verdict = Verdict::MayHaveRun;
                self.started += 1;
                if !self.may_resume() {
                    return Err((verdict, why));
                }
            }
        }
    }

    /// Passes events on, and goes on elsewhere when an endpoint breaks off.
    async fn run<D: Dialect>(
        mut self,
        node: Rc<Node<D>>,
        mut endpoint: EndpointName,
        mut received: Received,
        events: Sender<Result<Bytes, BrokenOff>>,
    ) {
        loop {
            let why = match self.pass_on(&node, &endpoint, received, &events).await {
                Ok(()) => return,
                Err(why) => why,
            };
            event!(
                info,
                "stream broke off",
                id = self.id,
                endpoint = endpoint,
                why = why
            );
            if let Some(known) = node.directory.borrow_mut().registry.get_mut(&endpoint) {
                known.record_failure(node.now_ms());
            }
            // Those that broke off before may be well again; the last one is not asked next.
            self.excluded = vec![endpoint];
            let next = match self.may_resume() && !events.is_closed() {
                true => self.start(&node).await,
                false => Err((Verdict::MayHaveRun, "not resumed".into())),
            };
            match next {
                Ok(next) => (endpoint, received) = next,
                Err((_, why)) => {
                    event!(info, "stream given up", id = self.id, why = why);
                    // A failure means that the caller has left.
                    let _is_delivered = events.send(Err(BrokenOff)).await.is_ok();
                    return;
                }
            }
        }
    }

    async fn pass_on<D: Dialect>(
        &mut self,
        node: &Rc<Node<D>>,
        endpoint: &EndpointName,
        received: Received,
        events: &Sender<Result<Bytes, BrokenOff>>,
    ) -> Result<(), Box<str>> {
        let _occupied = Occupied::new(node, endpoint);
        let Received {
            reply,
            body,
            connection,
            ..
        } = received;
        let mut reader = EventReader::new(body);
        loop {
            let next = tokio::select! {
                next = timeout(MAX_SILENCE, reader.next()) => next,
                () = events.closed() => return Ok(()),
            };
            let event = match next.map_err(|_| "silent")?? {
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
        if !reply.closes {
            connection.give_back(reply.keep_alive_ms);
        }
        if let Some(known) = node.directory.borrow_mut().registry.get_mut(endpoint) {
            known.record_success();
        }
        Ok(())
    }
}
