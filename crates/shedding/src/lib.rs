//! Load shedding: which requests start, wait or are refused when capacity is insufficient.
//!
//! Owns one decision over the requests that run or wait and the slots that are available. It knows
//! no network and no clock: the caller passes the time, and applies the outcomes.
//!
//! ```
//! use wisteriapoint_shedding::{Outcome, Request, RequestId, Room, Rules, WorkspaceId, decide};
//!
//! let urgent = Request::new(RequestId(1), WorkspaceId(0), 0, 1_000).with_work_ms(200);
//! let other = Request::new(RequestId(2), WorkspaceId(0), 1, 1_000).with_work_ms(200);
//! let outcomes = decide(0, &[other, urgent], &[], &Room::new(1), &Rules::default());
//! assert_eq!(outcomes, [Outcome::Wait, Outcome::Start]);
//! ```

mod decision;
mod plan;
mod request;
mod room;
mod rules;
mod segment;

pub use decision::{Outcome, decide};
pub use request::{Group, GroupId, HINT_ERROR, Request, RequestId, WorkspaceId};
pub use room::Room;
pub use rules::{HintErrors, Rules};
