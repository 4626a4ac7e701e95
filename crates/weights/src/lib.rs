//! Loading of weight versions on engines, driven by orders and the engines' reports.
//!
//! ```
//! use wisteriapoint_types::{EndpointName, ViewNumber, WeightVersion};
//! use wisteriapoint_weights::{Controller, Order};
//!
//! let engine = EndpointName::new("engine-1");
//! let mut controller = Controller::new();
//! controller.set_view(ViewNumber(3));
//! controller.add_engine(0, engine.clone(), true);
//! controller.record_report(&engine, 0, WeightVersion(7));
//! controller.set_target(0, WeightVersion(8));
//! let orders: Vec<Order> = controller.plan(0, 1, |_| true);
//! assert_eq!(orders[0].version, WeightVersion(8));
//! ```

pub mod controller;
pub mod order;
pub mod planner;
pub mod shares;
pub mod wave;

pub use controller::Controller;
pub use order::{Fence, Order};
pub use planner::{Engine, Planner, WeightLoad};
pub use wave::Wave;
