//! Choice of endpoint, limits and queues: pure policy without sockets or clock.
//!
//! ```
//! use wisteriapoint_route::{Admission, Demand, Pool, Seat};
//!
//! let mut pool = Pool::new(16, 1);
//! let key = pool.insert(Seat::new("shop-1", "dk-east-a", 8));
//! let admission = pool.admit(0, Demand::caller(1_000));
//! assert_eq!(admission, Admission::Go(key));
//! ```

pub mod demand;
pub mod pool;
pub mod queue;
pub mod seat;

pub use demand::{Admission, Class, Demand, Reason, Refusal};
pub use pool::{Pool, Woken};
pub use queue::TicketKey;
pub use seat::{EndpointKey, Load, Outcome, Seat};
