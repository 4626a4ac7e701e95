//! Generation of completions and samples on engines.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use wisteriapoint_gateway::{Attempts, Chunk, CompletionRequest, Failure, Permit, Problem, Router};
use wisteriapoint_rollout::Span;
use wisteriapoint_route::{Class, Demand};
use wisteriapoint_types::{Digest, EndpointName, ServiceName, StreamOrigin, hash64};

use super::Shared;
use super::attempt::{count_failed, end_failed};

const PREFIX_BYTES: usize = 256;

/// Receiver of the tokens of a completion.
pub trait Sink {
    /// Notifies the sink that a request is about to be sent to an engine.
    fn start_attempt(&mut self, _endpoint: &EndpointName) {}

    /// Returns the engines that are used only if no other is available.
    fn avoid(&self) -> &[EndpointName] {
        &[]
    }

    /// Accepts tokens; returns `false` to cancel the generation.
    fn push(&mut self, chunk: Chunk) -> impl Future<Output = bool> + Send;

    /// Discards all tokens received so far; returns `false` if that is no longer possible.
    fn reset(&mut self) -> bool;
}

/// A [`Sink`] that collects a completion in memory.
#[derive(Debug, Default)]
pub struct Collected {
    /// Text generated so far.
    pub text: String,
    /// Weight versions that generated the text, in order.
    pub spans: Vec<Span>,
}

impl Sink for Collected {
    async fn push(&mut self, chunk: Chunk) -> bool {
        self.text.push_str(&chunk.text);
        match self.spans.last_mut() {
            Some(span) if span.version == chunk.version => span.tokens += chunk.tokens,
            _ => self.spans.push(Span {
                version: chunk.version,
                tokens: chunk.tokens,
            }),
        }
        true
    }

    fn reset(&mut self) -> bool {
        *self = Self::default();
        true
    }
}

/// Result of a completion that did not fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GenerateOutcome {
    /// The engine finished the completion.
    Complete,
    /// The sink cancelled the generation.
    Cancelled,
}

/// Generates a completion into a sink and fails over to another engine if one fails.
///
/// An interrupted stream resumes where it stopped, on an engine with the same weight version and the
/// same software version. If no engine can resume it, it restarts from the beginning, unless the
/// sink has already forwarded tokens.
///
/// # Errors
///
/// Returns the final problem response for the caller.
pub async fn generate<S: Sink + Send>(
    shared: &Arc<Shared>,
    service: &ServiceName,
    class: Class,
    request: &CompletionRequest,
    timeout: Duration,
    sink: &mut S,
) -> Result<GenerateOutcome, Problem> {
    let router = shared.routers.load().get(service).cloned();
    let router = router.ok_or_else(|| unknown_service(service))?;
    let deadline = Instant::now() + timeout;
    let mut demand = demand(&router, class, request, timeout);
    demand.avoided_endpoints = router.endpoint_keys(sink.avoid());
    let mut request = request.clone();
    let mut attempts = Attempts::new(true);
    let mut origin = StreamOrigin::None;
    loop {
        let permit = router.acquire(demand.clone()).await;
        let permit = permit.map_err(|refusal| attempts.problem(refusal))?;
        demand.avoided_endpoints.push(permit.endpoint_key());
        demand.avoided_domain = Some(permit.target().failure_domain.clone());
        let remaining = deadline.saturating_duration_since(Instant::now());
        let pending = attempt_once(shared, permit, (&mut request, &mut origin), remaining, sink);
        let failure = match pending.await {
            Ok(outcome) => return Ok(outcome),
            Err(failure) => failure,
        };
        if failure.is_preempted() {
            demand.avoided_endpoints.pop();
            demand.avoided_domain = None;
            continue;
        }
        count_failed(shared, service, &failure);
        let allowed = attempts.record_failure(&failure);
        if !allowed || !(failure.is_refusal() || router.try_take_retry()) {
            return Err(attempts.problem(&failure));
        }
        if failure.is_resume_refused() && sink.reset() {
            request.resume = None;
            origin = StreamOrigin::None;
            demand.avoided_endpoints = router.endpoint_keys(sink.avoid());
        }
        sleep(attempts.retry_delay()).await;
    }
}

async fn attempt_once<S: Sink + Send>(
    shared: &Arc<Shared>,
    mut permit: Permit,
    (request, origin): (&mut CompletionRequest, &mut StreamOrigin),
    timeout: Duration,
    sink: &mut S,
) -> Result<GenerateOutcome, Failure> {
    let mut tokens = 0;
    let target = permit.target().clone();
    sink.start_attempt(&target.endpoint);
    let started = tokio::select! {
        started = shared.clients.generate(&target, request, timeout) => started,
        () = permit.preempted() => return Err(Failure::preempted()),
    };
    let mut generation = match started {
        Ok(generation) => generation,
        Err(failure) => {
            end_failed(permit, &failure);
            return Err(failure);
        }
    };
    if !origin.admits(Some(&generation.software)) {
        // Dropping the generation cancels it; none of its tokens is used.
        let failure = Failure::cannot_resume();
        end_failed(permit, &failure);
        return Err(failure);
    }
    loop {
        let next = tokio::select! {
            next = generation.next() => next,
            () = permit.preempted() => return Err(Failure::preempted()),
        };
        match next {
            Ok(Some(chunk)) => {
                tokens += chunk.tokens;
                request.append_chunk(&chunk);
                origin.record_event(Some(&generation.software));
                if !sink.push(chunk).await {
                    return Ok(GenerateOutcome::Cancelled);
                }
            }
            Ok(None) => {
                permit.completed(tokens);
                return Ok(GenerateOutcome::Complete);
            }
            Err(failure) => {
                end_failed(permit, &failure);
                return Err(failure);
            }
        }
    }
}

fn demand(router: &Router, class: Class, request: &CompletionRequest, timeout: Duration) -> Demand {
    let prompt = request.prompt.as_bytes();
    let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
    Demand {
        class,
        max_tokens: request.max_tokens,
        prefix: Some(hash64(0, prefix)),
        digest: Some(Digest::new(&[request.model.as_bytes(), prompt])),
        ..Demand::caller(router.deadline_ms(timeout))
    }
}

/// Returns the problem response to a request for a service without a document.
pub fn unknown_service(service: &ServiceName) -> Problem {
    Problem::not_run(
        404,
        "unknown-service",
        format!("there is no service `{service}`"),
    )
}
