//! Counts of the requests that endpoints began to run, by window of time and workspace.
//!
//! Each node counts in a [`UsageCounter`] and reports what is not final yet; one node collects the
//! reports in a [`UsageLedger`], decides the counts of each window once, and keeps them in a
//! [`UsageRecord`] until the platform has accepted them. Reports are cumulative, so a repeated one,
//! or one to another collector, changes nothing. No part knows a socket or a clock.
//!
//! ```
//! use wisteriapoint_usage::{UsageCounter, UsageLedger, Windows};
//!
//! let windows = Windows::new(5_000);
//! let mut counter = UsageCounter::new(windows);
//! counter.begin(12_000, "forms");
//! let mut ledger = UsageLedger::new(windows, 2);
//! ledger.record(("vm-1", 7), 16_000, counter.open());
//! let decided = ledger.decide(16_100, 5_000).expect("the only node has reported");
//! assert_eq!((decided.window, decided.counts["forms"]), (2, 1));
//! ```

pub mod counter;
pub mod ledger;
pub mod record;

pub use counter::{UsageCounter, WindowCounts, Windows};
pub use ledger::UsageLedger;
pub use record::UsageRecord;
