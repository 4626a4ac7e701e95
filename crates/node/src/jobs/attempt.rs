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

use super::{Owned, score};
use crate::dialect::{Addressed, Dialect};
use crate::event;
use crate::forward::{Occupied, digest_of, note_failure, post};
use crate::node::Node;
use crate::upstream::send::send;
use crate::upstream::{Event, EventReader, Received, SendFailure, Sending};

/// Time to the head of an answer: a queue that is short, and a load of weights before it.
const FIRST_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause of an engine that refused an item, in milliseconds: it loads weights, which takes about
/// a second, or its queue is full.
const REFUSED_PAUSE_MS: u64 = 250;
/// Longest silence within a text; an endpoint that is ten times slow still speaks sooner.
const MAX_SILENCE: Duration = Duration::from_millis(2_000);

/// Events over which the speed of an endpoint is measured.
const SPEED_EVENTS: u32 = 6;

/// One attempt at an item.
pub struct Attempt<D: Dialect> {
    key: ItemKey,
    item: Item,
    endpoint: EndpointName,
    address: SocketAddr,
    min_version: WeightVersion,
    left_ms: u64,
    owned: Rc<Owned>,
    /// Given up with the text, before the score.
    occupied: Option<Occupied<D>>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The item.
    pub key: ItemKey,
    /// How it ended.
    pub ended: Ended,
}

/// How an attempt at an item ended.
#[derive(Debug)]
pub enum Ended {
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
    Hopeless,
    /// It has to go on elsewhere.
    Unfinished,
}

impl<D: Dialect> Attempt<D> {
    /// An attempt at an endpoint, from where an earlier one got to.
    ///
    /// It occupies the endpoint at once: many attempts may be made before the first one runs.
    pub fn new(
        node: &Rc<Node<D>>,
        owned: &Rc<Owned>,
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
            left_ms: job.expires_at_ms().saturating_sub(node.now_ms()),
            owned: owned.clone(),
            occupied: Some(Occupied::new(node, &endpoint)),
            endpoint,
        }
    }

    /// Runs the attempt.
    pub async fn run(mut self, node: Rc<Node<D>>, route: Route) -> AttemptEnd {
        let started_ms = node.now_ms();
        let generated = self.generate(&node, &route).await;
        let events = self.last_event().unwrap_or(0);
        let ended = match generated {
            Ok(()) => {
                let score = match &self.item.scorer {
                    Some(scorer) => score::score(&node, &self.owned, scorer).await.map(Some),
                    None => Ok(None),
                };
                self.completed(score)
            }
            Err(ended) => ended,
        };
        event!(
            info,
            "item attempt ended",
            id = self.owned.id,
            item = self.item.id,
            endpoint = self.endpoint,
            ended = ended_name(&ended),
            events = events,
            elapsed_ms = node.now_ms() - started_ms,
        );
        AttemptEnd {
            key: self.key,
            ended,
        }
    }

    fn last_event(&self) -> Option<u64> {
        let progress = self.owned.progress.borrow();
        progress.get(&self.key).and_then(|known| known.last_event)
    }

    fn completed(&mut self, score: Result<Option<Box<str>>, score::Unscored>) -> Ended {
        let progress = self.owned.progress.borrow_mut().remove(&self.key);
        match (score, progress) {
            (Ok(score), Some(progress)) => Ended::Completed {
                output: progress.text.into(),
                versions: progress.versions.into_iter().collect(),
                score,
            },
            (Ok(_), None) => Ended::Unfinished,
            (Err(score::Unscored), _) => Ended::Hopeless,
        }
    }

    async fn generate(&mut self, node: &Node<D>, route: &Route) -> Result<(), Ended> {
        let sending = self.sending(route)?;
        let endpoint = self.endpoint.clone();
        let _occupied = self.occupied.take();
        let _generating = Marked::new(&self.owned, self.key, &endpoint, node.now_ms());
        let addressed = Addressed {
            id: &self.item.id,
            endpoint: &endpoint,
            left_ms: Some(self.left_ms),
            last_event: self.last_event(),
        };
        let sent = send::<D>(&node.pool, self.address, &sending, addressed);
        let result = match timeout(FIRST_TIMEOUT, sent).await {
            Ok(Ok(received)) => self.read(node, route, received).await,
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err(SendFailure::cut("silent")),
        };
        match result {
            Ok(ended) => ended,
            Err(failure) => {
                event!(
                    info,
                    "item broke off",
                    id = self.owned.id,
                    item = self.item.id,
                    endpoint = endpoint,
                    verdict = failure.verdict,
                    why = failure.why,
                );
                let digest = digest_of(&sending);
                let mut directory = node.directory.borrow_mut();
                note_failure(
                    &mut directory,
                    node.now_ms(),
                    &endpoint,
                    digest,
                    &failure,
                    REFUSED_PAUSE_MS,
                );
                Err(Ended::Unfinished)
            }
        }
    }

    fn sending(&self, route: &Route) -> Result<Sending, Ended> {
        let mut headers = HeaderMap::new();
        let own = self.item.headers.iter();
        let host = (HOST.as_str(), &*route.host);
        for (name, value) in own.map(|(name, value)| (&**name, &**value)).chain([host]) {
            let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| Ended::Hopeless)?;
            let value = HeaderValue::from_str(value).map_err(|_| Ended::Hopeless)?;
            headers.insert(name, value);
        }
        let uri = self.item.path.parse().map_err(|_| Ended::Hopeless)?;
        Ok(post(uri, headers, Bytes::from(self.item.body.clone())))
    }

    /// Reads the text; gives how the attempt ended if the endpoint answered.
    async fn read(
        &mut self,
        node: &Node<D>,
        route: &Route,
        received: Received,
    ) -> Result<Result<(), Ended>, SendFailure> {
        match received.status {
            status if status.is_success() => {}
            StatusCode::UNPROCESSABLE_ENTITY => return Ok(Err(Ended::Hopeless)),
            StatusCode::INTERNAL_SERVER_ERROR => return Ok(Err(Ended::Failed)),
            status => return Err(SendFailure::cut(format_args!("answered {status}"))),
        }
        let Received {
            reply,
            body,
            connection,
            ..
        } = received;
        let mut version = reply.version;
        let mut reader = EventReader::new(body);
        let mut speed = Speed::new(node.now_ms());
        loop {
            let next = timeout(MAX_SILENCE, reader.next()).await;
            let event = match next.map_err(|_| SendFailure::cut("silent"))? {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(why) => return Err(SendFailure::cut(why)),
            };
            let told = event.others.iter().find_map(|line| D::event_version(line));
            version = told.or(version);
            self.take(route, event, version)?;
            if let Some(unit_ms) = speed.count(node.now_ms()) {
                self.learn(node, unit_ms);
            }
        }
        if !reply.closes {
            connection.give_back(reply.keep_alive_ms);
        }
        if let Some(known) = node.directory.borrow_mut().registry.get_mut(&self.endpoint) {
            known.record_success();
        }
        match self.last_event() {
            Some(_) => Ok(Ok(())),
            None => Err(SendFailure::cut("text without events")),
        }
    }

    /// Notes the endpoint's time for an event.
    fn learn(&self, node: &Node<D>, unit_ms: f64) {
        if let Some(known) = node.directory.borrow_mut().registry.get_mut(&self.endpoint) {
            known.record_unit_time(node.now_ms(), unit_ms);
        }
    }

    /// Adds an event to the text.
    fn take(
        &self,
        route: &Route,
        event: Event,
        version: Option<WeightVersion>,
    ) -> Result<(), SendFailure> {
        let mut all = self.owned.progress.borrow_mut();
        let progress = all.entry(self.key).or_default();
        let is_next = match (progress.last_event, event.id) {
            (Some(last), Some(id)) => id == last + 1,
            (None, id) => id.is_some(),
            (Some(_), None) => false,
        };
        if !is_next {
            return Err(SendFailure::cut("event out of order"));
        }
        let Some(version) = version.filter(|&version| version >= self.min_version) else {
            return Err(SendFailure::cut("weights too old"));
        };
        if route.single_version && progress.versions.iter().any(|&other| other != version) {
            *progress = Progress::default();
            return Err(SendFailure::cut("weights changed within the text"));
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
struct Speed {
    since_ms: u64,
    events: u32,
}

impl Speed {
    fn new(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            events: 0,
        }
    }

    /// Counts an event; gives the time for one each time that enough have come.
    fn count(&mut self, now_ms: u64) -> Option<f64> {
        self.events += 1;
        if self.events < SPEED_EVENTS {
            return None;
        }
        let unit_ms = (now_ms - self.since_ms) as f64 / f64::from(self.events);
        *self = Self::new(now_ms);
        Some(unit_ms)
    }
}

/// Marks an item as being generated for as long as it lives.
struct Marked {
    owned: Rc<Owned>,
    key: ItemKey,
}

impl Marked {
    fn new(owned: &Rc<Owned>, key: ItemKey, endpoint: &EndpointName, now_ms: u64) -> Self {
        let place = (endpoint.clone(), now_ms);
        owned.generating.borrow_mut().insert(key, place);
        let owned = owned.clone();
        Self { owned, key }
    }
}

impl Drop for Marked {
    fn drop(&mut self) {
        self.owned.generating.borrow_mut().remove(&self.key);
    }
}

fn ended_name(ended: &Ended) -> &'static str {
    match ended {
        Ended::Completed { .. } => "completed",
        Ended::Failed => "failed",
        Ended::Hopeless => "hopeless",
        Ended::Unfinished => "unfinished",
    }
}
