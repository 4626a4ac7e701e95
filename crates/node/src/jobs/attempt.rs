//! One attempt at an item: generation of its output at one endpoint, then scoring.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use tokio::time::timeout;
use wisteriapoint_batch::{Item, ItemKey, Progress};
use wisteriapoint_directory::Route;
use wisteriapoint_types::{EndpointName, SoftwareVersion, WeightVersion};

use super::abandon::AbandonReason;
use super::{OwnedJob, read, score};
use crate::callers::batch::MAX_PAGE_BYTES;
use crate::dialect::{Dialect, OutboundMetadata};
use crate::forward::{InFlightGuard, post_request, record_send_failure};
use crate::node::{ChosenEndpoint, Node};
use crate::upstream::{Event, EventReader, SendFailure, UpstreamRequest, UpstreamResponse};
use crate::{event, limits};

/// Timeout for the head of the response; it covers the wait in a short queue and a load of weights
/// before it.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time for which an engine that refused an item receives no other, in milliseconds. The engine is
/// loading weights, which takes about a second, or its queue is full.
const REFUSAL_PAUSE_MS: u64 = 250;
/// Maximum time between two events of an output; an endpoint that is ten times slower than usual
/// still sends events faster than this.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Number of events over which the time per event of an endpoint is measured.
const EVENTS_PER_MEASUREMENT: u32 = 6;

/// One attempt at an item.
pub struct Attempt<D: Dialect> {
    key: ItemKey,
    item: Item,
    endpoint: EndpointName,
    software: Option<SoftwareVersion>,
    address: SocketAddr,
    min_version: WeightVersion,
    remaining_ms: u64,
    owned: Rc<OwnedJob>,
    /// Released when generation ends, before scoring.
    in_flight: Option<InFlightGuard<D>>,
}

/// Result of an attempt at an item.
#[derive(Debug)]
pub struct AttemptResult {
    /// Index of the item.
    pub key: ItemKey,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// Outcome of an attempt at an item.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The output is complete, and is scored if the item has a scorer.
    Completed {
        /// Data of all events, separated by line feeds.
        output: Box<str>,
        /// Weight versions that generated the output.
        versions: Vec<WeightVersion>,
        /// Score of the output; `None` for an item without a scorer.
        score: Option<Box<str>>,
    },
    /// The endpoint answered with an internal error, which counts as a failure of the item.
    Failed,
    /// The item can't be completed, for the given reason.
    Abandoned(AbandonReason),
    /// The item has to resume at another endpoint.
    Unfinished,
}

impl<D: Dialect> Attempt<D> {
    /// Creates an attempt at an endpoint; it resumes from the progress of an earlier attempt.
    ///
    /// It counts as in flight at the endpoint at once, since many attempts may be created before
    /// the first one runs.
    pub fn new(
        node: &Rc<Node<D>>,
        owned: &Rc<OwnedJob>,
        key: ItemKey,
        chosen: ChosenEndpoint,
    ) -> Self {
        let job = owned.job.borrow();
        let step = job.submission().step.as_ref();
        Self {
            key,
            item: job.submission().items[key.0 as usize].clone(),
            address: chosen.address,
            min_version: step.map(|step| step.min_version).unwrap_or_default(),
            remaining_ms: job.expires_at_ms().saturating_sub(node.now_ms()),
            owned: owned.clone(),
            in_flight: Some(InFlightGuard::new(node, &chosen.name)),
            endpoint: chosen.name,
            software: chosen.software,
        }
    }

    /// Generates and scores the output, and returns how that ended.
    pub async fn run(mut self, node: Rc<Node<D>>, route: Route) -> AttemptResult {
        let started_ms = node.now_ms();
        let generated = match read::body_to_send(&node, &self.owned, self.item.body).await {
            Ok(body) => self.generate(&node, &route, body).await,
            Err(error) => {
                event!(
                    info,
                    "item body not read; requeueing the item",
                    id = self.owned.id,
                    item = self.item.id,
                    error = error,
                );
                Err(AttemptOutcome::Unfinished)
            }
        };
        let events = self.last_event().unwrap_or(0);
        let outcome = match generated {
            Ok(()) => {
                let score = match &self.item.scorer {
                    Some(scorer) => score::score(&node, &self.owned, self.key, scorer)
                        .await
                        .map(Some),
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
            software = self.software.as_ref().map_or("", SoftwareVersion::as_str),
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

    fn finish(&mut self, score: Result<Option<Box<str>>, score::ScoringError>) -> AttemptOutcome {
        let progress = self.owned.progress.borrow_mut().remove(&self.key);
        match (score, progress) {
            (Ok(score), Some(progress)) => AttemptOutcome::Completed {
                output: progress.text.into(),
                versions: progress.versions.into_iter().collect(),
                score,
            },
            (Ok(_), None) => AttemptOutcome::Unfinished,
            (Err(score::ScoringError), _) => AttemptOutcome::Abandoned(AbandonReason::NotScored),
        }
    }

    async fn generate(
        &mut self,
        node: &Rc<Node<D>>,
        route: &Route,
        body: Bytes,
    ) -> Result<(), AttemptOutcome> {
        let upstream_request = self.build_request(route, body)?;
        let endpoint = self.endpoint.clone();
        let _in_flight = self.in_flight.take();
        let software = self.software.as_ref();
        if let Some(events) = self.owned.discard_foreign_output(self.key, software) {
            event!(
                info,
                "item begins anew at another software version",
                id = self.owned.id,
                item = self.item.id,
                endpoint = endpoint,
                lost_events = events,
            );
        }
        let _generating = GeneratingGuard::new(&self.owned, self.key, &endpoint, node.now_ms());
        let outbound = OutboundMetadata {
            id: &self.item.id,
            endpoint: &endpoint,
            remaining_ms: Some(self.remaining_ms),
            last_event: self.last_event(),
            workspace: self.owned.workspace.as_deref(),
        };
        let pending = limits::send(node, self.address, &upstream_request, outbound);
        let result = match timeout(RESPONSE_HEAD_TIMEOUT, pending).await {
            Ok(Ok(response)) => {
                // Releases the body, of which the endpoint has read what it wants.
                drop(upstream_request);
                self.read_output(node, route, response).await
            }
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err(SendFailure::ambiguous(
                "no response head within the timeout",
            )),
        };
        match result {
            Ok(outcome) => outcome,
            Err(failure) => {
                event!(
                    info,
                    "item generation failed; requeueing the item",
                    id = self.owned.id,
                    item = self.item.id,
                    endpoint = endpoint,
                    verdict = failure.verdict,
                    reason = failure.reason,
                );
                let mut directory = node.directory.borrow_mut();
                record_send_failure(
                    &mut directory,
                    node.now_ms(),
                    &endpoint,
                    &failure,
                    REFUSAL_PAUSE_MS,
                );
                Err(AttemptOutcome::Unfinished)
            }
        }
    }

    fn build_request(&self, route: &Route, body: Bytes) -> Result<UpstreamRequest, AttemptOutcome> {
        const MALFORMED: AttemptOutcome = AttemptOutcome::Abandoned(AbandonReason::Malformed);
        let mut headers = HeaderMap::new();
        let has_workspace = self.owned.workspace.is_some();
        let item_headers = self.item.headers.iter().filter(|(name, _)| {
            !has_workspace || !D::is_identity_header(&name.to_ascii_lowercase())
        });
        let host = (HOST.as_str(), &*route.host);
        for (name, value) in item_headers
            .map(|(name, value)| (&**name, &**value))
            .chain([host])
        {
            let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| MALFORMED)?;
            let value = HeaderValue::from_str(value).map_err(|_| MALFORMED)?;
            headers.insert(name, value);
        }
        let uri = self.item.path.parse().map_err(|_| MALFORMED)?;
        Ok(post_request(uri, headers, body))
    }

    /// Reads the output; the inner error is the outcome if the endpoint rejected or failed
    /// the item.
    ///
    /// # Errors
    ///
    /// Fails if the response is incomplete or violates the protocol or the route's requirements.
    async fn read_output(
        &mut self,
        node: &Node<D>,
        route: &Route,
        response: UpstreamResponse,
    ) -> Result<Result<(), AttemptOutcome>, SendFailure> {
        match response.status {
            StatusCode::OK => {}
            StatusCode::UNPROCESSABLE_ENTITY => {
                return Ok(Err(AttemptOutcome::Abandoned(AbandonReason::Rejected)));
            }
            StatusCode::INTERNAL_SERVER_ERROR => return Ok(Err(AttemptOutcome::Failed)),
            status => {
                return Err(SendFailure::ambiguous(format_args!(
                    "unexpected status {status}"
                )));
            }
        }
        let UpstreamResponse {
            head,
            body,
            connection,
            ..
        } = response;
        let mut version = head.version;
        let mut reader = EventReader::new(body, &connection);
        let mut timer = EventTimer::new(node.now_ms());
        let resumed_after = self.last_event();
        let mut previous_ms = None;
        loop {
            let next = timeout(EVENT_TIMEOUT, reader.next()).await;
            let event =
                match next.map_err(|_| SendFailure::ambiguous("no event within the timeout"))? {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(failure) => return Err(failure),
                };
            let reported = event
                .other_lines
                .iter()
                .find_map(|line| D::event_version(line));
            version = reported.or(version);
            self.append_event(route, event, version)?;
            let now_ms = node.now_ms();
            self.owned.record_event_at(self.key, now_ms);
            if let Some(previous_ms) = previous_ms.replace(now_ms) {
                self.record_event_gap(node, now_ms - previous_ms);
            }
            if let Some(ms_per_event) = timer.record_event(node.now_ms()) {
                self.record_event_time(node, ms_per_event);
            }
        }
        let is_empty = resumed_after.is_some() && self.last_event() == resumed_after;
        let mut empty_resumes = self.owned.empty_resumes.borrow_mut();
        // The output may lack only its end; a second endpoint then has nothing to add either.
        if is_empty && empty_resumes.insert(self.key) {
            return Err(SendFailure::ambiguous("no event after the last one"));
        }
        empty_resumes.remove(&self.key);
        drop(empty_resumes);
        connection.release(&head);
        if let Some(endpoint) = node.directory.borrow_mut().registry.get_mut(&self.endpoint) {
            endpoint.record_success();
        }
        match self.last_event() {
            Some(_) => Ok(Ok(())),
            None => Err(SendFailure::ambiguous("output without events")),
        }
    }

    /// Records the time between two events of the endpoint.
    fn record_event_gap(&self, node: &Node<D>, gap_ms: u64) {
        if let Some(endpoint) = node.directory.borrow_mut().registry.get_mut(&self.endpoint) {
            endpoint.record_event_gap(node.now_ms(), gap_ms as f64);
        }
    }

    /// Records the endpoint's time per event.
    fn record_event_time(&self, node: &Node<D>, ms_per_event: f64) {
        if let Some(endpoint) = node.directory.borrow_mut().registry.get_mut(&self.endpoint) {
            endpoint.record_event_time(node.now_ms(), ms_per_event);
        }
    }

    /// Appends an event to the output.
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
            return Err(SendFailure::ambiguous("weight version below the minimum"));
        };
        if route.single_version && progress.versions.iter().any(|&other| other != version) {
            *progress = Progress::default();
            return Err(SendFailure::ambiguous(
                "weight version changed within the output",
            ));
        }
        if progress.text.len() + event.data.len() > MAX_PAGE_BYTES {
            *progress = Progress::default();
            return Err(SendFailure::ambiguous("output too large"));
        }
        if progress.last_event.is_some() {
            progress.text.push('\n');
        }
        progress.text.push_str(&event.data);
        progress.versions.insert(version);
        progress.origin.record_event(self.software.as_ref());
        progress.last_event = event.id;
        self.owned.empty_resumes.borrow_mut().remove(&self.key);
        Ok(())
    }
}

/// Measures the mean time per event over several events.
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

    /// Counts an event; returns the mean time per event in milliseconds at the end of each
    /// measurement.
    fn record_event(&mut self, now_ms: u64) -> Option<f64> {
        self.events += 1;
        if self.events < EVENTS_PER_MEASUREMENT {
            return None;
        }
        let ms_per_event = (now_ms - self.since_ms) as f64 / f64::from(self.events);
        *self = Self::new(now_ms);
        Some(ms_per_event)
    }
}

/// Guard that marks the output of an item as being generated until it is dropped.
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
        AttemptOutcome::Abandoned(_) => "abandoned",
        AttemptOutcome::Unfinished => "unfinished",
    }
}
