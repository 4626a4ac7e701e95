//! Stable hashes that are equal on every daemon and in every version.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Returns the 64-bit hash of a byte string under a seed.
pub fn hash64(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// A 128-bit fingerprint of a request: method, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u128);

impl Digest {
    /// Computes the fingerprint of the parts in order, each prefixed by its length.
    pub fn new(parts: &[&[u8]]) -> Self {
        // Parts are hashed where they are, as a body may be as large as a quarter of the memory.
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
