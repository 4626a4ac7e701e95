//! The idempotency key of a request.

use serde::{Deserialize, Serialize};
use uuid::{Uuid, Version};

use crate::{PartitionId, ServiceName, hash64};

/// Number of partitions over which idempotency keys are distributed.
pub const PARTITION_COUNT: u16 = 256;

const SEPARATOR: char = '/';

/// The `Idempotency-Key` of a caller's request.
///
/// A key belongs to one service; the same text for another service is a different key.
///
/// ```
/// use wisteriapoint_types::{RequestKey, ServiceName};
///
/// let key = RequestKey::new("0192f0c1-7b2a-7c3d-8e4f-5a6b7c8d9e0f");
/// let at_shop = key.clone().with_service(&ServiceName::new("shopfront"));
/// assert_ne!(at_shop, key);
/// assert_eq!(at_shop.issued_at_ms(), key.issued_at_ms());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestKey(Box<str>);

impl RequestKey {
    /// Wraps the text of a key.
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the key scoped to a service.
    pub fn with_service(self, service: &ServiceName) -> Self {
        Self(format!("{service}{SEPARATOR}{}", self.0).into())
    }

    /// Returns the text, prefixed with the service if the key is scoped to one.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the time of issue in Unix milliseconds, if the key is a UUIDv7.
    pub fn issued_at_ms(&self) -> Option<u64> {
        let (_, text) = self.0.split_once(SEPARATOR).unwrap_or(("", &self.0));
        let uuid = Uuid::try_parse(text).ok()?;
        match uuid.get_version() {
            Some(Version::SortRand) => {
                let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
                Some(seconds * 1_000 + u64::from(nanoseconds) / 1_000_000)
            }
            _ => None,
        }
    }

    /// Returns the partition whose holders store the claim of this key.
    pub fn partition(&self) -> PartitionId {
        let hash = hash64(0, self.0.as_bytes());
        PartitionId((hash % u64::from(PARTITION_COUNT)) as u16)
    }
}
