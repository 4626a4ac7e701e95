//! The nodes that get crash reports.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time for which a node that is not listed as a member still gets reports, in milliseconds: longer
/// than the interval at which nodes read the members.
const UNLISTED_RETENTION_MS: u64 = 10_000;

/// Time for which a node that did not answer is left out, in milliseconds; callers' requests would
/// wait for each timeout.
const SILENCE_MS: u64 = 1_000;

/// The members as last read, and the nodes that were members or introduced themselves lately.
///
/// A node may be alive and not listed: its lease may have expired while the store was unavailable, or
/// it may have started after the last read.
#[derive(Debug, Default)]
pub struct KnownPeers {
    listed: RefCell<BTreeSet<SocketAddr>>,
    is_read: Cell<bool>,
    /// Other nodes, with the time at which they were last known, in milliseconds.
    unlisted: RefCell<BTreeMap<SocketAddr, u64>>,
    /// Nodes that lately did not answer, with the time in milliseconds until which they are left out.
    silent: RefCell<BTreeMap<SocketAddr, u64>>,
}

impl KnownPeers {
    /// Sets the addresses of the members, without this node.
    pub fn set(&self, now_ms: u64, members: &BTreeSet<SocketAddr>) {
        self.is_read.set(true);
        let previous = self.listed.replace(members.clone());
        let mut unlisted = self.unlisted.borrow_mut();
        unlisted.retain(|_, at_ms| now_ms < *at_ms + UNLISTED_RETENTION_MS);
        unlisted.extend(previous.into_iter().map(|address| (address, now_ms)));
    }

    /// Returns `true` if the members have been read.
    pub fn is_read(&self) -> bool {
        self.is_read.get()
    }

    /// Adds a node that has introduced itself.
    pub fn add(&self, now_ms: u64, address: SocketAddr) {
        self.unlisted.borrow_mut().insert(address, now_ms);
    }

    /// Records that a node did not answer in time.
    pub fn record_silence(&self, now_ms: u64, address: SocketAddr) {
        let mut silent = self.silent.borrow_mut();
        silent.retain(|_, until_ms| now_ms < *until_ms);
        silent.insert(address, now_ms + SILENCE_MS);
    }

    /// Returns the addresses of all nodes that may be alive and have not been silent lately.
    pub fn responsive(&self, now_ms: u64) -> BTreeSet<SocketAddr> {
        let mut addresses = self.addresses(now_ms);
        for (address, until_ms) in &*self.silent.borrow() {
            if now_ms < *until_ms {
                addresses.remove(address);
            }
        }
        addresses
    }

    /// Returns the addresses of all nodes that may be alive.
    pub fn addresses(&self, now_ms: u64) -> BTreeSet<SocketAddr> {
        let unlisted = self.unlisted.borrow();
        let recent = unlisted
            .iter()
            .filter(|&(_, &at_ms)| now_ms < at_ms + UNLISTED_RETENTION_MS)
            .map(|(&address, _)| address);
        self.listed.borrow().iter().copied().chain(recent).collect()
    }
}
