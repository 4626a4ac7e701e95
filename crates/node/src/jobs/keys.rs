//! Keys of the rows of batch jobs in the store.

/// Prefix of the keys of all state rows.
pub const STATE_PREFIX: &str = "wp/state/";

/// Maximum size of the part of a submission in one row, in bytes. A row is limited to one megabyte,
/// and its encoding as base64 text adds a third.
pub const MAX_PART_BYTES: usize = 700 << 10;

/// Returns the key of the state row of a batch job.
///
/// Changes of the owner, commits of results and the end of the batch job are conditional on the
/// revision of this row, which orders them.
pub fn state(job: &str) -> String {
    format!("{STATE_PREFIX}{job}")
}

/// Returns the id of the batch job to which a state row belongs, or `None` for any other key.
pub fn job_of_state(key: &str) -> Option<&str> {
    key.strip_prefix(STATE_PREFIX)
}

/// Returns the prefix of the rows that contain the submission of a batch job.
pub fn record_prefix(job: &str) -> String {
    format!("wp/job/{job}/")
}

/// Returns the key of one part of a submission; keys sort by the number of the part.
pub fn record_part(job: &str, part: usize) -> String {
    format!("{}{part:03}", record_prefix(job))
}

/// Returns the prefix of the rows that contain committed results.
pub fn results_prefix(job: &str) -> String {
    format!("wp/result/{job}/")
}

/// Returns the key of the results of one commit; keys sort by the number of the commit.
pub fn results_of_commit(job: &str, commit: u32) -> String {
    format!("{}{commit:06}", results_prefix(job))
}

/// Returns the key of the failures of unfinished items.
pub fn failures(job: &str) -> String {
    format!("wp/failures/{job}")
}

/// Returns the key of the partial outputs of unfinished items.
pub fn partial_outputs(job: &str) -> String {
    format!("wp/parts/{job}")
}

/// Returns the prefix of the rows that tell a run of a node of the ends of its batch jobs.
pub fn ends_prefix(run: u64) -> String {
    format!("wp/end/{run:016x}/")
}

/// Returns the key of the row that tells the owner of a batch job, a run of a node, of its end.
pub fn end(run: u64, job: &str) -> String {
    format!("{}{job}", ends_prefix(run))
}
