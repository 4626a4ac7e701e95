//! Clients and traits for the platform's key-value service and VM list.
//!
//! [`HttpStore`] implements [`Store`] over a key-value HTTP interface with indexes, blocking
//! queries and sessions. [`TransactionalStore`] is the trait of a store with revisions,
//! transactions and leases.
//!
//! ```
//! use wisteriapoint_store::HttpStore;
//!
//! let store = HttpStore::new("http://127.0.0.1:8500")?;
//! # let _ = store;
//! # Ok::<(), wisteriapoint_store::Error>(())
//! ```

pub mod backoff;
pub mod error;
pub mod http;
pub mod keys;
pub mod rate_limit;
pub mod store;
pub mod transactional;

pub use backoff::Backoff;
pub use error::Error;
pub use http::HttpStore;
pub use rate_limit::RateLimitedStore;
pub use store::{Entry, Index, Lease, Store, VmEntry, VmState};
pub use transactional::{
    Change, CommitOutcome, Freshness, LeaseId, Put, Row, Transaction, TransactionalStore,
};
