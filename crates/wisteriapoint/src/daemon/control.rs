//! The control loop: owns all control state, without locks.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};
use wisteriapoint_claim::Holder;
use wisteriapoint_membership::View;
use wisteriapoint_platform::{Entry, VmEntry, VmState};
use wisteriapoint_rollout::{Coordinator, Sample, SampleKey, StepId};
use wisteriapoint_types::{ServiceName, WeightVersion};

use super::message::{Question, Reply};
use super::rollouts;
use super::snapshot::{Service, Snapshot};
use super::{Shared, generate};
use crate::record::{ServiceRecord, WeightRecord};

/// Commands that control may have waiting.
pub const COMMANDS: usize = 4_096;

const TICK: Duration = Duration::from_millis(20);
const FORGET_EVERY_TICKS: u64 = 500;
const SAMPLES_IN_FLIGHT: usize = 64;

/// What control is told.
#[derive(Debug)]
pub enum Command {
    /// A question from a peer or from this daemon's traffic.
    Question(Box<Question>, oneshot::Sender<Reply>),
    /// The view, as the platform has it.
    View(View),
    /// Records of services, as the platform has them.
    Services(Vec<Entry>),
    /// Published weight versions, as the platform has them.
    Weights(Vec<Entry>),
    /// The platform's list of VMs.
    Vms(Vec<VmEntry>),
    /// A sample is finished, or its generation failed.
    Finished(StepId, SampleKey, Option<Sample>),
}

/// State that only the control thread touches.
#[derive(Debug)]
pub struct Control {
    shared: Arc<Shared>,
    published: watch::Sender<()>,
    snapshot: Snapshot,
    versions: std::collections::BTreeMap<ServiceName, WeightVersion>,
    holder: Holder,
    coordinator: Coordinator,
    running_samples: usize,
    ticks: u64,
}

impl Control {
    /// Makes the state of a daemon that knows nothing yet.
    pub fn new(shared: Arc<Shared>, published: watch::Sender<()>) -> Self {
        Self {
            shared,
            published,
            snapshot: Snapshot::default(),
            versions: Default::default(),
            holder: Holder::new(),
            coordinator: Coordinator::new(),
            running_samples: 0,
            ticks: 0,
        }
    }

    /// Takes commands until all their senders are gone.
    pub async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.take(command),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Question(question, reply) => self.answer(*question, reply),
            Command::View(view) => self.take_view(view),
            Command::Services(entries) => self.take_services(&entries),
            Command::Weights(entries) => self.take_weights(&entries),
            Command::Vms(vms) => self.take_vms(vms),
            Command::Finished(id, key, sample) => {
                self.running_samples = self.running_samples.saturating_sub(1);
                self.coordinator.finish(&id, key, sample);
                self.start_samples();
            }
        }
    }

    fn answer(&mut self, question: Question, sender: oneshot::Sender<Reply>) {
        let reply = match question {
            Question::Claim(ask) => Reply::Claim(self.holder.ask(self.shared.clock.now_ms(), &ask)),
            Question::Report(report) => {
                self.holder.report(&report);
                Reply::Noted
            }
            Question::Put { id, spec, cursor } => {
                Reply::Put(self.coordinator.put(id, spec, &cursor))
            }
            Question::Pull {
                id,
                cursor,
                version,
                limit,
            } => Reply::Pulled(self.coordinator.pull(&id, &cursor, version, limit as usize)),
            Question::Generate(task) => {
                let shared = Arc::clone(&self.shared);
                return generate::spawn_sample(shared, task, sender);
            }
        };
        // The asker may have given up; then nobody needs the reply.
        let _ = sender.send(reply);
    }

    fn take_view(&mut self, view: View) {
        if view.number <= self.snapshot.view.number {
            return;
        }
        log::info!("view {} with {} members", view.number, view.members.len());
        self.holder.open(view.number);
        self.shared.metrics.view_number.set(view.number.0 as i64);
        self.shared.metrics.members.set(view.members.len() as i64);
        self.snapshot.view = Arc::new(view);
        self.publish();
    }

    fn take_services(&mut self, entries: &[Entry]) {
        self.snapshot.configured = true;
        for entry in entries {
            self.take_service(entry);
        }
        self.publish();
    }

    fn take_service(&mut self, entry: &Entry) {
        let Ok(record) = serde_json::from_slice::<ServiceRecord>(&entry.value) else {
            log::warn!("{}: the record is malformed", entry.key);
            return;
        };
        let accepted = record.current;
        match wisteriapoint_settings::document_from_str(&accepted.document) {
            Ok(document) => self.put_in_force(document, accepted.revision),
            Err(error) => log::warn!("{}: {error}", entry.key),
        }
    }

    fn put_in_force(
        &mut self,
        document: wisteriapoint_settings::ServiceDocument,
        revision: wisteriapoint_types::Revision,
    ) {
        let name = document.service.clone();
        let in_force = self.snapshot.services.get(&name);
        if in_force.is_some_and(|service| service.revision >= revision) {
            return;
        }
        log::info!("service {name}: revision {revision} in force");
        let service = Service {
            document: Arc::new(document),
            revision,
            version: self.versions.get(&name).copied(),
        };
        self.snapshot.services.insert(name, service);
    }

    fn take_weights(&mut self, entries: &[Entry]) {
        for entry in entries {
            let Some(name) = entry
                .key
                .strip_prefix(wisteriapoint_platform::keys::WEIGHTS)
            else {
                continue;
            };
            let Ok(record) = serde_json::from_slice::<WeightRecord>(&entry.value) else {
                log::warn!("{}: the record is malformed", entry.key);
                continue;
            };
            let name = ServiceName::new(name);
            let known = self.versions.entry(name.clone()).or_default();
            *known = record.version.max(*known);
            if let Some(service) = self.snapshot.services.get_mut(&name) {
                service.version = Some(*known);
            }
        }
        self.publish();
    }

    fn take_vms(&mut self, vms: Vec<VmEntry>) {
        let leaving = vms
            .into_iter()
            .filter(|entry| entry.state == VmState::Leaving)
            .map(|entry| entry.vm)
            .collect();
        if leaving != self.snapshot.leaving {
            self.snapshot.leaving = leaving;
            self.publish();
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        if self.ticks.is_multiple_of(FORGET_EVERY_TICKS) {
            self.holder.forget(self.shared.clock.now_ms());
        }
        self.shared.metrics.claims.set(self.holder.len() as i64);
        self.start_samples();
    }

    fn start_samples(&mut self) {
        let room = SAMPLES_IN_FLIGHT.saturating_sub(self.running_samples);
        for task in self.coordinator.take_tasks(room) {
            self.running_samples += 1;
            rollouts::spawn_task(Arc::clone(&self.shared), task);
        }
    }

    fn publish(&mut self) {
        self.shared.snapshot.store(Arc::new(self.snapshot.clone()));
        self.published.send_replace(());
    }
}
