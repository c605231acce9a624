//! The owner of one partition: batches records, reads the log, and replies with verdicts.
//!
//! - At most one append and one read are in flight.
//! - After an append without an answer the log is read, and records that are not found are
//!   appended again; their nonces make duplicates harmless.
//! - A verdict about a claim comes from a projection that holds every record up to the claim.
//! - A look-up is answered from a read that began after it arrived and reached the log's end.
//! - Two owners of one partition give the same verdicts.

mod pending;

use base::Tick;
use serde::{Deserialize, Serialize};

use self::pending::{Pending, Request, Stage};
use crate::{
    Now, configs, partition,
    projection::{Projection, Snapshot, State},
    record::{self, Record},
    slot::Slot,
};

/// Identifies a submission or a look-up to the driver.
pub type Token = u64;

/// An input to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A record is to be appended.
    Submit {
        /// Identifies the submission; never reused.
        token: Token,
        /// The record.
        record: Record,
    },
    /// The state of a slot is requested.
    Lookup {
        /// Identifies the look-up; never reused.
        token: Token,
        /// The slot.
        slot: Slot,
    },
    /// The append succeeded.
    Appended {
        /// The offset of the appended log record.
        offset: u64,
    },
    /// The append had no effect and will have none.
    AppendRefused,
    /// The append may have taken effect, or may still do so.
    AppendUnanswered,
    /// The read returned a page.
    Page {
        /// The lowest offset that the log keeps.
        first: u64,
        /// The offset of the next append.
        end: u64,
        /// The records from the requested offset, or from `first` if that is higher.
        records: Vec<(u64, String)>,
    },
    /// The read failed.
    ReadFailed,
    /// Time passed.
    Tick,
}

/// An action for the driver of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append to the log and report `Appended`, `AppendRefused` or `AppendUnanswered` once.
    Append {
        /// The stream.
        stream: String,
        /// The body of the record.
        body: String,
    },
    /// Read from the log and report `Page` or `ReadFailed` once.
    Read {
        /// The stream.
        stream: String,
        /// The first offset to read.
        from: u64,
    },
    /// Send the verdict on a submission or look-up; emitted exactly once per token.
    Reply {
        /// The submission or look-up.
        token: Token,
        /// The verdict.
        verdict: Verdict,
    },
}

/// The reply to a submission or a look-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The claim holds its slot permanently.
    Won,
    /// The claim can never hold its slot; this is the slot's state.
    Lost(State),
    /// The key is too old, or too far in the future, to be decided.
    Expired,
    /// The outcome or release is in the log.
    Recorded,
    /// The state of the slot that was looked up.
    Found(State),
    /// The outcome is not known now.
    Unavailable {
        /// The record may be in the log or may still be appended.
        may_have_landed: bool,
    },
}

impl Verdict {
    /// The verdict on a submission whose message or answer was lost.
    pub const UNANSWERED: Self = Self::Unavailable {
        may_have_landed: true,
    };

    /// Adjusts a verdict for a record that was sent to another owner before without an answer:
    /// that owner may still append the record, even if this one could not.
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

/// Counts since the owner was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Appends attempted.
    pub appends: u64,
    /// Appends refused.
    pub appends_refused: u64,
    /// Appends without an answer.
    pub appends_unanswered: u64,
    /// Bytes of all attempted appends.
    pub append_bytes: u64,
    /// Records in all attempted appends.
    pub append_records: u64,
    /// Reads attempted.
    pub reads: u64,
    /// Reads failed.
    pub reads_failed: u64,
    /// Bytes of all records read.
    pub read_bytes: u64,
    /// Submissions and look-ups answered with [`Verdict::Unavailable`].
    pub unavailable: u64,
}

/// The owner of one partition.
#[derive(Clone, Debug)]
pub struct Owner {
    config: configs::Owner,
    partition: u16,
    stream: String,
    projection: Projection,
    /// Whether the projection comes from a snapshot that no page has confirmed yet.
    is_unconfirmed: bool,
    /// Submissions and look-ups without a verdict, in the order of arrival.
    pending: Vec<Pending>,
    /// The records of the append in flight, if any.
    batch_in_flight: Option<Vec<Record>>,
    /// When the batch window that the last append opened ends.
    batch_window_end: Tick,
    /// When the next append may start after a failed one.
    append_after: Tick,
    /// When the first append since the last success failed.
    append_failing_since: Option<Tick>,
    /// Whether a read is in flight.
    is_reading: bool,
    /// When the next read may start after a failed one.
    read_after: Tick,
    /// When the first read since the last success failed.
    read_failing_since: Option<Tick>,
    stats: Stats,
}

impl Owner {
    /// Returns an owner that continues from a snapshot, or starts at the beginning of the log.
    pub fn new(config: configs::Owner, partition: u16, snapshot: Option<Snapshot>) -> Self {
        let is_unconfirmed = snapshot.is_some();
        let projection = match snapshot {
            Some(snapshot) => Projection::restore(config.projection.clone(), snapshot),
            None => Projection::new(config.projection.clone()),
        };
        Self {
            config,
            partition,
            stream: partition::stream_name(partition),
            projection,
            is_unconfirmed,
            pending: Vec::new(),
            batch_in_flight: None,
            batch_window_end: Tick::default(),
            append_after: Tick::default(),
            append_failing_since: None,
            is_reading: false,
            read_after: Tick::default(),
            read_failing_since: None,
            stats: Stats::default(),
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
    ///
    /// The driver must read the clocks of `now` after the event has arrived.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.projection.expire(now.wall);
        let mut actions = Vec::new();
        match event {
            Event::Submit { token, record } => {
                self.admit(now, token, Request::Record(record), &mut actions);
            }
            Event::Lookup { token, slot } => {
                self.admit(now, token, Request::Slot(slot), &mut actions)
            }
            Event::Appended { offset } => self.handle_appended(offset),
            Event::AppendRefused => self.handle_append_refused(now),
            Event::AppendUnanswered => self.handle_append_unanswered(now),
            Event::Page {
                first,
                end,
                records,
            } => self.handle_page(now, first, end, &records),
            Event::ReadFailed => self.handle_read_failed(now),
            Event::Tick => {}
        }
        self.reply_settled(now, &mut actions);
        self.start_append(now, &mut actions);
        self.start_read(now, &mut actions);
        actions
    }

    /// Returns the time of the next [`Event::Tick`] that the owner needs.
    pub fn next_wakeup(&self) -> Option<Tick> {
        let timeouts = self.pending.iter().map(|pending| pending.deadline);
        let append = match self.batch_in_flight {
            None if self.queued().next().is_some() => {
                Some(self.batch_window_end.max(self.append_after))
            }
            _ => None,
        };
        let read = (!self.is_reading && self.wants_read()).then_some(self.read_after);
        timeouts.chain(append).chain(read).min()
    }

    /// Returns a snapshot that another instance may start from, or `None` before the first page.
    pub fn snapshot(&self) -> Option<Snapshot> {
        self.projection.snapshot()
    }

    /// Returns the partition's projection.
    pub const fn projection(&self) -> &Projection {
        &self.projection
    }

    /// Returns the counts.
    pub const fn stats(&self) -> Stats {
        self.stats
    }

    /// Adds a request to the pending ones, or refuses it immediately.
    fn admit(&mut self, now: Now, token: Token, request: Request, actions: &mut Vec<Action>) {
        if !self.is_admitted(now, &request) {
            self.stats.unavailable += 1;
            let verdict = Verdict::Unavailable {
                may_have_landed: false,
            };
            actions.push(Action::Reply { token, verdict });
            return;
        }
        let deadline = now.tick + self.config.verdict_timeout;
        let stage = self.initial_stage(&request);
        self.pending.push(Pending {
            token,
            request,
            deadline,
            stage,
            may_have_landed: false,
        });
    }

    fn is_admitted(&self, now: Now, request: &Request) -> bool {
        let is_idle = self.pending.is_empty();
        // In an outage one request at a time is admitted as a probe; others are refused at once.
        let is_accepting = match request {
            Request::Record(Record::Claim { .. }) => {
                is_idle || !self.is_down(now, self.append_failing_since.or(self.read_failing_since))
            }
            Request::Slot(_) => is_idle || !self.is_down(now, self.read_failing_since),
            Request::Record(_) => true,
        };
        // The owner of another partition would decide about its slots independently of this one.
        let is_own_partition = partition::for_slot(request.slot()) == self.partition;
        is_accepting && is_own_partition && self.pending.len() < self.config.max_pending
    }

    /// Returns whether the log has failed for so long that it counts as down.
    fn is_down(&self, now: Now, failing_since: Option<Tick>) -> bool {
        failing_since.is_some_and(|since| now.tick - since >= self.config.outage_threshold)
    }

    /// Returns the first stage of a request. A claim of a call that has an outcome is only looked
    /// up, which needs no append.
    fn initial_stage(&self, request: &Request) -> Stage {
        match request {
            Request::Record(Record::Claim { slot, .. }) if self.projection.is_done(slot) => {
                Stage::UNREAD
            }
            Request::Record(_) => Stage::Queued,
            Request::Slot(_) => Stage::UNREAD,
        }
    }

    fn handle_appended(&mut self, offset: u64) {
        let Some(sent) = self.batch_in_flight.take() else {
            return;
        };
        self.append_failing_since = None;
        for pending in &mut self.pending {
            if pending.stage == Stage::Sent {
                pending.stage = Stage::Landed(offset);
            }
        }
        // No other owner has appended in between, so there is nothing to read.
        if !self.is_unconfirmed && self.projection.position() == Some(offset) {
            self.projection.apply_batch(offset, &sent);
        }
    }

    fn handle_append_refused(&mut self, now: Now) {
        self.stats.appends_refused += 1;
        self.delay_append(now);
        for pending in &mut self.pending {
            if pending.stage == Stage::Sent {
                pending.stage = Stage::Queued;
            }
        }
    }

    fn handle_append_unanswered(&mut self, now: Now) {
        self.stats.appends_unanswered += 1;
        self.delay_append(now);
        for pending in &mut self.pending {
            if pending.stage == Stage::Sent {
                pending.stage = Stage::UNREAD;
                pending.may_have_landed = true;
            }
        }
    }

    /// Records that the append in flight failed, and delays the next one.
    fn delay_append(&mut self, now: Now) {
        self.batch_in_flight = None;
        self.append_after = now.tick + self.config.retry_interval;
        self.append_failing_since.get_or_insert(now.tick);
    }

    fn handle_page(&mut self, now: Now, first: u64, end: u64, records: &[(u64, String)]) {
        self.is_reading = false;
        let position = self.projection.position().unwrap_or(first);
        if end < position {
            // A log that ends before the position already read lags behind, so its page counts as a failed
            // read.
            self.handle_read_failed(now);
            return;
        }
        if self.is_unconfirmed && position < first {
            // The log no longer reaches back to the snapshot, so start from the log alone.
            self.projection = Projection::new(self.config.projection.clone());
            self.projection.expire(now.wall);
        }
        self.is_unconfirmed = false;
        self.read_failing_since = None;
        self.projection.set_log_start(first, now.wall);
        for (offset, body) in records {
            self.stats.read_bytes += body.len() as u64;
            self.projection.apply_body(*offset, body, now.wall);
        }
        for pending in &mut self.pending {
            pending.record_log_end(end);
        }
        if self.projection.position() == Some(position) && position < end {
            // The log returned none of its remaining records; an immediate retry would not help.
            self.read_after = now.tick + self.config.retry_interval;
        }
    }

    fn handle_read_failed(&mut self, now: Now) {
        self.is_reading = false;
        self.stats.reads_failed += 1;
        self.read_after = now.tick + self.config.retry_interval;
        self.read_failing_since.get_or_insert(now.tick);
        // Any pending request arrived before the next read begins.
        for pending in &mut self.pending {
            pending.reset_read();
        }
    }

    /// Replies to all pending requests that have a verdict.
    fn reply_settled(&mut self, now: Now, actions: &mut Vec<Action>) {
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

    fn start_append(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.batch_in_flight.is_some() || now.tick < self.append_after || !self.is_batch_due(now)
        {
            return;
        }
        let batch = self.take_batch();
        let body = record::encode(&batch);
        self.stats.appends += 1;
        self.stats.append_bytes += body.len() as u64;
        self.stats.append_records += batch.len() as u64;
        self.batch_in_flight = Some(batch);
        self.batch_window_end = now.tick + self.config.batch_window;
        let stream = self.stream.clone();
        actions.push(Action::Append { stream, body });
    }

    /// Returns whether to append now. The first record after an idle period is appended at once;
    /// later ones are collected for a batch window.
    fn is_batch_due(&self, now: Now) -> bool {
        let queued = self.queued().count();
        queued >= self.config.max_batch_records || (queued > 0 && now.tick >= self.batch_window_end)
    }

    fn queued(&self) -> impl Iterator<Item = &Pending> {
        self.pending
            .iter()
            .filter(|pending| pending.stage == Stage::Queued)
    }

    /// Marks the queued records that fit into one batch as sent and returns them.
    fn take_batch(&mut self) -> Vec<Record> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        for pending in &mut self.pending {
            let Request::Record(record) = &pending.request else {
                continue;
            };
            if pending.stage != Stage::Queued {
                continue;
            }
            bytes += pending::max_record_bytes(record);
            let is_full = batch.len() == self.config.max_batch_records;
            if is_full || (bytes > self.config.max_batch_bytes && !batch.is_empty()) {
                break;
            }
            batch.push(record.clone());
            pending.stage = Stage::Sent;
        }
        batch
    }

    fn start_read(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.is_reading || now.tick < self.read_after || !self.wants_read() {
            return;
        }
        self.is_reading = true;
        self.stats.reads += 1;
        for pending in &mut self.pending {
            pending.mark_read_started();
        }
        let stream = self.stream.clone();
        let from = self.projection.position().unwrap_or(0);
        actions.push(Action::Read { stream, from });
    }

    /// Returns whether the projection or a pending request needs a read.
    fn wants_read(&self) -> bool {
        let position = self.projection.position();
        position.is_none()
            || self.is_unconfirmed
            || self
                .pending
                .iter()
                .any(|pending| pending.wants_read(position.unwrap_or(0)))
    }
}
