//! A node on the users' platform: forwards callers' requests, runs batch jobs and sends orders to
//! engines.
//!
//! [`Node`] is generic over a [`Dialect`], which translates between the platform and the types
//! of this workspace. A node runs on one thread.

pub mod callers;
pub mod clock;
pub mod control;
pub mod coordination;
pub mod dialect;
pub mod error;
pub mod forward;
pub mod jobs;
pub mod limits;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod relay;
pub mod settings;
pub mod shutdown;
pub mod streams;
pub mod suspects;
pub mod upstream;

pub use dialect::Dialect;
pub use error::Error;
pub use node::Node;
pub use settings::NodeSettings;
pub use wisteriapoint_event::event;
