//! One attempt at an item: its text from one endpoint, then its score.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use tokio::time::timeout;
use wisteriapoint_batch::{Item, ItemKey, Progress};
use wisteriapoint_directory::Route;
use wisteriapoint_types::{EndpointName, WeightVersion};

use super::{OwnedJob, score};
use crate::dialect::{Dialect, OutboundMetadata};
use crate::event;
use crate::forward::{InFlightGuard, post_request, record_send_failure, request_digest};
use crate::node::Node;
use crate::upstream::send::send;
use crate::upstream::{Event, EventReader, SendFailure, UpstreamRequest, UpstreamResponse};

/// Time to the head of an answer: a queue that is short, and a load of weights before it.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause of an engine that refused an item, in milliseconds: it loads weights, which takes about
/// a second, or its queue is full.
const REFUSAL_PAUSE_MS: u64 = 250;
/// Longest silence within a text; an endpoint that is ten times slow still speaks sooner.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Events over which the speed of an endpoint is measured.
const EVENTS_PER_MEASUREMENT: u32 = 6;

/// One attempt at an item.
pub struct Attempt<D: Dialect> {
    key: ItemKey,
    item: Item,
    endpoint: EndpointName,
    address: SocketAddr,
    min_version: WeightVersion,
    remaining_ms: u64,
    owned: Rc<OwnedJob>,
    /// Given up with the text, before the score.
    occupied: Option<InFlightGuard<D>>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The item.
    pub key: ItemKey,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// How an attempt at an item ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// Text and score are whole.
    Completed {
        /// The text.
        output: Box<str>,
        /// Weight versions that made it.
        versions: Vec<WeightVersion>,
        /// The score.
        score: Option<Box<str>>,
    },
    /// The endpoint failed it.
    Failed,
    /// It can never be done.
    Unservable,
    /// It has to go on elsewhere.
    Unfinished,
}

impl<D: Dialect> Attempt<D> {
    /// An attempt at an endpoint, from where an earlier one got to.
    ///
    /// It occupies the endpoint at once: many attempts may be made before the first one runs.
    pub fn new(
        node: &Rc<Node<D>>,
        owned: &Rc<OwnedJob>,
        key: ItemKey,
        endpoint: EndpointName,
        address: SocketAddr,
    ) -> Self {
        let job = owned.job.borrow();
        let step = job.submission().step.as_ref();
        Self {
            key,
            item: job.submission().items[key.0 as usize].clone(),
            address,
            min_version: step.map(|step| step.min_version).unwrap_or_default(),
            remaining_ms: job.expires_at_ms().saturating_sub(node.now_ms()),
            owned: owned.clone(),
            occupied: Some(InFlightGuard::new(node, &endpoint)),
            endpoint,
        }
    }

    /// Runs the attempt.
    pub async fn run(mut self, node: Rc<Node<D>>, route: Route) -> AttemptResult {
        let started_ms = node.now_ms();
        let generated = self.generate(&node, &route).await;
        let events = self.last_event().unwrap_or(0);
        let outcome = match generated {
            Ok(()) => {
                let score = match &self.item.scorer {
                    Some(scorer) => score::score(&node, &self.owned, scorer).await.map(Some),
                    None => Ok(None),
                };
                self.finish(score)
            }
            Err(outcome) => outcome,
        };
        event!(
            info,
            "item attempt ended",
            id = self.owned.id,
            item = self.item.id,
            endpoint = self.endpoint,
            outcome = outcome_name(&outcome),
            events = events,
            elapsed_ms = node.now_ms() - started_ms,
        );
        AttemptResult {
            key: self.key,
            outcome,
        }
    }

    fn last_event(&self) -> Option<u64> {
        let progress = self.owned.progress.borrow();
        progress
            .get(&self.key)
            .and_then(|progress| progress.last_event)
    }

    fn finish(&mut self, score: Result<Option<Box<str>>, score::Unscored>) -> AttemptOutcome {
        let progress = self.owned.progress.borrow_mut().remove(&self.key);
        match (score, progress) {
            (Ok(score), Some(progress)) => AttemptOutcome::Completed {
                output: progress.text.into(),
                versions: progress.versions.into_iter().collect(),
                score,
            },
            (Ok(_), None) => AttemptOutcome::Unfinished,
            (Err(score::Unscored), _) => AttemptOutcome::Unservable,
        }
    }

    async fn generate(&mut self, node: &Node<D>, route: &Route) -> Result<(), AttemptOutcome> {
        let sending = self.build_request(route)?;
        let endpoint = self.endpoint.clone();
        let _occupied = self.occupied.take();
        let _generating = GeneratingGuard::new(&self.owned, self.key, &endpoint, node.now_ms());
        let addressed = OutboundMetadata {
            id: &self.item.id,
            endpoint: &endpoint,
            remaining_ms: Some(self.remaining_ms),
            last_event: self.last_event(),
        };
        let sent = send::<D>(&node.pool, self.address, &sending, addressed);
        let result = match timeout(RESPONSE_HEAD_TIMEOUT, sent).await {
            Ok(Ok(received)) => self.read_output(node, route, received).await,
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err(SendFailure::ambiguous("silent")),
        };
        match result {
            Ok(outcome) => outcome,
            Err(failure) => {
                event!(
                    info,
                    "item broke off",
                    id = self.owned.id,
                    item = self.item.id,
                    endpoint = endpoint,
                    verdict = failure.verdict,
                    why = failure.reason,
                );
                let digest = request_digest(&sending);
                let mut directory = node.directory.borrow_mut();
                record_send_failure(
                    &mut directory,
                    node.now_ms(),
                    &endpoint,
                    digest,
                    &failure,
                    REFUSAL_PAUSE_MS,
                );
                Err(AttemptOutcome::Unfinished)
            }
        }
    }

    fn build_request(&self, route: &Route) -> Result<UpstreamRequest, AttemptOutcome> {
        let mut headers = HeaderMap::new();
        let item_headers = self.item.headers.iter();
        let host = (HOST.as_str(), &*route.host);
        for (name, value) in item_headers
            .map(|(name, value)| (&**name, &**value))
            .chain([host])
        {
            let name =
                HeaderName::from_bytes(name.as_bytes()).map_err(|_| AttemptOutcome::Unservable)?;
            let value = HeaderValue::from_str(value).map_err(|_| AttemptOutcome::Unservable)?;
            headers.insert(name, value);
        }
        let uri = self
            .item
            .path
            .parse()
            .map_err(|_| AttemptOutcome::Unservable)?;
        Ok(post_request(
            uri,
            headers,
            Bytes::from(self.item.body.clone()),
        ))
    }

    /// Reads the text; gives how the attempt ended if the endpoint answered.
    async fn read_output(
        &mut self,
        node: &Node<D>,
        route: &Route,
        received: UpstreamResponse,
    ) -> Result<Result<(), AttemptOutcome>, SendFailure> {
        match received.status {
            status if status.is_success() => {}
            StatusCode::UNPROCESSABLE_ENTITY => return Ok(Err(AttemptOutcome::Unservable)),
            StatusCode::INTERNAL_SERVER_ERROR => return Ok(Err(AttemptOutcome::Failed)),
            status => return Err(SendFailure::ambiguous(format_args!("answered {status}"))),
        }
        let UpstreamResponse {
            reply,
            body,
            connection,
            ..
        } = received;
        let mut version = reply.version;
        let mut reader = EventReader::new(body);
        let mut timer = EventTimer::new(node.now_ms());
        loop {
            let next = timeout(EVENT_TIMEOUT, reader.next()).await;
            let event = match next.map_err(|_| SendFailure::ambiguous("silent"))? {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(error) => return Err(SendFailure::ambiguous(error)),
            };
            let reported = event
                .other_lines
                .iter()
                .find_map(|line| D::event_version(line));
            version = reported.or(version);
            self.append_event(route, event, version)?;
            if let Some(unit_ms) = timer.record_event(node.now_ms()) {
                self.record_unit_time(node, unit_ms);
            }
        }
        if !reply.closes {
            connection.return_to_pool(reply.keep_alive_ms);
        }
        if let Some(endpoint) = node.directory.borrow_mut().registry.get_mut(&self.endpoint) {
            endpoint.record_success();
        }
        match self.last_event() {
            Some(_) => Ok(Ok(())),
            None => Err(SendFailure::ambiguous("text without events")),
        }
    }

    /// Notes the endpoint's time for an event.
    fn record_unit_time(&self, node: &Node<D>, unit_ms: f64) {
        if let Some(endpoint) = node.directory.borrow_mut().registry.get_mut(&self.endpoint) {
            endpoint.record_unit_time(node.now_ms(), unit_ms);
        }
    }

    /// Adds an event to the text.
    fn append_event(
        &self,
        route: &Route,
        event: Event,
        version: Option<WeightVersion>,
    ) -> Result<(), SendFailure> {
        let mut progress_by_item = self.owned.progress.borrow_mut();
        let progress = progress_by_item.entry(self.key).or_default();
        let is_next = match (progress.last_event, event.id) {
            (Some(last), Some(id)) => id == last + 1,
            (None, id) => id.is_some(),
            (Some(_), None) => false,
        };
        if !is_next {
            return Err(SendFailure::ambiguous("event out of order"));
        }
        let Some(version) = version.filter(|&version| version >= self.min_version) else {
            return Err(SendFailure::ambiguous("weights too old"));
        };
        if route.single_version && progress.versions.iter().any(|&other| other != version) {
            *progress = Progress::default();
            return Err(SendFailure::ambiguous("weights changed within the text"));
        }
        if progress.last_event.is_some() {
            progress.text.push('\n');
        }
        progress.text.push_str(&event.data);
        progress.versions.insert(version);
        progress.last_event = event.id;
        Ok(())
    }
}

/// Measures the time for an event over a few of them.
struct EventTimer {
    since_ms: u64,
    events: u32,
}

impl EventTimer {
    fn new(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            events: 0,
        }
    }

    /// Counts an event; gives the time for one each time that enough have come.
    fn record_event(&mut self, now_ms: u64) -> Option<f64> {
        self.events += 1;
        if self.events < EVENTS_PER_MEASUREMENT {
            return None;
        }
        let unit_ms = (now_ms - self.since_ms) as f64 / f64::from(self.events);
        *self = Self::new(now_ms);
        Some(unit_ms)
    }
}

/// Marks an item as being generated for as long as it lives.
struct GeneratingGuard {
    owned: Rc<OwnedJob>,
    key: ItemKey,
}

impl GeneratingGuard {
    fn new(owned: &Rc<OwnedJob>, key: ItemKey, endpoint: &EndpointName, now_ms: u64) -> Self {
        let location = (endpoint.clone(), now_ms);
        owned.generating.borrow_mut().insert(key, location);
        let owned = owned.clone();
        Self { owned, key }
    }
}

impl Drop for GeneratingGuard {
    fn drop(&mut self) {
        self.owned.generating.borrow_mut().remove(&self.key);
    }
}

fn outcome_name(outcome: &AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Completed { .. } => "completed",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Unservable => "hopeless",
        AttemptOutcome::Unfinished => "unfinished",
    }
}
