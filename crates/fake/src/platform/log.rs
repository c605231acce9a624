//! Append-only streams with offsets and limited retention.

use core::time::Duration;
use std::{collections::VecDeque, time::Instant};

use platform::log::{Page, Record};

#[derive(Default)]
pub(super) struct Streams {
    streams: Vec<(String, Stream)>,
}

#[derive(Default)]
struct Stream {
    first_offset: u64,
    records: VecDeque<(Instant, String)>,
}

impl Streams {
    /// Appends a record and returns its offset.
    pub(super) fn append(&mut self, now: Instant, stream: &str, body: String) -> u64 {
        let stream = self.stream(stream);
        stream.records.push_back((now, body));
        stream.end_offset() - 1
    }

    /// Reads up to `limit` records of one stream, from an offset on.
    pub(super) fn read(&mut self, stream: &str, from: u64, limit: usize) -> Page {
        let stream = self.stream(stream);
        let start = from.max(stream.first_offset);
        let skipped = usize::try_from(start - stream.first_offset).unwrap_or(usize::MAX);
        let records = stream.records.iter().skip(skipped).take(limit);
        Page {
            first: stream.first_offset,
            end: stream.end_offset(),
            records: (start..)
                .zip(records)
                .map(|(offset, (_, body))| Record {
                    offset,
                    body: body.clone(),
                })
                .collect(),
        }
    }

    /// Drops records that are too old or too many.
    pub(super) fn trim(&mut self, now: Instant, max_records: usize, max_age: Duration) {
        for (_, stream) in &mut self.streams {
            while stream.records.front().is_some_and(|(at, _)| {
                stream.records.len() > max_records || now.duration_since(*at) > max_age
            }) {
                stream.records.pop_front();
                stream.first_offset += 1;
            }
        }
    }

    fn stream(&mut self, name: &str) -> &mut Stream {
        let found = self
            .streams
            .binary_search_by(|(stream, _)| stream.as_str().cmp(name));
        let at = found.unwrap_or_else(|at| {
            self.streams
                .insert(at, (name.to_owned(), Stream::default()));
            at
        });
        &mut self.streams[at].1
    }
}

impl Stream {
    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }
}
