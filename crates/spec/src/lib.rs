//! Exhaustive model checking of the protocol for view changes and claims.
//!
//! The model consists of a few daemons with one partition and one request key. It runs the code
//! of the daemon itself: holders use [`Partition`](wisteriapoint_claim::Partition), transfers use
//! [`Pull`](wisteriapoint_claim::Pull) and claimants count responses with
//! [`Tally`](wisteriapoint_claim::Tally). Messages may be lost, repeated and delayed, holders may
//! crash, and claimants may pause for any time between two steps. Each [`Rule`] of the protocol
//! can be disabled to show that the exploration detects its absence.
//!
//! ```
//! use wisteriapoint_spec::{Bounds, explore};
//!
//! let bounds = Bounds { lost_responses: 0, reports: 0, ..Bounds::ONE_VIEW };
//! assert!(explore(bounds, None).violation.is_none());
//! ```

pub mod duties;
pub mod explore;
pub mod ownership;
pub mod recovery;
pub mod rule;
pub mod state;
pub mod step;
pub mod takeover;
pub mod views;

pub use explore::{Exploration, Violation, explore};
pub use rule::Rule;
pub use state::{Bounds, State};
pub use step::Step;
