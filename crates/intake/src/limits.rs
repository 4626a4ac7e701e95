//! Limits of an account, derived from the limits of the VM.

/// Memory assumed for a VM whose settings state none, in MB: the largest of the deployments.
const DEFAULT_MEMORY_MB: u64 = 512;
/// Percentage of the memory for the bodies of requests; on a VM of 120 MB seven eighths of this hold one
/// body of 32 MiB.
const BODIES_PERCENT: u64 = 34;
/// Percentage of the memory for the connections of callers.
const CONNECTIONS_PERCENT: u64 = 15;
/// Memory of a connection with a full read buffer of 16 KiB, in bytes.
const CONNECTION_BYTES: u64 = 24_000;
/// Percentage of the memory for the answers of endpoints.
const ANSWERS_PERCENT: u64 = 20;
/// Least and most bytes for the answers of endpoints: the largest answer, and what a VM with the usual
/// 260 MB can bear, as a buffer needs twice its size while it grows.
const MIN_ANSWER_BYTES: usize = 32 << 20;
const MAX_ANSWER_BYTES: usize = 48 << 20;
/// Size up to which a body may use the part of the account that is kept free of larger ones.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Limits of what is held for callers.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes of all bodies together.
    pub total_bytes: usize,
    /// Bytes of all bodies together that have not been received to their end.
    pub unfinished_bytes: usize,
    /// Bytes of the total that only small bodies may use.
    pub small_reserve_bytes: usize,
    /// Size up to which a body is small, in bytes.
    pub small_body_bytes: usize,
    /// Bytes of all answers of endpoints together.
    pub answer_bytes: usize,
    /// Connections.
    pub connections: usize,
}

impl Limits {
    /// Returns the limits for a VM with the given memory in MB.
    pub fn for_memory(memory_mb: u64) -> Self {
        let percent = |percent: u64| memory_mb.saturating_mul(1_000_000) / 100 * percent;
        let total_bytes = usize::try_from(percent(BODIES_PERCENT)).unwrap_or(usize::MAX);
        let connections = percent(CONNECTIONS_PERCENT) / CONNECTION_BYTES;
        Self {
            total_bytes,
            unfinished_bytes: total_bytes / 8 * 7,
            small_reserve_bytes: total_bytes / 8,
            small_body_bytes: SMALL_BODY_BYTES,
            answer_bytes: usize::try_from(percent(ANSWERS_PERCENT))
                .unwrap_or(usize::MAX)
                .clamp(MIN_ANSWER_BYTES, MAX_ANSWER_BYTES),
            connections: usize::try_from(connections).unwrap_or(usize::MAX).max(1),
        }
    }

    /// Returns the limits for a VM, of which the settings may state the memory in MB and the
    /// descriptors; half of the descriptors remain for endpoints and other nodes.
    pub fn for_vm(memory_mb: Option<u64>, max_descriptors: Option<u64>) -> Self {
        let limits = Self::for_memory(memory_mb.unwrap_or(DEFAULT_MEMORY_MB));
        let half = max_descriptors.map_or(u64::MAX, |descriptors| (descriptors / 2).max(1));
        let connections = usize::try_from(half).unwrap_or(usize::MAX);
        Self {
            connections: limits.connections.min(connections),
            ..limits
        }
    }
}
