//! Weight versions on engines: what to order, and what the engines report.
//!
//! ```
//! use wisteriapoint_types::{EndpointName, ViewNumber, WeightVersion};
//! use wisteriapoint_weights::{Keeper, Order};
//!
//! let mut keeper = Keeper::new();
//! keeper.set_view(0, ViewNumber(3));
//! keeper.keep(EndpointName::new("engine-1"));
//! keeper.set_target(WeightVersion(8));
//! let orders: Vec<Order> = keeper.plan(0, 1);
//! assert_eq!(orders[0].version, WeightVersion(8));
//! ```

pub mod keeper;
pub mod order;

pub use keeper::Keeper;
pub use order::{Fence, Order};
