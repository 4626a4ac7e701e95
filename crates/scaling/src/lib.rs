//! Decision how many endpoints of a service to order, in which failure domain and of which kind.
//!
//! A [`Scaler`] observes the demand of one service and decides orders; its caller sends them and
//! records what became of them. No part knows a socket or a clock.
//!
//! ```
//! use wisteriapoint_scaling::{Demand, DomainEndpoints, Kind, Outcome, Present, Scaler, Service, Terms};
//!
//! let plain = Present { ready: 2, draining: 0 };
//! let service = Service {
//!     name: "advice".into(),
//!     terms: Terms { min: 1, max: 8, boot_ms: 4_000, spot_price: None, prices: [].into() },
//!     slots: Some(4),
//!     domains: [("a".into(), DomainEndpoints { plain, ..Default::default() })].into(),
//! };
//! let mut scaler = Scaler::new();
//! for now_ms in (0..=10_000).step_by(250) {
//!     scaler.observe(now_ms, &service, Demand { running: 8, waiting: 8, is_partial: false });
//! }
//! let decision = scaler.decide(10_000, &service);
//! let order = &decision.orders[0];
//! assert_eq!((order.kind, order.count), (Kind::Plain, 5));
//! scaler.record(10_000, order, Outcome::Accepted);
//! assert!(scaler.decide(10_250, &service).orders.is_empty());
//! ```

pub mod history;
pub mod market;
pub mod plan;
pub mod scaler;
pub mod service;

pub use plan::{Plan, Requirement};
pub use scaler::{Decision, Outcome, Reason, Scaler};
pub use service::{Demand, DomainEndpoints, Kind, Order, Present, Service, Terms};
