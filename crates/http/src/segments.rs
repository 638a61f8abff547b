//! Memory for large bodies, in segments of one size that all connections share.

use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use galenaloft_runtime::sync::lock;

/// Size of a segment, in bytes. Usual bodies fit into one.
pub(crate) const SEGMENT: usize = 16 * 1024;

/// Smallest buffer of a body, in bytes.
const MIN_BUFFER: usize = 1024;

/// Unused bytes of a buffer that are not worth a copy of its contents.
const MAX_UNUSED: usize = 4 * 1024;

/// Segments of bodies that are being read, and free ones that the next bodies get.
///
/// Buffers of all sizes that are freed and allocated by many threads kept 80 MB resident in
/// `galenaloftd` while callers held 21 MB.
#[derive(Debug, Clone)]
pub(crate) struct SegmentPool(Arc<Mutex<Segments>>);

#[derive(Debug)]
struct Segments {
    free: Vec<Vec<u8>>,
    /// Segments of bodies.
    used: usize,
    /// Most segments, free ones included, above which no free ones are kept.
    most: usize,
}

impl SegmentPool {
    /// Creates a pool that keeps free segments while there are fewer than `bytes` in all.
    pub(crate) fn new(bytes: usize) -> Self {
        let most = bytes / SEGMENT;
        Self(Arc::new(Mutex::new(Segments { free: Vec::new(), used: 0, most })))
    }

    fn take(&self) -> Vec<u8> {
        let mut segments = lock(&self.0);
        segments.used += 1;
        let free = segments.free.pop();
        free.unwrap_or_else(|| Vec::with_capacity(SEGMENT))
    }

    fn give_back(&self, returned: impl Iterator<Item = Vec<u8>>) {
        let mut segments = lock(&self.0);
        for mut segment in returned {
            segments.used -= 1;
            segment.clear();
            segments.free.push(segment);
        }
        // An idle process keeps none.
        let kept = segments.used.min(segments.most.saturating_sub(segments.used));
        segments.free.truncate(kept);
        if kept == 0 {
            segments.free.shrink_to_fit();
        }
    }
}

/// The part of a body that has arrived.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    pool: SegmentPool,
    /// The first bytes, in a buffer of up to a segment that grows with what arrives.
    first: Vec<u8>,
    /// The further bytes.
    segments: Vec<Vec<u8>>,
}

impl BodyBuffer {
    /// Creates an empty buffer.
    pub(crate) fn new(pool: SegmentPool) -> Self {
        Self { pool, first: Vec::new(), segments: Vec::new() }
    }

    /// Returns the bytes that are allocated.
    pub(crate) fn capacity(&self) -> usize {
        self.first.capacity() + self.segments.len() * SEGMENT
    }

    /// Returns what would be allocated for `needed` bytes of a body that has `most` at most.
    pub(crate) fn capacity_for(&self, needed: usize, most: usize) -> usize {
        if needed > SEGMENT {
            return needed.next_multiple_of(SEGMENT);
        }
        (self.first.capacity() * 2).max(MIN_BUFFER).min(most.min(SEGMENT)).max(needed)
    }

    /// Allocates `capacity` bytes in all, as [`capacity_for`](Self::capacity_for) returned them.
    pub(crate) fn grow(&mut self, capacity: usize) {
        let first = capacity.min(SEGMENT);
        self.first.reserve_exact(first - self.first.len());
        while self.capacity() < capacity {
            self.segments.push(self.pool.take());
        }
    }

    /// Appends bytes, for which there is room.
    pub(crate) fn push(&mut self, mut bytes: &[u8]) {
        let buffers = std::iter::once(&mut self.first).chain(&mut self.segments);
        for buf in buffers.skip_while(|buf| buf.len() == buf.capacity()) {
            let (head, rest) = bytes.split_at(bytes.len().min(buf.capacity() - buf.len()));
            buf.extend_from_slice(head);
            bytes = rest;
            if bytes.is_empty() {
                break;
            }
        }
    }

    /// Returns the whole body in one piece.
    pub(crate) fn into_whole(mut self) -> Vec<u8> {
        let mut whole = std::mem::take(&mut self.first);
        if !self.segments.is_empty() {
            whole.reserve_exact(self.segments.iter().map(Vec::len).sum());
            self.segments.iter().for_each(|segment| whole.extend_from_slice(segment));
        } else if whole.capacity() - whole.len() > MAX_UNUSED {
            whole.shrink_to_fit();
        }
        whole
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        if !self.segments.is_empty() {
            self.pool.give_back(self.segments.drain(..));
        }
    }
}

/// Something that is kept as long as any copy of a body.
pub(crate) struct Held<T> {
    buf: Vec<u8>,
    _kept: T,
}

impl<T> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

/// Returns a body that keeps `kept` until its last copy is dropped.
pub(crate) fn hold<T: Send + 'static>(buf: Vec<u8>, kept: T) -> Bytes {
    Bytes::from_owner(Held { buf, _kept: kept })
}
