//! Batch jobs, which are stored on submission, run by the node that owns them, and readable at
//! every node.

pub mod abandon;
pub mod accept;
pub mod attempt;
pub mod body;
pub mod commit;
pub mod end;
pub mod keys;
pub mod owned;
pub mod partial_outputs;
pub mod read;
pub mod record;
pub mod run;
pub mod score;
pub mod takeover;

pub use accept::{SubmitOutcome, submit, submit_at_owner, submit_for_peer};
pub use owned::{Jobs, OwnedJob};
pub use read::Lookup;
pub use takeover::{
    hand_over, take_over, take_over_ownerless_jobs, take_over_previous_run, verify_ownership,
};
