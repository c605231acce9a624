//! Where the events of a stream end.

use bytes::{Bytes, BytesMut};

/// Splits a stream of server-sent events into whole ones.
///
/// # Examples
///
/// ```
/// let mut events = relay::events::Splitter::default();
/// let whole = events.push(b"id: 4\ndata: a\n\nid: 5\nda");
/// assert_eq!(&whole[..], b"id: 4\ndata: a\n\n");
/// assert_eq!(events.last_id(), Some(4));
/// assert!(events.has_partial());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// Begins after an event.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last,
        }
    }

    /// Takes bytes and returns the events that are whole by now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let Some(end) = end_of_last(&self.pending) else {
            return Bytes::new();
        };
        let whole = self.pending.split_to(end).freeze();
        self.last = last_id(&whole).or(self.last);
        whole
    }

    /// Returns the id of the last whole event.
    pub const fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Tells whether an event has begun and not ended.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops an event that was cut off.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Returns what was not followed by the end of an event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

fn end_of_last(bytes: &[u8]) -> Option<usize> {
    (2..=bytes.len())
        .rev()
        .find(|end| bytes[..*end].ends_with(b"\n\n") || bytes[..*end].ends_with(b"\n\r\n"))
}

fn last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n').rev();
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|id| core::str::from_utf8(id).ok()?.trim().parse().ok())
}
