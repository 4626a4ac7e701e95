//! The routes, services and endpoints that one process uses, and the selection of an endpoint for
//! a request.
//!
//! This crate holds state only: it opens no sockets, and callers pass the current time.
//!
//! ```
//! use wisteriapoint_directory::{Configuration, RouteKind};
//!
//! let configuration = Configuration::default();
//! assert!(configuration.route("shop.example", "/stock/1").is_none());
//! assert!(RouteKind::Idempotent.allows_rerun());
//! ```

pub mod configuration;
pub mod endpoint;
pub mod event_times;
pub mod paths;
pub mod rate_limit;
pub mod registry;
pub mod software_history;
pub mod stream_records;
pub mod subset;
pub mod view;

pub use configuration::{Configuration, Limits, Route, RouteKind, Scaling, Service, Split};
pub use endpoint::{Endpoint, EndpointRecord, EndpointStage, Load, RECORD_LAG_MS};
pub use event_times::EventTimes;
pub use paths::Paths;
pub use rate_limit::{Permit, Priority, RateLimit, RateLimiter, ReturnSchedule, StatedLimit};
pub use registry::{Registry, Requirements};
pub use software_history::{MAX_CALLER_WAIT_MS, SoftwareHistory, SoftwareRecord};
pub use stream_records::{StreamRecord, StreamRecords};
pub use subset::{ServiceSizes, Subset};
pub use view::View;
