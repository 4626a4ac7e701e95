//! Rows with revisions, transactions over several of them, and leases that rows hang on.

use std::future::Future;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Error, Index};

/// A lease on which rows may hang; 0 is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// One row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: Box<str>,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last write.
    pub revision: Index,
}

/// A change of a row, as a watch tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The row was written.
    Written(Row),
    /// The row was removed.
    Removed(Box<str>),
}

/// A row to write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The key.
    pub key: Box<str>,
    /// The new value.
    pub value: Vec<u8>,
    /// The lease that the row hangs on.
    pub lease: LeaseId,
}

/// Writes that take place together, if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Keys with the revisions that they must have; [`Index`] 0 means absent.
    pub expected: Vec<(Box<str>, Index)>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<Box<str>>,
}

impl Transaction {
    /// Makes a transaction that does nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires that a key has a revision; [`Index`] 0 means absent.
    pub fn with_expected(mut self, key: impl Into<Box<str>>, revision: Index) -> Self {
        self.expected.push((key.into(), revision));
        self
    }

    /// Writes a row that lasts.
    pub fn with_put(self, key: impl Into<Box<str>>, value: Vec<u8>) -> Self {
        self.with_leased_put(key, value, LeaseId::default())
    }

    /// Writes a row that goes when a lease ends.
    pub fn with_leased_put(
        mut self,
        key: impl Into<Box<str>>,
        value: Vec<u8>,
        lease: LeaseId,
    ) -> Self {
        let key = key.into();
        self.puts.push(Put { key, value, lease });
        self
    }

    /// Removes a row.
    pub fn with_remove(mut self, key: impl Into<Box<str>>) -> Self {
        self.removes.push(key.into());
        self
    }
}

/// What became of a transaction that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommitOutcome {
    /// It took place at this revision.
    Done(Index),
    /// A condition did not hold; nothing took place.
    Conflict,
    /// The lease of a row has ended; nothing took place.
    LeaseEnded,
}

/// How fresh an answer has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// It reflects all that was acknowledged before the question.
    Linearizable,
    /// It may be seconds old.
    Stale,
}

/// A store of rows with one revision counter.
///
/// A call that fails with an error whose
/// [`may_have_taken_effect`](Error::may_have_taken_effect) holds may also take effect later.
pub trait TransactionalStore: Clone + 'static {
    /// Reads one row, and the revision of the store.
    fn row(
        &self,
        key: &str,
        freshness: Freshness,
    ) -> impl Future<Output = Result<(Option<Row>, Index), Error>>;

    /// Reads all rows under a prefix, and the revision from which a watch may go on.
    fn range(
        &self,
        prefix: &str,
        freshness: Freshness,
    ) -> impl Future<Output = Result<(Vec<Row>, Index), Error>>;

    /// Waits up to `wait` for changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// [`is_history_gone`](Error::is_history_gone) asks for a new [`range`](TransactionalStore::range).
    fn watch(
        &self,
        prefix: &str,
        after: Index,
        wait: Duration,
    ) -> impl Future<Output = Result<(Vec<Change>, Index), Error>>;

    /// Commits a transaction.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<CommitOutcome, Error>>;

    /// Asks for a lease.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Error>>;

    /// Renews a lease; fails with [`Error::LeaseLapsed`] once it has ended.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), Error>>;

    /// Ends a lease and removes its rows.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), Error>>;
}
