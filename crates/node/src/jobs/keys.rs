//! Rows of batch jobs in the store.

/// Prefix of the rows that order all changes of batch jobs.
pub const STATES: &str = "wp/state/";

/// Largest part of a submission in one row, in bytes; a row holds a megabyte, as base64 text.
pub const MAX_PART_BYTES: usize = 700 << 10;

/// Key of the row that orders all changes of a batch job.
pub fn state(job: &str) -> String {
    format!("{STATES}{job}")
}

/// The batch job of a state row.
pub fn job_of_state(key: &str) -> Option<&str> {
    key.strip_prefix(STATES)
}

/// Prefix of the parts of a submission.
pub fn record(job: &str) -> String {
    format!("wp/job/{job}/")
}

/// Key of one part of a submission.
pub fn record_part(job: &str, part: usize) -> String {
    format!("{}{part:03}", record(job))
}

/// Prefix of the commits of results.
pub fn results(job: &str) -> String {
    format!("wp/result/{job}/")
}

/// Key of one commit of results; keys sort by the number of the commit.
pub fn results_of(job: &str, commit: u32) -> String {
    format!("{}{commit:06}", results(job))
}

/// Key of the texts of items that run.
pub fn parts(job: &str) -> String {
    format!("wp/parts/{job}")
}
