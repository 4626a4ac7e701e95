//! Layout of a stored submission: rows of equal size, of which the first begins with a header.

use std::ops::Range;

use wisteriapoint_batch::{BodyRange, RecordHeader};
use wisteriapoint_store::Error;

use super::keys::MAX_PART_BYTES;

/// Size up to which a record counts as small: its copies, and a few of them, need no room of their own.
pub const SMALL_RECORD_BYTES: usize = 128 << 10;

/// Sizes of the header and the body of a stored submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordLayout {
    header_bytes: usize,
    body_bytes: usize,
}

/// Encodes the header of a submission.
///
/// # Errors
///
/// Fails only if it can't be encoded.
pub fn encode_header(header: &RecordHeader) -> Result<Vec<u8>, Error> {
    let encoded = postcard::to_stdvec(header);
    encoded.map_err(|error| Error::Malformed(error.to_string().into()))
}

/// Decodes the header at the beginning of the first part of a submission.
///
/// # Errors
///
/// Fails if it is malformed.
pub fn decode_header(first_part: &[u8]) -> Result<(RecordHeader, RecordLayout), Error> {
    let (header, rest): (RecordHeader, _) = postcard::take_from_bytes(first_part)
        .map_err(|error| Error::Malformed(error.to_string().into()))?;
    let layout = RecordLayout::new(first_part.len() - rest.len(), header.body_bytes);
    Ok((header, layout))
}

impl RecordLayout {
    /// Creates the layout of a submission.
    pub fn new(header_bytes: usize, body_bytes: usize) -> Self {
        Self {
            header_bytes,
            body_bytes,
        }
    }

    /// Returns the size of the whole record, in bytes.
    pub fn record_bytes(&self) -> usize {
        self.header_bytes + self.body_bytes
    }

    /// Returns the size of the body, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Returns the number of parts.
    pub fn parts(&self) -> usize {
        self.record_bytes().div_ceil(MAX_PART_BYTES)
    }

    /// Returns the parts that hold a range of the body.
    pub fn parts_of(&self, range: BodyRange) -> Range<usize> {
        let start = (self.header_bytes + range.start) / MAX_PART_BYTES;
        start..(self.header_bytes + range.end).div_ceil(MAX_PART_BYTES)
    }

    /// Returns the range of the body that a part holds.
    pub fn body_of_part(&self, part: usize) -> Range<usize> {
        let end = ((part + 1) * MAX_PART_BYTES).min(self.record_bytes());
        let start = (part * MAX_PART_BYTES).max(self.header_bytes);
        start - self.header_bytes..end.max(start) - self.header_bytes
    }
}
