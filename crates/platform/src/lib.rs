//! The platform's key-value service and VM list.
//!
//! The daemon speaks to the [`Store`] trait; [`HttpStore`] speaks the key-value
//! HTTP interface with indexes, blocking queries and sessions.
//!
//! ```
//! use wisteriapoint_platform::HttpStore;
//!
//! let store = HttpStore::new("http://127.0.0.1:8500")?;
//! # let _ = store;
//! # Ok::<(), wisteriapoint_platform::Error>(())
//! ```

pub mod backoff;
pub mod budget;
pub mod error;
pub mod http;
pub mod keys;
pub mod store;

pub use backoff::Backoff;
pub use budget::Budgeted;
pub use error::Error;
pub use http::HttpStore;
pub use store::{Entry, Index, Lease, Store, VmEntry, VmState};
