//! Body of a message in segments, so that a body of unknown length grows without being copied, and a body that is given up
//! returns memory in pieces that the next one can use.

use {
    bytes::{BufMut, Bytes, BytesMut},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    std::{fmt, iter},
};

/// Size of a segment, in bytes. The allocator keeps blocks of this size in its heap, where they are used again, while it
/// would map each larger one anew.
pub const SEGMENT_BYTES: usize = 32 * 1024;

/// Minimum size of a segment of a body whose length is not known, in bytes.
const SEGMENT_BYTES_MIN: usize = 4 * 1024;

/// Body of a message, without its framing.
#[derive(Clone, Default)]
pub struct Body {
    first: Bytes,
    /// Empty for a body that fits into one segment, which then takes no further allocation.
    rest: Vec<Bytes>,
}

impl Body {
    /// Returns the length in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.segments().map(Bytes::len).sum()
    }

    /// Returns whether the body has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the segments in their order.
    pub fn segments(&self) -> impl Iterator<Item = &Bytes> {
        iter::once(&self.first).chain(&self.rest)
    }

    /// Returns the body in one piece, which is a copy if there are several segments.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        if self.rest.is_empty() {
            return self.first.clone();
        }
        let mut joined = BytesMut::with_capacity(self.len());
        self.segments().for_each(|part| joined.put_slice(part));
        joined.freeze()
    }

    /// Replaces the first segment by one with the same bytes, which may own something that is to live as long as they do.
    #[must_use]
    pub fn map_first(mut self, replace: impl FnOnce(Bytes) -> Bytes) -> Self {
        self.first = replace(self.first);
        self
    }

    /// Appends a segment.
    pub fn push(&mut self, segment: Bytes) {
        if self.first.is_empty() {
            self.first = segment;
        } else if !segment.is_empty() {
            self.rest.push(segment);
        }
    }
}

impl From<Bytes> for Body {
    fn from(first: Bytes) -> Self {
        Self {
            first,
            rest: Vec::new(),
        }
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.to_bytes().fmt(f)
    }
}

/// Bodies are equal if they have the same bytes, however these are divided.
impl PartialEq for Body {
    fn eq(&self, other: &Self) -> bool {
        self.len() == other.len() && self.to_bytes() == other.to_bytes()
    }
}

impl Eq for Body {}

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.to_bytes())
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Bytes::deserialize(deserializer).map(Self::from)
    }
}

/// Body that is being received.
#[derive(Debug)]
pub(super) struct Builder {
    body: Body,
    /// Size of the complete segments.
    complete_bytes: usize,
    layout: Layout,
    tail: BytesMut,
}

/// How a body is kept in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Layout {
    /// In one piece, for messages whose recipient needs it so.
    Contiguous,
    /// In segments of [`SEGMENT_BYTES`].
    Segmented,
}

impl Builder {
    pub(super) fn new(layout: Layout) -> Self {
        Self {
            body: Body::default(),
            complete_bytes: 0,
            layout,
            tail: BytesMut::new(),
        }
    }

    /// Returns the number of bytes received so far.
    pub(super) fn len(&self) -> usize {
        self.complete_bytes + self.tail.len()
    }

    /// Returns the size that the body takes in memory once there is space for the next bytes of `missing`, which is more
    /// than 0, or `None` if there is space already.
    pub(super) fn next_capacity(&self, missing: usize) -> Option<usize> {
        let has_space = match self.layout {
            // A chunk has space for all of it or for nothing.
            Layout::Contiguous => self.tail.capacity() - self.tail.len() >= missing,
            Layout::Segmented => self.tail.capacity() > self.tail.len(),
        };
        (!has_space).then(|| self.len() + self.segment_bytes(missing))
    }

    /// Makes space for the next bytes of `missing`, as [`next_capacity`](Self::next_capacity) has stated.
    pub(super) fn grow(&mut self, missing: usize) {
        let segment_bytes = self.segment_bytes(missing);
        match self.layout {
            Layout::Contiguous => self.tail.reserve(segment_bytes),
            Layout::Segmented => {
                self.finish_segment();
                self.tail = BytesMut::with_capacity(segment_bytes);
            }
        }
    }

    /// Returns the free space, at most `missing` bytes.
    pub(super) fn space(&mut self, missing: usize) -> impl BufMut {
        let free = self.tail.capacity() - self.tail.len();
        (&mut self.tail).limit(missing.min(free))
    }

    /// Appends as many bytes as there is space for. Returns their number.
    pub(super) fn put(&mut self, bytes: &[u8]) -> usize {
        let taken = bytes.len().min(self.tail.capacity() - self.tail.len());
        self.tail.put_slice(&bytes[..taken]);
        taken
    }

    pub(super) fn finish(mut self) -> Body {
        self.finish_segment();
        self.body
    }

    fn finish_segment(&mut self) {
        let segment = std::mem::take(&mut self.tail).freeze();
        self.complete_bytes += segment.len();
        self.body.push(segment);
    }

    /// Returns the size of the next segment. Chunks may be far shorter than one, so segments grow with what has arrived.
    fn segment_bytes(&self, missing: usize) -> usize {
        match self.layout {
            Layout::Contiguous => missing,
            Layout::Segmented => missing
                .max(self.len())
                .clamp(SEGMENT_BYTES_MIN, SEGMENT_BYTES),
        }
    }
}
