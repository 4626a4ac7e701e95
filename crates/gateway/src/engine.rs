//! Requests to model engines.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::{EventStream, Eventsource};
use futures_util::{Stream, StreamExt};
use reqwest::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use wisteriapoint_types::{SoftwareVersion, WeightVersion};
use wisteriapoint_weights::Order;

use crate::exchange::read_body;
use crate::failure::Kind;
use crate::{Clients, Failure, Target};

/// Header in which an engine confirms after how many tokens it resumes a completion.
pub const RESUMED_HEADER: &str = "x-resumed-tokens";

/// Header in which an engine states the version of its software; engines that state none are taken to
/// run the same.
pub const SOFTWARE_HEADER: &str = "x-software-version";

const END_OF_STREAM: &str = "[DONE]";
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest body of a status, which has four short fields.
const MAX_STATUS_BYTES: usize = 64 << 10;
/// Largest event of a completion stream, of which one has a few tokens.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A completion request to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of the model that generates the completion.
    pub model: Box<str>,
    /// Text to complete.
    pub prompt: Box<str>,
    /// Maximum number of tokens to generate, including those in `resume`.
    pub max_tokens: u32,
    /// Whether the engine streams tokens as it generates them.
    pub stream: bool,
    /// Scheduling priority in the engine; lower values are scheduled first.
    pub priority: i32,
    /// Beginning of the completion that another engine has generated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
}

/// The beginning of a completion, for the engine that resumes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Text generated so far.
    pub text: String,
    /// Number of tokens in the text; they count towards `max_tokens` of the request.
    pub tokens: u32,
    /// Weight version that has to generate the rest.
    pub version: WeightVersion,
}

impl CompletionRequest {
    /// Appends generated tokens to `resume`, so that another engine can continue after them.
    pub fn append_chunk(&mut self, chunk: &Chunk) {
        let resume = self.resume.get_or_insert(Resume {
            text: String::new(),
            tokens: 0,
            version: chunk.version,
        });
        resume.text.push_str(&chunk.text);
        resume.tokens += chunk.tokens;
        resume.version = chunk.version;
    }

    fn resumed_tokens(&self) -> u32 {
        self.resume.as_ref().map_or(0, |resume| resume.tokens)
    }
}

/// Generated tokens from one event of a completion stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Text of the tokens.
    pub text: Box<str>,
    /// Number of tokens in the text.
    pub tokens: u32,
    /// Weight version that generated the tokens.
    pub version: WeightVersion,
}

/// Status that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Weight version that the engine serves.
    pub version: WeightVersion,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in the engine's queue.
    pub waiting: u32,
    /// Whether the engine accepts no new requests.
    pub draining: bool,
}

#[derive(Debug, Deserialize)]
struct WireChunk {
    choices: Vec<WireChoice>,
    weight_version: WeightVersion,
    tokens: u32,
}

#[derive(Debug, Deserialize)]
struct WireChoice {
    text: Box<str>,
}

/// An error while the bytes of a completion stream are received.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The connection failed.
    #[error(transparent)]
    Transport(reqwest::Error),
    /// An event does not end.
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
    EventTooLarge,
}

/// A completion stream from an engine.
pub struct Generation<S> {
    /// Software version of the engine.
    pub software: SoftwareVersion,
    events: EventStream<Pin<Box<S>>>,
    /// Bytes received since the last event, with those of events that arrived together with it.
    pending_bytes: Arc<AtomicUsize>,
    ended: bool,
}

impl<S> Generation<S>
where
    S: Stream<Item = Result<Bytes, StreamError>> + Send,
{
    /// Returns the next tokens, or `None` after the engine's end marker.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends before the end marker or an event is malformed.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Failure> {
        if self.ended {
            return Ok(None);
        }
        let invalid = |text: String| Failure::may_have_run(Kind::InvalidResponse(text.into()));
        let event = match self.events.next().await {
            Some(Ok(event)) => {
                self.pending_bytes.store(0, Ordering::Relaxed);
                event
            }
            Some(Err(error)) => return Err(invalid(error.to_string())),
            None => return Err(invalid("the stream ended early".into())),
        };
        if event.data == END_OF_STREAM {
            self.ended = true;
            return Ok(None);
        }
        let chunk: WireChunk =
            serde_json::from_str(&event.data).map_err(|error| invalid(error.to_string()))?;
        let text = chunk.choices.into_iter().next().map(|choice| choice.text);
        Ok(Some(Chunk {
            text: text.unwrap_or_default(),
            tokens: chunk.tokens,
            version: chunk.weight_version,
        }))
    }
}

fn resumed_tokens(response: &Response) -> u32 {
    let header = response.headers().get(RESUMED_HEADER);
    let text = header.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn software(response: &Response) -> SoftwareVersion {
    let header = response.headers().get(SOFTWARE_HEADER);
    let text = header.and_then(|value| value.to_str().ok());
    SoftwareVersion::new(text.unwrap_or_default())
}

impl Clients {
    /// Starts a completion on an engine.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not start the completion; the failure's verdict says whether it
    /// may have run the request.
    pub async fn generate(
        &self,
        target: &Target,
        request: &CompletionRequest,
        timeout: Duration,
    ) -> Result<Generation<impl Stream<Item = Result<Bytes, StreamError>> + Send + use<>>, Failure>
    {
        let outgoing = self
            .for_request(target, true)
            .post(format!("http://{}/v1/completions", target.address))
            .json(request);
        let response = self.exchange(target, outgoing, timeout).await?;
        let resumed = resumed_tokens(&response);
        match response.status() {
            StatusCode::OK if resumed == request.resumed_tokens() => {}
            StatusCode::OK | StatusCode::CONFLICT if request.resume.is_some() => {
                return Err(Failure::may_have_run(Kind::CannotResume));
            }
            status => return Err(Failure::may_have_run(Kind::Status(status.as_u16()))),
        }
        let software = software(&response);
        let pending_bytes = Arc::new(AtomicUsize::new(0));
        let received = pending_bytes.clone();
        let bytes = response.bytes_stream().map(move |chunk| {
            let chunk = chunk.map_err(StreamError::Transport)?;
            let pending_bytes = received.fetch_add(chunk.len(), Ordering::Relaxed) + chunk.len();
            match pending_bytes {
                ..=MAX_EVENT_BYTES => Ok(chunk),
                _ => Err(StreamError::EventTooLarge),
            }
        });
        Ok(Generation {
            software,
            events: Box::pin(bytes).eventsource(),
            pending_bytes,
            ended: false,
        })
    }

    /// Requests the status of an engine, on a connection that is used only once.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives or it is malformed.
    pub async fn engine_status(&self, target: &Target) -> Result<EngineStatus, Failure> {
        // Engines need not echo a request id here, so on a reused connection a duplicate of an
        // earlier response could not be recognized.
        let outgoing = self
            .single_use
            .get(format!("http://{}/admin/status", target.address))
            .timeout(STATUS_TIMEOUT);
        let response = outgoing.send().await.map_err(Failure::from_reqwest)?;
        let body = read_body(response, MAX_STATUS_BYTES).await?;
        serde_json::from_slice(&body)
            .map_err(|error| Failure::may_have_run(Kind::InvalidResponse(error.to_string().into())))
    }

    /// Orders an engine to load a weight version.
    ///
    /// [`Clients::engine_status`] reports which version the engine then serves.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not accept the order; the order may still take effect.
    pub async fn order_weights(
        &self,
        target: &Target,
        order: &Order,
        timeout: Duration,
    ) -> Result<(), Failure> {
        let outgoing = self
            .single_use
            .post(format!("http://{}/admin/weights", target.address))
            .json(order)
            .timeout(timeout);
        let response = outgoing.send().await.map_err(Failure::from_reqwest)?;
        match response.status() {
            status if status.is_success() => Ok(()),
            status => Err(Failure::may_have_run(Kind::InvalidResponse(
                status.to_string().into(),
            ))),
        }
    }
}
