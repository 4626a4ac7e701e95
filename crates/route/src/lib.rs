//! Request routing policy: endpoint selection, concurrency limits, queueing, retries and
//! crash isolation.
//!
//! The crate does no I/O and reads no clock; callers pass the time in.
//!
//! ```
//! use wisteriapoint_route::{Admission, Demand, Outcome, Pool, EndpointState};
//!
//! let mut pool = Pool::new(16, 1);
//! let key = pool.insert(EndpointState::new("shop-1", "dk-east-a", 8));
//! let Admission::Dispatch(dispatch) = pool.admit(0, Demand::caller(1_000)) else {
//!     panic!("an idle endpoint accepts the request");
//! };
//! assert_eq!(dispatch.endpoint, key);
//! let outcome = Outcome::Completed { elapsed_ms: 20, tokens: 1 };
//! assert!(pool.finish(20, dispatch.ticket, outcome).is_empty());
//! ```

pub mod demand;
pub mod durations;
pub mod pool;
pub mod queue;
pub mod retry;
pub mod silence;
pub mod state;
pub mod subset;
pub mod suspect;

mod choice;

pub use demand::{Admission, Class, Demand, Dispatch, Reason, Refusal};
pub use durations::Durations;
pub use pool::{Dequeued, Pool};
pub use queue::TicketKey;
pub use retry::RetryBudget;
pub use silence::{SilentCrash, SilentRun, SilentRuns};
pub use state::{EndpointKey, EndpointState, Load, Outcome};
pub use subset::Subset;
pub use suspect::{Crash, CrashReport, Recorded, SuspectStatus, Suspects};
