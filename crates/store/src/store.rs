//! The trait by which a daemon uses the platform's key-value service and VM list.

use std::future::Future;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wisteriapoint_types::VmName;

use crate::Error;

/// Modification index of an entry; grows with each write.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Index(pub u64);

/// One entry of the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The full key, with its prefix.
    pub key: Box<str>,
    /// The value, at most a megabyte.
    pub value: Vec<u8>,
    /// Index of the last write to the entry.
    pub index: Index,
}

/// A lease that the platform granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Identifier that the platform assigned to the lease.
    pub id: Box<str>,
}

/// A row of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmName,
    /// State of the VM; may be out of date.
    pub state: VmState,
}

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be removed; accepts no new work.
    Leaving,
}

/// The platform's key-value service and VM list.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads all entries under a prefix, and the index of the latest change under it.
    ///
    /// With `changed_since`, waits up to `wait` for a change after that index.
    fn list(
        &self,
        prefix: &str,
        changed_since: Option<Index>,
        wait: Duration,
    ) -> impl Future<Output = Result<(Vec<Entry>, Index), Error>> + Send;

    /// Reads one entry.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Writes a value if the entry's index is still `expected`; 0 means that the entry must be
    /// absent.
    ///
    /// Returns `true` if the value was written.
    fn compare_and_swap(
        &self,
        key: &str,
        expected: Index,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Requests a lease and writes `key`, which is removed when the lease ends.
    fn grant_lease(
        &self,
        key: &str,
        value: Vec<u8>,
        ttl: Duration,
    ) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease.
    fn renew_lease(&self, lease: &Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Ends a lease and removes its key.
    fn release_lease(&self, lease: &Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads the list of VMs.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmEntry>, Error>> + Send;
}
