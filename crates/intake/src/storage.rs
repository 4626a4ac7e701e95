//! Memory of one body.

use memmap2::MmapMut;

/// Size above which a body gets a mapping of its own. The allocator keeps freed blocks of megabytes
/// resident, whereas a mapping is resident only as far as it was written, and until it is dropped.
const MIN_MAPPED_BYTES: usize = 64 << 10;

/// Bytes of a body, in the heap while it is small.
#[derive(Debug, Default)]
pub(crate) struct Storage {
    heap: Vec<u8>,
    mapped: Option<MmapMut>,
    length_bytes: usize,
}

impl Storage {
    /// Appends data to a body of at most `max_bytes`, as far as that is known; returns `false` if the
    /// system grants no memory.
    pub(crate) fn append(&mut self, data: &[u8], max_bytes: Option<usize>) -> bool {
        let end = self.length_bytes + data.len();
        if end <= MIN_MAPPED_BYTES {
            self.heap.extend_from_slice(data);
            self.length_bytes = end;
            return true;
        }
        let capacity = self.mapped.as_ref().map_or(0, |mapped| mapped.len());
        if end > capacity {
            let doubled = end.next_power_of_two();
            let wanted = max_bytes.map_or(doubled, |max| doubled.min(max.max(end)));
            let Ok(mut larger) = MmapMut::map_anon(wanted) else {
                return false;
            };
            larger[..self.length_bytes].copy_from_slice(self.as_ref());
            self.mapped = Some(larger);
            self.heap = Vec::new();
        }
        if let Some(mapped) = &mut self.mapped {
            mapped[self.length_bytes..end].copy_from_slice(data);
        }
        self.length_bytes = end;
        true
    }

    pub(crate) fn len(&self) -> usize {
        self.length_bytes
    }
}

impl AsRef<[u8]> for Storage {
    fn as_ref(&self) -> &[u8] {
        match &self.mapped {
            Some(mapped) => &mapped[..self.length_bytes],
            None => &self.heap,
        }
    }
}
