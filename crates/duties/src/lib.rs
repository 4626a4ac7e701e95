//! Work that one node does for all: knowledge of the newest configuration, reports of use, orders of
//! endpoints.
//!
//! [`Coordination`] is the state of a node, [`run`] the exchange of each node with the holder of the
//! duties, [`hold`] the work of the holder. What they need of a node is the trait [`Environment`],
//! and of the platform's API the trait [`DutyClient`].

pub mod client;
pub mod environment;
pub mod exchange;
pub mod holder;
pub mod scale_duty;
pub mod usage_duty;

pub use client::{Duty, DutyCall, DutyClient, DutyOutcome, DutySettings, MAX_CALL_MS};
pub use environment::{Environment, ScaledServices};
pub use exchange::{Coordination, CoordinationRequest, CoordinationResponse, ServiceDemand, run};
pub use holder::hold;
