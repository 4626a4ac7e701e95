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
use super::message::{Generated, Question, Reply};

const CLASS: &str = "rollout";
const ROLLOUT_PRIORITY: i32 = 10;
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Generates a sample on this daemon and replies to its coordinator.
///
/// When the task is aborted, the request to the engine is cancelled.
pub fn spawn(
    shared: &Arc<Shared>,
    coordinator: MemberId,
    task: Task,
    mut reply: oneshot::Sender<Reply>,
) -> AbortHandle {
    let runtime = shared.traffic.clone();
    let in_flight = shared.begin();
    let shared = Arc::clone(shared);
    let generation = runtime.spawn(async move {
        let _in_flight = in_flight;
        tokio::select! {
            generated = sample(&shared, coordinator, task) => {
                // The coordinator may have given up; then it has asked another daemon.
                let _ = reply.send(Reply::Generated(generated));
            }
            () = reply.closed() => {}
        }
    });
    generation.abort_handle()
}

async fn sample(shared: &Arc<Shared>, coordinator: MemberId, task: Task) -> Generated {
    let snapshot = shared.snapshot.load_full();
    let Some(service) = snapshot.services.get(&task.service) else {
        return Generated::Failed;
    };
    let limit = Duration::from_millis(service.document.rollouts.sample_deadline_ms);
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
    let mut tokens = Tokens::new(Arc::clone(shared), coordinator, task);
    let begun = Instant::now();
    let ended = generate(shared, &service, class, &request, limit, &mut tokens).await;
    let outcome = match &ended {
        _ if tokens.too_old => "too-old",
        Ok(_) => "answered",
        Err(problem) => problem.verdict.as_str(),
    };
    let metrics = &shared.metrics;
    metrics.ended(service.as_str(), CLASS, outcome, begun.elapsed());
    match ended {
        _ if tokens.too_old => Generated::TooOld,
        Ok(_) => Generated::Whole(Sample {
            key,
            text: tokens.collected.text.into(),
            spans: tokens.collected.spans,
            score: None,
        }),
        Err(_) => Generated::Failed,
    }
}

/// Collects the tokens of a sample, as long as they are fresh enough.
struct Tokens {
    shared: Arc<Shared>,
    coordinator: MemberId,
    task: Task,
    endpoint: Option<EndpointName>,
    begun: Option<Instant>,
    next_report: Duration,
    collected: Collected,
    too_old: bool,
}

impl Tokens {
    fn new(shared: Arc<Shared>, coordinator: MemberId, task: Task) -> Self {
        Self {
            shared,
            coordinator,
            task,
            endpoint: None,
            begun: None,
            next_report: Duration::ZERO,
            collected: Collected::default(),
            too_old: false,
        }
    }

    /// Tells the coordinator which engine and version produced the first tokens.
    fn report_begun(&mut self, version: WeightVersion) {
        self.begun = Some(Instant::now());
        self.next_report = Duration::from_millis(FIRST_REPORT_MS);
        if let Some(endpoint) = self.endpoint.clone() {
            self.tell(Question::Begun {
                attempt: self.task.attempt,
                begun: FirstTokens { endpoint, version },
            });
        }
    }

    /// Tells the coordinator how far the sample is, ever more seldom.
    fn report_progress(&mut self) {
        let elapsed = self.begun.map(|begun| begun.elapsed()).unwrap_or_default();
        if elapsed < self.next_report {
            return;
        }
        self.next_report = elapsed * 2;
        let spans = self.collected.spans.iter();
        self.tell(Question::Progress {
            attempt: self.task.attempt,
            tokens: spans.map(|span| span.tokens).sum(),
        });
    }

    fn tell(&self, question: Question) {
        let (shared, coordinator) = (Arc::clone(&self.shared), self.coordinator);
        tokio::spawn(async move {
            // Without this, the coordinator only knows less of the sample.
            let _ = shared.ask(coordinator, question, REPORT_TIMEOUT).await;
        });
    }
}

impl Sink for Tokens {
    fn begin(&mut self, endpoint: &EndpointName) {
        self.endpoint = Some(endpoint.clone());
    }

    fn avoid(&self) -> &[EndpointName] {
        &self.task.avoid
    }

    async fn take(&mut self, chunk: Chunk) -> bool {
        if self.collected.spans.is_empty() {
            self.report_begun(chunk.version);
        }
        if chunk.version < self.task.oldest_version {
            self.too_old = true;
            return false;
        }
        let goes_on = self.collected.take(chunk).await;
        self.report_progress();
        goes_on
    }

    fn reset(&mut self) -> bool {
        self.collected.reset()
    }
}
