//! Routes, services and endpoints as one process knows them, and the choice of an endpoint:
//! pure state without sockets or clock.
//!
//! ```
//! use wisteriapoint_directory::{Configuration, RouteKind};
//!
//! let configuration = Configuration::default();
//! assert!(configuration.route("shop.example", "/stock/1").is_none());
//! assert!(RouteKind::Idempotent.may_repeat());
//! ```

pub mod configuration;
pub mod endpoint;
pub mod registry;
pub mod speeds;
pub mod subset;
pub mod suspects;

pub use configuration::{Configuration, Limits, Route, RouteKind, Service, Split};
pub use endpoint::{Endpoint, EndpointRecord, EndpointStage, Load};
pub use registry::{Registry, Requirements};
pub use speeds::Speeds;
pub use subset::{ServiceSizes, Subset};
pub use suspects::CrashSuspects;
