//! Set of the samples that a trainer has received.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind};

/// The indices of the samples of a step that the trainer has received.
///
/// The text form lists ranges in ascending order: `0-3,5`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct Cursor {
    received: BTreeSet<u32>,
}

impl Cursor {
    /// Returns the cursor of a trainer that has received no samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the sample with this index.
    pub fn insert(&mut self, index: u32) {
        self.received.insert(index);
    }

    /// Returns `true` if the trainer has received the sample with this index.
    pub fn contains(&self, index: u32) -> bool {
        self.received.contains(&index)
    }

    /// Returns the number of received samples.
    pub fn len(&self) -> usize {
        self.received.len()
    }

    /// Returns `true` if the trainer has received no samples.
    pub fn is_empty(&self) -> bool {
        self.received.is_empty()
    }

    /// Returns the sample indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.received.iter().copied()
    }

    /// Returns the highest sample index.
    pub fn last(&self) -> Option<u32> {
        self.received.last().copied()
    }
}

/// Highest sample index that the text form may contain.
const MAX_INDEX: u32 = 1 << 20;

impl FromStr for Cursor {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::from(Kind::Cursor(text.into()));
        let mut received = BTreeSet::new();
        for range in text.split(',').filter(|range| !range.is_empty()) {
            let (first, last) = range.split_once('-').unwrap_or((range, range));
            let first: u32 = first.parse().map_err(|_| invalid())?;
            let last: u32 = last.parse().map_err(|_| invalid())?;
            if first > last || last > MAX_INDEX {
                return Err(invalid());
            }
            received.extend(first..=last);
        }
        Ok(Self { received })
    }
}

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut indices = self.iter().peekable();
        let mut separator = "";
        while let Some(first) = indices.next() {
            let mut last = first;
            while let Some(next) = indices.next_if_eq(&(last + 1)) {
                last = next;
            }
            match last {
                _ if last == first => write!(f, "{separator}{first}")?,
                _ => write!(f, "{separator}{first}-{last}")?,
            }
            separator = ",";
        }
        Ok(())
    }
}

impl TryFrom<Box<str>> for Cursor {
    type Error = Error;

    fn try_from(text: Box<str>) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Cursor> for Box<str> {
    fn from(cursor: Cursor) -> Self {
        cursor.to_string().into()
    }
}
