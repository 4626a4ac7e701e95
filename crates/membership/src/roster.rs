//! Who holds a lease and who answers: the ground for changes of the view.

use std::collections::BTreeMap;

use wisteriapoint_types::{MemberId, Nonce};

use crate::{Member, View};

/// How patient a [`Roster`] is.
#[derive(Debug, Clone, Copy)]
pub struct RosterConfig {
    /// Pause between two probes of the same member, in milliseconds.
    pub probe_interval_ms: u64,
    /// Failed probes in a row after which peers' word removes a member.
    pub probe_failure_threshold: u32,
    /// Time without lease and answer after which it is removed without peers' word, in
    /// milliseconds.
    pub unwitnessed_timeout_ms: u64,
    /// Wait before proposing, for each rank among the proposers, in milliseconds.
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

/// What a probe of a member found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// It answered.
    Alive,
    /// It answered that it is stopping.
    Stopping,
    /// Neither this daemon nor any of the peers asked heard it.
    Unreachable {
        /// Peers that answered that they do not hear it.
        witnesses: u32,
    },
}

/// What the proposer is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterAction {
    /// Probe a member.
    Probe(MemberId),
    /// Propose a view.
    Propose(View),
}

/// A proposer's knowledge of leases and probes.
///
/// A member leaves the view only if its lease is gone and it does not answer, or if it
/// says that it is stopping. A lapse of all leases at once removes nobody who answers.
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
    /// Makes a roster that has read no leases yet.
    pub fn new(config: RosterConfig) -> Self {
        Self {
            config,
            leases: None,
            suspects: BTreeMap::new(),
            pending_since_ms: None,
        }
    }

    /// Takes the leases as the platform lists them.
    pub fn set_leases(&mut self, leases: Vec<Member>) {
        self.leases = Some(leases);
    }

    /// Forgets the leases, since the platform does not answer.
    pub fn reset(&mut self) {
        self.leases = None;
        self.suspects.clear();
        self.pending_since_ms = None;
    }

    /// Takes the result of a probe.
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

    /// What to do now, for the proposer with a rank.
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
        let is_gone = |suspect: &Suspect| match suspect.failed_probes {
            _ if suspect.stopping => true,
            failed_probes if failed_probes < config.probe_failure_threshold => false,
            _ if suspect.witnessed => true,
            _ => now_ms >= suspect.unreachable_since_ms + config.unwitnessed_timeout_ms,
        };
        self.suspects
            .iter()
            .filter(|(_, suspect)| is_gone(suspect))
            .map(|(&id, _)| id)
            .collect()
    }
}

fn joining(view: &View, leases: &[Member]) -> Vec<Member> {
    let is_new = |lease: &&Member| view.member(lease.id).is_none();
    leases.iter().filter(is_new).cloned().collect()
}
