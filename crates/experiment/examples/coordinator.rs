//! Measures the processor time of a coordinator by the size of the steps.

use std::error::Error;
use std::time::Instant;

use wisteriapoint_rollout::{
    Coordinator, Cursor, FirstTokens, Sample, Span, StepId, StepSpec, Task,
};
use wisteriapoint_types::{EndpointName, ServiceName, TrainerName, WeightVersion};

const TRAINERS: u32 = 7;
const SAMPLES_PER_PROMPT: u32 = 8;
const IN_FLIGHT: usize = 2_048;
const IDLE_TICKS: u32 = 1_000;
const VERSION: WeightVersion = WeightVersion(1);

fn main() -> Result<(), Box<dyn Error>> {
    println!("| samples a step | work for a sample, us | tick with 1,024 in flight, us |");
    println!("|---|---|---|");
    for samples in [512, 1_024, 2_048, 4_096] {
        let (sample_us, tick_us) = measure(samples)?;
        println!("| {TRAINERS} x {samples} | {sample_us:.1} | {tick_us:.1} |");
    }
    Ok(())
}

fn measure(samples: u32) -> Result<(f64, f64), Box<dyn Error>> {
    let service = ServiceName::new("advisor-lm");
    let mut coordinator = Coordinator::new();
    coordinator.set_service(service.clone(), IN_FLIGHT, 0.1);
    let prompts = samples / SAMPLES_PER_PROMPT;
    let spec = StepSpec {
        service,
        prompts: (0..prompts).map(|n| format!("strap {n}").into()).collect(),
        samples_per_prompt: SAMPLES_PER_PROMPT,
        max_tokens: 4_096,
        staleness_versions: 1,
        scorer: None,
    };
    let ids: Vec<StepId> = (0..TRAINERS).map(id).collect();
    let started = Instant::now();
    for id in &ids {
        coordinator.put(0, id.clone(), spec.clone(), &Cursor::new())?;
    }
    let mut cursors = vec![Cursor::new(); ids.len()];
    let mut now_ms = 0;
    let mut tick_us = 0.0;
    while !coordinator.is_empty() {
        now_ms += 20;
        let tasks = coordinator.take_tasks(now_ms, IN_FLIGHT);
        if tick_us == 0.0 && tasks.len() >= IN_FLIGHT / 2 {
            tick_us = idle_tick_us(&mut coordinator, &mut now_ms);
        }
        for task in &tasks {
            finish(&mut coordinator, now_ms, task);
        }
        for (id, cursor) in ids.iter().zip(&mut cursors) {
            if let Ok(pulled) = coordinator.pull(now_ms, id, cursor, VERSION, 256) {
                *cursor = pulled.cursor;
            }
        }
    }
    let elapsed_us = started.elapsed().as_micros() as f64 - tick_us * f64::from(IDLE_TICKS);
    Ok((elapsed_us / f64::from(samples * TRAINERS), tick_us))
}

/// Returns the mean time of a tick that starts no new attempts, including the check for hedges.
fn idle_tick_us(coordinator: &mut Coordinator, now_ms: &mut u64) -> f64 {
    let started = Instant::now();
    for _ in 0..IDLE_TICKS {
        *now_ms += 20;
        coordinator.take_tasks(*now_ms, IN_FLIGHT);
    }
    started.elapsed().as_micros() as f64 / f64::from(IDLE_TICKS)
}

fn finish(coordinator: &mut Coordinator, now_ms: u64, task: &Task) {
    let engine = task.attempt.0 % 512;
    let first_tokens = FirstTokens {
        endpoint: EndpointName::new(format!("engine-{engine}")),
        version: VERSION,
    };
    coordinator.record_first_tokens(now_ms, task.attempt, first_tokens);
    let sample = Sample {
        key: task.key,
        text: "text".into(),
        spans: vec![Span {
            version: VERSION,
            tokens: 500,
        }],
        score: None,
    };
    coordinator.finish(now_ms + 5_000, task.attempt, Some(sample));
}

fn id(number: u32) -> StepId {
    StepId {
        trainer: TrainerName::new(format!("trainer-{number}")),
        step: 1,
    }
}
