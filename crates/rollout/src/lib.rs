//! Generation and delivery of the samples that trainers request in steps, within a staleness
//! bound.
//!
//! ```
//! use wisteriapoint_rollout::Cursor;
//!
//! let mut cursor: Cursor = "0-2,5".parse()?;
//! cursor.insert(3);
//! assert_eq!(cursor.to_string(), "0-3,5");
//! # Ok::<(), wisteriapoint_rollout::Error>(())
//! ```

pub mod attempt;
pub mod coordinator;
pub mod cursor;
pub mod error;
mod length;
pub mod progress;
pub mod sample;
pub mod step;
pub mod task;
mod token_times;
pub mod window;

pub use attempt::{AttemptKey, FIRST_REPORT_MS, FirstTokens};
pub use coordinator::{Coordinator, STEP_IDLE_TIMEOUT_MS};
pub use cursor::Cursor;
pub use error::Error;
pub use progress::TrainerProgress;
pub use sample::{Sample, SampleKey, Span};
pub use step::{StepId, StepSpec};
pub use task::{PullResponse, ScoreTask, Task};
pub use window::Window;
