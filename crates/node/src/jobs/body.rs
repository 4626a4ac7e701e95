//! Bodies of the items of a batch job, which a node drops when it needs room and reads again from the
//! store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;

use bytes::Bytes;
use tokio::sync::Mutex;
use wisteriapoint_batch::{BodyRange, RecordHeader};
use wisteriapoint_intake::{Budget, Cached, Refused};
use wisteriapoint_store::Error;

use super::record::{self, RecordLayout};

/// Reads the rows of stored submissions.
pub trait ReadParts {
    /// Reads a part of the submission of a batch job; returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    fn read_part(
        &self,
        job: &str,
        part: usize,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, Error>>;
}

/// Reason for which a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The store does not answer, or the rows are malformed.
    #[error(transparent)]
    Store(#[from] Error),
    /// Other data takes up the memory of the node.
    #[error("no memory for the body")]
    NoRoom,
}

impl From<Refused> for BodyError {
    fn from(Refused: Refused) -> Self {
        Self::NoRoom
    }
}

/// A submission as it was read from the store.
#[derive(Debug)]
pub struct ReadRecord {
    /// Beginning of the record.
    pub header: RecordHeader,
    /// Layout of its parts.
    pub layout: RecordLayout,
    /// Request body as received.
    pub body: Bytes,
}

/// Body of a submission, of which some or all may be in memory.
#[derive(Debug)]
pub struct JobBody {
    layout: RecordLayout,
    whole: RefCell<Option<Cached>>,
    parts: RefCell<BTreeMap<usize, Cached>>,
    /// Locked while parts are read, so that each is read once.
    reading: Mutex<()>,
}

impl JobBody {
    /// Creates a body that is in memory as a whole.
    pub fn new(layout: RecordLayout, whole: Cached) -> Self {
        Self {
            layout,
            whole: RefCell::new(Some(whole)),
            parts: RefCell::default(),
            reading: Mutex::default(),
        }
    }

    /// Drops what is in memory.
    pub fn release(&self) {
        self.whole.take();
        self.parts.take();
    }

    /// Returns a range of the body, from memory or from the store.
    ///
    /// # Errors
    ///
    /// Fails if the range has to be read from the store and that fails, or if there is no room for it.
    pub async fn text<R: ReadParts>(
        &self,
        rows: &R,
        (budget, now_ms): (&Budget, u64),
        job: &str,
        range: BodyRange,
    ) -> Result<Bytes, BodyError> {
        let whole = self.whole.borrow().as_ref().and_then(Cached::get);
        if let Some(whole) = whole.filter(|whole| range.end <= whole.len()) {
            return Ok(whole.slice(range.start..range.end));
        }
        self.whole.take();
        let _reading = self.reading.lock().await;
        let parts = self.layout.parts_of(range);
        let mut text = match parts.len() {
            1 => None,
            _ => Some(budget.open(Some(range.end - range.start), now_ms)),
        };
        for part in parts {
            let held = self.layout.body_of_part(part);
            let data = self.part(rows, budget, job, part).await?;
            let start = range.start.max(held.start) - held.start;
            let end = range.end.min(held.end) - held.start;
            let skipped = data.len() - held.len();
            let data = data.slice(skipped + start..skipped + end);
            match &mut text {
                None => return Ok(data),
                Some(text) => text.append(&data, now_ms)?,
            }
        }
        let text = text.map_or(Ok(Bytes::new()), |text| text.finish());
        Ok(text?)
    }

    async fn part<R: ReadParts>(
        &self,
        rows: &R,
        budget: &Budget,
        job: &str,
        part: usize,
    ) -> Result<Bytes, BodyError> {
        let cached = self.parts.borrow().get(&part).and_then(Cached::get);
        if let Some(cached) = cached {
            return Ok(cached);
        }
        let data = read_part(rows, job, part, self.layout).await?;
        let data = budget.keep(data.into())?;
        let cached = budget.cache(data.clone());
        self.parts.borrow_mut().insert(part, cached);
        Ok(data)
    }
}

/// Reads the submission of a batch job part by part; returns `None` if there is none.
///
/// # Errors
///
/// Fails if the store does not answer, the record is malformed, or there is no room for it.
pub async fn read_record<R: ReadParts>(
    rows: &R,
    (budget, now_ms): (&Budget, u64),
    job: &str,
) -> Result<Option<ReadRecord>, BodyError> {
    let Some(first) = rows.read_part(job, 0).await? else {
        return Ok(None);
    };
    let (header, layout) = record::decode_header(&first)?;
    let body = budget.open(Some(layout.body_bytes()), now_ms);
    let mut data = first;
    for part in 0..layout.parts() {
        if part > 0 {
            data = read_part(rows, job, part, layout).await?;
        }
        let held_bytes = layout.body_of_part(part).len();
        let start = data.len().checked_sub(held_bytes).ok_or_else(too_short)?;
        body.append(&data[start..], now_ms)?;
    }
    let body = body.finish()?;
    Ok(Some(ReadRecord {
        header,
        layout,
        body,
    }))
}

/// Reads a part that a batch job must have.
async fn read_part<R: ReadParts>(
    rows: &R,
    job: &str,
    part: usize,
    layout: RecordLayout,
) -> Result<Vec<u8>, Error> {
    let data = rows.read_part(job, part).await?.ok_or_else(too_short)?;
    match data.len() < layout.body_of_part(part).len() {
        true => Err(too_short()),
        false => Ok(data),
    }
}

fn too_short() -> Error {
    Error::Malformed("the submission lacks a part".into())
}
