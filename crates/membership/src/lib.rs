//! Membership views: which daemons are members, and what each of them is responsible for.
//!
//! ```
//! use wisteriapoint_membership::View;
//!
//! let view = View::default();
//! assert!(view.members.is_empty());
//! assert!(view.coordinators(b"trainer-1").is_empty());
//! ```

pub mod change;
pub mod holders;
pub mod roster;
pub mod view;

pub use change::{PROPOSERS, WATCHERS_PER_DOMAIN};
pub use holders::{HOLDERS_PER_PARTITION, Holders};
pub use roster::{ProbeResult, Roster, RosterAction, RosterConfig};
pub use view::{EarlierView, Member, View};
