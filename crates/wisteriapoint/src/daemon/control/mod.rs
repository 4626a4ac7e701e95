//! The control loop: owns all control state, without locks.

mod claims;
mod configuration;
mod members;
mod relay;
mod rollouts;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};
use wisteriapoint_catalog::{Catalog, Update};
use wisteriapoint_claim::{Holder, Transfer};
use wisteriapoint_membership::{Member, ProbeResult, Roster, RosterConfig, View};
use wisteriapoint_peer::Datagrams;
use wisteriapoint_rollout::{AttemptKey, ScoreTask};
use wisteriapoint_types::{MemberId, PartitionId, ViewNumber};

use self::relay::Relay;
use self::rollouts::{Pull, Rollouts};
use super::message::{Digest, Generated, Question, Reply, ServiceStrike};
use super::snapshot::Snapshot;
use super::{Shared, probe};

/// Commands that control may have waiting.
pub const COMMANDS: usize = 4_096;

const TICK: Duration = Duration::from_millis(20);

/// What control is told.
#[derive(Debug)]
pub enum Command {
    /// A question from a peer or from this daemon's traffic.
    Question(Box<Question>, oneshot::Sender<Reply>),
    /// A view, from the platform or a peer.
    View(View),
    /// All claims of a partition, collected for a view.
    Open(ViewNumber, PartitionId, Transfer),
    /// All partitions of this daemon are open in a view.
    Transferred(ViewNumber),
    /// Configuration, from the platform or a peer that has read it.
    Update(Update),
    /// The leases that the platform lists; none if it does not answer.
    Leases(Option<Vec<Member>>),
    /// The result of a probe.
    Probed(MemberId, ProbeResult),
    /// A datagram from a peer.
    Digest(SocketAddr, Digest),
    /// Strikes against requests.
    Strikes {
        /// The recent ones that this daemon knows, newest first.
        recent: Vec<ServiceStrike>,
        /// Those that no other daemon knows yet.
        fresh: Vec<ServiceStrike>,
    },
    /// An exchange with a peer has ended.
    Exchanged(SocketAddr),
    /// An attempt at a sample has ended.
    Finished(AttemptKey, Generated),
    /// A sample has its score, or will not get one.
    Scored(Box<ScoreTask>, Option<f64>),
}

/// State that only the control thread touches.
#[derive(Debug)]
pub struct Control {
    shared: Arc<Shared>,
    published: watch::Sender<()>,
    snapshot: Snapshot,
    catalog: Catalog,
    roster: Roster,
    relay: Relay,
    holder: Holder,
    transferred: ViewNumber,
    rollouts: Rollouts,
    ticks: u64,
}

impl Control {
    /// Makes the state of a daemon that knows nothing yet.
    pub fn new(
        shared: Arc<Shared>,
        published: watch::Sender<()>,
        datagrams: Arc<Datagrams>,
        seed_peers: Vec<SocketAddr>,
    ) -> Self {
        Self {
            shared,
            published,
            snapshot: Snapshot::default(),
            catalog: Catalog::new(),
            roster: Roster::new(RosterConfig::default()),
            relay: Relay::new(datagrams, seed_peers),
            holder: Holder::new(),
            transferred: ViewNumber::default(),
            rollouts: Rollouts::new(),
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
            Command::Update(update) => self.take_update(update),
            Command::Leases(leases) => self.take_leases(leases),
            Command::Probed(id, probe) => self.roster.record_probe(id, probe),
            Command::Digest(from, digest) => self.take_digest(from, digest),
            Command::Strikes { recent, fresh } => self.take_strikes(recent, fresh),
            Command::Exchanged(with) => self.relay.end_exchange(with),
            Command::Finished(attempt, generated) => self.finish_attempt(attempt, generated),
            Command::Scored(task, score) => self.take_score(&task, score),
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
                wait_ms,
            } => {
                let pull = Pull {
                    id,
                    cursor,
                    version,
                    limit: limit as usize,
                };
                return self.answer_pull(pull, wait_ms, sender);
            }
            Question::Ping => Reply::Pong {
                stopping: self.shared.is_draining(),
            },
            Question::Probe(id) => return probe::spawn_answer(&self.shared, id, sender),
            Question::Sync { view, known } => self.answer_sync(view, &known),
            Question::Offer { view, update } => self.answer_offer(view, update),
            Question::Generate { coordinator, task } => {
                return self.generate(coordinator, task, sender);
            }
            Question::Begun { attempt, begun } => self.answer_begun(attempt, begun),
            Question::Progress { attempt, tokens } => self.answer_progress(attempt, tokens),
            Question::Cancel {
                coordinator,
                attempt,
            } => self.answer_cancel(coordinator, attempt),
        };
        // The asker may have given up; then nobody needs the reply.
        let _ = sender.send(reply);
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.tick_claims();
        self.tick_members();
        self.tick_relay();
        self.tick_rollouts();
    }

    fn publish(&mut self) {
        self.shared.snapshot.store(Arc::new(self.snapshot.clone()));
        self.published.send_replace(());
    }
}
