//! Account of what a node holds for callers: the bytes of their bodies and their connections.
//!
//! Each node has one [`Budget`] and one [`Connections`]. Bytes are counted before they are kept, and
//! when the account is full, the slowest and largest unfinished bodies give way. No part knows a
//! socket or a clock: times are passed in, and a refusal wakes the task that reads the body.
//!
//! ```
//! use wisteriapoint_intake::{Budget, Limits};
//!
//! let budget = Budget::new(Limits::for_memory(120));
//! let body = budget.open(None, 0);
//! body.append(b"hello", 10).expect("nothing else is held");
//! let bytes = body.finish().expect("it was not refused");
//! assert_eq!((&*bytes, budget.held_bytes()), (&b"hello"[..], 5));
//! drop(bytes);
//! assert_eq!(budget.held_bytes(), 0);
//! ```

mod account;
pub mod budget;
pub mod connections;
pub mod limits;
pub mod progress;
mod storage;

pub use budget::{Budget, Cached, Refused, Reservation, Reserved};
pub use connections::{Connection, Connections, Stage};
pub use limits::Limits;
pub use progress::Progress;
