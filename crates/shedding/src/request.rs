//! Requests that compete for capacity, and groups of them.

/// Largest factor by which an estimate of the work may be wrong in either direction.
pub const HINT_ERROR: u64 = 10;

/// Cost of any refusal besides the work that it repeats, in milliseconds of work. It keeps short
/// requests, whose repeated work is small, worth more for each unit of work than long ones.
const REFUSAL_COST_MS: u64 = 1_000;

/// Identifies a request within one decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies a workspace within one decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkspaceId(pub u32);

/// Identifies a group within one decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(pub u32);

/// A request that runs or waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Id, which is unique in a decision.
    pub id: RequestId,
    /// Workspace that sent it.
    pub workspace: WorkspaceId,
    /// Priority; 0 is the most urgent. The members of a group have the same one.
    pub priority: u8,
    /// Time of arrival, in milliseconds.
    pub arrived_at_ms: u64,
    /// Time after which a response has no value, in milliseconds.
    pub deadline_at_ms: u64,
    /// Target latency, counted from the arrival, in milliseconds.
    pub objective_ms: u64,
    /// Estimated time in a slot, from the beginning, in milliseconds.
    pub work_ms: u64,
    /// Time that it has spent in slots and that is lost if it is refused, in milliseconds.
    pub spent_ms: u64,
    /// Whether it occupies a slot now.
    pub is_running: bool,
    /// Work that a retry after a refusal costs, in milliseconds.
    pub retry_ms: u64,
    /// Group without whose other members it has no value.
    pub group: Option<GroupId>,
}

/// Requests that have a value only if all of them complete, such as a group of a training step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Id to which the requests refer.
    pub id: GroupId,
    /// Time at which all members are due, in milliseconds.
    pub due_at_ms: u64,
    /// Estimated work of all unfinished members, also of those that other nodes run, in
    /// milliseconds; `u64::MAX` if a member was lost.
    pub remaining_ms: u64,
}

impl Request {
    /// Creates a waiting request that arrived at time 0, without work, objective and group.
    pub fn new(id: RequestId, workspace: WorkspaceId, priority: u8, deadline_at_ms: u64) -> Self {
        Self {
            id,
            workspace,
            priority,
            arrived_at_ms: 0,
            deadline_at_ms,
            objective_ms: u64::MAX,
            work_ms: 0,
            spent_ms: 0,
            is_running: false,
            retry_ms: 0,
            group: None,
        }
    }

    /// Sets the time of arrival and the latency objective.
    pub fn with_objective(mut self, arrived_at_ms: u64, objective_ms: u64) -> Self {
        self.arrived_at_ms = arrived_at_ms;
        self.objective_ms = objective_ms;
        self
    }

    /// Sets the estimated work, which a retry repeats.
    pub fn with_work_ms(mut self, work_ms: u64) -> Self {
        self.work_ms = work_ms;
        self.retry_ms = work_ms;
        self
    }

    /// Marks it as running, with the time that it has spent in its slot.
    pub fn with_running(mut self, spent_ms: u64) -> Self {
        self.is_running = true;
        self.spent_ms = spent_ms;
        self
    }

    /// Makes it a member of a group.
    pub fn with_group(mut self, group: GroupId) -> Self {
        self.group = Some(group);
        self
    }

    /// Returns the time in a slot that it is expected to need still, in milliseconds.
    ///
    /// A request that has exceeded its estimate is expected to need as much time again, since the
    /// estimate says nothing more, up to the largest error of estimates.
    pub fn remaining_ms(&self) -> u64 {
        let greatest_ms = self.work_ms.saturating_mul(HINT_ERROR);
        match self.work_ms.checked_sub(self.spent_ms) {
            Some(left_ms) if left_ms > 0 => left_ms,
            _ => greatest_ms
                .saturating_sub(self.spent_ms)
                .min(self.spent_ms)
                .max(1),
        }
    }

    /// Returns what its refusal costs the caller, in milliseconds of work.
    pub fn refusal_cost_ms(&self) -> u64 {
        REFUSAL_COST_MS
            .saturating_add(self.retry_ms)
            .saturating_add(self.spent_ms)
    }
}
