//! Ages of batch jobs that are ended or done.

use wisteriapoint_batch::{JobState, Owner, Retention};

const RETENTION_MS: u64 = 120_000;

fn job(id: &str, revision: u64, open: bool, listed: u32) -> (Box<str>, u64, JobState) {
    let owner = Owner {
        vm: "edge-0".into(),
        run: 1,
        address: ([127, 0, 0, 1], 7_003).into(),
    };
    let state = JobState {
        owner,
        open,
        total: 2,
        listed,
        commits: 1,
        nonce: 0,
        workspace: None,
        record_bytes: None,
    };
    (id.into(), revision, state)
}

/// Guards against results that are removed while they may still be read, and against rows that are never
/// given back.
#[test]
fn a_batch_job_is_kept_for_the_retention_after_its_last_change() {
    let mut retention = Retention::new(RETENTION_MS);
    let open = job("open", 1, true, 1);
    let mut jobs = vec![open, job("ended", 2, false, 1), job("done", 3, true, 2)];
    assert!(retention.expired(0, &jobs).is_empty());
    assert!(retention.expired(RETENTION_MS - 1, &jobs).is_empty());
    assert_eq!(retention.expired(RETENTION_MS, &jobs), [1]);
    // The batch job that is done is ended at last.
    jobs[2] = job("done", 4, false, 2);
    assert_eq!(retention.expired(RETENTION_MS, &jobs), [1]);
    assert_eq!(retention.expired(2 * RETENTION_MS - 1, &jobs), [1]);
    assert_eq!(retention.expired(2 * RETENTION_MS, &jobs), [1, 2]);
    retention.postpone("ended");
    assert_eq!(retention.expired(2 * RETENTION_MS, &jobs), [2]);
}

/// Guards against the rows of batch jobs that nobody ends.
#[test]
fn a_batch_job_that_nobody_ends_is_kept_for_an_hour() {
    let mut retention = Retention::new(RETENTION_MS);
    let jobs = [job("done", 3, true, 2)];
    assert!(retention.expired(0, &jobs).is_empty());
    assert!(retention.expired(3_599_999, &jobs).is_empty());
    assert_eq!(retention.expired(3_600_000, &jobs), [0]);
}
