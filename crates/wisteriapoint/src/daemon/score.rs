//! Scoring of samples by plain services.

use std::sync::Arc;
use std::time::Duration;

use reqwest::Method;
use reqwest::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};
use wisteriapoint_gateway::PlainRequest;
use wisteriapoint_rollout::{SampleKey, ScoreTask};
use wisteriapoint_route::Demand;

use super::Shared;
use super::attempt::end_failed;
use super::control::Command;

const SCORE_PATH: &str = "/score";
const SCORE_TIMEOUT: Duration = Duration::from_secs(60);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);
const INITIAL_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(5);

#[derive(Debug, Serialize)]
struct ScoreRequest<'a> {
    trainer: &'a str,
    step: u64,
    key: SampleKey,
    prompt: &'a str,
    text: &'a str,
}

#[derive(Debug, Deserialize)]
struct ScoreResponse {
    score: f64,
}

/// Requests a sample's score from its scorer and sends it to the control loop.
///
/// The sample gets no score if the scorer has not returned one within a minute.
pub fn spawn(shared: &Arc<Shared>, task: ScoreTask) {
    let runtime = shared.traffic.clone();
    let shared = Arc::clone(shared);
    runtime.spawn(async move {
        let score = score(&shared, &task).await;
        // The send fails only when the daemon stops.
        let _ = shared
            .control
            .send(Command::Scored(Box::new(task), score))
            .await;
    });
}

async fn score(shared: &Arc<Shared>, task: &ScoreTask) -> Option<f64> {
    let deadline = Instant::now() + SCORE_TIMEOUT;
    let mut pause = INITIAL_PAUSE;
    while Instant::now() < deadline {
        if let Some(score) = request_score(shared, task).await {
            return Some(score);
        }
        sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
    shared.metrics.unscored_samples.inc();
    None
}

async fn request_score(shared: &Arc<Shared>, task: &ScoreTask) -> Option<f64> {
    let router = shared.routers.load().get(&task.scorer).cloned()?;
    let demand = Demand::caller(router.deadline_ms(ATTEMPT_TIMEOUT));
    let permit = router.acquire(demand).await.ok()?;
    let request = request(task)?;
    let sent = shared
        .clients
        .send_plain(permit.target(), &request, ATTEMPT_TIMEOUT)
        .await;
    match sent {
        Ok(response) => {
            permit.completed(1);
            let is_success = response.status.is_success();
            let score: ScoreResponse = serde_json::from_slice(&response.body).ok()?;
            is_success.then_some(score.score)
        }
        Err(failure) => {
            end_failed(permit, &failure);
            None
        }
    }
}

fn request(task: &ScoreTask) -> Option<PlainRequest> {
    let json = HeaderValue::from_static("application/json");
    let body = ScoreRequest {
        trainer: task.id.trainer.as_str(),
        step: task.id.step,
        key: task.sample.key,
        prompt: &task.prompt,
        text: &task.sample.text,
    };
    Some(PlainRequest {
        method: Method::POST,
        path: SCORE_PATH.into(),
        headers: HeaderMap::from_iter([(CONTENT_TYPE, json)]),
        body: serde_json::to_vec(&body).ok()?.into(),
        idempotent: true,
    })
}
