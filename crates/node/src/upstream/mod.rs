//! HTTP client for endpoints: pooled connections, requests and event streams.

pub mod events;
pub mod pool;
pub mod send;

pub use events::{Event, EventReader};
pub use pool::{Pool, PooledConnection};
pub use send::{SendFailure, UpstreamRequest, UpstreamResponse};
