//! Callers' HTTP: connections, requests, answers.

pub mod answer;
pub mod batch;
pub mod connection;
pub mod request;
pub mod stream;

pub use answer::{Answer, Payload};
pub use connection::{serve_questions, serve_requests};
