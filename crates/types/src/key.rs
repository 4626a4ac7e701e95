//! The idempotency key of a request.

use serde::{Deserialize, Serialize};
use uuid::{Uuid, Version};

use crate::{PartitionKey, hash64};

/// Number of partitions that idempotency keys are spread over.
pub const PARTITIONS: u16 = 256;

/// The `Idempotency-Key` that a caller gave its request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestKey(Box<str>);

impl RequestKey {
    /// Wraps the text of a key.
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// The text as the caller sent it.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The time of issue in Unix milliseconds, if the key is a UUIDv7.
    pub fn issued_at_ms(&self) -> Option<u64> {
        let uuid = Uuid::try_parse(&self.0).ok()?;
        match uuid.get_version() {
            Some(Version::SortRand) => {
                let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
                Some(seconds * 1_000 + u64::from(nanoseconds) / 1_000_000)
            }
            _ => None,
        }
    }

    /// The partition whose holders keep this key's claim.
    pub fn partition(&self) -> PartitionKey {
        let hash = hash64(0, self.0.as_bytes());
        PartitionKey((hash % u64::from(PARTITIONS)) as u16)
    }
}
