//! Memory for the responses of endpoints.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// Most bytes of responses that a node holds, unless set otherwise, beyond what each may hold freely: a VM has 260 MB, and
/// a buffer needs twice its size while it grows.
const MAX_HELD_BYTES: usize = 48 << 20;
/// Bytes that each response may hold whatever others do, so that large ones don't keep out the usual
/// ones.
const FREE_BYTES: usize = 16 << 10;

/// Bytes of responses that a node holds; clones share the count.
#[derive(Debug, Clone)]
pub struct ResponseMemory {
    held_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl Default for ResponseMemory {
    fn default() -> Self {
        Self::with_max_bytes(MAX_HELD_BYTES)
    }
}

/// A buffer for a part of a response, whose size counts until it is dropped.
#[derive(Debug)]
pub struct ResponseBuffer {
    data: BytesMut,
    max_bytes: usize,
    reservation: Reservation,
}

#[derive(Debug)]
struct Reservation {
    memory: ResponseMemory,
    bytes: usize,
}

/// Complete data of a buffer.
struct HeldData {
    data: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl ResponseMemory {
    /// Creates a count without held bytes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a count without held bytes, which are at most `max_bytes`.
    pub fn with_max_bytes(max_bytes: usize) -> Self {
        Self {
            held_bytes: Arc::default(),
            max_bytes,
        }
    }

    /// Creates an empty buffer of at most `max_bytes`.
    pub fn buffer(&self, max_bytes: usize) -> ResponseBuffer {
        ResponseBuffer {
            data: BytesMut::new(),
            max_bytes,
            reservation: Reservation {
                memory: self.clone(),
                bytes: 0,
            },
        }
    }
}

impl Reservation {
    /// Reserves memory for a buffer of `length_bytes`; returns `false` if too much is held.
    fn try_grow(&mut self, length_bytes: usize) -> bool {
        let more = length_bytes.saturating_sub(FREE_BYTES + self.bytes);
        let (held_bytes, max_bytes) = (&self.memory.held_bytes, self.memory.max_bytes);
        let add = |held: usize| held.checked_add(more).filter(|&held| held <= max_bytes);
        let is_reserved = more == 0
            || held_bytes
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
                .is_ok();
        if is_reserved {
            self.bytes += more;
        }
        is_reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory
            .held_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl ResponseBuffer {
    /// Appends data; returns `false` if the buffer, or all that the node holds, would be too large.
    pub fn try_extend(&mut self, data: &[u8]) -> bool {
        let length_bytes = self.data.len() + data.len();
        let has_room = length_bytes <= self.max_bytes && self.reservation.try_grow(length_bytes);
        if has_room {
            self.data.extend_from_slice(data);
        }
        has_room
    }

    /// Returns the data so far.
    pub fn data(&self) -> &[u8] {
        &self.data
    }

    /// Returns the first `length_bytes` bytes, and removes them from the buffer.
    ///
    /// They count as held until the result is dropped.
    pub fn take(&mut self, length_bytes: usize) -> Bytes {
        let data = self.data.split_to(length_bytes);
        let rest = Reservation {
            memory: self.reservation.memory.clone(),
            bytes: 0,
        };
        let reservation = std::mem::replace(&mut self.reservation, rest);
        match reservation.bytes {
            0 => data.freeze(),
            _ => Bytes::from_owner(HeldData {
                data: data.freeze(),
                _reservation: reservation,
            }),
        }
    }

    /// Returns all data.
    pub fn into_bytes(mut self) -> Bytes {
        self.take(self.data.len())
    }
}
