//! The trait that the daemon uses.

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
    /// The key.
    pub key: Box<str>,
    /// The value, at most a megabyte.
    pub value: Vec<u8>,
    /// Index of the last write.
    pub index: Index,
}

/// A lease that the platform granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The platform's name for it.
    pub id: Box<str>,
}

/// A row of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM.
    pub vm: VmName,
    /// Its state, some time ago.
    pub state: VmState,
}

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to go away; takes no new work.
    Leaving,
}

/// The platform's key-value service and VM list.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads all entries under a prefix, and the index of the newest change there.
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

    /// Writes a value if the entry's index is still `expected`; 0 means "absent".
    ///
    /// Gives whether the write took place.
    fn compare_and_swap(
        &self,
        key: &str,
        expected: Index,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Asks for a lease and puts `key` under it.
    fn grant_lease(
        &self,
        key: &str,
        value: Vec<u8>,
        ttl: Duration,
    ) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease.
    fn renew_lease(&self, lease: &Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Ends a lease; its key goes with it.
    fn release_lease(&self, lease: &Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads the list of VMs.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmEntry>, Error>> + Send;
}
