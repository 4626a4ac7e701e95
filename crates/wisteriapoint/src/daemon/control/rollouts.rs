//! Control's part in rollouts: the steps that this daemon coordinates.

use std::sync::Arc;

use wisteriapoint_rollout::{Cursor, Sample, SampleKey, StepId, StepSpec};
use wisteriapoint_types::WeightVersion;

use super::Control;
use crate::daemon::message::Reply;
use crate::daemon::rollouts;

const SAMPLES_IN_FLIGHT: usize = 64;

impl Control {
    pub(super) fn answer_put(&mut self, id: StepId, spec: StepSpec, cursor: &Cursor) -> Reply {
        Reply::Put(self.coordinator.put(id, spec, cursor))
    }

    pub(super) fn answer_pull(
        &mut self,
        id: &StepId,
        cursor: &Cursor,
        version: WeightVersion,
        limit: u32,
    ) -> Reply {
        let pulled = self.coordinator.pull(id, cursor, version, limit as usize);
        Reply::Pulled(pulled)
    }

    pub(super) fn finish_sample(&mut self, id: &StepId, key: SampleKey, sample: Option<Sample>) {
        self.running_samples = self.running_samples.saturating_sub(1);
        self.coordinator.finish(id, key, sample);
        self.start_samples();
    }

    pub(super) fn start_samples(&mut self) {
        let room = SAMPLES_IN_FLIGHT.saturating_sub(self.running_samples);
        for task in self.coordinator.take_tasks(room) {
            self.running_samples += 1;
            rollouts::spawn_task(Arc::clone(&self.shared), task);
        }
    }
}
