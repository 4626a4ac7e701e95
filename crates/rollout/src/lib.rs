//! Steps of trainers: their samples, their freshness, their delivery.
//!
//! ```
//! use wisteriapoint_rollout::Cursor;
//!
//! let mut cursor: Cursor = "0-2,5".parse()?;
//! cursor.insert(3);
//! assert_eq!(cursor.to_string(), "0-3,5");
//! # Ok::<(), wisteriapoint_rollout::Error>(())
//! ```

pub mod coordinator;
pub mod cursor;
pub mod error;
pub mod sample;
pub mod step;

pub use coordinator::{Coordinator, Pulled, Task};
pub use cursor::Cursor;
pub use error::Error;
pub use sample::{Sample, SampleKey, Span};
pub use step::{StepId, StepSpec};
