//! Simulations that run the routing, rollout, weight and shedding libraries on a virtual clock.
//!
//! ```
//! use wisteriapoint_experiment::report::Spread;
//!
//! let spread = Spread::of(&[1.0, 2.0, 3.0]);
//! assert_eq!(spread.median, 2.0);
//! ```

pub mod plot;
pub mod policy;
pub mod report;
pub mod rollouts;
pub mod shedding;
