//! What the service saw, against what callers were told.

use std::collections::BTreeMap;

use base::{Code, Digest, Outcome, Stamp};
use ledger::{
    projection::{Projection, State},
    record::Answer,
    slot::Slot,
};

use super::instance::Driver;

#[derive(Debug, Default)]
struct Seen {
    attempts: u64,
    /// The caller waits for the answer of what it said to be its only sending.
    is_reserved: bool,
    calls: Vec<Digest>,
    /// An instance that may have held the slot is gone.
    is_orphaned: bool,
    /// The holder had the service's answer when it was last seen.
    is_answered: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Judge {
    seen: BTreeMap<Slot, Seen>,
}

impl Judge {
    pub(super) fn is_untried(&self, slot: &Slot) -> bool {
        !self.seen.contains_key(slot)
    }

    pub(super) fn is_reserved(&self, slot: &Slot) -> bool {
        self.seen.get(slot).is_some_and(|seen| seen.is_reserved)
    }

    pub(super) fn attempt(&mut self, slot: Slot, first: bool) {
        let seen = self.seen.entry(slot).or_default();
        seen.attempts += 1;
        seen.is_reserved = first;
    }

    pub(super) fn call(&mut self, driver: &mut Driver) {
        assert!(
            driver.answer.is_none(),
            "called after its answer: {driver:?}"
        );
        driver.has_called = true;
        let seen = self.seen.get_mut(&driver.call.slot).unwrap();
        seen.calls.push(driver.call.body);
        assert_eq!(seen.calls.len(), 1, "called twice: {driver:?}");
    }

    /// Takes a call back that the service never had.
    pub(super) fn take_back(&mut self, driver: &mut Driver) {
        driver.has_called = false;
        let seen = self.seen.get_mut(&driver.call.slot).unwrap();
        seen.calls.pop();
    }

    pub(super) fn result(&mut self, driver: &Driver) -> Answer {
        let seen = self.seen.get_mut(&driver.call.slot).unwrap();
        // A claim that was answered `unknown` before has recorded that.
        seen.is_answered |= driver.answer.is_none();
        result(&driver.call.slot, driver.call.body)
    }

    pub(super) fn answer(&mut self, driver: &mut Driver, answer: &Answer) {
        assert!(driver.answer.is_none(), "answered twice: {driver:?}");
        driver.answer = Some(answer.code);
        let seen = self.seen.get_mut(&driver.call.slot).unwrap();
        seen.is_reserved = false;
        let calls = &seen.calls;
        match answer.code.outcome() {
            Outcome::NotRun if answer.code == Code::KeyReused => {
                assert!(!calls.contains(&driver.call.body), "{driver:?}");
            }
            Outcome::Incomplete | Outcome::NotRun => {
                assert!(calls.is_empty(), "it ran: {driver:?}")
            }
            Outcome::Answered => {
                assert_eq!(calls.as_slice(), [driver.call.body], "{driver:?}");
                assert_eq!(*answer, result(&driver.call.slot, calls[0]), "{driver:?}");
            }
            Outcome::InProgress | Outcome::Unknown => {}
        }
    }

    pub(super) fn lose(&mut self, driver: &Driver) {
        let seen = self.seen.get_mut(&driver.call.slot).unwrap();
        seen.is_reserved = false;
        seen.is_orphaned |= !driver.claim.is_ended();
    }

    /// Notes that a slot may be held by nobody.
    pub(super) fn orphan(&mut self, slot: &Slot) {
        self.seen.get_mut(slot).unwrap().is_orphaned = true;
    }

    /// Judges the log once nothing is under way any more.
    pub(super) fn check(&self, projection: &Projection, now: Stamp) {
        for (slot, seen) in &self.seen {
            if seen.is_orphaned || projection.is_refused(slot, now) {
                continue;
            }
            match projection.state(slot) {
                State::Free => assert!(seen.calls.is_empty(), "{slot} ran and is free"),
                State::InProgress { .. } => panic!("{slot} is held by nobody: {seen:?}"),
                State::Done { answer, body } => {
                    assert_eq!(seen.calls, [body], "{slot} is done and did not run");
                    if seen.is_answered {
                        assert_eq!(answer, result(slot, seen.calls[0]), "{slot}");
                    }
                }
            }
        }
    }
}

/// What the service answers; another one for each slot and body.
fn result(slot: &Slot, body: Digest) -> Answer {
    Answer::new(Code::Answered, format!("{slot} {body}"), 1).unwrap()
}
