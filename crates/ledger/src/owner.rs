//! The owner of one partition: batches records, reads the log, and tells verdicts.
//!
//! - At most one append and one read are in flight.
//! - After an append without an answer nothing is assumed: the log is read, and records that are
//!   not found are appended again, which their nonces make harmless.
//! - A verdict about a claim comes from a projection that holds every record up to the claim.
//! - A look-up is answered from a read that began after it arrived and went to the log's end.
//! - Two owners of one partition give the same verdicts.

mod pending;

use base::Tick;
use serde::{Deserialize, Serialize};

use self::pending::{Ask, Pending, Stage};
use crate::{
    Now, configs, partition,
    projection::{Projection, Snapshot, State},
    record::{self, Record},
    slot::Slot,
};

/// Names a submission or a look-up to whoever made it.
pub type Token = u64;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A record is to be appended.
    Submit {
        /// Names the submission; not used again.
        token: Token,
        /// The record.
        record: Record,
    },
    /// The state of a slot is asked for.
    Lookup {
        /// Names the look-up; not used again.
        token: Token,
        /// The slot.
        slot: Slot,
    },
    /// The append took effect.
    Appended {
        /// Its place.
        offset: u64,
    },
    /// The append had no effect and will have none.
    AppendRefused,
    /// The append may have taken effect or may do so yet.
    AppendUnanswered,
    /// The read's answer.
    Page {
        /// The lowest offset that the log keeps.
        first: u64,
        /// The offset that the next append will get.
        end: u64,
        /// The records from the offset asked for, or from `first`, on.
        records: Vec<(u64, String)>,
    },
    /// The read gave nothing.
    ReadFailed,
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append to the log and report `Appended`, `AppendRefused` or `AppendUnanswered`, once.
    Append {
        /// The stream.
        stream: String,
        /// The body of the record.
        body: String,
    },
    /// Read from the log and report `Page` or `ReadFailed`, once.
    Read {
        /// The stream.
        stream: String,
        /// The first offset wanted.
        from: u64,
    },
    /// Tell the verdict to whoever submitted or looked up; comes exactly once for a token.
    Reply {
        /// The submission or look-up.
        token: Token,
        /// The verdict.
        verdict: Verdict,
    },
}

/// What is told about a submission or a look-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The claim holds its slot, for good.
    Won,
    /// The claim can never hold its slot; this is the slot's state.
    Lost(State),
    /// The key is too old, or too far ahead, to be decided.
    Expired,
    /// The outcome or release is in the log.
    Recorded,
    /// The state of the slot that was looked up.
    Found(State),
    /// Nothing can be told now.
    Unavailable {
        /// The record may be in the log or may get there yet.
        may_have_landed: bool,
    },
}

impl Verdict {
    /// The verdict where a submission's own message or its answer was lost.
    pub const UNANSWERED: Self = Self::Unavailable {
        may_have_landed: true,
    };

    /// Returns what a verdict says where another owner was asked before and gave no answer: that
    /// one may have taken the record, so that it may land although this one could not append it.
    ///
    /// # Examples
    ///
    /// ```
    /// use ledger::owner::Verdict;
    /// let refused = Verdict::Unavailable { may_have_landed: false };
    /// assert_eq!(refused.after_resend(), Verdict::UNANSWERED);
    /// assert_eq!(Verdict::Won.after_resend(), Verdict::Won);
    /// ```
    #[must_use]
    pub fn after_resend(self) -> Self {
        match self {
            Self::Unavailable { .. } => Self::UNANSWERED,
            verdict => verdict,
        }
    }
}

/// Counts since the owner was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Appends tried.
    pub appends: u64,
    /// Appends refused.
    pub appends_refused: u64,
    /// Appends without an answer.
    pub appends_unanswered: u64,
    /// Bytes of all appends tried.
    pub append_bytes: u64,
    /// Records in all appends tried.
    pub append_records: u64,
    /// Reads tried.
    pub reads: u64,
    /// Reads that gave nothing.
    pub reads_failed: u64,
    /// Bytes of all records read.
    pub read_bytes: u64,
    /// Submissions and look-ups told that nothing can be told.
    pub unavailable: u64,
}

/// The owner of one partition.
#[derive(Clone, Debug)]
pub struct Owner {
    config: configs::Owner,
    partition: u16,
    stream: String,
    projection: Projection,
    /// Whether the position comes from a snapshot that no page has confirmed yet.
    restored: bool,
    pending: Vec<Pending>,
    /// The records of the append in flight.
    sent: Option<Vec<Record>>,
    /// When the window of the last append is over.
    batch_after: Tick,
    append_after: Tick,
    /// Since when no append has succeeded.
    append_failing: Option<Tick>,
    /// Whether a read is in flight.
    reading: bool,
    read_after: Tick,
    /// Since when no read has succeeded.
    read_failing: Option<Tick>,
    stats: Stats,
}

impl Owner {
    /// Returns an owner that goes on from a snapshot, or from the log's start.
    pub fn new(config: configs::Owner, partition: u16, snapshot: Option<Snapshot>) -> Self {
        let restored = snapshot.is_some();
        let projection = match snapshot {
            Some(snapshot) => Projection::restore(config.projection.clone(), snapshot),
            None => Projection::new(config.projection.clone()),
        };
        Self {
            config,
            partition,
            stream: partition::stream_name(partition),
            projection,
            restored,
            pending: Vec::new(),
            sent: None,
            batch_after: Tick::default(),
            append_after: Tick::default(),
            append_failing: None,
            reading: false,
            read_after: Tick::default(),
            read_failing: None,
            stats: Stats::default(),
        }
    }

    /// Takes an event and returns what is to be done, in order.
    ///
    /// The clocks of `now` are read after the event has arrived.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.projection.expire(now.wall);
        let mut actions = Vec::new();
        match event {
            Event::Submit { token, record } => {
                self.admit(now, token, Ask::Record(record), &mut actions);
            }
            Event::Lookup { token, slot } => self.admit(now, token, Ask::Slot(slot), &mut actions),
            Event::Appended { offset } => self.appended(offset),
            Event::AppendRefused => self.refused(now),
            Event::AppendUnanswered => self.unanswered(now),
            Event::Page {
                first,
                end,
                records,
            } => self.page(now, first, end, &records),
            Event::ReadFailed => self.read_failed(now),
            Event::Tick => {}
        }
        self.settle(now, &mut actions);
        self.append(now, &mut actions);
        self.read(now, &mut actions);
        actions
    }

    /// Returns when the owner wants to be called again.
    pub fn next_wakeup(&self) -> Option<Tick> {
        let limit = self.pending.iter().map(|pending| pending.deadline);
        let append = match self.sent {
            None if self.queued().next().is_some() => Some(self.batch_after.max(self.append_after)),
            _ => None,
        };
        let read = (!self.reading && self.wants_read()).then_some(self.read_after);
        limit.chain(append).chain(read).min()
    }

    /// Returns the state that another instance may start from, once there is one.
    pub fn snapshot(&self) -> Option<Snapshot> {
        self.projection.snapshot()
    }

    /// Returns the partition's state.
    pub const fn projection(&self) -> &Projection {
        &self.projection
    }

    /// Returns the counts.
    pub const fn stats(&self) -> Stats {
        self.stats
    }

    fn admit(&mut self, now: Now, token: Token, ask: Ask, actions: &mut Vec<Action>) {
        if !self.is_admitted(now, &ask) {
            self.stats.unavailable += 1;
            let verdict = Verdict::Unavailable {
                may_have_landed: false,
            };
            actions.push(Action::Reply { token, verdict });
            return;
        }
        let deadline = now.tick + self.config.verdict_timeout;
        let stage = self.first_stage(&ask);
        self.pending.push(Pending {
            token,
            ask,
            deadline,
            stage,
            may_have_landed: false,
        });
    }

    fn is_admitted(&self, now: Now, ask: &Ask) -> bool {
        let is_idle = self.pending.is_empty();
        // In an outage one at a time is let in to find its end; the others need not wait.
        let is_open = match ask {
            Ask::Record(Record::Claim { .. }) => {
                is_idle || !self.is_down(now, self.append_failing.or(self.read_failing))
            }
            Ask::Slot(_) => is_idle || !self.is_down(now, self.read_failing),
            Ask::Record(_) => true,
        };
        // Another partition's owner would decide about a slot of its own apart from this one.
        let is_own = partition::for_slot(ask.slot()) == self.partition;
        is_open && is_own && self.pending.len() < self.config.max_pending
    }

    fn is_down(&self, now: Now, failing: Option<Tick>) -> bool {
        failing.is_some_and(|since| now.tick - since >= self.config.outage_threshold)
    }

    /// A claim of a call that is over is only looked up, which costs no append.
    fn first_stage(&self, ask: &Ask) -> Stage {
        match ask {
            Ask::Record(Record::Claim { slot, .. }) if self.projection.is_done(slot) => {
                Stage::UNREAD
            }
            Ask::Record(_) => Stage::Queued,
            Ask::Slot(_) => Stage::UNREAD,
        }
    }

    fn appended(&mut self, offset: u64) {
        let Some(sent) = self.sent.take() else {
            return;
        };
        self.append_failing = None;
        for pending in &mut self.pending {
            if pending.stage == Stage::Sent {
                pending.stage = Stage::Landed(offset);
            }
        }
        // Nobody else has appended in between, so that there is nothing to read.
        if !self.restored && self.projection.position() == Some(offset) {
            self.projection.apply_batch(offset, &sent);
        }
    }

    fn refused(&mut self, now: Now) {
        self.stats.appends_refused += 1;
        self.append_failed(now);
        for pending in &mut self.pending {
            if pending.stage == Stage::Sent {
                pending.stage = Stage::Queued;
            }
        }
    }

    fn unanswered(&mut self, now: Now) {
        self.stats.appends_unanswered += 1;
        self.append_failed(now);
        for pending in &mut self.pending {
            if pending.stage == Stage::Sent {
                pending.stage = Stage::UNREAD;
                pending.may_have_landed = true;
            }
        }
    }

    fn append_failed(&mut self, now: Now) {
        self.sent = None;
        self.append_after = now.tick + self.config.retry_interval;
        self.append_failing.get_or_insert(now.tick);
    }

    fn page(&mut self, now: Now, first: u64, end: u64, records: &[(u64, String)]) {
        self.reading = false;
        let position = self.projection.position().unwrap_or(first);
        if end < position {
            // A log that ends before what was read from it is behind; it tells nothing new.
            self.read_failed(now);
            return;
        }
        if self.restored && position < first {
            // The snapshot is too old to go on from; the log itself is not.
            self.projection = Projection::new(self.config.projection.clone());
            self.projection.expire(now.wall);
        }
        self.restored = false;
        self.read_failing = None;
        self.projection.set_log_start(first, now.wall);
        for (offset, body) in records {
            self.stats.read_bytes += body.len() as u64;
            self.projection.apply_body(*offset, body, now.wall);
        }
        for pending in &mut self.pending {
            pending.read_to(end);
        }
        if self.projection.position() == Some(position) && position < end {
            // The log keeps back what it has; asking again at once does not help.
            self.read_after = now.tick + self.config.retry_interval;
        }
    }

    fn read_failed(&mut self, now: Now) {
        self.reading = false;
        self.stats.reads_failed += 1;
        self.read_after = now.tick + self.config.retry_interval;
        self.read_failing.get_or_insert(now.tick);
        // The next read begins after all that wait.
        for pending in &mut self.pending {
            pending.read_failed();
        }
    }

    /// Replies to all that can be told their verdict.
    fn settle(&mut self, now: Now, actions: &mut Vec<Action>) {
        let mut pending = core::mem::take(&mut self.pending);
        pending.retain_mut(|pending| match pending.settle(&self.projection, now) {
            Some(verdict) => {
                if matches!(verdict, Verdict::Unavailable { .. }) {
                    self.stats.unavailable += 1;
                }
                let token = pending.token;
                actions.push(Action::Reply { token, verdict });
                false
            }
            None => true,
        });
        self.pending = pending;
    }

    fn append(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.sent.is_some() || now.tick < self.append_after || !self.is_batch_due(now) {
            return;
        }
        let batch = self.take_batch();
        let body = record::encode(&batch);
        self.stats.appends += 1;
        self.stats.append_bytes += body.len() as u64;
        self.stats.append_records += batch.len() as u64;
        self.sent = Some(batch);
        self.batch_after = now.tick + self.config.batch_window;
        let stream = self.stream.clone();
        actions.push(Action::Append { stream, body });
    }

    /// The first record after a pause goes at once; those behind it gather for a window.
    fn is_batch_due(&self, now: Now) -> bool {
        let queued = self.queued().count();
        queued >= self.config.max_batch_records || (queued > 0 && now.tick >= self.batch_after)
    }

    fn queued(&self) -> impl Iterator<Item = &Pending> {
        self.pending
            .iter()
            .filter(|pending| pending.stage == Stage::Queued)
    }

    fn take_batch(&mut self) -> Vec<Record> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        for pending in &mut self.pending {
            let Ask::Record(record) = &pending.ask else {
                continue;
            };
            if pending.stage != Stage::Queued {
                continue;
            }
            bytes += pending::size(record);
            let is_full = batch.len() == self.config.max_batch_records;
            if is_full || (bytes > self.config.max_batch_bytes && !batch.is_empty()) {
                break;
            }
            batch.push(record.clone());
            pending.stage = Stage::Sent;
        }
        batch
    }

    fn read(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.reading || now.tick < self.read_after || !self.wants_read() {
            return;
        }
        self.reading = true;
        self.stats.reads += 1;
        for pending in &mut self.pending {
            pending.read_begun();
        }
        let stream = self.stream.clone();
        let from = self.projection.position().unwrap_or(0);
        actions.push(Action::Read { stream, from });
    }

    fn wants_read(&self) -> bool {
        let position = self.projection.position();
        position.is_none()
            || self.restored
            || self
                .pending
                .iter()
                .any(|pending| pending.wants_read(position.unwrap_or(0)))
    }
}
