//! HTTP server for callers: connections, requests and responses.

pub mod batch;
pub mod body;
pub mod caller_io;
pub mod connection;
pub mod intake;
pub mod request;
pub mod response;
pub mod stream;

pub use connection::{serve_readiness_and_metrics, serve_requests};
pub use response::{CallerResponse, Payload};
