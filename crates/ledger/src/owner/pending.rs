//! One submission or look-up on its way to a verdict.

use base::Tick;

use super::{Token, Verdict};
use crate::{
    Now,
    projection::{Projection, Status},
    record::Record,
    slot::Slot,
};

/// The length of a record's text without its variable parts, in bytes.
const RECORD_BYTES: usize = 256;

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Ask {
    /// To append a record.
    Record(Record),
    /// To look a slot up.
    Slot(Slot),
}

impl Ask {
    /// Returns the slot that is asked about.
    pub(super) const fn slot(&self) -> &Slot {
        match self {
            Self::Record(record) => record.slot(),
            Self::Slot(slot) => slot,
        }
    }
}

/// How far it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for the next batch.
    Queued,
    /// In the append in flight.
    Sent,
    /// In the log, at an offset.
    Landed(u64),
    /// Needs a read that begins from now on and goes to the log's end.
    Unread {
        /// Such a read has begun.
        begun: bool,
        /// Where the log ended by that read.
        end: Option<u64>,
    },
}

impl Stage {
    pub(super) const UNREAD: Self = Self::Unread {
        begun: false,
        end: None,
    };
}

/// One submission or look-up.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) token: Token,
    pub(super) ask: Ask,
    pub(super) deadline: Tick,
    pub(super) stage: Stage,
    pub(super) may_have_landed: bool,
}

impl Pending {
    /// Notes that a read has begun.
    pub(super) fn read_begun(&mut self) {
        if let Stage::Unread { begun, .. } = &mut self.stage {
            *begun = true;
        }
    }

    /// Notes where the log ended by the read that is over.
    pub(super) fn read_to(&mut self, log_end: u64) {
        if let Stage::Unread { begun: true, end } = &mut self.stage {
            end.get_or_insert(log_end);
        }
    }

    /// Notes that the read in flight gave nothing.
    pub(super) fn read_failed(&mut self) {
        if let Stage::Unread { begun, end: None } = &mut self.stage {
            *begun = false;
        }
    }

    /// Tells whether the log is to be read on for this.
    pub(super) fn wants_read(&self, position: u64) -> bool {
        match self.stage {
            Stage::Queued | Stage::Sent => false,
            Stage::Landed(offset) => position <= offset,
            Stage::Unread { end, .. } => end.is_none_or(|end| position < end),
        }
    }

    /// Returns the verdict once there is one.
    pub(super) fn settle(&mut self, projection: &Projection, now: Now) -> Option<Verdict> {
        let is_read = self.is_read(projection);
        let verdict = match &self.ask {
            Ask::Slot(slot) if projection.is_refused(slot, now.wall) => Some(Verdict::Expired),
            Ask::Slot(slot) if projection.has_gap(slot) => Some(self.unavailable()),
            Ask::Slot(slot) => is_read.then(|| Verdict::Found(projection.state(slot))),
            Ask::Record(record) => self.recorded(projection, record, now, is_read),
        };
        if verdict.is_none() && is_read && matches!(self.ask, Ask::Record(_)) {
            // It was not found, so it is appended, or appended again.
            self.stage = Stage::Queued;
        }
        verdict.or_else(|| self.late(now))
    }

    fn is_read(&self, projection: &Projection) -> bool {
        match (self.stage, projection.position()) {
            (Stage::Unread { end: Some(end), .. }, Some(position)) => position >= end,
            _ => false,
        }
    }

    fn recorded(
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
            return self.closed(projection, record);
        };
        if projection.has_gap(slot) {
            return Some(self.unavailable());
        }
        match projection.status(slot, *nonce) {
            Status::Won => Some(Verdict::Won),
            Status::Void => Some(Verdict::Lost(projection.state(slot))),
            // Only a call that is over keeps its slot for good; another holder may release it, and
            // a copy of this claim that is still on its way would then win for nobody.
            Status::Unseen if is_read && projection.is_done(slot) => {
                Some(Verdict::Lost(projection.state(slot)))
            }
            Status::Unseen => None,
        }
    }

    fn closed(&self, projection: &Projection, record: &Record) -> Option<Verdict> {
        let is_landed = matches!(self.stage, Stage::Landed(_));
        (is_landed || is_recorded(projection, record)).then_some(Verdict::Recorded)
    }

    fn late(&self, now: Now) -> Option<Verdict> {
        (now.tick >= self.deadline).then(|| self.unavailable())
    }

    fn unavailable(&self) -> Verdict {
        let is_sent = matches!(self.stage, Stage::Sent | Stage::Landed(_));
        Verdict::Unavailable {
            may_have_landed: self.may_have_landed || is_sent,
        }
    }
}

fn is_recorded(projection: &Projection, record: &Record) -> bool {
    let standing = projection.status(record.slot(), record.nonce());
    match record {
        Record::Claim { .. } => false,
        Record::Done { slot, .. } => standing == Status::Won && projection.is_done(slot),
        Record::Released { .. } => standing == Status::Void,
    }
}

/// Bounds the length of a record's text, in bytes.
pub(super) fn size(record: &Record) -> usize {
    match record {
        Record::Claim { holder, .. } => RECORD_BYTES + holder.name.as_str().len(),
        // A character may take six bytes once escaped.
        Record::Done { answer, .. } => RECORD_BYTES + 6 * answer.body.len(),
        Record::Released { .. } => RECORD_BYTES,
    }
}
