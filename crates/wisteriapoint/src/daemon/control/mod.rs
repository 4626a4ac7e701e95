//! The control loop, which owns all control state and needs no locks.

mod claims;
mod configuration;
mod gossip;
mod members;
mod rollouts;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};
use wisteriapoint_catalog::{Catalog, Update};
use wisteriapoint_claim::{Holder, Transfer};
use wisteriapoint_membership::{Member, ProbeResult, Roster, RosterConfig, View};
use wisteriapoint_peer::DatagramSocket;
use wisteriapoint_rollout::{AttemptKey, ScoreTask};
use wisteriapoint_types::{MemberId, PartitionId, ViewNumber};

use self::gossip::Gossip;
use self::rollouts::{Pull, Rollouts};
use super::message::{Generated, PeerRequest, PeerResponse, ServiceCrashReport, StateDigest};
use super::snapshot::Snapshot;
use super::{Shared, probe};

/// Capacity of the queue of commands to the control loop.
pub const COMMAND_QUEUE_LENGTH: usize = 4_096;

const TICK: Duration = Duration::from_millis(20);

/// Command to the control loop.
#[derive(Debug)]
pub enum Command {
    /// A request of another daemon or of this daemon's traffic threads.
    PeerRequest(Box<PeerRequest>, oneshot::Sender<PeerResponse>),
    /// A view from the platform or from a peer.
    View(View),
    /// The claims of a partition, collected from the earlier views.
    OpenPartition(ViewNumber, PartitionId, Transfer),
    /// All partitions that this daemon holds in a view are open.
    Transferred(ViewNumber),
    /// Configuration from the platform, or from a peer that has read it there.
    Update(Update),
    /// The leases that the platform lists; `None` if the platform did not respond.
    Leases(Option<Vec<Member>>),
    /// The result of a probe of a member.
    Probed(MemberId, ProbeResult),
    /// A datagram from a peer.
    Digest(SocketAddr, StateDigest),
    /// Crash reports of this daemon's routers.
    CrashReports {
        /// All recent reports, newest first.
        recent: Vec<ServiceCrashReport>,
        /// The reports that have not been sent to other daemons yet.
        new: Vec<ServiceCrashReport>,
    },
    /// An exchange with a peer has ended.
    ExchangeEnded(SocketAddr),
    /// An attempt at a sample has ended.
    Finished(AttemptKey, Generated),
    /// Scoring of a sample has ended; `None` if the scorer returned no score.
    Scored(Box<ScoreTask>, Option<f64>),
}

/// Control state, accessed only by the control thread.
#[derive(Debug)]
pub struct Control {
    shared: Arc<Shared>,
    published: watch::Sender<()>,
    snapshot: Snapshot,
    catalog: Catalog,
    roster: Roster,
    gossip: Gossip,
    holder: Holder,
    transferred: ViewNumber,
    rollouts: Rollouts,
    ticks: u64,
}

impl Control {
    /// Creates the state of a daemon without a view and configuration.
    pub fn new(
        shared: Arc<Shared>,
        published: watch::Sender<()>,
        socket: Arc<DatagramSocket>,
        seed_peers: Vec<SocketAddr>,
    ) -> Self {
        Self {
            shared,
            published,
            snapshot: Snapshot::default(),
            catalog: Catalog::new(),
            roster: Roster::new(RosterConfig::default()),
            gossip: Gossip::new(socket, seed_peers),
            holder: Holder::new(),
            transferred: ViewNumber::default(),
            rollouts: Rollouts::new(),
            ticks: 0,
        }
    }

    /// Executes commands and periodic work until all senders of commands are dropped.
    pub async fn process_commands(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.execute(command),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::PeerRequest(request, reply) => self.handle_request(*request, reply),
            Command::View(view) => self.apply_view(view),
            Command::OpenPartition(view, partition, transfer) => {
                self.holder.open(view, partition, transfer)
            }
            Command::Transferred(view) => self.transferred = view,
            Command::Update(update) => self.apply_update(update),
            Command::Leases(leases) => self.set_leases(leases),
            Command::Probed(id, probe) => self.roster.record_probe(id, probe),
            Command::Digest(from, digest) => self.receive_digest(from, digest),
            Command::CrashReports { recent, new } => self.publish_crash_reports(recent, new),
            Command::ExchangeEnded(peer) => self.gossip.end_exchange(peer),
            Command::Finished(attempt, generated) => self.finish_attempt(attempt, generated),
            Command::Scored(task, score) => self.record_score(&task, score),
        }
    }

    fn handle_request(&mut self, request: PeerRequest, reply: oneshot::Sender<PeerResponse>) {
        let response = match request {
            PeerRequest::Claim(request) => self.answer_claim(&request),
            PeerRequest::Report(report) => self.answer_report(&report),
            PeerRequest::Seal { source, seal } => self.answer_seal(source, &seal),
            PeerRequest::Transferred(view) => self.answer_transferred(view),
            PeerRequest::Put { id, spec, cursor } => self.answer_put(id, spec, &cursor),
            PeerRequest::Pull {
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
                return self.answer_pull(pull, wait_ms, reply);
            }
            PeerRequest::Ping => PeerResponse::Pong {
                stopping: self.shared.is_draining(),
            },
            PeerRequest::Probe(id) => return probe::spawn_answer(&self.shared, id, reply),
            PeerRequest::Sync { view, summary } => self.answer_sync(view, &summary),
            PeerRequest::Offer { view, update } => self.answer_offer(view, update),
            PeerRequest::Generate { coordinator, task } => {
                return self.start_generation(coordinator, task, reply);
            }
            PeerRequest::FirstTokens {
                attempt,
                first_tokens,
            } => self.answer_first_tokens(attempt, first_tokens),
            PeerRequest::Progress { attempt, tokens } => self.answer_progress(attempt, tokens),
            PeerRequest::Cancel {
                coordinator,
                attempt,
            } => self.answer_cancel(coordinator, attempt),
        };
        // The send fails if the requester has timed out and no longer needs the response.
        let _ = reply.send(response);
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.tick_claims();
        self.tick_members();
        self.tick_gossip();
        self.tick_rollouts();
    }

    fn publish(&mut self) {
        self.shared.snapshot.store(Arc::new(self.snapshot.clone()));
        self.published.send_replace(());
    }
}
