//! `POST /v1/completions`: completions of models, as one response or as a stream.

use std::sync::Arc;
use std::time::Duration;

use salvo::http::ResBody;
use salvo::{Request, Response, handler};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use wisteriapoint_gateway::{Chunk, CompletionRequest, Problem};
use wisteriapoint_rollout::Span;
use wisteriapoint_route::Class;
use wisteriapoint_types::ServiceName;

use super::events::{self, Event, EventSender};
use super::{MAX_BODY_BYTES, bounds, request_timeout, respond};
use crate::daemon::Shared;
use crate::daemon::generate::{Collected, GenerateOutcome, Sink, generate, unknown_service};

const CLASS: &str = "caller";
const FINAL_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles completion requests.
#[derive(Debug)]
pub struct Completions {
    shared: Arc<Shared>,
}

#[derive(Debug, Deserialize)]
struct RequestBody {
    model: ServiceName,
    prompt: Box<str>,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Serialize)]
struct ResponseBody {
    object: &'static str,
    model: ServiceName,
    choices: [Choice; 1],
    weight_versions: Vec<Span>,
}

#[derive(Debug, Serialize)]
struct Choice {
    index: u32,
    text: Box<str>,
    finish_reason: Option<&'static str>,
}

fn default_max_tokens() -> u32 {
    16
}

#[handler]
impl Completions {
    /// Creates the handler.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn handle(&self, request: &mut Request, response: &mut Response) {
        if let Err(problem) = self.complete(request, response).await {
            respond::problem(response, &problem);
        }
    }
}

impl Completions {
    async fn complete(
        &self,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), Problem> {
        let body: RequestBody = respond::read_json(request, MAX_BODY_BYTES).await?;
        let document = {
            let snapshot = self.shared.snapshot.load();
            let service = snapshot.services.get(&body.model);
            service
                .map(|service| Arc::clone(&service.document))
                .ok_or_else(|| unknown_service(&body.model))?
        };
        bounds::check_completion(&document, &body.prompt, body.max_tokens)?;
        let timeout = request_timeout(request, document.deadline_ms);
        match body.stream {
            true => self.stream(body, timeout, response).await?,
            false => respond::json(response, &self.collect(body, timeout).await?),
        }
        Ok(())
    }

    async fn collect(&self, body: RequestBody, timeout: Duration) -> Result<ResponseBody, Problem> {
        let mut collected = Collected::default();
        generate_tokens(&self.shared, &body, timeout, &mut collected).await?;
        Ok(ResponseBody {
            object: "text_completion",
            model: body.model,
            choices: [Choice {
                index: 0,
                text: collected.text.into(),
                finish_reason: Some("length"),
            }],
            weight_versions: collected.spans,
        })
    }

    /// Starts the response once the first token is generated or the request is refused.
    async fn stream(
        &self,
        body: RequestBody,
        timeout: Duration,
        response: &mut Response,
    ) -> Result<(), Problem> {
        let (events, mut receiver) = events::channel();
        let mut token_stream = TokenStream {
            events,
            model: body.model.clone(),
            deadline: Instant::now() + timeout,
            sent: false,
        };
        let shared = Arc::clone(&self.shared);
        let in_flight = shared.track_in_flight();
        tokio::spawn(async move {
            let _in_flight = in_flight;
            let events = token_stream.events.clone();
            tokio::select! {
                result = generate_tokens(&shared, &body, timeout, &mut token_stream) =>
                    token_stream.end(result).await,
                () = events.closed() => count_request(&shared, &body, "cancelled"),
            }
        });
        let first = receiver.first().await?;
        respond::set_header(response, "content-type", "text/event-stream");
        response.body(ResBody::stream(receiver.into_body(first)));
        Ok(())
    }
}

async fn generate_tokens<S: Sink + Send>(
    shared: &Arc<Shared>,
    body: &RequestBody,
    timeout: Duration,
    sink: &mut S,
) -> Result<GenerateOutcome, Problem> {
    let started = Instant::now();
    let request = CompletionRequest {
        model: body.model.as_str().into(),
        prompt: body.prompt.clone(),
        max_tokens: body.max_tokens,
        stream: true,
        priority: 0,
        resume: None,
    };
    let result = generate(shared, &body.model, Class::Caller, &request, timeout, sink).await;
    let outcome = match &result {
        Ok(GenerateOutcome::Complete) => "answered",
        Ok(GenerateOutcome::Cancelled) => "cancelled",
        Err(problem) => problem.verdict.as_str(),
    };
    count_request(shared, body, outcome);
    let seconds = &shared.metrics.request_seconds;
    seconds
        .with_label_values(&[body.model.as_str(), CLASS])
        .observe(started.elapsed().as_secs_f64());
    result
}

fn count_request(shared: &Shared, body: &RequestBody, outcome: &str) {
    let requests = &shared.metrics.requests;
    requests
        .with_label_values(&[body.model.as_str(), CLASS, outcome])
        .inc();
}

/// Forwards tokens to a caller as server-sent events.
struct TokenStream {
    events: EventSender,
    model: ServiceName,
    deadline: Instant,
    sent: bool,
}

impl TokenStream {
    /// Ends the stream with an end event or an error event, or without either if the caller
    /// does not read in time.
    async fn end(self, result: Result<GenerateOutcome, Problem>) {
        let last = match result {
            Ok(GenerateOutcome::Complete) => Event::End,
            Ok(GenerateOutcome::Cancelled) => return,
            Err(problem) => Event::Problem(problem),
        };
        let deadline = self.deadline.max(Instant::now() + FINAL_EVENT_TIMEOUT);
        self.events.send(last, deadline).await;
    }
}

impl Sink for TokenStream {
    async fn push(&mut self, chunk: Chunk) -> bool {
        let body = ResponseBody {
            object: "text_completion",
            model: self.model.clone(),
            choices: [Choice {
                index: 0,
                text: chunk.text,
                finish_reason: None,
            }],
            weight_versions: vec![Span {
                version: chunk.version,
                tokens: chunk.tokens,
            }],
        };
        self.sent = true;
        let data = serde_json::to_string(&body).unwrap_or_default();
        self.events.send(Event::Data(data), self.deadline).await
    }

    fn reset(&mut self) -> bool {
        !self.sent
    }
}
