//! State of the model and its steps.

use std::hash::{Hash, Hasher};
use std::rc::Rc;

use wisteriapoint_usage::UsageRecord;

use super::platform::{Call, Fault, Platform};
use super::{Rule, holder};

/// Number of nodes in the model.
pub const NODES: usize = 2;
/// Largest number of windows in the model.
pub const MAX_WINDOWS: usize = 2;
/// Time that a new holder waits, and within which holders must not alternate: `lease-ms`.
pub const LEASE: u8 = 2;
/// Time to live of the lease of a holder; two units, so that it can be renewed between two ticks.
pub const TTL: u8 = 2;

/// Limits of an exploration.
///
/// What is reported and in which order are explored apart, as the states of both multiply.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Number of windows, at most [`MAX_WINDOWS`].
    pub windows: u8,
    /// Number of windows that are decided at the start.
    pub decided: u8,
    /// Largest number of claims.
    pub claims: u8,
    /// Largest number of nodes that are killed; each starts again.
    pub kills: u8,
    /// Time after which a call is over: its connection has been reset, and what a partition holds back of it
    /// is lost. A holder that releases the row makes way at once, so nothing but the successor's wait of
    /// [`LEASE`] covers its last call.
    pub call_delay: u8,
    /// Whether time passes. Otherwise leases expire and calls are executed at any time, and the order
    /// of calls is not judged.
    pub is_timed: bool,
    /// Whether the platform checks fencing tokens.
    pub is_fence_checked: bool,
}

impl Bounds {
    /// What is reported: any timing, one window, three holders in turn.
    pub const CONTENT: Self = Self {
        windows: 1,
        decided: 0,
        claims: 3,
        kills: 1,
        call_delay: LEASE - 1,
        is_timed: false,
        is_fence_checked: false,
    };
    /// What is reported of two windows, one of them decided, by two holders.
    pub const TWO_WINDOWS: Self = Self {
        windows: 2,
        decided: 1,
        claims: 2,
        kills: 0,
        ..Self::CONTENT
    };
    /// The order of calls: one decided window, three holders in turn, none killed.
    pub const ORDER: Self = Self {
        decided: 1,
        kills: 0,
        is_timed: true,
        ..Self::CONTENT
    };
}

/// A step, by the node that makes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A unit of time passes.
    Tick,
    /// The node claims the leader row.
    Claim(usize),
    /// The node claims the leader row and does not learn of it.
    ClaimUnanswered(usize),
    /// The node finds that the leader row is its own.
    Confirm(usize),
    /// The node renews its lease.
    Renew(usize),
    /// The node obtains another lease, as that of its claim has expired.
    Obtain(usize),
    /// The node learns that it is no longer the leader.
    Notice(usize),
    /// The lease of the leader row expires at the store.
    Expire,
    /// The node gives the leader row up.
    Release(usize),
    /// The node is killed and starts again.
    Kill(usize),
    /// The node reads the row of the decided windows.
    Load(usize),
    /// The node decides a window with this count and sends the write.
    Decide(usize, u8),
    /// The store executes a write, and the node gets the result.
    Store(usize),
    /// The store executes a write, and the result is lost.
    StoreUnanswered(usize),
    /// A write is lost.
    LoseWrite(usize),
    /// The node gives up on the result of a write.
    AbandonWrite(usize),
    /// The node checks its lease before a call.
    Check(usize),
    /// The node sends a call.
    Send(usize),
    /// The platform executes a call, and the node gets the answer.
    Execute(usize),
    /// The platform executes a call, and the answer is lost.
    ExecuteUnanswered(usize),
    /// A call is lost.
    LoseCall(usize),
    /// The node gives up on the answer to a call, which may still be executed.
    AbandonCall(usize),
}

/// The row of the decided windows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record(pub UsageRecord);

impl Hash for Record {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.0.first_open.hash(hasher);
        for decided in &self.0.pending {
            decided.window.hash(hasher);
            decided.counts.hash(hasher);
        }
    }
}

/// A record with the revision of its row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredRecord {
    /// Revision; 0 before the first write.
    pub revision: u8,
    /// Content.
    pub record: Rc<Record>,
}

/// A write of the row of the decided windows in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Write {
    /// Node that sent it.
    pub sender: usize,
    /// Node that waits for the result, unless it has given up.
    pub waiting: Option<usize>,
    /// Revision that the row must have, and the new content.
    pub stored: StoredRecord,
}

/// What a holder does.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It has to read the row.
    Loading,
    /// It knows the row.
    Ready(StoredRecord),
    /// It waits for the result of a write; holds what it knew before.
    Storing(StoredRecord),
    /// It has checked its lease, and is about to send; `true` if it was suspended since.
    Checked(StoredRecord, bool),
    /// It waits for the answer to a call.
    Calling(StoredRecord),
    /// A call was refused; it makes no other.
    Refused,
}

/// The time for which a node takes itself for the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Term {
    /// Fencing token.
    pub fence: u8,
    /// Whether the lease of the claim is the node's present one.
    pub is_lease_of_claim: bool,
    /// Time since it began, at most [`LEASE`].
    pub waited: u8,
    /// What the holder does.
    pub phase: Phase,
}

/// A node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Node {
    /// Number of its starts.
    pub run: u8,
    /// Time for which its lease is valid, as it knows.
    pub lease_left: u8,
    /// Time for which its lease is valid at the store.
    pub store_lease_left: u8,
    /// Its leadership; `None` if it takes itself for no leader.
    pub term: Option<Term>,
    /// Number of its claims, from which a fencing token would be made without the row.
    pub own_claims: u8,
}

/// A state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Leader row: its revision, the node and its run. It vanishes with the lease of the node.
    pub leader: Option<(u8, usize, u8)>,
    /// Number of claims that took effect; the revision of the leader row.
    pub claims: u8,
    /// Row of the decided windows.
    pub usage: StoredRecord,
    /// Count first stored for each window.
    pub decided: [Option<u8>; MAX_WINDOWS],
    /// The nodes.
    pub nodes: [Node; NODES],
    /// Writes in flight.
    pub writes: Vec<Write>,
    /// Calls in flight.
    pub calls: Vec<Call>,
    /// The platform.
    pub platform: Platform,
    /// Number of nodes that were killed.
    pub kills: u8,
    pub(super) fault: Option<Fault>,
}

impl State {
    /// Creates the initial state, in which nobody is the leader.
    pub fn new(bounds: Bounds) -> Self {
        let mut record = UsageRecord::new(0);
        for window in 0..u64::from(bounds.decided) {
            record = record.with_decided(holder::count_window(window, 1));
        }
        let usage = StoredRecord {
            revision: 0,
            record: Rc::new(Record(record)),
        };
        Self {
            leader: None,
            claims: 0,
            usage,
            decided: [None; MAX_WINDOWS],
            nodes: Default::default(),
            writes: Vec::new(),
            calls: Vec::new(),
            platform: Platform::new(),
            kills: 0,
            fault: None,
        }
    }

    /// Returns the invariant that the state breaks, if any.
    pub fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// Returns all steps from the state with the states that they lead to.
    pub fn successors(&self, bounds: Bounds, without: Option<Rule>) -> Vec<(Step, Self)> {
        let mut next = Vec::new();
        let mut add = |step, change: &dyn Fn(&mut Self) -> bool| {
            let mut state = self.clone();
            if change(&mut state) {
                state.normalize(bounds, without);
                next.push((step, state));
            }
        };
        match bounds.is_timed {
            true => add(Step::Tick, &|state| state.tick(bounds, without)),
            false => add(Step::Expire, &State::expire),
        }
        for node in 0..NODES {
            if self.claims < bounds.claims {
                for (step, is_answered) in [
                    (Step::Claim(node), true),
                    (Step::ClaimUnanswered(node), false),
                ] {
                    add(step, &|state| state.claim(node, is_answered, without));
                }
            }
            add(Step::Confirm(node), &|state| state.confirm(node, without));
            if bounds.is_timed {
                add(Step::Renew(node), &|state| state.renew(node));
                add(Step::Obtain(node), &|state| state.obtain(node));
            }
            add(Step::Notice(node), &|state| state.notice(node));
            add(Step::Release(node), &|state| state.release(node));
            if self.kills < bounds.kills {
                add(Step::Kill(node), &|state| state.kill(node));
            }
            add(Step::Load(node), &|state| holder::load(state, node));
            for count in 1..=NODES as u8 {
                add(Step::Decide(node, count), &|state| {
                    holder::decide(state, node, count, bounds, without)
                });
            }
            add(Step::AbandonWrite(node), &|state| {
                holder::abandon_write(state, node, without)
            });
            add(Step::Check(node), &|state| {
                holder::check(state, node, without)
            });
            add(Step::Send(node), &|state| holder::send(state, node));
            add(Step::AbandonCall(node), &|state| {
                holder::abandon_call(state, node)
            });
        }
        for index in 0..self.writes.len() {
            for (step, is_answered) in [
                (Step::Store(index), true),
                (Step::StoreUnanswered(index), false),
            ] {
                add(step, &|state| {
                    holder::store(state, index, is_answered, without)
                });
            }
            add(Step::LoseWrite(index), &|state| {
                let write = state.writes.remove(index);
                let waiting = write.waiting;
                waiting.is_none_or(|node| holder::abandon_write(state, node, without))
            });
        }
        for index in 0..self.calls.len() {
            for (step, is_answered) in [
                (Step::Execute(index), true),
                (Step::ExecuteUnanswered(index), false),
            ] {
                add(step, &|state| {
                    holder::execute(state, index, is_answered, bounds)
                });
            }
            // A call that is never executed is lost by its age.
            if !bounds.is_timed {
                add(Step::LoseCall(index), &|state| {
                    state.calls.remove(index);
                    true
                });
            }
        }
        next
    }

    /// Drops what can't matter any more, so that fewer states differ.
    fn normalize(&mut self, bounds: Bounds, without: Option<Rule>) {
        let revision = self.usage.revision;
        if without != Some(Rule::ConditionalWrite) {
            self.writes
                .retain(|write| write.waiting.is_some() || write.stored.revision >= revision);
        }
        self.writes.sort_by_key(|write| write.sender);
        self.calls.sort_by_key(|call| call.sender);
        if !bounds.is_timed {
            for node in &mut self.nodes {
                node.store_lease_left = TTL;
                node.lease_left = TTL;
                if let Some(term) = &mut node.term {
                    term.waited = LEASE;
                }
            }
        }
    }
}
