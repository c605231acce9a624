//! Compares the calls that the service received with the answers that callers got.

use std::collections::BTreeMap;

use base::{Code, Digest, Outcome, Stamp};
use ledger::{
    projection::{Projection, State},
    record::Answer,
    slot::Slot,
};

use super::instance::Driver;

#[derive(Debug, Default)]
struct Observation {
    attempts: u64,
    /// Whether a caller waits for the answer to what it declared to be its first request.
    is_reserved: bool,
    calls: Vec<Digest>,
    /// Whether the slot may be held without a claimant, because its instance ended or a claim was duplicated.
    is_orphaned: bool,
    /// Whether the holder had the service's answer before it answered its caller.
    is_answered: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Oracle {
    observed: BTreeMap<Slot, Observation>,
}

impl Oracle {
    pub(super) fn is_untried(&self, slot: &Slot) -> bool {
        !self.observed.contains_key(slot)
    }

    pub(super) fn is_reserved(&self, slot: &Slot) -> bool {
        self.observed
            .get(slot)
            .is_some_and(|observed| observed.is_reserved)
    }

    pub(super) fn record_attempt(&mut self, slot: Slot, first: bool) {
        let observed = self.observed.entry(slot).or_default();
        observed.attempts += 1;
        observed.is_reserved = first;
    }

    pub(super) fn record_call(&mut self, driver: &mut Driver) {
        assert!(
            driver.answer.is_none(),
            "called after its answer: {driver:?}"
        );
        driver.has_called = true;
        let observed = self.observed.get_mut(&driver.call.slot).unwrap();
        observed.calls.push(driver.call.body);
        assert_eq!(observed.calls.len(), 1, "called twice: {driver:?}");
    }

    /// Removes a call that never reached the service.
    pub(super) fn revoke_call(&mut self, driver: &mut Driver) {
        driver.has_called = false;
        let observed = self.observed.get_mut(&driver.call.slot).unwrap();
        observed.calls.pop();
    }

    pub(super) fn serve(&mut self, driver: &Driver) -> Answer {
        let observed = self.observed.get_mut(&driver.call.slot).unwrap();
        // A claim that was answered `unknown` before has recorded that outcome.
        observed.is_answered |= driver.answer.is_none();
        result(&driver.call.slot, driver.call.body)
    }

    pub(super) fn check_answer(&mut self, driver: &mut Driver, answer: &Answer) {
        assert!(driver.answer.is_none(), "answered twice: {driver:?}");
        driver.answer = Some(answer.code);
        let observed = self.observed.get_mut(&driver.call.slot).unwrap();
        observed.is_reserved = false;
        let calls = &observed.calls;
        match answer.code.outcome() {
            Outcome::NotRun if answer.code == Code::KeyReused => {
                assert!(!calls.contains(&driver.call.body), "{driver:?}");
            }
            Outcome::Incomplete | Outcome::NotRun => {
                assert!(
                    calls.is_empty(),
                    "answered not run, but the call ran: {driver:?}"
                )
            }
            Outcome::Answered => {
                assert_eq!(calls.as_slice(), [driver.call.body], "{driver:?}");
                assert_eq!(*answer, result(&driver.call.slot, calls[0]), "{driver:?}");
            }
            Outcome::InProgress | Outcome::Unknown => {}
        }
    }

    pub(super) fn record_loss(&mut self, driver: &Driver) {
        let observed = self.observed.get_mut(&driver.call.slot).unwrap();
        observed.is_reserved = false;
        observed.is_orphaned |= !driver.claim.is_ended();
    }

    /// Records that a slot may be held without a claimant.
    pub(super) fn mark_orphaned(&mut self, slot: &Slot) {
        self.observed.get_mut(slot).unwrap().is_orphaned = true;
    }

    /// Checks the log once nothing is in flight.
    pub(super) fn check_log(&self, projection: &Projection, now: Stamp) {
        for (slot, observed) in &self.observed {
            if observed.is_orphaned || projection.is_refused(slot, now) {
                continue;
            }
            match projection.state(slot) {
                State::Free => assert!(observed.calls.is_empty(), "{slot} ran and is free"),
                State::InProgress { .. } => {
                    panic!("{slot} is held without a claimant: {observed:?}")
                }
                State::Done { answer, body } => {
                    assert_eq!(observed.calls, [body], "{slot} is done and did not run");
                    if observed.is_answered {
                        assert_eq!(answer, result(slot, observed.calls[0]), "{slot}");
                    }
                }
            }
        }
    }
}

/// Returns the service's answer, which differs for each slot and body.
fn result(slot: &Slot, body: Digest) -> Answer {
    Answer::new(Code::Answered, format!("{slot} {body}"), 1).unwrap()
}
