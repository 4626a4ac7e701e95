//! Rows of batch jobs in the store.

/// Prefix of the rows that order all changes of batch jobs.
pub const STATE_PREFIX: &str = "wp/state/";

/// Largest part of a submission in one row, in bytes; a row holds a megabyte, as base64 text.
pub const MAX_PART_BYTES: usize = 700 << 10;

/// Key of the row that orders all changes of a batch job.
pub fn state(job: &str) -> String {
    format!("{STATE_PREFIX}{job}")
}

/// The batch job of a state row.
pub fn job_of_state(key: &str) -> Option<&str> {
    key.strip_prefix(STATE_PREFIX)
}

/// Prefix of the parts of a submission.
pub fn record_prefix(job: &str) -> String {
    format!("wp/job/{job}/")
}

/// Key of one part of a submission.
pub fn record_part(job: &str, part: usize) -> String {
    format!("{}{part:03}", record_prefix(job))
}

/// Prefix of the commits of results.
pub fn results_prefix(job: &str) -> String {
    format!("wp/result/{job}/")
}

/// Key of one commit of results; keys sort by the number of the commit.
pub fn results_of_commit(job: &str, commit: u32) -> String {
    format!("{}{commit:06}", results_prefix(job))
}

/// Key of the texts of items that run.
pub fn partial_outputs(job: &str) -> String {
    format!("wp/parts/{job}")
}
