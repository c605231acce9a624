//! From the records of the log to the bundle in force.
//!
//! Every reader that has seen the same records has the same state, whichever record it began at.
//! A reader that began after the log's head was dropped knows the state only from a
//! [`Record::Carry`] whose records from `as_of` on it has all seen; until then it keeps what it
//! read and decides nothing.

use core::time::Duration;
use std::sync::Arc;

use base::{Digest, Name, Stamp};

use crate::{
    approval::{Fault, Proposal},
    chain::Chain,
    document::{Document, Head},
    event::Event,
    position::Position,
    proof::Proof,
    record::{Carry, Record},
    state::State,
};

/// One reader of the log.
///
/// # Examples
///
/// ```
/// use bundle::{Fold, sign::Key};
/// let mut fold = Fold::open(vec![Key::example("author").public()]);
/// fold.skip_to(0);
/// assert!(fold.is_synced() && fold.position().is_none());
/// ```
#[derive(Clone, Debug)]
pub struct Fold {
    /// What the log says, with every record below `as_of` accounted for.
    state: State,
    as_of: u64,
    /// The first offset from which on no record was missed.
    start: u64,
    next: u64,
    known: bool,
    /// Records read while the state wasn't known.
    backlog: Vec<(u64, Record)>,
    /// When the latest `Carry` that holds was written.
    carried: Option<Stamp>,
    /// What a peer's proof says, while it is ahead of what was read of the log.
    lead: Option<Proof>,
}

impl Fold {
    /// Returns a reader that trusts the given root keys for the first bundle.
    pub fn open(roots: Vec<Digest>) -> Self {
        Self {
            state: State::open(roots),
            as_of: 0,
            start: 0,
            next: 0,
            known: true,
            backlog: Vec::new(),
            carried: None,
            lead: None,
        }
    }

    /// Returns a reader that goes on from a peer's proof instead of the head of the log.
    ///
    /// It reads from `as_of` on, so it costs one proof and not every record that the log keeps. Since
    /// `as_of` isn't signed, a reader whose [`Self::next`] turns out to lie beyond the end of the log
    /// was misled: open another one.
    ///
    /// # Errors
    ///
    /// The proof doesn't verify.
    pub fn resume(roots: Vec<Digest>, proof: &Proof) -> Result<Self, Fault> {
        let mut fold = Self::open(roots);
        fold.start = proof.as_of;
        fold.next = proof.as_of;
        fold.settle(proof)?;
        Ok(fold)
    }

    /// Takes note of the lowest offset that the log still keeps; call it for every page read.
    ///
    /// If records were dropped unread, the reader waits for a `Carry` and keeps its bundle.
    pub fn skip_to(&mut self, first: u64) {
        if first <= self.next {
            return;
        }
        self.start = first;
        self.next = first;
        self.known = false;
        self.backlog.clear();
    }

    /// Takes in the text of a record, as [`Self::apply`] does.
    pub fn apply_text(&mut self, offset: u64, text: &str) -> Vec<Event> {
        match Record::parse(text) {
            Ok(record) => self.apply(offset, &record),
            Err(error) if self.pass(offset) => vec![Event::Refused {
                offset,
                author: Name::default(),
                fault: Fault::Content(error.to_string()),
            }],
            Err(_) => Vec::new(),
        }
    }

    /// Takes in a record and returns what it did; a record seen before does nothing.
    ///
    /// Records must come in the order of their offsets, with none left out.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Vec<Event> {
        if !self.pass(offset) {
            return Vec::new();
        }
        if self.known {
            return self.act(offset, record);
        }
        if let Record::Carry(carry) = record
            && let Ok(events) = self.settle(&carry.proof)
        {
            self.carried = self.carried.max(Some(carry.at));
            return events;
        }
        self.backlog.push((offset, record.clone()));
        Vec::new()
    }

    /// Takes in a peer's proof and returns what it did.
    ///
    /// # Errors
    ///
    /// - The proof doesn't verify.
    /// - It has another content for the version in force.
    /// - It tells of a roll-out at a place where the log, read beyond it, has none that won.
    pub fn apply_proof(&mut self, proof: &Proof) -> Result<Vec<Event>, Fault> {
        let told = proof.position();
        let force = self.position();
        if force.is_some_and(|now| now.version == told.version && now.digest != told.digest) {
            return Err(Fault::Conflict(told.version));
        }
        proof.authority(&self.state.roots)?;
        if !self.known
            && let Ok(events) = self.settle(proof)
        {
            return Ok(events);
        }
        if force.is_some_and(|now| !told.follows(&now)) {
            return Ok(Vec::new());
        }
        if self.known && told.offset < self.as_of {
            // The log was read beyond that place and shows that this roll-out didn't win.
            return Err(Fault::Offset);
        }
        self.lead = Some(proof.clone());
        Ok(vec![Event::InForce(told)])
    }

    /// Returns the position of the bundle in force for this reader.
    pub fn position(&self) -> Option<Position> {
        self.chain().map(Chain::position)
    }

    /// Returns the bundle in force for this reader, as it is written.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.chain().map(|chain| &chain.document)
    }

    /// Returns what to hand to a peer.
    pub fn proof(&self) -> Option<Proof> {
        self.lead.clone().or_else(|| self.prove())
    }

    /// Returns a `Carry` to append, if the last one is older than the given span.
    ///
    /// The span must be well below the time for which the log keeps records. None is due while
    /// the state of the log isn't known.
    pub fn carry(&self, now: Stamp, every: Duration) -> Option<Carry> {
        // A stamp from a clock far ahead would put the next one off for too long.
        let recent = |at: Stamp| now - at < every && at - now < every;
        if !self.known || self.carried.is_some_and(recent) {
            return None;
        }
        Some(Carry {
            at: now,
            proof: self.prove()?,
        })
    }

    /// Tells whether the state of the log is known, as far as it was read.
    pub fn is_synced(&self) -> bool {
        self.known
    }

    /// Returns the offset to read from.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the open proposals; none while the state of the log isn't known.
    pub fn pending(&self) -> &[Proposal] {
        if self.known { &self.state.pending } else { &[] }
    }

    /// Finds the open proposal with a digest.
    pub fn proposal(&self, digest: &Digest) -> Option<&Proposal> {
        self.pending()
            .iter()
            .find(|proposal| proposal.approval.digest == *digest)
    }

    /// Returns the head of the bundle in force by the log.
    pub fn head(&self) -> Option<&Head> {
        self.state.head()
    }

    fn chain(&self) -> Option<&Chain> {
        match &self.lead {
            Some(proof) => Some(&proof.chain),
            None => self.log_chain(),
        }
    }

    fn log_chain(&self) -> Option<&Chain> {
        self.state.standing.as_ref().map(|standing| &standing.chain)
    }

    fn prove(&self) -> Option<Proof> {
        Some(Proof {
            as_of: self.as_of,
            chain: self.log_chain()?.clone(),
            pending: self.state.pending.clone(),
        })
    }

    /// Moves past an offset, unless it was passed before.
    fn pass(&mut self, offset: u64) -> bool {
        if offset < self.next {
            return false;
        }
        self.next = offset + 1;
        if self.known {
            self.as_of = self.next;
        }
        true
    }

    /// Takes over a state whose later records were all seen, then applies those.
    fn settle(&mut self, proof: &Proof) -> Result<Vec<Event>, Fault> {
        if proof.as_of < self.start || proof.as_of > self.next {
            return Err(Fault::Offset);
        }
        let before = self.position();
        self.state.restore(proof)?;
        self.known = true;
        self.as_of = proof.as_of;
        let mut events = vec![Event::Synced];
        events.extend(self.announce(before));
        for (offset, record) in core::mem::take(&mut self.backlog) {
            if offset >= proof.as_of {
                self.as_of = offset + 1;
                events.extend(self.act(offset, &record));
            }
        }
        self.as_of = self.next;
        Ok(events)
    }

    fn act(&mut self, offset: u64, record: &Record) -> Vec<Event> {
        if let Record::Carry(carry) = record {
            self.note_carry(offset, carry);
        }
        let before = self.position();
        let mut events = vec![self.state.act(offset, record)];
        events.extend(self.announce(before));
        events
    }

    fn note_carry(&mut self, offset: u64, carry: &Carry) {
        let same = self.state.digest() == Some(carry.proof.position().digest);
        if same && carry.proof.as_of <= offset {
            self.carried = self.carried.max(Some(carry.at));
        }
    }

    /// Drops a peer's proof that the log has reached and tells what changed for this reader.
    fn announce(&mut self, before: Option<Position>) -> Vec<Event> {
        let mut events = Vec::new();
        let log = self.log_chain().map(Chain::position);
        let reached = |peer: &Position| {
            peer.offset < self.as_of || log.is_some_and(|log| !peer.follows(&log))
        };
        let peer = self.lead.as_ref().map(Proof::position);
        if let Some(peer) = peer.filter(reached) {
            self.lead = None;
            let passed = log.is_some_and(|log| log.follows(&peer) || log.digest == peer.digest);
            if !passed {
                events.push(Event::Disagreed { peer, log });
            }
        }
        let now = self.position();
        if let Some(position) = now
            && before.map(|position| position.digest) != Some(position.digest)
        {
            events.push(Event::InForce(position));
        }
        events
    }
}
