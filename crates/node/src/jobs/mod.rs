//! Batch jobs: accepted into the store, run and committed by their owner, read anywhere.

pub mod accept;
pub mod attempt;
pub mod commit;
pub mod keys;
pub mod owned;
pub mod parts;
pub mod read;
pub mod run;
pub mod score;
pub mod takeover;

pub use accept::{Accepted, submit};
pub use owned::{Jobs, Owned};
pub use read::Found;
pub use takeover::{hand_over, take_over, take_over_former, take_over_orphans, verify_all};
