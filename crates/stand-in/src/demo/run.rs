//! The callers and the trainer of the demonstration.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::time::Duration;

use clap::Args;
use tokio::time::sleep;
use uuid::Uuid;
use wisteriapoint_rollout::StepSpec;
use wisteriapoint_types::{ServiceName, WeightVersion};

use crate::{Engine, Trainer};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const ATTEMPTS: u32 = 30;
const COMPLETION_TOKENS: u32 = 12;

/// Sends requests and a trainer's step to running daemons and checks the answers.
#[derive(Debug, Args)]
pub struct Demo {
    /// Service URLs of the daemons.
    #[arg(long = "daemon", required = true)]
    daemons: Vec<String>,
    /// URL of the plain service, to read its counts.
    #[arg(long)]
    plain: String,
    /// Completions and stock holds to send.
    #[arg(long, default_value_t = 60)]
    requests: u32,
    /// Prompts of the step; each has four samples.
    #[arg(long, default_value_t = 32)]
    prompts: u32,
}

/// Counts of one kind of request by outcome.
#[derive(Debug, Default)]
struct Tally {
    sent: u32,
    answered: u32,
    retried: u32,
    refused: u32,
    wrong: u32,
    lost: u32,
}

struct Caller {
    client: reqwest::Client,
    daemons: Vec<String>,
}

impl Demo {
    /// Runs the demonstration and returns `true` if every response was correct and no stock hold ran
    /// twice.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built, or if the plain service's run counts
    /// can't be read.
    pub async fn run(self) -> io::Result<bool> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .build()
            .map_err(io::Error::other)?;
        let caller = Caller {
            client,
            daemons: self.daemons.clone(),
        };
        let (completions, holds, step) = tokio::join!(
            caller.completions(self.requests),
            caller.holds(self.requests),
            self.step(),
        );
        let duplicate_holds = caller
            .duplicate_holds(&self.plain)
            .await
            .map_err(io::Error::other)?;
        let step = step.map_err(io::Error::other)?;
        println!(
            "{:<14} {:>5} {:>8} {:>7} {:>7} {:>5} {:>4}",
            "kind", "sent", "answered", "retried", "refused", "wrong", "lost",
        );
        for (kind, tally) in [
            ("completion", &completions),
            ("stock hold", &holds),
            ("sample", &step),
        ] {
            println!(
                "{kind:<14} {:>5} {:>8} {:>7} {:>7} {:>5} {:>4}",
                tally.sent, tally.answered, tally.retried, tally.refused, tally.wrong, tally.lost,
            );
        }
        println!("stock holds that ran twice: {duplicate_holds}");
        let is_correct = [&completions, &holds, &step]
            .iter()
            .all(|tally| tally.is_correct());
        let is_correct = is_correct && duplicate_holds == 0;
        println!(
            "{}",
            if is_correct {
                "all right"
            } else {
                "NOT all right"
            }
        );
        Ok(is_correct)
    }

    async fn step(&self) -> reqwest::Result<Tally> {
        let mut trainer = Trainer::new("advisor-trainer", self.daemons.clone())?;
        trainer.publish("advisor-lm", WeightVersion(1)).await;
        let spec = StepSpec {
            service: ServiceName::new("advisor-lm"),
            prompts: (0..self.prompts)
                .map(|n| format!("strap {n}").into())
                .collect(),
            samples_per_prompt: 4,
            max_tokens: 16,
            staleness_versions: 1,
            scorer: None,
        };
        let received = trainer.run_step(1, &spec).await;
        let keys: BTreeSet<_> = received.samples.iter().map(|sample| sample.key).collect();
        let is_complete = |sample: &&wisteriapoint_rollout::Sample| {
            let prompt = &spec.prompts[sample.key.group as usize];
            *sample.text == *Engine::expected_text(prompt, spec.max_tokens)
                && sample.tokens() == spec.max_tokens
        };
        let answered = received.samples.iter().filter(is_complete).count() as u32;
        Ok(Tally {
            sent: spec.samples(),
            answered,
            retried: trainer.retries,
            wrong: received.samples.len() as u32 - answered,
            lost: spec.samples() - keys.len() as u32,
            ..Tally::default()
        })
    }
}

impl Tally {
    fn is_correct(&self) -> bool {
        self.wrong == 0 && self.lost == 0 && self.answered + self.refused == self.sent
    }
}

impl Caller {
    fn url(&self, number: u32) -> &str {
        &self.daemons[number as usize % self.daemons.len()]
    }

    async fn completions(&self, count: u32) -> Tally {
        let mut tally = Tally::default();
        for number in 0..count {
            tally.sent += 1;
            let prompt = format!("care notes for strap {number}");
            let body = serde_json::json!({
                "model": "advisor-lm",
                "prompt": prompt,
                "max_tokens": COMPLETION_TOKENS,
            });
            let expected = Engine::expected_text(&prompt, COMPLETION_TOKENS);
            let mut text = None;
            for attempt in 0..ATTEMPTS {
                let url = format!("{}/v1/completions", self.url(number + attempt));
                text = completion_text(self.client.post(url).json(&body)).await;
                if text.is_some() {
                    break;
                }
                tally.retried += 1;
                sleep(RETRY_PAUSE).await;
            }
            match text {
                Some(text) if text == expected => tally.answered += 1,
                Some(_) => tally.wrong += 1,
                None => tally.lost += 1,
            }
        }
        tally
    }

    async fn holds(&self, count: u32) -> Tally {
        let mut tally = Tally::default();
        for number in 0..count {
            tally.sent += 1;
            let key = Uuid::now_v7().to_string();
            let mut is_settled = false;
            for attempt in 0..ATTEMPTS {
                let url = format!(
                    "{}/v1/services/shopfront/stock/hold",
                    self.url(number + attempt)
                );
                let request = self
                    .client
                    .post(url)
                    .header("idempotency-key", &key)
                    .body(key.clone());
                match request.send().await {
                    Ok(response) if response.status().is_success() => {
                        let text = response.text().await.unwrap_or_default();
                        match text.contains(&key) {
                            true => tally.answered += 1,
                            false => tally.wrong += 1,
                        }
                        is_settled = true;
                    }
                    Ok(response) if verdict(&response) == "may-have-run" => {
                        tally.refused += 1;
                        is_settled = true;
                    }
                    _ => {
                        tally.retried += 1;
                        sleep(RETRY_PAUSE).await;
                    }
                }
                if is_settled {
                    break;
                }
            }
            tally.lost += u32::from(!is_settled);
        }
        tally
    }

    async fn duplicate_holds(&self, plain: &str) -> reqwest::Result<usize> {
        let response = self
            .client
            .get(format!("{plain}/admin/runs"))
            .send()
            .await?;
        let runs: BTreeMap<String, u32> = response.json().await?;
        Ok(runs.values().filter(|&&count| count > 1).count())
    }
}

fn verdict(response: &reqwest::Response) -> &str {
    let value = response.headers().get("wisteriapoint-verdict");
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

async fn completion_text(request: reqwest::RequestBuilder) -> Option<String> {
    let response = request.send().await.ok()?;
    let body: serde_json::Value = response.error_for_status().ok()?.json().await.ok()?;
    body["choices"][0]["text"].as_str().map(str::to_owned)
}
