//! HTTP client for endpoints: pooled connections, requests and event streams.

pub mod connect;
pub mod events;
pub mod memory;
pub mod pool;
pub mod send;

mod stream;

pub use connect::{ConnectOutcome, watch_links};
pub use events::{Event, EventReader};
pub use memory::{ResponseBuffer, ResponseMemory};
pub use pool::{Pool, PooledConnection};
pub use send::{SendFailure, UpstreamRequest, UpstreamResponse};
