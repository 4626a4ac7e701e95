//! Requests that are passed on as they are: which endpoint, how often, and what the caller is told.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use tokio::time::{sleep, timeout};
use wisteriapoint_directory::{Requirements, Route, RouteKind};
use wisteriapoint_types::{Digest, EndpointName, ServiceName, Verdict};

use crate::dialect::{Addressed, Dialect, Reply};
use crate::event;
use crate::node::Node;
use crate::upstream::send::send;
use crate::upstream::{Received, SendFailure, Sending};

/// First answers that a request which may be repeated waits for, in objectives: beyond, another
/// endpoint is likely to answer sooner than one that is slow or silent.
const PATIENCE_OBJECTIVES: u64 = 2;
/// Pause before endpoints that refused for want of room are asked again, in milliseconds.
pub const FULL_PAUSE_MS: u64 = 15;
/// Share of the objective in which an endpoint with room has to be found; then the caller is told
/// to come back, while there is time for it.
const PLACING_SHARE: u64 = 4;
/// What a refused caller is told to wait, in milliseconds: a few times the time of a plain request.
const COME_BACK_MS: u64 = 100;

/// A request on its way.
#[derive(Debug)]
pub struct Forward<'a> {
    /// The id under which it runs.
    pub id: &'a str,
    /// Its route.
    pub route: &'a Route,
    /// What is sent.
    pub sending: Sending,
    /// When the caller gives up, in milliseconds of the node's clock.
    pub deadline_at_ms: u64,
    /// When it arrived.
    pub arrived_at_ms: u64,
}

/// How a request ended.
#[derive(Debug)]
pub enum Ending {
    /// With the whole answer of an endpoint.
    Answer {
        /// The status.
        status: StatusCode,
        /// The endpoint's headers.
        headers: HeaderMap,
        /// What they say.
        reply: Reply,
        /// The body.
        body: Bytes,
    },
    /// Without one.
    GivenUp(GivenUp),
}

/// Why a request was given up.
#[derive(Debug, Clone)]
pub struct GivenUp {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// The reason.
    pub why: Box<str>,
    /// Whether its time was over.
    pub is_timeout: bool,
    /// When the caller may come back, in milliseconds.
    pub come_back_ms: u64,
}

/// What has been tried for one request.
#[derive(Debug, Default)]
struct Tried {
    excluded: Vec<EndpointName>,
    may_have_run: u32,
    last_answer: Option<Ending>,
    last_why: Box<str>,
}

impl Tried {
    fn verdict(&self) -> Verdict {
        match self.may_have_run {
            0 => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    /// Takes a failed send; gives whether another endpoint may be asked.
    fn may_go_on(&mut self, route: &Route, endpoint: EndpointName, failure: SendFailure) -> bool {
        self.excluded.push(endpoint);
        self.last_why = failure.why;
        let may_repeat = route.kind.may_repeat();
        if failure.verdict == Verdict::NotRun {
            return self.may_have_run == 0 || may_repeat;
        }
        self.may_have_run += 1;
        may_repeat && self.may_have_run < route.max_attempts.max(1)
    }

    fn give_up(self, why: &str, is_timeout: bool) -> Ending {
        let verdict = self.verdict();
        let why = match &*self.last_why {
            "" => why.into(),
            last => format!("{why}; last: {last}").into(),
        };
        match self.last_answer {
            Some(answer) => answer,
            None => Ending::GivenUp(GivenUp {
                verdict,
                why,
                is_timeout,
                come_back_ms: COME_BACK_MS,
            }),
        }
    }
}

/// Passes a request on until an endpoint has answered it or its time is over.
pub async fn forward<D: Dialect>(node: &Rc<Node<D>>, forward: &Forward<'_>) -> Ending {
    let Some(service) = forward.route.select_service(rand::random()).cloned() else {
        return Tried::default().give_up("route without a service", false);
    };
    let digest = digest_of(&forward.sending);
    if node
        .directory
        .borrow()
        .suspects
        .is_quarantined(node.now_ms(), digest)
    {
        return Tried::default().give_up("it has crashed the endpoints that ran it", false);
    }
    let end_at_ms = forward
        .deadline_at_ms
        .min(forward.arrived_at_ms + forward.route.timeout_ms);
    let placing_end_ms = forward.arrived_at_ms + forward.route.objective_ms / PLACING_SHARE;
    let mut tried = Tried::default();
    loop {
        let now_ms = node.now_ms();
        if now_ms >= end_at_ms {
            return tried.give_up("its time is over", true);
        }
        // What may have run elsewhere can't be refused any more, so it may wait in any queue.
        let objective_ms = (tried.may_have_run == 0).then_some(forward.route.objective_ms);
        let need = Requirements {
            objective_ms,
            ..node.need(&service)
        };
        let Some((endpoint, address)) = node.choose(need, &tried.excluded) else {
            match may_place_later(node, need, &tried) {
                true if now_ms < placing_end_ms => {
                    tried.excluded.clear();
                    sleep(Duration::from_millis(FULL_PAUSE_MS)).await;
                    continue;
                }
                true => return tried.give_up("no endpoint has room", false),
                false => return tried.give_up("no endpoint is left to ask", false),
            }
        };
        let occupancy = node.occupancy(&endpoint);
        let limit_ms = limit_ms(forward, &tried, end_at_ms - now_ms);
        let attempt = attempt(node, forward, &endpoint, address, end_at_ms - now_ms);
        let result = timeout(Duration::from_millis(limit_ms), attempt).await;
        let result = result
            .unwrap_or_else(|_| Err(SendFailure::cut(format!("no answer for {limit_ms} ms"))));
        let sent = Sent {
            at_ms: now_ms,
            occupancy: occupancy + 1,
        };
        note(node, &endpoint, &service, digest, sent, &result);
        let failure = match result {
            Ok(answer) if may_retry_answer(forward.route, &answer, &tried) => {
                tried.may_have_run += 1;
                tried.excluded.push(endpoint);
                tried.last_answer = Some(answer);
                continue;
            }
            Ok(answer) => return answer,
            Err(failure) => failure,
        };
        event!(
            info,
            "send failed",
            id = forward.id,
            endpoint = endpoint,
            verdict = failure.verdict,
            why = failure.why,
            after_ms = node.now_ms() - now_ms,
        );
        if !tried.may_go_on(forward.route, endpoint, failure) {
            let is_timeout = node.now_ms() >= end_at_ms;
            return tried.give_up("the endpoint did not answer it", is_timeout);
        }
    }
}

/// Whether a request that nothing has run could be placed if it waited a moment.
fn may_place_later<D: Dialect>(node: &Node<D>, need: Requirements<'_>, tried: &Tried) -> bool {
    let directory = node.directory.borrow();
    let is_only_busy = directory
        .registry
        .has_eligible(node.now_ms(), need, &tried.excluded);
    tried.may_have_run == 0 && (is_only_busy || !tried.excluded.is_empty())
}

/// Time for one attempt: all that is left, unless another endpoint may still be asked.
fn limit_ms(forward: &Forward<'_>, tried: &Tried, left_ms: u64) -> u64 {
    let may_repeat = forward.route.kind == RouteKind::Idempotent
        && tried.may_have_run + 1 < forward.route.max_attempts;
    match may_repeat {
        true => left_ms.min(forward.route.objective_ms * PATIENCE_OBJECTIVES),
        false => left_ms,
    }
}

/// Whether an endpoint's own failure is worth another endpoint.
fn may_retry_answer(route: &Route, answer: &Ending, tried: &Tried) -> bool {
    let is_server_error =
        matches!(answer, Ending::Answer { status, .. } if status.is_server_error());
    is_server_error && route.kind.may_repeat() && tried.may_have_run + 1 < route.max_attempts
}

async fn attempt<D: Dialect>(
    node: &Rc<Node<D>>,
    forward: &Forward<'_>,
    endpoint: &EndpointName,
    address: std::net::SocketAddr,
    left_ms: u64,
) -> Result<Ending, SendFailure> {
    let _occupied = Occupied::new(node, endpoint);
    let addressed = Addressed {
        id: forward.id,
        endpoint,
        left_ms: Some(left_ms),
        last_event: None,
    };
    let received: Received = send::<D>(&node.pool, address, &forward.sending, addressed).await?;
    let (status, headers, reply) = (
        received.status,
        received.headers.clone(),
        received.reply.clone(),
    );
    let body = received.whole().await?;
    Ok(Ending::Answer {
        status,
        headers,
        reply,
        body,
    })
}

/// Counts a request at an endpoint for as long as it lives.
pub struct Occupied<D: Dialect> {
    node: Rc<Node<D>>,
    endpoint: EndpointName,
}

impl<D: Dialect> Occupied<D> {
    /// Counts one more request at an endpoint.
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

impl<D: Dialect> Drop for Occupied<D> {
    fn drop(&mut self) {
        let mut directory = self.node.directory.borrow_mut();
        if let Some(endpoint) = directory.registry.get_mut(&self.endpoint) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }
}

/// When a request was sent, and how many the endpoint had with it.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at_ms: u64,
    occupancy: u32,
}

fn note<D: Dialect>(
    node: &Node<D>,
    endpoint: &EndpointName,
    service: &ServiceName,
    digest: Digest,
    sent: Sent,
    result: &Result<Ending, SendFailure>,
) {
    let now_ms = node.now_ms();
    let mut directory = node.directory.borrow_mut();
    let outcome = match result {
        Ok(Ending::Answer { status, reply, .. }) => {
            directory.suspects.clear(digest);
            if let Some(known) = directory.registry.get_mut(endpoint) {
                known.record_response(now_ms - sent.at_ms, sent.occupancy);
                if let Some(load) = reply.load {
                    known.record_load(now_ms, load);
                }
            }
            match status.is_success() {
                true => "answered",
                false => "failed",
            }
        }
        Ok(Ending::GivenUp(_)) => "given-up",
        Err(failure) => note_failure(
            &mut directory,
            now_ms,
            endpoint,
            digest,
            failure,
            FULL_PAUSE_MS,
        ),
    };
    node.metrics
        .sends
        .with_label_values(&[service.as_str(), outcome])
        .inc();
}

/// Notes a failed send; gives its name for the metrics.
pub fn note_failure(
    directory: &mut crate::node::Directory,
    now_ms: u64,
    endpoint: &EndpointName,
    digest: Digest,
    failure: &SendFailure,
    full_pause_ms: u64,
) -> &'static str {
    if failure.broke_off {
        directory.suspects.record_crash(now_ms, digest, endpoint);
    }
    match directory.registry.get_mut(endpoint) {
        Some(known) if failure.was_full => known.record_overload(now_ms, full_pause_ms),
        Some(known) => known.record_failure(now_ms),
        None => {}
    }
    match failure.verdict {
        Verdict::NotRun if failure.was_full => "full",
        Verdict::NotRun => "not-run",
        _ => "may-have-run",
    }
}

/// The fingerprint by which a request that comes again is known.
pub fn digest_of(sending: &Sending) -> Digest {
    let path = sending
        .uri
        .path_and_query()
        .map_or("", |path| path.as_str());
    Digest::new(&[path.as_bytes(), &sending.body])
}

/// A POST, as batch jobs send them.
pub fn post(uri: Uri, headers: HeaderMap, body: Bytes) -> Sending {
    Sending {
        method: Method::POST,
        uri,
        headers,
        body,
    }
}
