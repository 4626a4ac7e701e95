//! The control loop: owns all control state, without locks.

mod claims;
mod configuration;
mod members;
mod rollouts;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};
use wisteriapoint_claim::{Holder, Transfer};
use wisteriapoint_membership::View;
use wisteriapoint_platform::{Entry, VmEntry};
use wisteriapoint_rollout::{Coordinator, Sample, SampleKey, StepId};
use wisteriapoint_types::{PartitionKey, ServiceName, ViewNumber, WeightVersion};

use super::message::{Question, Reply};
use super::snapshot::Snapshot;
use super::{Shared, generate};

/// Commands that control may have waiting.
pub const COMMANDS: usize = 4_096;

const TICK: Duration = Duration::from_millis(20);

/// What control is told.
#[derive(Debug)]
pub enum Command {
    /// A question from a peer or from this daemon's traffic.
    Question(Box<Question>, oneshot::Sender<Reply>),
    /// The view, as the platform has it.
    View(View),
    /// All claims of a partition, collected for a view.
    Open(ViewNumber, PartitionKey, Transfer),
    /// All partitions of this daemon are open in a view.
    Transferred(ViewNumber),
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
    versions: BTreeMap<ServiceName, WeightVersion>,
    holder: Holder,
    transferred: ViewNumber,
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
            transferred: ViewNumber::default(),
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
            Command::Open(view, key, transfer) => self.holder.open(view, key, transfer),
            Command::Transferred(view) => self.transferred = view,
            Command::Services(entries) => self.take_services(&entries),
            Command::Weights(entries) => self.take_weights(&entries),
            Command::Vms(vms) => self.take_vms(vms),
            Command::Finished(id, key, sample) => self.finish_sample(&id, key, sample),
        }
    }

    fn answer(&mut self, question: Question, sender: oneshot::Sender<Reply>) {
        let reply = match question {
            Question::Claim(ask) => self.answer_claim(&ask),
            Question::Report(report) => self.answer_report(&report),
            Question::Seal { source, seal } => self.answer_seal(source, &seal),
            Question::Transferred(view) => self.answer_transferred(view),
            Question::Put { id, spec, cursor } => self.answer_put(id, spec, &cursor),
            Question::Pull {
                id,
                cursor,
                version,
                limit,
            } => self.answer_pull(&id, &cursor, version, limit),
            Question::Generate(task) => {
                let shared = Arc::clone(&self.shared);
                return generate::spawn_sample(shared, task, sender);
            }
        };
        // The asker may have given up; then nobody needs the reply.
        let _ = sender.send(reply);
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.tick_claims();
        self.start_samples();
    }

    fn publish(&mut self) {
        self.shared.snapshot.store(Arc::new(self.snapshot.clone()));
        self.published.send_replace(());
    }
}
