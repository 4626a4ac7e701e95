//! What is stored of a batch job.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The submission, written once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Host of its route.
    pub host: Box<str>,
    /// Path under which it was submitted.
    pub path: Box<str>,
    /// When it was accepted, Unix milliseconds.
    pub submitted_unix_ms: u64,
    /// The body as it came.
    pub body: Vec<u8>,
}

/// One run of a daemon that may own batch jobs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// Name of its VM.
    pub vm: Box<str>,
    /// Tells this run of the daemon from others on the same VM.
    pub run: u64,
    /// Where it answers other daemons.
    pub address: SocketAddr,
}

/// The row that orders all changes of a batch job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// Who runs it and commits its results.
    pub owner: Owner,
    /// Whether more results may be committed.
    pub open: bool,
    /// Number of its items.
    pub total: u32,
    /// Number of listed results.
    pub listed: u32,
    /// Number of commits that listed them.
    pub commits: u32,
    /// Random for each write, so that a node knows its own write from one that looks the same.
    pub nonce: u64,
}
