//! Exhaustive model checking of the singleton duties: who reports use, and what is reported.
//!
//! The model consists of two nodes, the leader row, the row of the decided windows and the
//! platform's API. Counts are decided by the [`UsageLedger`](wisteriapoint_usage::UsageLedger) and
//! kept in the [`UsageRecord`](wisteriapoint_usage::UsageRecord) of the nodes themselves. A node may
//! pause for any time between two steps, lose the store, or be killed. A write to the store may be
//! lost or take effect late. A call to the API may be lost or executed late, and its answer may be
//! lost. One unit of time stands for
//! half of `lease-ms`. Each [`Rule`] can be disabled to show that the
//! exploration detects its absence.
//!
//! ```
//! use wisteriapoint_spec::duties::{Bounds, Rule, explore};
//!
//! let exploration = explore(Bounds::CONTENT, Some(Rule::ConditionalWrite));
//! assert!(exploration.violation.is_some());
//! ```

pub mod explore;
pub mod holder;
pub mod lease;
pub mod platform;
pub mod recovery;
pub mod state;

pub use explore::{Exploration, Violation, explore};
pub use platform::Fault;
pub use state::{Bounds, State, Step};

/// A rule of the duties that an exploration can disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// A new holder makes no call for the time of a lease.
    WaitAfterClaim,
    /// Counts are stored before they are sent.
    StoreBeforeSend,
    /// The row of the decided windows is written on condition of its revision.
    ConditionalWrite,
    /// The fencing token is the revision of the leader row, not a number that the node remembers.
    FenceFromRow,
    /// A call is made only under a valid lease.
    LeaseCheck,
    /// That lease is the one under which the node became the holder, not a later one.
    LeaseOfClaim,
    /// After a write with an unknown result, the row is read again before anything is decided.
    ReadAfterAmbiguity,
    /// The connection of a call without an answer is reset, so that the call isn't executed later.
    ResetAfterCall,
}
