//! The claim on a non-idempotent call: its outcome and its release. The claim makes the call run at
//! most once under a key.

use core::time::Duration;

use base::{Code, Incarnation, Name, Outcome};
use flow::{Answer, Event};
use ledger::{
    claim::{self, Action, Call, Claim},
    configs,
    owner::Verdict,
    projection::State,
    record::{self, Record},
    slot::{Nonce, Slot},
};
use serde_json::Value;

use crate::{
    control::ledger::{Lookup, Submit},
    plane::{Flight, Plane},
};

/// The stage part of a slot, left empty: a key stands for one call, whichever stage makes it.
pub(crate) const EMPTY_STAGE: &str = "";

/// The `Retry-After` while another attempt is in progress.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The pause between two ticks of a claim that waits for no reply.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// What the ledger knows of a key before any stage of the request runs.
pub(crate) enum Recall {
    /// No claim holds the key.
    Unclaimed,
    /// The call has run, and this is its output.
    Completed(Value),
    /// The request ends with this answer.
    Refused(Answer),
}

/// The holder of the claim on one call.
pub(crate) struct Holder {
    call: Call,
    claim: Claim,
    is_started: bool,
}

impl Holder {
    /// Prepares a claim; nothing is in the log before [`Holder::claim`].
    pub(crate) fn new(call: Call) -> Self {
        Self {
            claim: Claim::new(configs::Claim::default(), call.clone()),
            call,
            is_started: false,
        }
    }

    /// Returns the slot of an account's call under a key.
    pub(crate) fn slot(account: &Name, key: &base::Key) -> Slot {
        Slot::new(account.as_str(), key, EMPTY_STAGE)
    }

    /// Looks up the key, and waits for an attempt in progress elsewhere.
    pub(crate) async fn recall(&mut self, plane: &Plane) -> Recall {
        match lookup(plane, self.call.slot).await {
            Verdict::Found(State::Free) => return Recall::Unclaimed,
            Verdict::Found(State::Done { body, .. }) if body != self.call.body => {
                let answer = Answer::refusal(Code::KeyReused, "another body came with this key");
                return Recall::Refused(answer);
            }
            // The holder may still release the slot, and then this body may run.
            Verdict::Found(State::InProgress { body, .. }) if body != self.call.body => {
                let detail = "another body is in progress under this key";
                let answer = Answer::refusal(Code::EarlierUnknown, detail);
                return Recall::Refused(answer.with_retry_after(RETRY_AFTER));
            }
            Verdict::Found(State::Done { answer, .. }) => return recall_from(to_event(&answer)),
            Verdict::Found(State::InProgress { holder, .. }) if is_holder_gone(plane, &holder) => {
                return Recall::Refused(unknown_outcome(&holder));
            }
            Verdict::Found(State::InProgress { .. }) => {}
            Verdict::Expired => {
                let answer = Answer::refusal(Code::KeyExpired, "the key is too old")
                    .with_outcome(Outcome::Unknown);
                return Recall::Refused(answer);
            }
            _ => {
                let answer = Answer::refusal(Code::EarlierUnknown, Code::EarlierUnknown.title());
                return Recall::Refused(
                    answer.with_retry_after(plane.shared.settings.platform_limit),
                );
            }
        }
        // The claim waits for the holder's outcome, and takes the slot if the holder releases it.
        match self.claim(plane).await {
            event @ (Event::ClaimDone { .. } | Event::ClaimRefused { .. }) => recall_from(event),
            _ => {
                // The holder released the slot, so this claim won it. It is released here; the request
                // claims the slot again before its call.
                self.release(plane, Answer::refusal(Code::InProgress, ""));
                // The claim used a sequence of nonces of its own, so the next attempt takes a new one.
                let nonce = nonce(plane.inner.borrow_mut().random_bits());
                *self = Self::new(Call {
                    nonce,
                    ..self.call.clone()
                });
                Recall::Unclaimed
            }
        }
    }

    /// Claims the call and returns the result as an event of the request.
    pub(crate) async fn claim(&mut self, plane: &Plane) -> Event {
        let mut event = claim::Event::Start;
        self.is_started = true;
        loop {
            let actions = self.claim.handle(plane.shared.clock.now(), event);
            if let Some(result) = self.conclude(plane, &actions) {
                return result;
            }
            let lost_holder = self
                .claim
                .awaited_holder()
                .filter(|holder| is_holder_gone(plane, holder));
            event = match (actions.into_iter().next(), lost_holder) {
                (Some(Action::Submit(record)), _) => submit(plane, record).await,
                (_, Some(holder)) => claim::Event::HolderLost(holder.clone()),
                (Some(Action::Lookup(slot)), _) => claim::Event::Found(lookup(plane, slot).await),
                _ => {
                    tokio::time::sleep(TICK_INTERVAL).await;
                    claim::Event::Tick
                }
            };
        }
    }

    /// Returns the result of the claim, if an action has it. Records that come with it are sent until
    /// the log has them, even if the request ends first.
    fn conclude(&self, plane: &Plane, actions: &[Action]) -> Option<Event> {
        let event = actions.iter().find_map(|action| match action {
            Action::Answer(answer) => Some(to_event(answer)),
            Action::Prepare => Some(Event::ClaimWon),
            Action::Cancel | Action::Lookup(_) | Action::Submit(_) | Action::Write => None,
        })?;
        let records: Vec<_> = actions
            .iter()
            .filter_map(|action| match action {
                Action::Submit(record) => Some(record.clone()),
                _ => None,
            })
            .collect();
        if !records.is_empty() {
            submit_in_background(plane, self.claim.clone(), records);
        }
        Some(event)
    }

    /// Returns whether a claim was ever submitted.
    pub(crate) const fn is_started(&self) -> bool {
        self.is_started
    }

    /// Records that the call is about to be sent; returns `false` if the claim was abandoned.
    pub(crate) fn permit_call(&mut self, plane: &Plane) -> bool {
        let actions = self
            .claim
            .handle(plane.shared.clock.now(), claim::Event::CallWritten);
        actions.contains(&Action::Write)
    }

    /// Records that the call did not run.
    pub(crate) fn record_not_run(&mut self, plane: &Plane) {
        self.handle(plane, claim::Event::CallRefused);
    }

    /// Records that the call may have run but has no answer.
    pub(crate) fn record_failure(&mut self, plane: &Plane) {
        let event = claim::Event::CallFailed {
            written: true,
            code: Code::CallUnknown,
        };
        self.handle(plane, event);
    }

    /// Records the output of the call, in the background.
    pub(crate) fn record_output(&mut self, plane: &Plane, output: &Value) {
        let answer = record::Answer::new(Code::Answered, output.to_string(), 0)
            .unwrap_or_else(|_| record::Answer::from_code(Code::AnswerNotKept));
        self.handle(plane, claim::Event::CallAnswered(answer));
    }

    /// Releases the claim, in the background; weakens the answer's outcome if the call may have run.
    pub(crate) fn release(&mut self, plane: &Plane, answer: Answer) -> Answer {
        if !self.is_started {
            return answer;
        }
        let recorded = self.handle(plane, claim::Event::Abandon(answer.code));
        match recorded {
            Some(recorded) if recorded.code != answer.code => Answer {
                code: recorded.code,
                outcome: recorded.code.outcome(),
                ..answer
            },
            _ => answer,
        }
    }

    /// Abandons the claim if it has not ended, since the request ended without it.
    pub(crate) fn abandon(&mut self, plane: &Plane) {
        if self.is_started && !self.claim.is_ended() {
            self.handle(plane, claim::Event::Abandon(Code::DeadlinePassed));
        }
    }

    /// Passes an event to the claim, sends its records in the background, and returns its answer.
    fn handle(&mut self, plane: &Plane, event: claim::Event) -> Option<record::Answer> {
        let actions = self.claim.handle(plane.shared.clock.now(), event);
        let mut result = None;
        let mut records = Vec::new();
        for action in actions {
            match action {
                Action::Answer(answer) => result = Some(answer),
                Action::Submit(record) => records.push(record),
                Action::Prepare | Action::Cancel | Action::Lookup(_) | Action::Write => {}
            }
        }
        if !records.is_empty() {
            submit_in_background(plane, self.claim.clone(), records);
        }
        result
    }
}

/// Returns whether the holder of a claim is known to be gone. The claim is not reassigned, since the
/// holder may only be paused or partitioned.
pub(crate) fn is_holder_gone(plane: &Plane, holder: &Incarnation) -> bool {
    plane.shared.members.borrow().is_gone(holder)
}

/// Returns the answer for a call whose holder is gone.
pub(crate) fn unknown_outcome(holder: &Incarnation) -> Answer {
    let detail = format!("claimed by {holder}, which is gone");
    Answer::refusal(Code::CallUnknown, detail)
}

/// Returns a recorded answer in the form for a caller.
pub(crate) fn to_answer(recorded: &record::Answer) -> Answer {
    let output = output(recorded);
    Answer {
        output,
        ..Answer::refusal(recorded.code, recorded.code.title())
    }
}

fn output(recorded: &record::Answer) -> Value {
    serde_json::from_str(&recorded.body).unwrap_or(Value::Null)
}

fn to_event(recorded: &record::Answer) -> Event {
    if recorded.code == Code::Answered {
        return Event::ClaimDone {
            output: output(recorded),
        };
    }
    Event::ClaimRefused {
        code: recorded.code,
        detail: recorded.code.title().to_owned(),
    }
}

fn recall_from(event: Event) -> Recall {
    match event {
        Event::ClaimDone { output } => Recall::Completed(output),
        Event::ClaimRefused { code, detail } => {
            let mut answer = Answer::refusal(code, detail);
            answer.retry_after = code.is_retryable().then_some(RETRY_AFTER);
            Recall::Refused(answer)
        }
        _ => Recall::Unclaimed,
    }
}

/// Sends the last records of a claim until the log has them.
fn submit_in_background(plane: &Plane, mut claim: Claim, mut records: Vec<Record>) {
    let Some(plane) = plane.this.upgrade() else {
        return;
    };
    let flight = Flight::new(&plane.shared);
    actix_web::rt::spawn(async move {
        let _flight = flight;
        while !claim.is_ended() {
            let mut event = claim::Event::Tick;
            for record in core::mem::take(&mut records) {
                event = submit(&plane, record).await;
            }
            for action in claim.handle(plane.shared.clock.now(), event) {
                if let Action::Submit(record) = action {
                    records.push(record);
                }
            }
            if records.is_empty() && !claim.is_ended() {
                tokio::time::sleep(TICK_INTERVAL).await;
            }
        }
    });
}

async fn submit(plane: &Plane, record: Record) -> claim::Event {
    let reply = plane.shared.ledger.send(Submit(record.clone())).await;
    claim::Event::from_verdict(&record, reply.unwrap_or(Verdict::UNANSWERED))
}

async fn lookup(plane: &Plane, slot: Slot) -> Verdict {
    let reply = plane.shared.ledger.send(Lookup(slot)).await;
    reply.unwrap_or(Verdict::UNANSWERED)
}

/// Returns a nonce for one attempt.
pub(crate) const fn nonce(bits: u128) -> Nonce {
    Nonce::from_random(bits)
}
