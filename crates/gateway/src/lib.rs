//! From an admitted request to an endpoint's answer.
//!
//! [`Router`] puts the policy of `wisteriapoint-route` behind an asynchronous interface;
//! [`Clients`] speaks HTTP to endpoints and says of every failure whether the request
//! may have run.
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
