//! Helpers of the tests.
#![allow(dead_code)]

use std::collections::BTreeSet;

use wisteriapoint_rollout::{
    AttemptKey, Coordinator, FirstTokens, Sample, SampleKey, Span, StepId, StepSpec, Task,
};
use wisteriapoint_types::{EndpointName, ServiceName, TrainerName, WeightVersion};

pub(crate) fn id(trainer: &str) -> StepId {
    StepId {
        trainer: TrainerName::new(trainer),
        step: 1,
    }
}

pub(crate) fn spec(prompts: u32, staleness_versions: u64) -> StepSpec {
    StepSpec {
        service: ServiceName::new("advisor-lm"),
        prompts: (0..prompts).map(|n| format!("strap {n}").into()).collect(),
        samples_per_prompt: 2,
        max_tokens: 100,
        staleness_versions,
        scorer: None,
    }
}

pub(crate) fn sample(key: SampleKey, spans: &[(u64, u32)]) -> Sample {
    Sample {
        key,
        text: "text".into(),
        spans: spans
            .iter()
            .map(|&(version, tokens)| Span {
                version: WeightVersion(version),
                tokens,
            })
            .collect(),
        score: None,
    }
}

pub(crate) fn first_tokens(endpoint: &str, version: u64) -> FirstTokens {
    FirstTokens {
        endpoint: EndpointName::new(endpoint),
        version: WeightVersion(version),
    }
}

/// Finishes all tasks with tokens of one weight version.
pub(crate) fn finish_all(coordinator: &mut Coordinator, tasks: &[Task], version: u64) {
    for task in tasks {
        let sample = sample(task.key, &[(version, 10)]);
        coordinator.finish(0, task.attempt, Some(sample));
    }
}

pub(crate) fn attempts(tasks: &[Task]) -> BTreeSet<AttemptKey> {
    tasks.iter().map(|task| task.attempt).collect()
}
