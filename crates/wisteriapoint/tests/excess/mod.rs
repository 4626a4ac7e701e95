//! A node process, and callers that exceed its limits.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub(crate) mod crowd;
pub(crate) mod process;
