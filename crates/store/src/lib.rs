//! The platform's key-value service and VM list.
//!
//! The daemon speaks to the [`Store`] trait; [`HttpStore`] speaks the key-value
//! HTTP interface with indexes, blocking queries and sessions.
//!
//! ```
//! use wisteriapoint_store::HttpStore;
//!
//! let store = HttpStore::new("http://127.0.0.1:8500")?;
//! # let _ = store;
//! # Ok::<(), wisteriapoint_store::Error>(())
//! ```

pub mod backoff;
pub mod budget;
pub mod error;
pub mod http;
pub mod keys;
pub mod ledger;
pub mod store;

pub use backoff::Backoff;
pub use budget::Budgeted;
pub use error::Error;
pub use http::HttpStore;
pub use ledger::{Change, Committed, Freshness, LeaseId, Ledger, Put, Row, Transaction};
pub use store::{Entry, Index, Lease, Store, VmEntry, VmState};
