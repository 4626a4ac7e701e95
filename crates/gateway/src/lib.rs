//! Routing of requests to endpoints and HTTP exchange with them.
//!
//! [`Router`] is an asynchronous interface to the routing policy of `wisteriapoint-route`.
//! [`Clients`] sends HTTP requests to endpoints and reports with every failure whether the
//! request may have run.
//!
//! ```
//! use wisteriapoint_gateway::{Clients, Router};
//!
//! let router = Router::new(1);
//! let clients = Clients::new()?;
//! # let _ = (router, clients);
//! # Ok::<(), wisteriapoint_gateway::Failure>(())
//! ```

pub mod attempts;
pub mod client;
pub mod engine;
mod exchange;
pub mod failure;
pub mod plain;
pub mod problem;
pub mod router;

pub use attempts::Attempts;
pub use client::Clients;
pub use engine::{Chunk, CompletionRequest, EngineStatus, Generation, Resume};
pub use failure::Failure;
pub use plain::{PlainRequest, PlainResponse};
pub use problem::Problem;
pub use router::{Permit, Router, Target};
