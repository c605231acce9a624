//! One call that may not be repeated: its claim, its outcome and its release.

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

/// The part of a slot that names the stage; one key stands for one call, whatever its stage.
pub(crate) const STAGE: &str = "";

/// The wait advised while another attempt is in progress.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The pause between looks at a claim that nothing else wakes.
const PAUSE: Duration = Duration::from_millis(50);

/// What a repeat of a request learns before any of its stages runs.
pub(crate) enum Recall {
    /// Nothing is claimed under the key.
    Free,
    /// The call has run, and this is its output.
    Done(Value),
    /// The request ends here.
    End(Answer),
}

/// The holder's side of one call.
pub(crate) struct Once {
    call: Call,
    claim: Claim,
    started: bool,
}

impl Once {
    /// Prepares a claim; nothing is in the log before [`Once::claim`].
    pub(crate) fn new(call: Call) -> Self {
        Self {
            claim: Claim::new(configs::Claim::default(), call.clone()),
            call,
            started: false,
        }
    }

    /// Names the call of an account under a key.
    pub(crate) fn slot(account: &Name, key: &base::Key) -> Slot {
        Slot::new(account.as_str(), key, STAGE)
    }

    /// Asks what is known of the key, and waits for an attempt in progress elsewhere.
    pub(crate) async fn recall(&mut self, plane: &Plane) -> Recall {
        match lookup(plane, self.call.slot).await {
            Verdict::Found(State::Free) => return Recall::Free,
            Verdict::Found(State::Done { body, .. }) if body != self.call.body => {
                let answer = Answer::refusal(Code::KeyReused, "another body came with this key");
                return Recall::End(answer);
            }
            // Its holder may release it yet, and then this body may run.
            Verdict::Found(State::InProgress { body, .. }) if body != self.call.body => {
                let detail = "another body is in progress under this key";
                let answer = Answer::refusal(Code::EarlierUnknown, detail);
                return Recall::End(answer.with_retry_after(RETRY_AFTER));
            }
            Verdict::Found(State::Done { answer, .. }) => return recalled(told(&answer)),
            Verdict::Found(State::InProgress { holder, .. }) if is_gone(plane, &holder) => {
                return Recall::End(unknown(&holder));
            }
            Verdict::Found(State::InProgress { .. }) => {}
            Verdict::Expired => {
                let answer = Answer::refusal(Code::KeyExpired, "the key is too old")
                    .with_outcome(Outcome::Unknown);
                return Recall::End(answer);
            }
            _ => {
                let answer = Answer::refusal(Code::EarlierUnknown, Code::EarlierUnknown.title());
                return Recall::End(answer.with_retry_after(plane.shared.settings.platform_limit));
            }
        }
        // The claim waits for the holder's outcome, and takes its place if it releases the slot.
        match self.claim(plane).await {
            event @ (Event::ClaimDone { .. } | Event::ClaimRefused { .. }) => recalled(event),
            _ => {
                // Its holder released it meanwhile; begin again, now that it is free.
                self.release(plane, Answer::refusal(Code::InProgress, ""));
                // The claim went through nonces of its own, so the next attempt takes another one.
                let nonce = nonce(plane.inner.borrow_mut().bits());
                *self = Self::new(Call {
                    nonce,
                    ..self.call.clone()
                });
                Recall::Free
            }
        }
    }

    /// Claims the call and returns what the request learns of it.
    pub(crate) async fn claim(&mut self, plane: &Plane) -> Event {
        let mut event = claim::Event::Start;
        self.started = true;
        loop {
            let actions = self.claim.handle(plane.shared.clock.now(), event);
            if let Some(told) = self.conclude(plane, &actions) {
                return told;
            }
            let lost = self
                .claim
                .awaited_holder()
                .filter(|holder| is_gone(plane, holder));
            event = match (actions.into_iter().next(), lost) {
                (Some(Action::Submit(record)), _) => submit(plane, record).await,
                (_, Some(holder)) => claim::Event::HolderLost(holder.clone()),
                (Some(Action::Lookup(slot)), _) => claim::Event::Found(lookup(plane, slot).await),
                _ => {
                    tokio::time::sleep(PAUSE).await;
                    claim::Event::Tick
                }
            };
        }
    }

    /// Ends the claiming, if an action says so; a record that goes with it is sent until the log
    /// has it, whatever becomes of the request.
    fn conclude(&self, plane: &Plane, actions: &[Action]) -> Option<Event> {
        let told = actions.iter().find_map(|action| match action {
            Action::Answer(answer) => Some(told(answer)),
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
            close(plane, self.claim.clone(), records);
        }
        Some(told)
    }

    /// Tells whether a claim was ever submitted.
    pub(crate) const fn is_started(&self) -> bool {
        self.started
    }

    /// Lets the call leave, unless the claim was given up.
    pub(crate) fn write(&mut self, plane: &Plane) -> bool {
        let actions = self
            .claim
            .handle(plane.shared.clock.now(), claim::Event::CallWritten);
        actions.contains(&Action::Write)
    }

    /// Takes note that the call is known not to have run.
    pub(crate) fn refused(&mut self, plane: &Plane) {
        self.on(plane, claim::Event::CallRefused);
    }

    /// Takes note that the call may have run and has no answer.
    pub(crate) fn lost(&mut self, plane: &Plane) {
        let event = claim::Event::CallFailed {
            written: true,
            code: Code::CallUnknown,
        };
        self.on(plane, event);
    }

    /// Records the output of the call, in the background.
    pub(crate) fn settle(&mut self, plane: &Plane, output: &Value) {
        let answer = record::Answer::new(Code::Answered, output.to_string(), 0)
            .unwrap_or_else(|_| record::Answer::from_code(Code::AnswerNotKept));
        self.on(plane, claim::Event::CallAnswered(answer));
    }

    /// Gives the claim up, in the background, and weakens the answer to what is known.
    pub(crate) fn release(&mut self, plane: &Plane, answer: Answer) -> Answer {
        if !self.started {
            return answer;
        }
        let told = self.on(plane, claim::Event::Abandon(answer.code));
        match told {
            Some(known) if known.code != answer.code => Answer {
                code: known.code,
                outcome: known.code.outcome(),
                ..answer
            },
            _ => answer,
        }
    }

    /// Ends whatever is under way, since the request ended in another way.
    pub(crate) fn abandon(&mut self, plane: &Plane) {
        if self.started && !self.claim.is_ended() {
            self.on(plane, claim::Event::Abandon(Code::DeadlinePassed));
        }
    }

    /// Tells the claim an event, sends its records in the background, and returns its answer.
    fn on(&mut self, plane: &Plane, event: claim::Event) -> Option<record::Answer> {
        let actions = self.claim.handle(plane.shared.clock.now(), event);
        let mut told = None;
        let mut records = Vec::new();
        for action in actions {
            match action {
                Action::Answer(answer) => told = Some(answer),
                Action::Submit(record) => records.push(record),
                Action::Prepare | Action::Cancel | Action::Lookup(_) | Action::Write => {}
            }
        }
        if !records.is_empty() {
            close(plane, self.claim.clone(), records);
        }
        told
    }
}

/// Tells whether the holder of a claim is known to be gone; its claim stays its own all the same.
pub(crate) fn is_gone(plane: &Plane, holder: &Incarnation) -> bool {
    plane.shared.members.borrow().is_gone(holder)
}

/// Answers for a call whose holder is gone.
pub(crate) fn unknown(holder: &Incarnation) -> Answer {
    let detail = format!("claimed by {holder}, which is gone");
    Answer::refusal(Code::CallUnknown, detail)
}

/// Turns what the ledger keeps into an answer for a caller.
pub(crate) fn answer(kept: &record::Answer) -> Answer {
    let output = output(kept);
    Answer {
        output,
        ..Answer::refusal(kept.code, kept.code.title())
    }
}

fn output(kept: &record::Answer) -> Value {
    serde_json::from_str(&kept.body).unwrap_or(Value::Null)
}

fn told(kept: &record::Answer) -> Event {
    if kept.code == Code::Answered {
        return Event::ClaimDone {
            output: output(kept),
        };
    }
    Event::ClaimRefused {
        code: kept.code,
        detail: kept.code.title().to_owned(),
    }
}

fn recalled(event: Event) -> Recall {
    match event {
        Event::ClaimDone { output } => Recall::Done(output),
        Event::ClaimRefused { code, detail } => {
            let mut answer = Answer::refusal(code, detail);
            answer.retry_after = code.is_retryable().then_some(RETRY_AFTER);
            Recall::End(answer)
        }
        _ => Recall::Free,
    }
}

/// Sends the last records of a claim until the log has them.
fn close(plane: &Plane, mut claim: Claim, mut records: Vec<Record>) {
    let Some(plane) = plane.this.upgrade() else {
        return;
    };
    let flight = Flight::begin(&plane.shared);
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
                tokio::time::sleep(PAUSE).await;
            }
        }
    });
}

async fn submit(plane: &Plane, record: Record) -> claim::Event {
    let sent = plane.shared.ledger.send(Submit(record.clone())).await;
    claim::Event::from_verdict(&record, sent.unwrap_or(Verdict::UNANSWERED))
}

async fn lookup(plane: &Plane, slot: Slot) -> Verdict {
    let asked = plane.shared.ledger.send(Lookup(slot)).await;
    asked.unwrap_or(Verdict::UNANSWERED)
}

/// Returns a nonce for one attempt.
pub(crate) const fn nonce(bits: u128) -> Nonce {
    Nonce::from_random(bits)
}
