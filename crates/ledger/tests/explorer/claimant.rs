//! Components of an explored state, each with a digest, and the claimant.

use core::time::Duration;
use std::{fmt, rc::Rc};

use base::{Code, Digest, Incarnation};
use ledger::{
    claim, configs,
    record::Record,
    slot::{Nonce, Slot},
};

use super::{Bounds, ISSUED, OWNERS, Transition};

/// A component of the state with its digest; shared between states until it changes.
#[derive(Clone)]
pub(super) struct Component<T> {
    pub(super) value: Rc<T>,
    pub(super) digest: Digest,
}

#[derive(Clone, Debug)]
pub(super) struct Claimant {
    pub(super) claim: claim::Claim,
    /// Requests to owners, in the order in which they were sent.
    pub(super) requests: Vec<Request>,
    pub(super) lookups: u8,
    pub(super) is_prepared: bool,
    pub(super) is_called: bool,
    pub(super) is_dead: bool,
    pub(super) answer: Option<Code>,
}

#[derive(Clone, Debug)]
pub(super) struct Request {
    /// The record, or none for a look-up.
    pub(super) record: Option<Record>,
    pub(super) is_open: bool,
}

impl<T: Clone + fmt::Debug> Component<T> {
    pub(super) fn new(value: T) -> Self {
        let value = Rc::new(value);
        let digest = Digest::default();
        let mut component = Self { value, digest };
        component.edit(|_| ());
        component
    }

    pub(super) fn edit<R>(&mut self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(Rc::make_mut(&mut self.value));
        let mut text = format!("{:?}", self.value);
        // States that differ only in their statistics count as equal.
        if let Some(from) = text.find("stats: Stats {") {
            let to = from + text[from..].find('}').unwrap();
            text.replace_range(from..=to, "");
        }
        self.digest = Digest::of(text.as_bytes());
        result
    }
}

impl<T> fmt::Debug for Component<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.digest, f)
    }
}

impl Claimant {
    pub(super) fn new(slot: Slot, index: usize) -> Self {
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
            requests: Vec::new(),
            lookups: 0,
            is_prepared: false,
            is_called: false,
            is_dead: false,
            answer: None,
        }
    }

    pub(super) fn transitions(
        &self,
        index: usize,
        bounds: Bounds,
        has_fault: bool,
        transitions: &mut Vec<Transition>,
    ) {
        if self.is_dead {
            return;
        }
        if self.requests.is_empty() {
            // Instances may disagree about the partition's owner. The owners are symmetric, so it
            // is enough to start the first claim at the first one.
            let owners = if index == 0 { 1 } else { OWNERS };
            transitions.extend((0..owners).map(|owner| Transition::Start(index, owner)));
            return;
        }
        transitions.extend(self.is_prepared.then_some(Transition::Write(index)));
        transitions.extend(self.is_called.then_some(Transition::Answer(index)));
        if has_fault && self.answer.is_none() {
            transitions.extend([Transition::Abandon(index), Transition::Crash(index)]);
        }
        if has_fault && (self.is_prepared || self.is_called) {
            transitions.push(Transition::Fail(index));
        }
        if has_fault && self.is_called && self.answer.is_none() {
            transitions.push(Transition::RefuseCall(index));
        }
        if self.lookups < bounds.lookups
            && self.claim.next_wakeup().is_some()
            && self.answer.is_none()
        {
            transitions.extend((0..OWNERS).map(|owner| Transition::Lookup(index, owner)));
        }
    }

    pub(super) fn record_call(&mut self) {
        assert!(self.answer.is_none(), "called after its answer");
        self.is_called = true;
    }

    pub(super) fn undo_call(&mut self) {
        self.is_called = false;
        self.is_prepared = true;
    }

    pub(super) fn record_answer(&mut self, code: Code) {
        assert!(self.answer.is_none(), "answered twice");
        self.answer = Some(code);
    }

    pub(super) fn add_request(&mut self, index: usize, record: Option<Record>) -> u64 {
        let at = self.requests.len();
        let is_open = true;
        self.requests.push(Request { record, is_open });
        (index * 100 + at) as u64
    }
}
