//! At-most-once execution of requests that are not idempotent.
//!
//! [`Holder`] stores claims by partition. [`Tally`] counts the responses of the holders of a
//! claim for the daemon that is to dispatch the request. [`Pull`] collects the claims of
//! earlier views for a new holder.
//!
//! ```
//! use wisteriapoint_claim::{ClaimRequest, ClaimResponse, Holder, Transfer};
//! use wisteriapoint_types::{Digest, MemberId, Nonce, RequestKey, ViewNumber};
//!
//! let key = RequestKey::new("order-17");
//! let mut holder = Holder::new();
//! holder.observe_view(ViewNumber(1));
//! holder.open(ViewNumber(1), key.partition(), Transfer::default());
//! let request = ClaimRequest {
//!     view: ViewNumber(1),
//!     key,
//!     digest: Digest::new(&[b"POST", b"/stock/hold"]),
//!     claimant: MemberId(1),
//!     nonce: Nonce(7),
//!     horizon_ms: 60_000,
//! };
//! assert_eq!(holder.claim(0, &request), ClaimResponse::Granted);
//! ```

pub mod age;
pub mod holder;
pub mod message;
pub mod partition;
pub mod pull;
pub mod record;
pub mod tally;

pub use age::{Age, MAX_CLOCK_SKEW_MS};
pub use holder::Holder;
pub use message::{ClaimRequest, ClaimResponse, Page, RecordedResponse, Report, Seal, Settled};
pub use partition::{PAGE_BYTES, Partition};
pub use pull::{Progress, Pull};
pub use record::{Attempt, AttemptState, Record, Transfer};
pub use tally::{Decision, Tally};
