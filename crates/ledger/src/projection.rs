//! The state of one partition, computed from its records in log order.
//!
//! - A claim wins if its slot is free at the claim's place in the log.
//! - A claim that found its slot taken is permanently void, and so is a released one, even if the
//!   release precedes the claim in the log.
//! - A nonce counts once, however often its claim was appended.
//! - An outcome counts only from the nonce that won.
//!
//! Two instances that applied the same records agree on every slot that neither has dropped.

use std::collections::VecDeque;

use base::{Digest, Incarnation, Stamp};
use serde::{Deserialize, Serialize};

use crate::{
    configs,
    record::{self, Answer, Record},
    slot::{Nonce, Slot},
};

/// The attempt that holds a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Winner {
    nonce: Nonce,
    holder: Incarnation,
    /// The digest of the caller's request.
    body: Digest,
    /// The outcome, once the holder has recorded one.
    answer: Option<Answer>,
}

/// A slot and the attempts to claim it that were read from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    slot: Slot,
    winner: Option<Box<Winner>>,
    /// Nonces that can never win this slot, sorted.
    void: Vec<Nonce>,
}

/// The state of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No attempt holds it, and no call was made.
    Free,
    /// An attempt holds it and has recorded no outcome; the call may have been made.
    InProgress {
        /// The only instance that may make the call.
        holder: Incarnation,
        /// The digest of the caller's request.
        body: Digest,
    },
    /// The call has an outcome, which never changes.
    Done {
        /// The outcome that the holder recorded.
        answer: Answer,
        /// The digest of the caller's request.
        body: Digest,
    },
}

/// The status of one attempt to claim a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// No record of the attempt was applied.
    Unseen,
    /// The attempt holds the slot.
    Won,
    /// The attempt can never hold the slot.
    Void,
}

/// The state of one partition.
#[derive(Clone, Debug)]
pub struct Projection {
    config: configs::Projection,
    /// The offset of the next record to apply; `None` before the first page.
    position: Option<u64>,
    /// Slots issued before this were dropped and are refused.
    floor: Stamp,
    /// Missed records may be about slots issued up to this time.
    gap_end: Option<Stamp>,
    /// Sorted by slot: the oldest are dropped from the front, and most new ones are added at the
    /// back.
    entries: VecDeque<Entry>,
}

/// The state of a projection, from which another instance may start and read the log only from
/// `position`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    position: u64,
    floor: Stamp,
    /// The projection's `gap_end`.
    blind: Option<Stamp>,
    entries: Vec<Entry>,
}

impl Snapshot {
    /// Returns the offset of the first record that the snapshot does not hold.
    pub const fn position(&self) -> u64 {
        self.position
    }
}

impl Projection {
    /// Returns an empty projection.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Digest, Incarnation, Key, Stamp};
    /// use ledger::{configs, projection::{Projection, State}, record::Record, slot::{Nonce, Slot}};
    /// let issued = Stamp::from_millis(5);
    /// let slot = Slot::new("compas", &Key::from_parts(issued, 1), "entries-api");
    /// let holder = Incarnation::new("entry-1", issued);
    /// let claim = |nonce| Record::Claim {
    ///     slot,
    ///     nonce: Nonce::from_random(nonce),
    ///     holder: holder.clone(),
    ///     body: Digest::of(b"registration"),
    /// };
    /// let mut projection = Projection::new(configs::Projection::default());
    /// projection.set_log_start(0, issued);
    /// projection.apply(0, &claim(1));
    /// projection.apply(1, &claim(2));
    /// assert_eq!(projection.state(&slot), State::InProgress { holder, body: Digest::of(b"registration") });
    /// assert!(projection.is_won(&slot, Nonce::from_random(1)));
    /// ```
    pub const fn new(config: configs::Projection) -> Self {
        Self {
            config,
            position: None,
            floor: Stamp::from_millis(0),
            gap_end: None,
            entries: VecDeque::new(),
        }
    }

    /// Returns a projection that continues from a snapshot.
    pub fn restore(config: configs::Projection, snapshot: Snapshot) -> Self {
        Self {
            config,
            position: Some(snapshot.position),
            floor: snapshot.floor,
            gap_end: snapshot.blind,
            entries: snapshot.entries.into(),
        }
    }

    /// Returns a copy of the state, or `None` before the first page.
    pub fn snapshot(&self) -> Option<Snapshot> {
        Some(Snapshot {
            position: self.position?,
            floor: self.floor,
            blind: self.gap_end,
            entries: self.entries.iter().cloned().collect(),
        })
    }

    /// Returns the offset of the next record to apply, or `None` before the first page.
    pub const fn position(&self) -> Option<u64> {
        self.position
    }

    /// Returns the number of slots.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no slots.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records the lowest offset that the log keeps, as given by a page.
    ///
    /// A new projection starts there: [`configs::Projection::validate`] ensures that the dropped
    /// records are about keys that are refused. A projection whose next records were dropped
    /// records a gap, since it does not know which slots they were about.
    pub fn set_log_start(&mut self, first: u64, now: Stamp) {
        match self.position {
            None => self.position = Some(first),
            Some(position) if position < first => {
                self.record_gap(now);
                self.position = Some(first);
            }
            Some(_) => {}
        }
    }

    /// Records that a log record was missed or could not be decoded.
    ///
    /// Slots issued up to now stay undecided until they are past the horizon.
    pub fn record_gap(&mut self, now: Stamp) {
        let last = now + self.config.clock_error;
        self.gap_end = self.gap_end.max(Some(last));
    }

    /// Applies the body of one log record; a record at any offset but the next is ignored.
    pub fn apply_body(&mut self, offset: u64, body: &str, now: Stamp) {
        if self.position != Some(offset) {
            return;
        }
        match record::decode(body) {
            Ok(records) => records.iter().for_each(|record| self.apply_record(record)),
            Err(_) => self.record_gap(now),
        }
        self.position = Some(offset + 1);
    }

    /// Applies the only record at an offset; a record at any offset but the next is ignored.
    pub fn apply(&mut self, offset: u64, record: &Record) {
        self.apply_batch(offset, core::slice::from_ref(record));
    }

    /// Applies the records of a batch at an offset; a batch at any offset but the next is ignored.
    pub fn apply_batch(&mut self, offset: u64, records: &[Record]) {
        if self.position != Some(offset) {
            return;
        }
        records.iter().for_each(|record| self.apply_record(record));
        self.position = Some(offset + 1);
    }

    fn apply_record(&mut self, record: &Record) {
        if record.slot().issued() < self.floor {
            return;
        }
        let entry = self.entry_mut(*record.slot());
        match record {
            Record::Claim {
                nonce,
                holder,
                body,
                ..
            } => entry.record_claim(*nonce, holder, *body),
            Record::Done { nonce, answer, .. } => entry.record_outcome(*nonce, answer),
            Record::Released { nonce, .. } => entry.record_release(*nonce),
        }
    }

    /// Returns the entry of a slot, and adds it without attempts if it is missing.
    fn entry_mut(&mut self, slot: Slot) -> &mut Entry {
        let at = match self.find(&slot) {
            Ok(at) => at,
            Err(at) => {
                let entry = Entry {
                    slot,
                    winner: None,
                    void: Vec::new(),
                };
                self.entries.insert(at, entry);
                at
            }
        };
        &mut self.entries[at]
    }

    fn find(&self, slot: &Slot) -> Result<usize, usize> {
        // Fast path: most records are about slots newer than all known ones.
        match self.entries.back() {
            Some(last) if last.slot < *slot => Err(self.entries.len()),
            _ => self.entries.binary_search_by_key(slot, |entry| entry.slot),
        }
    }

    /// Drops the slots that are past the horizon.
    pub fn expire(&mut self, now: Stamp) {
        let horizon = self.config.horizon.as_millis();
        let horizon = u64::try_from(horizon).unwrap_or(u64::MAX);
        let floor = Stamp::from_millis(now.as_millis().saturating_sub(horizon));
        // The wall clock may step back; dropped slots stay refused.
        self.floor = self.floor.max(floor);
        let expired = self
            .entries
            .partition_point(|entry| entry.slot.issued() < self.floor);
        self.entries.drain(..expired);
        self.gap_end = self.gap_end.filter(|end| *end >= self.floor);
    }

    /// Returns whether a slot's key is too old, or too far in the future, to be decided.
    pub fn is_refused(&self, slot: &Slot, now: Stamp) -> bool {
        slot.issued() < self.floor || slot.issued() > now + self.config.clock_error
    }

    /// Returns whether records about a slot may have been missed, so that its state is unknown.
    pub fn has_gap(&self, slot: &Slot) -> bool {
        self.gap_end.is_some_and(|end| slot.issued() <= end)
    }

    /// Returns the state of a slot according to the applied records.
    pub fn state(&self, slot: &Slot) -> State {
        let Some(winner) = self.winner(slot) else {
            return State::Free;
        };
        let body = winner.body;
        match &winner.answer {
            Some(answer) => State::Done {
                answer: answer.clone(),
                body,
            },
            None => State::InProgress {
                holder: winner.holder.clone(),
                body,
            },
        }
    }

    /// Returns whether a slot's call has an outcome, which never changes.
    pub fn is_done(&self, slot: &Slot) -> bool {
        self.winner(slot)
            .is_some_and(|winner| winner.answer.is_some())
    }

    /// Returns the status of one attempt to claim a slot, according to the applied records.
    pub fn status(&self, slot: &Slot, nonce: Nonce) -> Status {
        let Ok(at) = self.find(slot) else {
            return Status::Unseen;
        };
        let entry = &self.entries[at];
        if entry.is_won(nonce) {
            Status::Won
        } else if entry.is_void(nonce) {
            Status::Void
        } else {
            Status::Unseen
        }
    }

    /// Returns whether an attempt holds its slot.
    pub fn is_won(&self, slot: &Slot, nonce: Nonce) -> bool {
        self.status(slot, nonce) == Status::Won
    }

    /// Returns the attempt that holds a slot.
    fn winner(&self, slot: &Slot) -> Option<&Winner> {
        let at = self.find(slot).ok()?;
        self.entries[at].winner.as_deref()
    }
}

impl Entry {
    fn record_claim(&mut self, nonce: Nonce, holder: &Incarnation, body: Digest) {
        if self.is_won(nonce) {
            return;
        }
        if self.winner.is_some() {
            // The loser may already have its verdict, so a late copy of its claim must not win.
            self.void_nonce(nonce);
        } else if !self.is_void(nonce) {
            self.winner = Some(Box::new(Winner {
                nonce,
                holder: holder.clone(),
                body,
                answer: None,
            }));
        }
    }

    fn record_outcome(&mut self, nonce: Nonce, answer: &Answer) {
        let winner = self.winner.as_mut().filter(|winner| winner.nonce == nonce);
        if let Some(winner) = winner {
            winner.answer.get_or_insert_with(|| answer.clone());
        }
    }

    fn record_release(&mut self, nonce: Nonce) {
        let winner = self.winner.take_if(|winner| winner.nonce == nonce);
        match winner {
            // A holder with an outcome did make the call; a later release has no effect.
            Some(winner) if winner.answer.is_some() => self.winner = Some(winner),
            _ => self.void_nonce(nonce),
        }
    }

    /// Records that an attempt can never win the slot.
    fn void_nonce(&mut self, nonce: Nonce) {
        if let Err(at) = self.void.binary_search(&nonce) {
            self.void.insert(at, nonce);
        }
    }

    fn is_won(&self, nonce: Nonce) -> bool {
        self.winner
            .as_ref()
            .is_some_and(|winner| winner.nonce == nonce)
    }

    fn is_void(&self, nonce: Nonce) -> bool {
        self.void.binary_search(&nonce).is_ok()
    }
}
