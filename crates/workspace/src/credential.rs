//! The credential of a request, of which only a digest is kept.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Longest key that is accepted, in bytes; keys of real deployments have some tens.
pub const MAX_KEY_BYTES: usize = 512;

/// SHA-256 digest of a key; compared in constant time.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn new(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the first bytes as a number, by which digests are grouped.
    pub(crate) fn bucket(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl fmt::Debug for KeyDigest {
    /// Writes no part of the digest, which identifies a key to whoever has a list of them.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What a request states about its sender.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Credential {
    /// It states nothing.
    #[default]
    Absent,
    /// It states something that is no key.
    Malformed,
    /// It states a key with this digest.
    Key(KeyDigest),
}

impl Credential {
    /// Returns the credential of a key; an empty key and one that is too long are malformed.
    pub fn from_key(key: &str) -> Self {
        match key.len() {
            1..=MAX_KEY_BYTES => Self::Key(KeyDigest::new(key)),
            _ => Self::Malformed,
        }
    }
}
