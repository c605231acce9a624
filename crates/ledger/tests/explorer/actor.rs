//! The parts of a state: claims, and owners, with a name for each.

use core::time::Duration;
use std::{fmt, rc::Rc};

use base::{Code, Digest, Incarnation};
use ledger::{
    claim, configs,
    record::Record,
    slot::{Nonce, Slot},
};

use super::{Bounds, ISSUED, Move, OWNERS};

/// A part of the state that most moves leave alone, with its name.
#[derive(Clone)]
pub(super) struct Part<T> {
    pub(super) value: Rc<T>,
    pub(super) key: Digest,
}

#[derive(Clone, Debug)]
pub(super) struct Actor {
    pub(super) claim: claim::Claim,
    /// Requests to owners, in the order in which they were sent.
    pub(super) asks: Vec<Ask>,
    pub(super) lookups: u8,
    pub(super) is_prepared: bool,
    pub(super) is_called: bool,
    pub(super) is_dead: bool,
    pub(super) answer: Option<Code>,
}

#[derive(Clone, Debug)]
pub(super) struct Ask {
    /// The record, or none for a look-up.
    pub(super) record: Option<Record>,
    pub(super) is_open: bool,
}

impl<T: Clone + fmt::Debug> Part<T> {
    pub(super) fn open(value: T) -> Self {
        let value = Rc::new(value);
        let key = Digest::default();
        let mut part = Self { value, key };
        part.edit(|_| ());
        part
    }

    pub(super) fn edit<R>(&mut self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(Rc::make_mut(&mut self.value));
        let mut text = format!("{:?}", self.value);
        // Counts of what led to a state do not matter.
        if let Some(from) = text.find("stats: Stats {") {
            let to = from + text[from..].find('}').unwrap();
            text.replace_range(from..=to, "");
        }
        self.key = Digest::of(text.as_bytes());
        result
    }
}

impl<T> fmt::Debug for Part<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.key, f)
    }
}

impl Actor {
    pub(super) fn open(slot: Slot, index: usize) -> Self {
        let call = claim::Call {
            slot,
            nonce: Nonce::from_random(index as u128),
            holder: Incarnation::new(format!("entry-{index}"), ISSUED),
            body: Digest::of(b"registration"),
            first: false,
        };
        let config = configs::Claim {
            lookup_interval: Duration::ZERO,
            ..configs::Claim::default()
        };
        Self {
            claim: claim::Claim::new(config, call),
            asks: Vec::new(),
            lookups: 0,
            is_prepared: false,
            is_called: false,
            is_dead: false,
            answer: None,
        }
    }

    pub(super) fn moves(
        &self,
        index: usize,
        bounds: Bounds,
        has_fault: bool,
        moves: &mut Vec<Move>,
    ) {
        if self.is_dead {
            return;
        }
        if self.asks.is_empty() {
            // Instances may differ about who owns the partition; the owners are alike, so that the
            // first claim may go to the first of them.
            let owners = if index == 0 { 1 } else { OWNERS };
            moves.extend((0..owners).map(|owner| Move::Start(index, owner)));
            return;
        }
        moves.extend(self.is_prepared.then_some(Move::Write(index)));
        moves.extend(self.is_called.then_some(Move::Answer(index)));
        if has_fault && self.answer.is_none() {
            moves.extend([Move::GiveUp(index), Move::Kill(index)]);
        }
        if has_fault && (self.is_prepared || self.is_called) {
            moves.push(Move::Fail(index));
        }
        if has_fault && self.is_called && self.answer.is_none() {
            moves.push(Move::TakeBack(index));
        }
        if self.lookups < bounds.lookups
            && self.claim.next_wakeup().is_some()
            && self.answer.is_none()
        {
            moves.extend((0..OWNERS).map(|owner| Move::Lookup(index, owner)));
        }
    }

    pub(super) fn call(&mut self) {
        assert!(self.answer.is_none(), "called after its answer");
        self.is_called = true;
    }

    pub(super) fn take_back(&mut self) {
        self.is_called = false;
        self.is_prepared = true;
    }

    pub(super) fn tell(&mut self, code: Code) {
        assert!(self.answer.is_none(), "answered twice");
        self.answer = Some(code);
    }

    pub(super) fn ask(&mut self, index: usize, record: Option<Record>) -> u64 {
        let at = self.asks.len();
        let is_open = true;
        self.asks.push(Ask { record, is_open });
        (index * 100 + at) as u64
    }
}
