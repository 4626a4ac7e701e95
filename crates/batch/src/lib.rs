//! Batch jobs as state without I/O: items, their scheduling, and results at fixed positions.
//!
//! ```
//! use wisteriapoint_batch::{BodyRange, Item, Job, Outcome, Submission};
//!
//! let submission = Submission::new(vec![Item::new("a", "/draft/1", BodyRange::default())]);
//! let mut job = Job::new(submission, 3, 60_000);
//! let key = job.start_next(0).expect("the item is waiting");
//! job.finish(5, key, Outcome::Completed { output: "text".into(), versions: vec![], score: None });
//! let batch = job.begin_commit(5).expect("all items are done");
//! assert_eq!(batch.results.len(), 1);
//! job.finish_commit();
//! assert_eq!(job.page(0, 1 << 20).next, 1);
//! ```

pub mod commit;
pub mod groups;
pub mod item;
pub mod job;
pub mod migration;
pub mod ownership;
pub mod placement;
pub mod precedence;
pub mod record;
pub mod relocation;
pub mod retention;
pub mod work;

pub use commit::CommitBatch;
pub use groups::Pace;
pub use item::{
    BodyRange, Item, ItemFailures, ItemKey, ItemResult, Outcome, PartialOutput, Progress, Scorer,
    Step, Submission,
};
pub use job::{Job, Page};
pub use ownership::{Members, TakeOverReason};
pub use precedence::Precedence;
pub use record::{JobRecord, JobState, Owner, RecordHeader};
pub use retention::Retention;
pub use work::{RequestedWork, Work};
