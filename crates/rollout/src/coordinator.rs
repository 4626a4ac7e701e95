//! The coordinator of a trainer's steps.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::WeightVersion;

use crate::error::{Error, Kind};
use crate::{Cursor, Sample, SampleKey, StepId, StepSpec};

/// State of the steps that one daemon coordinates.
#[derive(Debug, Default)]
pub struct Coordinator {
    steps: BTreeMap<StepId, Step>,
}

#[derive(Debug)]
struct Step {
    spec: StepSpec,
    samples: Vec<State>,
}

#[derive(Debug)]
enum State {
    Waiting,
    Running,
    Ready(Sample),
    Received,
}

/// One sample to generate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// The step.
    pub id: StepId,
    /// Place in the step.
    pub key: SampleKey,
    /// What the step asks for, without its prompts.
    pub spec: StepSpec,
    /// The prompt.
    pub prompt: Box<str>,
}

/// The answer to a pull.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pulled {
    /// The cursor that the pull came with; the answer counts only for a trainer still there.
    pub from: Cursor,
    /// The samples.
    pub samples: Vec<Sample>,
    /// The cursor once they are received.
    pub cursor: Cursor,
    /// Whether that cursor covers the whole step.
    pub complete: bool,
}

impl Coordinator {
    /// Makes a coordinator without steps.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a step; the same step may be put again.
    ///
    /// # Errors
    ///
    /// Refuses an empty step, and another content under a known name.
    pub fn put(&mut self, id: StepId, spec: StepSpec, cursor: &Cursor) -> Result<(), Error> {
        match self.steps.get(&id) {
            _ if spec.samples() == 0 => return Err(Kind::Empty.into()),
            Some(step) if step.spec != spec => return Err(Kind::Conflict.into()),
            Some(_) => {}
            None => {
                let samples = (0..spec.samples()).map(|_| State::Waiting).collect();
                self.steps.insert(id.clone(), Step { spec, samples });
            }
        }
        self.received(&id, cursor)
    }

    /// Takes up to `limit` samples that are to be generated.
    pub fn take_tasks(&mut self, limit: usize) -> Vec<Task> {
        let mut tasks = Vec::new();
        for (id, step) in &mut self.steps {
            for (index, state) in step.samples.iter_mut().enumerate() {
                if tasks.len() >= limit {
                    return tasks;
                }
                if matches!(state, State::Waiting) {
                    *state = State::Running;
                    tasks.push(task(id, &step.spec, index as u32));
                }
            }
        }
        tasks
    }

    /// Takes a finished sample, or none if its generation failed.
    pub fn finish(&mut self, id: &StepId, key: SampleKey, sample: Option<Sample>) {
        let Some(step) = self.steps.get_mut(id) else {
            return;
        };
        let index = step.spec.index(key) as usize;
        if let Some(state @ State::Running) = step.samples.get_mut(index) {
            *state = sample.map_or(State::Waiting, State::Ready);
        }
    }

    /// Hands over samples that are fresh enough for a trainer at `version`.
    ///
    /// # Errors
    ///
    /// Fails for a step that is not known and for a cursor beyond the step.
    pub fn pull(
        &mut self,
        id: &StepId,
        cursor: &Cursor,
        version: WeightVersion,
        limit: usize,
    ) -> Result<Pulled, Error> {
        self.received(id, cursor)?;
        let step = self.steps.get_mut(id).ok_or(Kind::UnknownStep)?;
        step.drop_stale(version);
        let samples = step.ready(limit);
        let mut next = cursor.clone();
        for sample in &samples {
            next.insert(step.spec.index(sample.key));
        }
        Ok(Pulled {
            from: cursor.clone(),
            complete: next.len() == step.samples.len(),
            cursor: next,
            samples,
        })
    }

    /// Drops a step that its trainer has finished.
    pub fn remove(&mut self, id: &StepId) {
        self.steps.remove(id);
    }

    /// Number of steps.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// Whether there is no step.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    fn received(&mut self, id: &StepId, cursor: &Cursor) -> Result<(), Error> {
        let step = self.steps.get_mut(id).ok_or(Kind::UnknownStep)?;
        let samples = step.samples.len() as u32;
        if let Some(index) = cursor.last().filter(|&index| index >= samples) {
            return Err(Kind::CursorBeyondStep { index, samples }.into());
        }
        for index in cursor.iter() {
            step.samples[index as usize] = State::Received;
        }
        Ok(())
    }
}

impl Step {
    fn drop_stale(&mut self, version: WeightVersion) {
        let bound = version.0.saturating_sub(self.spec.staleness_versions);
        for state in &mut self.samples {
            match state {
                State::Ready(sample) if sample.oldest_version().0 < bound => {
                    *state = State::Waiting;
                }
                _ => {}
            }
        }
    }

    fn ready(&self, limit: usize) -> Vec<Sample> {
        let ready = self.samples.iter().filter_map(|state| match state {
            State::Ready(sample) => Some(sample.clone()),
            _ => None,
        });
        ready.take(limit).collect()
    }
}

fn task(id: &StepId, spec: &StepSpec, index: u32) -> Task {
    let key = spec.key(index);
    Task {
        id: id.clone(),
        key,
        prompt: spec.prompts[key.group as usize].clone(),
        spec: StepSpec {
            prompts: Vec::new(),
            ..spec.clone()
        },
    }
}
