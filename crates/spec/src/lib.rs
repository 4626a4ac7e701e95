//! A small specification of view changes and claims, explored exhaustively.
//!
//! The model is a handful of daemons with one partition and one key. Its holders are
//! [`Partition`](wisteriapoint_claim::Partition)s, their pulls
//! [`Pull`](wisteriapoint_claim::Pull)s and the claimants count with
//! [`Tally`](wisteriapoint_claim::Tally), so the code of the daemon itself is explored.
//! Messages may be lost, repeated and late, holders may crash, claimants may stop for any
//! time between two steps. [`Rule`] names the rules that can be left out, to show that
//! the check finds it.
//!
//! ```
//! use wisteriapoint_spec::{Bounds, explore};
//!
//! let bounds = Bounds { lost_responses: 0, reports: 0, ..Bounds::ONE_VIEW };
//! assert!(explore(bounds, None).violation.is_none());
//! ```

pub mod explore;
pub mod ownership;
pub mod recovery;
pub mod rule;
pub mod state;
pub mod step;
pub mod views;

pub use explore::{Exploration, Violation, explore};
pub use rule::Rule;
pub use state::{Bounds, State};
pub use step::Step;
