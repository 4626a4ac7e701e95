//! Requests to model engines.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::{EventStream, Eventsource};
use futures_util::{Stream, StreamExt};
use reqwest::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use wisteriapoint_types::WeightVersion;
use wisteriapoint_weights::Order;

use crate::failure::Kind;
use crate::{Clients, Failure, Target};

/// Header in which an engine confirms how many tokens it goes on after.
pub const RESUMED_HEADER: &str = "x-resumed-tokens";

const END_OF_STREAM: &str = "[DONE]";
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// A completion, as sent to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: Box<str>,
    /// The prompt.
    pub prompt: Box<str>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Whether tokens are sent as they come.
    pub stream: bool,
    /// Lower goes first in the engine.
    pub priority: i32,
    /// What another engine has generated already.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
}

/// The beginning of a completion, for the engine that goes on with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The text so far.
    pub text: String,
    /// Its number of tokens; they count towards the most that may be generated.
    pub tokens: u32,
    /// The version that has to generate the rest.
    pub version: WeightVersion,
}

impl CompletionRequest {
    /// Adds tokens that were generated, so that another engine can go on after them.
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

/// Some tokens of a completion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The text.
    pub text: Box<str>,
    /// Number of tokens.
    pub tokens: u32,
    /// The version that produced them.
    pub version: WeightVersion,
}

/// An engine's own report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The version that it serves.
    pub version: WeightVersion,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Whether it takes no new work.
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

/// A completion that is being generated.
pub struct Generation<S> {
    events: EventStream<Pin<Box<S>>>,
    ended: bool,
}

impl<S> Generation<S>
where
    S: Stream<Item = reqwest::Result<Bytes>> + Send,
{
    /// The next tokens; none after the engine's explicit end.
    ///
    /// # Errors
    ///
    /// A stream that stops before its explicit end is a failure, never an end.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Failure> {
        if self.ended {
            return Ok(None);
        }
        let invalid = |text: String| Failure::may_have_run(Kind::InvalidResponse(text.into()));
        let event = match self.events.next().await {
            Some(Ok(event)) => event,
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

impl Clients {
    /// Starts a completion on an engine.
    ///
    /// # Errors
    ///
    /// The failure's verdict says whether the engine may have started.
    pub async fn generate(
        &self,
        target: &Target,
        request: &CompletionRequest,
        timeout: Duration,
    ) -> Result<Generation<impl Stream<Item = reqwest::Result<Bytes>> + Send + use<>>, Failure>
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
        Ok(Generation {
            events: Box::pin(response.bytes_stream()).eventsource(),
            ended: false,
        })
    }

    /// Asks an engine for its status.
    ///
    /// # Errors
    ///
    /// Fails if no answer comes or it is malformed.
    pub async fn engine_status(&self, target: &Target) -> Result<EngineStatus, Failure> {
        let outgoing = self
            .pooled()
            .get(format!("http://{}/admin/status", target.address))
            .timeout(STATUS_TIMEOUT);
        let response = outgoing.send().await.map_err(Failure::from_reqwest)?;
        response.json().await.map_err(Failure::from_reqwest)
    }

    /// Orders an engine to load a version; its status tells what became of it.
    ///
    /// # Errors
    ///
    /// A failure leaves open whether the order takes effect.
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
