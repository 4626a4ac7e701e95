//! A store of rows with revisions, transactions over several rows, and leases.

use std::future::Future;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Error, Index};

/// Identifies a lease to which rows may be attached; 0 stands for no lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// One row of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The full key, with its prefix.
    pub key: Box<str>,
    /// The value as last written.
    pub value: Vec<u8>,
    /// Revision of the last write to the row.
    pub revision: Index,
}

/// A change of a row, as a watch reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The row was written.
    Written(Row),
    /// The row with this key was removed.
    Removed(Box<str>),
}

/// A row to write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The full key, with its prefix.
    pub key: Box<str>,
    /// The new value.
    pub value: Vec<u8>,
    /// The lease whose end removes the row.
    pub lease: LeaseId,
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Keys with their required revisions; [`Index`] 0 means that the row must be absent.
    pub expected: Vec<(Box<str>, Index)>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<Box<str>>,
}

impl Transaction {
    /// Creates a transaction without conditions and writes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the condition that a row has a revision; [`Index`] 0 means that the row must be
    /// absent.
    pub fn with_expected(mut self, key: impl Into<Box<str>>, revision: Index) -> Self {
        self.expected.push((key.into(), revision));
        self
    }

    /// Adds the write of a row without a lease.
    pub fn with_put(self, key: impl Into<Box<str>>, value: Vec<u8>) -> Self {
        self.with_leased_put(key, value, LeaseId::default())
    }

    /// Adds the write of a row that is removed when a lease ends.
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

    /// Adds the removal of a row.
    pub fn with_remove(mut self, key: impl Into<Box<str>>) -> Self {
        self.removes.push(key.into());
        self
    }
}

/// Outcome of a transaction to which the store responded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommitOutcome {
    /// The transaction was committed at this revision.
    Done(Index),
    /// A condition did not hold; nothing was written.
    Conflict,
    /// The lease of a row has ended; nothing was written.
    LeaseEnded,
}

/// Required consistency of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// The result reflects every write that was acknowledged before the read began.
    Linearizable,
    /// The result may be seconds old.
    Stale,
}

/// A store of rows with one revision counter.
///
/// A call that fails with an error for which
/// [`may_have_taken_effect`](Error::may_have_taken_effect) returns `true` may also take
/// effect later.
pub trait TransactionalStore: Clone + 'static {
    /// Reads one row and the revision of the store.
    fn row(
        &self,
        key: &str,
        freshness: Freshness,
    ) -> impl Future<Output = Result<(Option<Row>, Index), Error>>;

    /// Reads all rows under a prefix, and the revision after which a watch may continue.
    fn range(
        &self,
        prefix: &str,
        freshness: Freshness,
    ) -> impl Future<Output = Result<(Vec<Row>, Index), Error>>;

    /// Waits up to `wait` for changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// If [`is_history_gone`](Error::is_history_gone) returns `true` for the error, read the
    /// prefix again with [`range`](TransactionalStore::range).
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

    /// Requests a lease with a time to live.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Error>>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Returns [`Error::LeaseExpired`] once the lease has ended.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), Error>>;

    /// Ends a lease and removes its rows.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), Error>>;
}
