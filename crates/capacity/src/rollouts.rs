//! Measures the memory of steps in a coordinator and the processing time of each sample.

use std::time::Instant;

use wisteriapoint_rollout::{Coordinator, Cursor, Sample, Span, StepId, StepSpec, Task};
use wisteriapoint_types::{ServiceName, TrainerName, WeightVersion};

use crate::measurement::Measurement;
use crate::process::allocated_bytes;

const SIZES: [u32; 3] = [512, 4_096, 28_672];
const SAMPLES_PER_PROMPT: u32 = 8;
const PROMPT_BYTES: usize = 1_024;
const TEXT_BYTES: usize = 4_096;
const PULL_SAMPLES: usize = 256;
const REPEATS: usize = 3;

pub(crate) fn measure() -> Vec<Measurement> {
    let mut memory = Measurement::new(
        "memory of a generated step (4 KiB a sample), bytes",
        "samples",
    );
    let mut time = Measurement::new(
        "control time of one sample from put to pull, microseconds",
        "samples",
    );
    for size in SIZES {
        let mut bytes = Vec::new();
        let mut per_sample_us = Vec::new();
        for _ in 0..REPEATS {
            let before_bytes = allocated_bytes();
            let started = Instant::now();
            let mut coordinator = Coordinator::new();
            let id = generate_step(&mut coordinator, size);
            bytes.push(allocated_bytes().saturating_sub(before_bytes) as f64);
            pull_step(&mut coordinator, &id);
            per_sample_us.push(started.elapsed().as_secs_f64() * 1e6 / f64::from(size));
        }
        memory = memory.with_point(size as usize, &bytes);
        time = time.with_point(size as usize, &per_sample_us);
    }
    vec![memory, time]
}

fn generate_step(coordinator: &mut Coordinator, samples: u32) -> StepId {
    let service = ServiceName::new("advisor-lm");
    let id = StepId {
        trainer: TrainerName::new("trainer-1"),
        step: 1,
    };
    let prompts = (0..samples / SAMPLES_PER_PROMPT).map(|_| "p".repeat(PROMPT_BYTES).into());
    let spec = StepSpec {
        service: service.clone(),
        prompts: prompts.collect(),
        samples_per_prompt: SAMPLES_PER_PROMPT,
        max_tokens: 1_024,
        staleness_versions: 1,
        scorer: None,
    };
    coordinator.set_service(service, samples as usize, 0.1);
    if coordinator
        .put(0, id.clone(), spec, &Cursor::new())
        .is_err()
    {
        return id;
    }
    let mut now_ms = 0;
    loop {
        now_ms += 20;
        let tasks = coordinator.take_tasks(now_ms, 512);
        if tasks.is_empty() && coordinator.in_flight() == 0 {
            return id;
        }
        for task in tasks {
            let sample = sample(&task);
            coordinator.finish(now_ms + 10, task.attempt, Some(sample));
        }
    }
}

fn pull_step(coordinator: &mut Coordinator, id: &StepId) {
    let mut cursor = Cursor::new();
    while let Ok(pulled) = coordinator.pull(1_000_000, id, &cursor, WeightVersion(1), PULL_SAMPLES)
        && !pulled.complete
        && !pulled.samples.is_empty()
    {
        cursor = pulled.cursor;
    }
}

fn sample(task: &Task) -> Sample {
    Sample {
        key: task.key,
        text: "t".repeat(TEXT_BYTES).into(),
        spans: vec![Span {
            version: WeightVersion(1),
            tokens: 1_024,
        }],
        score: None,
    }
}
