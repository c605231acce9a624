//! Computes the bundle in force from the records of the log.
//!
//! All readers that have read the same records have the same state, whichever record they started
//! at. A reader that started after the first records of the log were dropped gets the state from a
//! [`Record::Carry`], a snapshot of it, once it has read every record from the carry's `as_of` on. Until then it
//! buffers the records it reads and applies none.

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

/// The state of one reader of the log.
///
/// # Examples
///
/// ```
/// use bundle::{Projection, sign::Key};
/// let mut projection = Projection::new(vec![Key::example("author").public()]);
/// projection.skip_to(0);
/// assert!(projection.is_synced() && projection.position().is_none());
/// ```
#[derive(Clone, Debug)]
pub struct Projection {
    /// The state according to the log, with all records below `as_of` applied.
    state: State,
    as_of: u64,
    /// The lowest offset from which this reader has read all records.
    read_from: u64,
    next: u64,
    synced: bool,
    /// Records read while the reader was not synced.
    backlog: Vec<(u64, Record)>,
    /// When the latest valid `Carry` was written.
    last_carry: Option<Stamp>,
    /// A peer's proof, while it is ahead of what this reader has read of the log.
    peer_proof: Option<Proof>,
}

impl Projection {
    /// Returns a reader that trusts the given root keys for the first bundle.
    pub fn new(roots: Vec<Digest>) -> Self {
        Self {
            state: State::new(roots),
            as_of: 0,
            read_from: 0,
            next: 0,
            synced: true,
            backlog: Vec::new(),
            last_carry: None,
            peer_proof: None,
        }
    }

    /// Returns a reader that continues from a peer's proof instead of the first record of the log.
    ///
    /// It reads from `as_of` on, which takes one proof instead of every record that the log keeps. Since
    /// `as_of` isn't signed, it may be wrong: if [`Self::next`] is beyond the end of the log, discard
    /// the reader and create another one.
    ///
    /// # Errors
    ///
    /// The proof doesn't verify.
    pub fn resume(roots: Vec<Digest>, proof: &Proof) -> Result<Self, Fault> {
        let mut projection = Self::new(roots);
        projection.read_from = proof.as_of;
        projection.next = proof.as_of;
        projection.sync_from(proof)?;
        Ok(projection)
    }

    /// Skips records that the log has dropped; call it with the lowest offset kept for every page read.
    ///
    /// If records were dropped before they were read, the reader keeps its bundle and waits for a `Carry`.
    pub fn skip_to(&mut self, first: u64) {
        if first <= self.next {
            return;
        }
        self.read_from = first;
        self.next = first;
        self.synced = false;
        self.backlog.clear();
    }

    /// Parses a record and applies it like [`Self::apply`].
    pub fn apply_text(&mut self, offset: u64, text: &str) -> Vec<Event> {
        match Record::parse(text) {
            Ok(record) => self.apply(offset, &record),
            Err(error) if self.advance(offset) => vec![Event::Refused {
                offset,
                author: Name::default(),
                fault: Fault::Content(error.to_string()),
            }],
            Err(_) => Vec::new(),
        }
    }

    /// Applies a record and returns its effects; a record that was read before has none.
    ///
    /// Records must be applied in the order of their offsets, without gaps.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Vec<Event> {
        if !self.advance(offset) {
            return Vec::new();
        }
        if self.synced {
            return self.apply_synced(offset, record);
        }
        if let Record::Carry(carry) = record
            && let Ok(events) = self.sync_from(&carry.proof)
        {
            self.last_carry = self.last_carry.max(Some(carry.at));
            return events;
        }
        self.backlog.push((offset, record.clone()));
        Vec::new()
    }

    /// Applies a peer's proof and returns its effects.
    ///
    /// # Errors
    ///
    /// - The proof doesn't verify.
    /// - It has another content for the version in force.
    /// - Its roll-out is at an offset that this reader has read, and did not take effect there.
    pub fn apply_proof(&mut self, proof: &Proof) -> Result<Vec<Event>, Fault> {
        let claimed = proof.position();
        let in_force = self.position();
        if in_force.is_some_and(|current| {
            current.version == claimed.version && current.digest != claimed.digest
        }) {
            return Err(Fault::Conflict(claimed.version));
        }
        proof.verify_head(&self.state.roots)?;
        if !self.synced
            && let Ok(events) = self.sync_from(proof)
        {
            return Ok(events);
        }
        if in_force.is_some_and(|current| !claimed.follows(&current)) {
            return Ok(Vec::new());
        }
        if self.synced && claimed.offset < self.as_of {
            // The log was read beyond that offset, and the roll-out did not take effect.
            return Err(Fault::Offset);
        }
        self.peer_proof = Some(proof.clone());
        Ok(vec![Event::InForce(claimed)])
    }

    /// Returns the position of the bundle in force for this reader.
    pub fn position(&self) -> Option<Position> {
        self.chain().map(Chain::position)
    }

    /// Returns the document of the bundle in force for this reader.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.chain().map(|chain| &chain.document)
    }

    /// Returns the proof to send to a peer.
    pub fn proof(&self) -> Option<Proof> {
        self.peer_proof.clone().or_else(|| self.log_proof())
    }

    /// Returns a `Carry`, a snapshot of the state, to append if the last one is older than the interval.
    ///
    /// The interval must be well below the log's retention time. No `Carry` is due while the reader
    /// is not synced.
    pub fn carry(&self, now: Stamp, interval: Duration) -> Option<Carry> {
        // A timestamp far in the future, from a clock that is ahead, would delay the next one for too long.
        let recent = |at: Stamp| now - at < interval && at - now < interval;
        if !self.synced || self.last_carry.is_some_and(recent) {
            return None;
        }
        Some(Carry {
            at: now,
            proof: self.log_proof()?,
        })
    }

    /// Returns whether this reader has the complete state of the log up to [`Self::next`].
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the open proposals; none while the reader is not synced.
    pub fn pending(&self) -> &[Proposal] {
        if self.synced {
            &self.state.pending
        } else {
            &[]
        }
    }

    /// Finds the open proposal with a digest.
    pub fn proposal(&self, digest: &Digest) -> Option<&Proposal> {
        self.pending()
            .iter()
            .find(|proposal| proposal.approval.digest == *digest)
    }

    /// Returns the head of the bundle in force according to the log, without peers' proofs.
    pub fn head(&self) -> Option<&Head> {
        self.state.head()
    }

    fn chain(&self) -> Option<&Chain> {
        match &self.peer_proof {
            Some(proof) => Some(&proof.chain),
            None => self.log_chain(),
        }
    }

    fn log_chain(&self) -> Option<&Chain> {
        self.state.in_force.as_ref().map(|in_force| &in_force.chain)
    }

    fn log_proof(&self) -> Option<Proof> {
        Some(Proof {
            as_of: self.as_of,
            chain: self.log_chain()?.clone(),
            pending: self.state.pending.clone(),
        })
    }

    /// Advances past an offset; returns false if it was read before.
    fn advance(&mut self, offset: u64) -> bool {
        if offset < self.next {
            return false;
        }
        self.next = offset + 1;
        if self.synced {
            self.as_of = self.next;
        }
        true
    }

    /// Replaces the state by that of a proof and applies all later records, which must have been read.
    fn sync_from(&mut self, proof: &Proof) -> Result<Vec<Event>, Fault> {
        if proof.as_of < self.read_from || proof.as_of > self.next {
            return Err(Fault::Offset);
        }
        let before = self.position();
        self.state.restore(proof)?;
        self.synced = true;
        self.as_of = proof.as_of;
        let mut events = vec![Event::Synced];
        events.extend(self.reconcile(before));
        for (offset, record) in core::mem::take(&mut self.backlog) {
            if offset >= proof.as_of {
                self.as_of = offset + 1;
                events.extend(self.apply_synced(offset, &record));
            }
        }
        self.as_of = self.next;
        Ok(events)
    }

    fn apply_synced(&mut self, offset: u64, record: &Record) -> Vec<Event> {
        if let Record::Carry(carry) = record {
            self.record_carry(offset, carry);
        }
        let before = self.position();
        let mut events = vec![self.state.apply(offset, record)];
        events.extend(self.reconcile(before));
        events
    }

    fn record_carry(&mut self, offset: u64, carry: &Carry) {
        let is_same = self.state.digest() == Some(carry.proof.position().digest);
        if is_same && carry.proof.as_of <= offset {
            self.last_carry = self.last_carry.max(Some(carry.at));
        }
    }

    /// Drops the peer's proof once the log has reached it, and returns what changed for this reader.
    fn reconcile(&mut self, before: Option<Position>) -> Vec<Event> {
        let mut events = Vec::new();
        let log = self.log_chain().map(Chain::position);
        let reached = |peer: &Position| {
            peer.offset < self.as_of || log.is_some_and(|log| !peer.follows(&log))
        };
        let peer = self.peer_proof.as_ref().map(Proof::position);
        if let Some(peer) = peer.filter(reached) {
            self.peer_proof = None;
            let confirmed = log.is_some_and(|log| log.follows(&peer) || log.digest == peer.digest);
            if !confirmed {
                events.push(Event::Disagreed { peer, log });
            }
        }
        let current = self.position();
        if let Some(position) = current
            && before.map(|position| position.digest) != Some(position.digest)
        {
            events.push(Event::InForce(position));
        }
        events
    }
}
