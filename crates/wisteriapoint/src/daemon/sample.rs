//! Generation of a sample for a coordinator.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use wisteriapoint_gateway::{Chunk, CompletionRequest};
use wisteriapoint_rollout::{FIRST_REPORT_MS, FirstTokens, Sample, Task};
use wisteriapoint_route::Class;
use wisteriapoint_types::{EndpointName, MemberId, WeightVersion, hash64};

use super::Shared;
use super::generate::{Collected, Sink, generate};
use super::message::{Generated, PeerRequest, PeerResponse};

const CLASS: &str = "rollout";
const ROLLOUT_PRIORITY: i32 = 10;
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Generates a sample on this daemon and sends it to its coordinator.
///
/// If the task is aborted, the request to the engine is cancelled.
pub fn spawn(
    shared: &Arc<Shared>,
    coordinator: MemberId,
    task: Task,
    mut reply: oneshot::Sender<PeerResponse>,
) -> AbortHandle {
    let runtime = shared.traffic.clone();
    let in_flight = shared.track_in_flight();
    let shared = Arc::clone(shared);
    let generation = runtime.spawn(async move {
        let _in_flight = in_flight;
        tokio::select! {
            generated = generate_sample(&shared, coordinator, task) => {
                // The send fails if the coordinator has timed out and tries another daemon.
                let _ = reply.send(PeerResponse::Generated(generated));
            }
            () = reply.closed() => {}
        }
    });
    generation.abort_handle()
}

async fn generate_sample(shared: &Arc<Shared>, coordinator: MemberId, task: Task) -> Generated {
    let snapshot = shared.snapshot.load_full();
    let Some(service) = snapshot.services.get(&task.service) else {
        return Generated::Failed;
    };
    let timeout = Duration::from_millis(service.document.rollouts.sample_deadline_ms);
    let request = CompletionRequest {
        model: task.service.as_str().into(),
        prompt: task.prompt.clone(),
        max_tokens: task.max_tokens,
        stream: true,
        priority: ROLLOUT_PRIORITY,
        resume: None,
    };
    let trainer = hash64(0, task.id.trainer.as_str().as_bytes());
    let class = Class::Rollout { trainer };
    let (service, key) = (task.service.clone(), task.key);
    let mut sink = SampleSink::new(Arc::clone(shared), coordinator, task);
    let started = Instant::now();
    let result = generate(shared, &service, class, &request, timeout, &mut sink).await;
    let outcome = match &result {
        _ if sink.too_old => "too-old",
        Ok(_) => "answered",
        Err(problem) => problem.verdict.as_str(),
    };
    let metrics = &shared.metrics;
    metrics.record_request(service.as_str(), CLASS, outcome, started.elapsed());
    match result {
        _ if sink.too_old => Generated::TooOld,
        Ok(_) => Generated::Complete(Sample {
            key,
            text: sink.collected.text.into(),
            spans: sink.collected.spans,
            score: None,
        }),
        Err(_) => Generated::Failed,
    }
}

/// Collects the tokens of a sample; cancels the generation if their weight version is too old.
struct SampleSink {
    shared: Arc<Shared>,
    coordinator: MemberId,
    task: Task,
    endpoint: Option<EndpointName>,
    first_token_at: Option<Instant>,
    next_report: Duration,
    collected: Collected,
    too_old: bool,
}

impl SampleSink {
    fn new(shared: Arc<Shared>, coordinator: MemberId, task: Task) -> Self {
        Self {
            shared,
            coordinator,
            task,
            endpoint: None,
            first_token_at: None,
            next_report: Duration::ZERO,
            collected: Collected::default(),
            too_old: false,
        }
    }

    /// Reports to the coordinator which engine and weight version generated the first tokens.
    fn report_first_tokens(&mut self, version: WeightVersion) {
        self.first_token_at = Some(Instant::now());
        self.next_report = Duration::from_millis(FIRST_REPORT_MS);
        if let Some(endpoint) = self.endpoint.clone() {
            self.notify_coordinator(PeerRequest::FirstTokens {
                attempt: self.task.attempt,
                first_tokens: FirstTokens { endpoint, version },
            });
        }
    }

    /// Reports the number of tokens to the coordinator, at doubling intervals.
    fn report_progress(&mut self) {
        let elapsed = self
            .first_token_at
            .map(|at| at.elapsed())
            .unwrap_or_default();
        if elapsed < self.next_report {
            return;
        }
        self.next_report = elapsed * 2;
        let spans = self.collected.spans.iter();
        self.notify_coordinator(PeerRequest::Progress {
            attempt: self.task.attempt,
            tokens: spans.map(|span| span.tokens).sum(),
        });
    }

    fn notify_coordinator(&self, request: PeerRequest) {
        let (shared, coordinator) = (Arc::clone(&self.shared), self.coordinator);
        tokio::spawn(async move {
            // Without a report, only the coordinator's estimates are less accurate.
            let _ = shared
                .call_member(coordinator, request, REPORT_TIMEOUT)
                .await;
        });
    }
}

impl Sink for SampleSink {
    fn start_attempt(&mut self, endpoint: &EndpointName) {
        self.endpoint = Some(endpoint.clone());
    }

    fn avoid(&self) -> &[EndpointName] {
        &self.task.avoid
    }

    async fn push(&mut self, chunk: Chunk) -> bool {
        if self.collected.spans.is_empty() {
            self.report_first_tokens(chunk.version);
        }
        if chunk.version < self.task.oldest_version {
            self.too_old = true;
            return false;
        }
        let wants_more = self.collected.push(chunk).await;
        self.report_progress();
        wants_more
    }

    fn reset(&mut self) -> bool {
        self.collected.reset()
    }
}
