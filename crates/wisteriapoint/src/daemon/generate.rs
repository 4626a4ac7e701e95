//! Generation of completions and samples on engines.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};
use wisteriapoint_gateway::{Attempts, Chunk, CompletionRequest, Failure, Permit, Problem, Router};
use wisteriapoint_rollout::{Sample, Span, Task};
use wisteriapoint_route::{Class, Demand};
use wisteriapoint_types::{Digest, ServiceName, hash64};

use super::Shared;
use super::message::Reply;

const PREFIX_BYTES: usize = 256;
const ROLLOUT_PRIORITY: i32 = 10;

/// Where the tokens of a completion go.
pub trait Sink {
    /// Takes some tokens; gives whether more are wanted.
    fn take(&mut self, chunk: Chunk) -> impl Future<Output = bool> + Send;

    /// Forgets what came so far; gives whether that is still possible.
    fn reset(&mut self) -> bool;
}

/// Collects a whole completion.
#[derive(Debug, Default)]
pub struct Collected {
    /// The text.
    pub text: String,
    /// The versions that produced it.
    pub spans: Vec<Span>,
}

impl Sink for Collected {
    async fn take(&mut self, chunk: Chunk) -> bool {
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

/// How a completion ended that did not fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// It is whole.
    Whole,
    /// The sink wanted no more.
    GivenUp,
}

/// Generates a completion into a sink, on another engine if one fails.
///
/// A stream that broke goes on where it stopped, on an engine with the same weight
/// version. If none can, it restarts whole, unless the sink has passed tokens on.
///
/// # Errors
///
/// The problem is the final answer to the caller.
pub async fn generate<S: Sink + Send>(
    shared: &Arc<Shared>,
    service: &ServiceName,
    class: Class,
    request: &CompletionRequest,
    limit: Duration,
    sink: &mut S,
) -> Result<Ended, Problem> {
    let router = shared.routers.load().get(service).cloned();
    let router = router.ok_or_else(|| unknown_service(service))?;
    let deadline = Instant::now() + limit;
    let mut demand = demand(&router, class, request, limit);
    let mut request = request.clone();
    let mut attempts = Attempts::new(true);
    loop {
        let permit = router.acquire(demand.clone()).await;
        let permit = permit.map_err(|refusal| attempts.problem(refusal))?;
        demand.tried.push(permit.key());
        demand.avoid = Some(permit.target().failure_domain.clone());
        let left = deadline.saturating_duration_since(Instant::now());
        let failure = match attempt_once(shared, permit, &mut request, left, sink).await {
            Ok(ended) => return Ok(ended),
            Err(failure) => failure,
        };
        let verdict = failure.verdict().as_str();
        let failed = &shared.metrics.failed_attempts;
        failed.with_label_values(&[service.as_str(), verdict]).inc();
        if !attempts.note(&failure) {
            return Err(attempts.problem(&failure));
        }
        if failure.is_resume_refused() && sink.reset() {
            request.resume = None;
            demand.tried.clear();
        }
        sleep(attempts.pause()).await;
    }
}

async fn attempt_once<S: Sink + Send>(
    shared: &Arc<Shared>,
    permit: Permit,
    request: &mut CompletionRequest,
    limit: Duration,
    sink: &mut S,
) -> Result<Ended, Failure> {
    let mut tokens = 0;
    let started = shared
        .clients
        .generate(permit.target(), request, limit)
        .await;
    let mut generation = match started {
        Ok(generation) => generation,
        Err(failure) => {
            end_failed(permit, &failure);
            return Err(failure);
        }
    };
    loop {
        match generation.next().await {
            Ok(Some(chunk)) => {
                tokens += chunk.tokens;
                request.advance(&chunk);
                if !sink.take(chunk).await {
                    return Ok(Ended::GivenUp);
                }
            }
            Ok(None) => {
                permit.answered(tokens);
                return Ok(Ended::Whole);
            }
            Err(failure) => {
                end_failed(permit, &failure);
                return Err(failure);
            }
        }
    }
}

/// Ends a permit after a failure of its endpoint.
pub fn end_failed(permit: Permit, failure: &Failure) {
    match failure {
        failure if failure.is_draining() => permit.drained(),
        failure if failure.is_refusal() => permit.refused(),
        failure if failure.is_timeout() => drop(permit),
        _ => permit.failed(),
    }
}

fn demand(router: &Router, class: Class, request: &CompletionRequest, limit: Duration) -> Demand {
    let prompt = request.prompt.as_bytes();
    let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
    Demand {
        class,
        cost_tokens: request.max_tokens,
        prefix: Some(hash64(0, prefix)),
        digest: Some(Digest::new(&[request.model.as_bytes(), prompt])),
        ..Demand::caller(router.deadline_ms(limit))
    }
}

/// The problem of a request for a service that has no document.
pub fn unknown_service(service: &ServiceName) -> Problem {
    Problem::not_run(
        404,
        "unknown-service",
        format!("there is no service `{service}`"),
    )
}

/// Generates a sample on this daemon and replies to the coordinator.
pub fn spawn_sample(shared: Arc<Shared>, task: Task, reply: oneshot::Sender<Reply>) {
    if shared.is_draining() {
        // The asker may have given up; then nobody needs the reply.
        let _ = reply.send(Reply::Stopping);
        return;
    }
    let runtime = shared.traffic.clone();
    let in_flight = shared.begin();
    runtime.spawn(async move {
        let _in_flight = in_flight;
        let sample = sample(&shared, task).await;
        // The coordinator may have given up; then it has asked another daemon.
        let _ = reply.send(Reply::Generated(sample));
    });
}

async fn sample(shared: &Arc<Shared>, task: Task) -> Option<Sample> {
    let service = &task.spec.service;
    let document = Arc::clone(&shared.snapshot.load().services.get(service)?.document);
    let limit = Duration::from_millis(document.rollouts.sample_deadline_ms);
    let request = CompletionRequest {
        model: service.as_str().into(),
        prompt: task.prompt.clone(),
        max_tokens: task.spec.max_tokens,
        stream: true,
        priority: ROLLOUT_PRIORITY,
        resume: None,
    };
    let trainer = hash64(0, task.id.trainer.as_str().as_bytes());
    let class = Class::Rollout { trainer };
    let mut collected = Collected::default();
    generate(shared, service, class, &request, limit, &mut collected)
        .await
        .ok()?;
    Some(Sample {
        key: task.key,
        text: collected.text.into(),
        spans: collected.spans,
        score: None,
    })
}
