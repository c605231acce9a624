//! Splits streams of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Splits a stream of server-sent events into complete events.
///
/// # Examples
///
/// ```
/// let mut events = relay::events::Splitter::default();
/// let complete = events.push(b"id: 4\ndata: a\n\nid: 5\nda");
/// assert_eq!(&complete[..], b"id: 4\ndata: a\n\n");
/// assert_eq!(events.last_id(), Some(4));
/// assert!(events.has_partial());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Creates a splitter for a stream that continues after an event.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id: last,
        }
    }

    /// Adds bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.pending) else {
            return Bytes::new();
        };
        let complete = self.pending.split_to(end).freeze();
        self.last_id = parse_last_id(&complete).or(self.last_id);
        complete
    }

    /// Returns the id of the last complete event.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Discards an incomplete event.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Returns and clears the bytes of an incomplete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    (2..=bytes.len())
        .rev()
        .find(|end| bytes[..*end].ends_with(b"\n\n") || bytes[..*end].ends_with(b"\n\r\n"))
}

fn parse_last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n').rev();
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|id| core::str::from_utf8(id).ok()?.trim().parse().ok())
}
