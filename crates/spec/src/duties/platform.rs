//! The platform's API, and what it must never see.

use super::state::{Bounds, LEASE, MAX_WINDOWS, NODES};

/// An invariant that a state breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The platform accepted two reports of a window with different counts.
    DifferentReports,
    /// Two holders sent the same fencing token.
    SharedFence,
    /// A call with a lower fencing token was executed after one with a higher one.
    LowerFence,
    /// Holders acted in the order A, B, A within a lease.
    Alternation,
    /// The stored counts of a window have changed.
    ChangedCounts,
    /// A window is not reported although all disturbances have ended.
    NotReported,
}

/// A call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Call {
    /// Node that sent it, and its run.
    pub sender: (usize, u8),
    /// Fencing token.
    pub fence: u8,
    /// Window that it reports.
    pub window: u8,
    /// Count that it reports.
    pub count: u8,
    /// Time since it was sent.
    pub age: u8,
    /// Whether the sender was suspended between its last check and the send. Such a call can't be
    /// prevented, so its order is not judged; what it reports is.
    pub is_thawed: bool,
}

/// What the platform has seen.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Platform {
    /// Count accepted for each window.
    pub reported: [Option<u8>; MAX_WINDOWS],
    highest: u8,
    /// Highest fencing token of the calls whose order is judged.
    highest_judged: u8,
    /// Sender of each fencing token.
    senders: Vec<(u8, (usize, u8))>,
    last: Option<usize>,
    /// Time since the last call of each node, at most that of a lease.
    since: [u8; NODES],
}

impl Platform {
    /// Creates a platform that has seen no call.
    pub fn new() -> Self {
        Self {
            since: [LEASE; NODES],
            ..Self::default()
        }
    }

    /// Lets a unit of time pass.
    pub fn tick(&mut self) {
        for since in &mut self.since {
            *since = (*since + 1).min(LEASE);
        }
    }

    /// Executes a call, and returns whether it is accepted; 409 otherwise.
    ///
    /// # Errors
    ///
    /// Fails with the invariant that the call breaks.
    pub fn execute(&mut self, call: Call, bounds: Bounds) -> Result<bool, Fault> {
        match self.senders.iter().find(|(fence, _)| *fence == call.fence) {
            Some((_, sender)) if *sender != call.sender => return Err(Fault::SharedFence),
            Some(_) => {}
            // It does not depend on time, and is explored without.
            None if bounds.is_timed => {}
            None => {
                self.senders.push((call.fence, call.sender));
                self.senders.sort_unstable();
            }
        }
        if bounds.is_fence_checked && call.fence < self.highest {
            return Ok(false);
        }
        let node = call.sender.0;
        if bounds.is_timed && !call.is_thawed {
            let alternates = self.last.is_some_and(|last| last != node);
            match () {
                () if call.fence < self.highest_judged => return Err(Fault::LowerFence),
                () if alternates && self.since[node] < LEASE => return Err(Fault::Alternation),
                () => {}
            }
            self.last = Some(node);
            self.since[node] = 0;
            self.highest_judged = call.fence;
        }
        if bounds.is_fence_checked {
            self.highest = self.highest.max(call.fence);
        }
        let reported = &mut self.reported[usize::from(call.window)];
        match reported.replace(call.count) {
            Some(count) if count != call.count => Err(Fault::DifferentReports),
            _ => Ok(true),
        }
    }
}
