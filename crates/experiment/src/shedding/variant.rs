//! Orders that are compared.

use std::cmp::Reverse;

use wisteriapoint_shedding::{Group, HintErrors, Outcome, Request, Room, Rules, decide};

/// Order in which waiting requests start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// In the order of arrival.
    FirstCome,
    /// In the order of deadlines.
    EarliestDeadline,
    /// In the order of priorities, then of arrival.
    PriorityAlone,
    /// By the decision of the daemon.
    Current,
}

impl Variant {
    /// All variants, in the order in which reports list them.
    pub const ALL: [Self; 4] = [
        Self::FirstCome,
        Self::EarliestDeadline,
        Self::PriorityAlone,
        Self::Current,
    ];

    /// Returns the name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FirstCome => "first come",
            Self::EarliestDeadline => "earliest deadline",
            Self::PriorityAlone => "priority alone",
            Self::Current => "now",
        }
    }

    /// Returns the outcome of each request; the simple orders refuse and give up nothing.
    pub(super) fn decide(
        self,
        now_ms: u64,
        requests: &[Request],
        groups: &[Group],
        room: &Room,
        errors: &HintErrors,
    ) -> Vec<Outcome> {
        let due_ms = |request: &Request| {
            let mut groups = groups.iter();
            let group = groups.find(|group| request.group == Some(group.id));
            group.map_or(request.deadline_at_ms, |group| {
                group.due_at_ms.min(request.deadline_at_ms)
            })
        };
        let key = |request: &Request| match self {
            Self::FirstCome | Self::Current => (0, 0),
            Self::EarliestDeadline => (0, due_ms(request)),
            Self::PriorityAlone => (request.priority, 0),
        };
        if self == Self::Current {
            let rules = Rules {
                hint_error: errors.factor(),
                ..Rules::default()
            };
            return decide(now_ms, requests, groups, room, &rules);
        }
        let running = requests.iter().filter(|request| request.is_running);
        let free = (room.slots as usize).saturating_sub(running.count());
        let mut outcomes: Vec<_> = requests
            .iter()
            .map(|request| match request.is_running {
                true => Outcome::Continue,
                false => Outcome::Wait,
            })
            .collect();
        let mut waiting: Vec<_> = (0..requests.len())
            .filter(|&index| !requests[index].is_running)
            .collect();
        waiting.sort_by_key(|&index| {
            let request = &requests[index];
            (
                key(request),
                request.arrived_at_ms,
                Reverse(request.spent_ms),
                index,
            )
        });
        for index in waiting.into_iter().take(free) {
            outcomes[index] = Outcome::Start;
        }
        outcomes
    }
}
