//! Stored records of a batch job.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The submission of a batch job, which is written once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Host that selects its route.
    pub host: Box<str>,
    /// Path under which it was submitted.
    pub path: Box<str>,
    /// Time at which it was accepted, in Unix milliseconds on the clock of the VM that accepted it.
    pub submitted_unix_ms: u64,
    /// Request body as received.
    pub body: Vec<u8>,
}

/// The encoded beginning of a [`JobRecord`], after which the bytes of its body follow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordHeader {
    /// Host that selects its route.
    pub host: Box<str>,
    /// Path under which it was submitted.
    pub path: Box<str>,
    /// Time at which it was accepted, in Unix milliseconds on the clock of the VM that accepted it.
    pub submitted_unix_ms: u64,
    /// Size of the request body.
    pub body_bytes: usize,
}

/// One run of a node's daemon, from start to exit, that may own batch jobs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the VM on which it runs.
    pub vm: Box<str>,
    /// Number that distinguishes this run from others on the same VM.
    pub run: u64,
    /// Address at which it serves other nodes.
    pub address: SocketAddr,
}

/// State of a batch job, in the store row on which all changes of the job are ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// Owner, which runs the items and commits their results.
    pub owner: Owner,
    /// `true` while more results may be committed.
    pub open: bool,
    /// Number of items.
    pub total: u32,
    /// Number of listed results.
    pub listed: u32,
    /// Number of commits that contain the listed results.
    pub commits: u32,
    /// Random number drawn for each write, with which a node distinguishes its own write from an
    /// otherwise equal one.
    pub nonce: u64,
    /// Workspace that submitted the batch job; `None` if it has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Box<str>>,
    /// Size of the record, of which an owner holds most in memory; `None` in a row of an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub record_bytes: Option<usize>,
}
