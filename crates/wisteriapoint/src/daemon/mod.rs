//! The daemon: its threads and their shared state.

pub mod attempt;
pub mod claims;
pub mod control;
pub mod crash_reports;
pub mod exchange;
pub mod generate;
pub mod listeners;
pub mod message;
pub mod platform;
pub mod probe;
pub mod rollouts;
pub mod sample;
pub mod score;
pub mod shared;
pub mod snapshot;
pub mod start;
pub mod traffic;
pub mod transfer;
pub mod weights;

pub use listeners::Addresses;
pub use shared::Shared;
pub use snapshot::{Service, Snapshot};
pub use start::Daemon;
