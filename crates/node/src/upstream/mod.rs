//! Connections to endpoints, and what became of each request that was sent on one.

pub mod events;
pub mod pool;
pub mod send;

pub use events::{Event, EventReader};
pub use pool::{Pool, PooledConnection};
pub use send::{SendFailure, UpstreamRequest, UpstreamResponse};
