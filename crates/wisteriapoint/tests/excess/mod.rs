//! A node process, and callers that exceed its limits.

pub(crate) mod crowd;
pub(crate) mod process;
