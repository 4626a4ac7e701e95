//! Connections to endpoints, and what became of each request that was sent on one.

pub mod events;
pub mod pool;
pub mod send;

pub use events::{Event, EventReader};
pub use pool::{Borrowed, Pool};
pub use send::{Received, SendFailure, Sending};
