//! At-most-once execution of requests that are not idempotent.
//!
//! [`Holder`] keeps claims; [`Tally`] counts the answers of a claim's holders for the
//! daemon that wants to dispatch.
//!
//! ```
//! use wisteriapoint_claim::{Answer, Ask, Holder};
//! use wisteriapoint_types::{Digest, MemberId, Nonce, RequestKey, ViewNumber};
//!
//! let mut holder = Holder::new();
//! holder.open(ViewNumber(1));
//! let ask = Ask {
//!     view: ViewNumber(1),
//!     key: RequestKey::new("order-17"),
//!     digest: Digest::new(&[b"POST", b"/stock/hold"]),
//!     claimant: MemberId(1),
//!     nonce: Nonce(7),
//!     horizon_ms: 60_000,
//! };
//! assert_eq!(holder.ask(0, &ask), Answer::Granted);
//! ```

pub mod holder;
pub mod message;
pub mod tally;

pub use holder::Holder;
pub use message::{Answer, Ask, Recorded, Report, Settled};
pub use tally::{Decision, Tally};
