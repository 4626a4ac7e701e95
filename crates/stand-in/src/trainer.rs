//! A trainer that submits steps, pulls samples and tracks its cursor.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wisteriapoint_rollout::{Cursor, PullResponse, Sample, StepSpec, TrainerProgress};
use wisteriapoint_types::WeightVersion;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const PULL_WAIT_MS: u64 = 2_000;

/// A trainer that calls one daemon at a time by its service URL, and the next after a failed call.
#[derive(Debug)]
pub struct Trainer {
    client: reqwest::Client,
    urls: Vec<String>,
    name: String,
    next_url: usize,
    /// Weight version that the trainer has reached.
    pub version: WeightVersion,
    /// Number of failed calls.
    pub retries: u32,
}

/// Samples received for a step and the cursor after them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReceivedSamples {
    /// Samples in the order of arrival.
    pub samples: Vec<Sample>,
    /// Cursor that covers the samples.
    pub cursor: Cursor,
}

impl Trainer {
    /// Creates a trainer at weight version 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn new(name: &str, urls: Vec<String>) -> reqwest::Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .build()?;
        Ok(Self {
            client,
            urls,
            name: name.to_owned(),
            next_url: 0,
            version: WeightVersion(0),
            retries: 0,
        })
    }

    /// Publishes a weight version, retrying until a daemon accepts it, and adopts it.
    pub async fn publish(&mut self, service: &str, version: WeightVersion) {
        let body = serde_json::json!({ "version": version });
        loop {
            let url = format!("{}/v1/weights/{service}", self.url());
            match self.client.put(url).json(&body).send().await {
                Ok(response) if response.status().is_success() => break,
                _ => self.switch_url().await,
            }
        }
        self.version = version;
    }

    /// Submits a step and pulls until all its samples have been received.
    pub async fn run_step(&mut self, step: u64, spec: &StepSpec) -> ReceivedSamples {
        self.resume_step(step, spec, ReceivedSamples::default())
            .await
    }

    /// Continues a step after the samples received before.
    pub async fn resume_step(
        &mut self,
        step: u64,
        spec: &StepSpec,
        before: ReceivedSamples,
    ) -> ReceivedSamples {
        let mut received = before;
        let mut progress = TrainerProgress {
            cursor: received.cursor,
            version: self.version,
        };
        while progress.cursor.len() < spec.samples() as usize {
            match self.pull_samples(step, &progress.cursor).await {
                Some(pulled) => {
                    let samples = progress.accept(pulled);
                    received.samples.extend(samples.unwrap_or_default());
                }
                None => self.put_step(step, spec, &progress.cursor).await,
            }
        }
        // Acknowledges the last samples so that the coordinator can remove the step. A failed call
        // only delays the removal.
        self.pull_samples(step, &progress.cursor).await;
        received.cursor = progress.cursor;
        received
    }

    /// Submits a step once, without a retry.
    pub async fn put_step(&mut self, step: u64, spec: &StepSpec, cursor: &Cursor) {
        let mut body = serde_json::to_value(spec).unwrap_or_default();
        body["cursor"] = serde_json::json!(cursor);
        let url = format!("{}/v1/steps/{}/{step}", self.url(), self.name);
        match self.client.put(url).json(&body).send().await {
            Ok(response) if response.status().is_success() => {}
            _ => self.switch_url().await,
        }
    }

    /// Pulls samples once; returns `None` if the step is unknown or the call failed.
    pub async fn pull_samples(&mut self, step: u64, cursor: &Cursor) -> Option<PullResponse> {
        let body = serde_json::json!({
            "cursor": cursor,
            "weight_version": self.version,
            "wait_ms": PULL_WAIT_MS,
        });
        let url = format!("{}/v1/steps/{}/{step}/pull", self.url(), self.name);
        let response = self.client.post(url).json(&body).send().await;
        match response {
            Ok(response) if response.status().is_success() => response.json().await.ok(),
            Ok(response) if response.status() == reqwest::StatusCode::NOT_FOUND => None,
            _ => {
                self.switch_url().await;
                None
            }
        }
    }

    fn url(&self) -> &str {
        &self.urls[self.next_url % self.urls.len()]
    }

    async fn switch_url(&mut self) {
        self.retries += 1;
        self.next_url += 1;
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
