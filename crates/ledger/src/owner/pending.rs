//! Submissions and look-ups that wait for a verdict.

use base::Tick;

use super::{Token, Verdict};
use crate::{
    Now,
    projection::{Projection, Status},
    record::Record,
    slot::Slot,
};

/// The upper bound of an encoded record's size without its variable parts, in bytes.
const MAX_FIXED_RECORD_BYTES: usize = 256;

/// A submission or a look-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Request {
    /// Append a record.
    Record(Record),
    /// Look up the state of a slot.
    Slot(Slot),
}

impl Request {
    /// Returns the slot of the request.
    pub(super) const fn slot(&self) -> &Slot {
        match self {
            Self::Record(record) => record.slot(),
            Self::Slot(slot) => slot,
        }
    }
}

/// The progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for the next batch.
    Queued,
    /// It is part of the append in flight.
    Sent,
    /// It is in the log, at an offset.
    Landed(u64),
    /// It needs a read that begins after this stage and reaches the end of the log.
    Unread {
        /// Whether such a read has begun.
        begun: bool,
        /// The end of the log according to that read.
        end: Option<u64>,
    },
}

impl Stage {
    /// The stage before the read that the request needs has begun.
    pub(super) const UNREAD: Self = Self::Unread {
        begun: false,
        end: None,
    };
}

/// A request without a verdict.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) token: Token,
    pub(super) request: Request,
    /// When the request is answered as unavailable.
    pub(super) deadline: Tick,
    pub(super) stage: Stage,
    /// Whether an append with the record got no answer and may have taken effect.
    pub(super) may_have_landed: bool,
}

impl Pending {
    /// Records that a read has begun.
    pub(super) fn mark_read_started(&mut self) {
        if let Stage::Unread { begun, .. } = &mut self.stage {
            *begun = true;
        }
    }

    /// Records the end of the log according to the completed read.
    pub(super) fn record_log_end(&mut self, log_end: u64) {
        if let Stage::Unread { begun: true, end } = &mut self.stage {
            end.get_or_insert(log_end);
        }
    }

    /// Records that the read in flight failed.
    pub(super) fn reset_read(&mut self) {
        if let Stage::Unread { begun, end: None } = &mut self.stage {
            *begun = false;
        }
    }

    /// Returns whether the request needs another read from a position.
    pub(super) fn wants_read(&self, position: u64) -> bool {
        match self.stage {
            Stage::Queued | Stage::Sent => false,
            Stage::Landed(offset) => position <= offset,
            Stage::Unread { end, .. } => end.is_none_or(|end| position < end),
        }
    }

    /// Returns the verdict, or `None` if the request has to wait; queues a record that was not found in the log.
    pub(super) fn settle(&mut self, projection: &Projection, now: Now) -> Option<Verdict> {
        let is_read = self.is_read(projection);
        let verdict = match &self.request {
            Request::Slot(slot) if projection.is_refused(slot, now.wall) => Some(Verdict::Expired),
            Request::Slot(slot) if projection.has_gap(slot) => Some(self.unavailable()),
            Request::Slot(slot) => is_read.then(|| Verdict::Found(projection.state(slot))),
            Request::Record(record) => self.record_verdict(projection, record, now, is_read),
        };
        if verdict.is_none() && is_read && matches!(self.request, Request::Record(_)) {
            // The record is not in the log, so append it, or append it again.
            self.stage = Stage::Queued;
        }
        verdict.or_else(|| self.timeout_verdict(now))
    }

    /// Returns whether the projection has reached the end of the log that the request's read found.
    fn is_read(&self, projection: &Projection) -> bool {
        match (self.stage, projection.position()) {
            (Stage::Unread { end: Some(end), .. }, Some(position)) => position >= end,
            _ => false,
        }
    }

    /// Returns the verdict on a submitted record.
    fn record_verdict(
        &self,
        projection: &Projection,
        record: &Record,
        now: Now,
        is_read: bool,
    ) -> Option<Verdict> {
        let slot = record.slot();
        if projection.is_refused(slot, now.wall) {
            return Some(Verdict::Expired);
        }
        let Record::Claim { nonce, .. } = record else {
            return self.closing_verdict(projection, record);
        };
        if projection.has_gap(slot) {
            return Some(self.unavailable());
        }
        match projection.status(slot, *nonce) {
            Status::Won => Some(Verdict::Won),
            Status::Void => Some(Verdict::Lost(projection.state(slot))),
            // Only a call with an outcome keeps its slot permanently. Another holder may release
            // it, and a copy of this claim still in flight would then win without a claimant.
            Status::Unseen if is_read && projection.is_done(slot) => {
                Some(Verdict::Lost(projection.state(slot)))
            }
            Status::Unseen => None,
        }
    }

    /// Returns the verdict on an outcome or release.
    fn closing_verdict(&self, projection: &Projection, record: &Record) -> Option<Verdict> {
        let is_landed = matches!(self.stage, Stage::Landed(_));
        (is_landed || is_recorded(projection, record)).then_some(Verdict::Recorded)
    }

    fn timeout_verdict(&self, now: Now) -> Option<Verdict> {
        (now.tick >= self.deadline).then(|| self.unavailable())
    }

    fn unavailable(&self) -> Verdict {
        let is_sent = matches!(self.stage, Stage::Sent | Stage::Landed(_));
        Verdict::Unavailable {
            may_have_landed: self.may_have_landed || is_sent,
        }
    }
}

/// Returns whether the projection already holds what an outcome or release states about its attempt.
fn is_recorded(projection: &Projection, record: &Record) -> bool {
    let status = projection.status(record.slot(), record.nonce());
    match record {
        Record::Claim { .. } => false,
        Record::Done { slot, .. } => status == Status::Won && projection.is_done(slot),
        Record::Released { .. } => status == Status::Void,
    }
}

/// Returns an upper bound of the size of an encoded record, in bytes.
pub(super) fn max_record_bytes(record: &Record) -> usize {
    match record {
        Record::Claim { holder, .. } => MAX_FIXED_RECORD_BYTES + holder.name.as_str().len(),
        // JSON escapes a character with up to six bytes.
        Record::Done { answer, .. } => MAX_FIXED_RECORD_BYTES + 6 * answer.body.len(),
        Record::Released { .. } => MAX_FIXED_RECORD_BYTES,
    }
}
