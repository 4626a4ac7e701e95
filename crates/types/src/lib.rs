//! Domain types that the crates of wisteriapoint share.
//!
//! ```
//! use wisteriapoint_types::{RequestKey, Verdict};
//!
//! let key = RequestKey::new("0192f0c1-7b2a-7c3d-8e4f-5a6b7c8d9e0f");
//! assert!(key.issued_at_ms().is_some());
//! assert!(Verdict::NotRun.allows_retry(false));
//! assert!(!Verdict::MayHaveRun.allows_retry(false));
//! ```

pub mod hash;
pub mod key;
pub mod name;
pub mod number;
pub mod stream;
pub mod verdict;

pub use hash::{Digest, hash64};
pub use key::RequestKey;
pub use name::{
    EndpointName, FailureDomain, Region, ServiceName, SoftwareVersion, TrainerName, VmName,
};
pub use number::{MemberId, Nonce, PartitionId, Revision, ViewNumber, WeightVersion};
pub use stream::StreamOrigin;
pub use verdict::Verdict;
