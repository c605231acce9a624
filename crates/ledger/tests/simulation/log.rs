//! A simulated platform log, with appends that take effect late or twice and records that expire.

use base::Stamp;
use ledger::{configs, owner::Event, projection::Projection};

/// The largest number of records in a page, small so that pages break everywhere.
const PAGE_RECORDS: usize = 3;

#[derive(Debug, Default)]
pub(super) struct Log {
    first: u64,
    /// The time of each record's append, and its body.
    records: Vec<(u64, String)>,
    /// Unanswered appends that may still take effect.
    late: Vec<String>,
}

impl Log {
    pub(super) fn append(&mut self, body: String, time: u64) -> u64 {
        self.records.push((time, body));
        self.end() - 1
    }

    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    pub(super) fn delay(&mut self, body: String) {
        self.late.push(body);
    }

    pub(super) fn append_late(&mut self, pick: usize, time: u64) -> bool {
        if self.late.is_empty() {
            return false;
        }
        let body = self.late.swap_remove(pick % self.late.len());
        self.append(body, time);
        true
    }

    /// Drops records older than the retention.
    pub(super) fn drop_expired(&mut self, time: u64, config: &configs::Projection) {
        let retention = u64::try_from(config.retention.as_millis()).unwrap();
        let oldest = time.saturating_sub(retention);
        let gone = self.records.partition_point(|(landed, _)| *landed < oldest);
        self.records.drain(..gone);
        self.first += gone as u64;
    }

    pub(super) fn page(&self, from: u64) -> Event {
        let from = from.max(self.first);
        let skip = usize::try_from(from - self.first).unwrap();
        let records = self
            .records
            .iter()
            .skip(skip)
            .take(PAGE_RECORDS)
            .enumerate();
        Event::Page {
            first: self.first,
            end: self.end(),
            records: records
                .map(|(at, (_, body))| (from + at as u64, body.clone()))
                .collect(),
        }
    }

    pub(super) fn replay(&self, projection: &mut Projection, now: Stamp) {
        projection.expire(now);
        projection.set_log_start(self.first, now);
        for (at, (_, body)) in self.records.iter().enumerate() {
            projection.apply_body(self.first + at as u64, body, now);
        }
    }
}
