//! FIFO scheduler of the variants without a coordinator; it does not hedge.

use std::collections::{BTreeMap, VecDeque};

use wisteriapoint_rollout::{
    AttemptKey, Cursor, PullResponse, Sample, SampleKey, StepId, StepSpec, Task,
};
use wisteriapoint_types::WeightVersion;

#[derive(Debug)]
pub(super) struct Fifo {
    max_in_flight: usize,
    last_attempt: u64,
    waiting: VecDeque<(StepId, SampleKey)>,
    running: BTreeMap<AttemptKey, (StepId, SampleKey)>,
    ready: BTreeMap<StepId, Vec<Sample>>,
    specs: BTreeMap<StepId, StepSpec>,
}

impl Fifo {
    pub(super) fn new(max_in_flight: usize) -> Self {
        Self {
            max_in_flight,
            last_attempt: 0,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            ready: BTreeMap::new(),
            specs: BTreeMap::new(),
        }
    }

    pub(super) fn put(&mut self, id: &StepId, spec: &StepSpec) {
        let keys = (0..spec.samples()).map(|index| (id.clone(), spec.key(index)));
        self.waiting.extend(keys);
        self.specs.insert(id.clone(), spec.clone());
    }

    pub(super) fn take_tasks(&mut self) -> Vec<Task> {
        let mut tasks = Vec::new();
        while self.running.len() < self.max_in_flight
            && let Some((id, key)) = self.waiting.pop_front()
        {
            self.last_attempt += 1;
            let attempt = AttemptKey(self.last_attempt);
            let spec = &self.specs[&id];
            tasks.push(Task {
                id: id.clone(),
                key,
                attempt,
                service: spec.service.clone(),
                prompt: spec.prompts[key.group as usize].clone(),
                max_tokens: spec.max_tokens,
                expected_tokens: spec.max_tokens,
                oldest_version: WeightVersion(0),
                avoid: Vec::new(),
            });
            self.running.insert(attempt, (id, key));
        }
        tasks
    }

    pub(super) fn finish(&mut self, attempt: AttemptKey, sample: Sample) {
        if let Some((id, _)) = self.running.remove(&attempt) {
            self.ready.entry(id).or_default().push(sample);
        }
    }

    pub(super) fn pull(
        &mut self,
        id: &StepId,
        cursor: &Cursor,
        version: WeightVersion,
    ) -> PullResponse {
        let spec = &self.specs[id];
        let oldest = version.0.saturating_sub(spec.staleness_versions);
        let ready = self.ready.remove(id).unwrap_or_default();
        let mut next = cursor.clone();
        let mut samples = Vec::new();
        for sample in ready {
            match sample.oldest_version().0 {
                version if version < oldest => self.waiting.push_front((id.clone(), sample.key)),
                _ => {
                    next.insert(spec.index(sample.key));
                    samples.push(sample);
                }
            }
        }
        PullResponse {
            from: cursor.clone(),
            version,
            complete: next.len() == spec.samples() as usize,
            cursor: next,
            samples,
        }
    }
}
