//! Rows that can't be parsed, so that each is logged once and not at each read.

use std::cell::RefCell;
use std::collections::BTreeMap;

use wisteriapoint_store::{Index, Row};

/// Number of rows that are remembered; more of them are logged again.
const MAX_ROWS: usize = 1_024;

/// Malformed rows that have been logged, with their revisions.
#[derive(Debug, Default)]
pub struct MalformedRows {
    logged: RefCell<BTreeMap<Box<str>, Index>>,
}

impl MalformedRows {
    /// Creates a state without rows.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns `true` the first time that it is called for a revision of a row.
    pub fn is_new(&self, row: &Row) -> bool {
        let mut logged = self.logged.borrow_mut();
        if logged.len() >= MAX_ROWS && !logged.contains_key(&row.key) {
            logged.clear();
        }
        logged.insert(row.key.clone(), row.revision) != Some(row.revision)
    }
}
