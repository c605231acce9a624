//! Splits streams of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Splits a stream of server-sent events into complete events.
///
/// Blank lines and comments are passed on with the next event, so that bytes which never become one are not. Lines end with
/// LF or CRLF.
///
/// # Examples
///
/// ```
/// let mut events = relay::events::Splitter::default();
/// let complete = events.push(b"id: 4\ndata: a\n\nid: 5\nda");
/// assert_eq!(&complete[..], b"id: 4\ndata: a\n\n");
/// assert_eq!(events.last_id(), Some(4));
/// assert!(events.is_inside_event());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    /// The start of the first line of `pending` that has no end yet.
    line_start: usize,
    /// The number of bytes of `pending` that were searched for the ends of lines.
    searched: usize,
    /// Whether the lines before `line_start` include a field of an event.
    has_field: bool,
    /// Whether they include any line of an event since the last blank line.
    has_line: bool,
    last_id: Option<u64>,
    /// The event after which the server goes on with the stream.
    resumed_after: Option<u64>,
    is_invalid: bool,
}

impl Splitter {
    /// Creates a splitter for a stream that continues after an event.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self {
            last_id: last,
            resumed_after: last,
            ..Self::default()
        }
    }

    /// Adds bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        if self.is_invalid {
            return Bytes::new();
        }
        self.pending.extend_from_slice(bytes);
        let Some(end) = self.find_event_end() else {
            return Bytes::new();
        };
        self.line_start -= end;
        self.searched -= end;
        let complete = self.pending.split_to(end).freeze();
        self.last_id = parse_last_id(&complete).or(self.last_id);
        complete
    }

    /// Returns the id of the last complete event.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the end of the last complete event, and searches only bytes that were not searched before.
    fn find_event_end(&mut self) -> Option<usize> {
        let mut event_end = None;
        while let Some(length) = self.pending[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.searched + length;
            let line = &self.pending[self.line_start..line_end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            self.line_start = line_end + 1;
            self.searched = self.line_start;
            if !is_field(line) || self.repeats_event(line) {
                self.is_invalid = true;
                return event_end;
            }
            if !line.is_empty() {
                self.has_field |= is_event_field(line);
                self.has_line |= !line.starts_with(b":");
                continue;
            }
            self.has_line = false;
            if core::mem::take(&mut self.has_field) {
                event_end = Some(self.line_start);
            }
        }
        self.searched = self.pending.len();
        event_end
    }

    /// Returns the number of buffered bytes that are no complete event.
    pub fn partial_length(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether the bytes so far end inside an event or a line.
    pub fn is_inside_event(&self) -> bool {
        self.has_line || self.line_start < self.pending.len()
    }

    /// Returns whether the bytes after the last complete event are no part of the stream: an event that came before, of a
    /// server that did not go on after it, or a line without a field, as in the head of an answer or in JSON.
    pub const fn is_invalid(&self) -> bool {
        self.is_invalid
    }

    fn repeats_event(&self, line: &[u8]) -> bool {
        parse_id(line).is_some_and(|id| self.resumed_after.is_some_and(|last| id <= last))
    }

    /// Discards an incomplete event of a server that is left. The next one goes on after the last complete event.
    pub fn discard_partial(&mut self) {
        self.take_remainder();
        self.resumed_after = self.last_id;
        self.is_invalid = false;
    }

    /// Returns and clears the bytes of an incomplete event.
    pub fn take_remainder(&mut self) -> Bytes {
        (self.line_start, self.searched) = (0, 0);
        (self.has_field, self.has_line) = (false, false);
        self.pending.split().freeze()
    }
}

/// Returns whether a line is a field that every event has.
fn is_event_field(line: &[u8]) -> bool {
    line.starts_with(b"id:") || line.starts_with(b"data:")
}

/// Returns whether a line may stand in a stream of events: a blank line, a comment or a field, whose name is one word.
fn is_field(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    let is_of_name =
        |byte: &u8| byte.is_ascii_alphanumeric() || !byte.is_ascii() || b"-_.".contains(byte);
    name.trim_ascii().iter().all(is_of_name)
}

fn parse_last_id(bytes: &[u8]) -> Option<u64> {
    bytes.split(|byte| *byte == b'\n').rev().find_map(parse_id)
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let id = line.strip_prefix(b"id:")?;
    core::str::from_utf8(id).ok()?.trim().parse().ok()
}
