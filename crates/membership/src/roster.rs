//! Detection of joining and failed members, by their leases and by probes.

use std::collections::BTreeMap;

use wisteriapoint_types::{MemberId, Nonce};

use crate::{Member, View};

/// Intervals, timeouts and thresholds of a [`Roster`].
#[derive(Debug, Clone, Copy)]
pub struct RosterConfig {
    /// Interval between two probes of the same member, in milliseconds.
    pub probe_interval_ms: u64,
    /// Consecutive failed probes after which a member is removed if a peer confirms the failure.
    pub probe_failure_threshold: u32,
    /// Time without a lease and without a probe response after which a member is removed even if
    /// no peer confirms the failure, in milliseconds.
    pub unwitnessed_timeout_ms: u64,
    /// Delay before a proposal, in milliseconds; multiplied by the rank of the proposer.
    pub rank_delay_ms: u64,
}

impl Default for RosterConfig {
    fn default() -> Self {
        Self {
            probe_interval_ms: 1_000,
            probe_failure_threshold: 3,
            unwitnessed_timeout_ms: 30_000,
            rank_delay_ms: 1_000,
        }
    }
}

/// Result of a probe of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The member responded, to this daemon or to a peer.
    Alive,
    /// The member responded that it is stopping.
    Stopping,
    /// Neither this daemon nor any of the queried peers got a response.
    Unreachable {
        /// Number of peers that confirmed that they got no response.
        witnesses: u32,
    },
}

/// Action that a proposer has to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterAction {
    /// Probe the member, and pass the result to [`Roster::record_probe`].
    Probe(MemberId),
    /// Propose the view as the next one.
    Propose(View),
}

/// State of a proposer: the current leases, and the probes of members without a lease.
///
/// A member without a lease is removed from the view only if it does not respond to probes or
/// responds that it is stopping. If all leases expire at once, members that respond stay.
#[derive(Debug)]
pub struct Roster {
    config: RosterConfig,
    leases: Option<Vec<Member>>,
    suspects: BTreeMap<MemberId, Suspect>,
    pending_since_ms: Option<u64>,
}

#[derive(Debug)]
struct Suspect {
    unreachable_since_ms: u64,
    probed_at_ms: Option<u64>,
    failed_probes: u32,
    witnessed: bool,
    stopping: bool,
}

impl Roster {
    /// Creates a roster that has no leases yet and therefore takes no action.
    pub fn new(config: RosterConfig) -> Self {
        Self {
            config,
            leases: None,
            suspects: BTreeMap::new(),
            pending_since_ms: None,
        }
    }

    /// Sets the leases that the platform lists.
    pub fn set_leases(&mut self, leases: Vec<Member>) {
        self.leases = Some(leases);
    }

    /// Discards leases, probes and the pending proposal, because the platform does not respond.
    pub fn reset(&mut self) {
        self.leases = None;
        self.suspects.clear();
        self.pending_since_ms = None;
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, id: MemberId, probe: ProbeResult) {
        let Some(suspect) = self.suspects.get_mut(&id) else {
            return;
        };
        match probe {
            ProbeResult::Alive => {
                suspect.failed_probes = 0;
                suspect.witnessed = false;
                suspect.unreachable_since_ms =
                    suspect.probed_at_ms.unwrap_or(suspect.unreachable_since_ms);
            }
            ProbeResult::Stopping => suspect.stopping = true,
            ProbeResult::Unreachable { witnesses } => {
                suspect.failed_probes += 1;
                suspect.witnessed |= witnesses > 0;
            }
        }
    }

    /// Returns the actions that are due for the proposer with the given rank.
    pub fn next_actions(
        &mut self,
        now_ms: u64,
        view: &View,
        rank: usize,
        nonce: Nonce,
    ) -> Vec<RosterAction> {
        let Some(leases) = self.leases.clone() else {
            return Vec::new();
        };
        self.update_suspects(now_ms, view, &leases);
        let joining = joining(view, &leases);
        let leaving = self.leaving(now_ms);
        let mut actions = self.probes(now_ms);
        if joining.is_empty() && leaving.is_empty() {
            self.pending_since_ms = None;
            return actions;
        }
        let since_ms = *self.pending_since_ms.get_or_insert(now_ms);
        if now_ms >= since_ms + self.config.rank_delay_ms * rank as u64 {
            self.pending_since_ms = Some(now_ms);
            actions.push(RosterAction::Propose(
                view.with_changes(&joining, &leaving, nonce),
            ));
        }
        actions
    }

    fn update_suspects(&mut self, now_ms: u64, view: &View, leases: &[Member]) {
        let holds = |id: MemberId| leases.iter().any(|lease| lease.id == id);
        let is_member = |id: MemberId| view.member(id).is_some();
        self.suspects.retain(|&id, _| is_member(id) && !holds(id));
        for member in view.members.iter().filter(|member| !holds(member.id)) {
            self.suspects.entry(member.id).or_insert(Suspect {
                unreachable_since_ms: now_ms,
                probed_at_ms: None,
                failed_probes: 0,
                witnessed: false,
                stopping: false,
            });
        }
    }

    fn probes(&mut self, now_ms: u64) -> Vec<RosterAction> {
        let interval_ms = self.config.probe_interval_ms;
        let mut actions = Vec::new();
        for (&id, suspect) in &mut self.suspects {
            let due = suspect
                .probed_at_ms
                .is_none_or(|at_ms| now_ms >= at_ms + interval_ms);
            if due {
                suspect.probed_at_ms = Some(now_ms);
                actions.push(RosterAction::Probe(id));
            }
        }
        actions
    }

    fn leaving(&self, now_ms: u64) -> Vec<MemberId> {
        let config = &self.config;
        let has_failed = |suspect: &Suspect| match suspect.failed_probes {
            _ if suspect.stopping => true,
            failed_probes if failed_probes < config.probe_failure_threshold => false,
            _ if suspect.witnessed => true,
            _ => now_ms >= suspect.unreachable_since_ms + config.unwitnessed_timeout_ms,
        };
        self.suspects
            .iter()
            .filter(|(_, suspect)| has_failed(suspect))
            .map(|(&id, _)| id)
            .collect()
    }
}

fn joining(view: &View, leases: &[Member]) -> Vec<Member> {
    let is_new = |lease: &&Member| view.member(lease.id).is_none();
    leases.iter().filter(is_new).cloned().collect()
}
