//! The state machine of one attempt to make an at-most-once call.
//!
//! - The call is written at most once, and only after the claim has won.
//! - A claim that was abandoned before its call was written never calls, whatever happens later.
//!   Only such a claim answers `not run`, and only if no earlier attempt under the key can have
//!   run.
//! - A call that was written and has no answer is `unknown` immediately.
//! - Time only determines the pace of look-ups and of resubmissions.

use core::{mem, time::Duration};

use base::{Code, Digest, Incarnation, Tick};

use crate::{
    Now, configs,
    owner::Verdict,
    projection::State,
    record::{Answer, Record},
    slot::{Nonce, Slot},
};

/// One at-most-once call, as one instance attempts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The call.
    pub slot: Slot,
    /// The identifier of this attempt; random.
    pub nonce: Nonce,
    /// The instance that attempts the call.
    pub holder: Incarnation,
    /// The digest of the caller's request.
    pub body: Digest,
    /// Whether the caller states that this is its first request under the key.
    pub first: bool,
}

/// An input to the claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request has reached this stage.
    Start,
    /// The verdict about the submitted claim.
    Claimed(Verdict),
    /// The verdict about a look-up.
    Found(Verdict),
    /// The verdict about the submitted outcome or release.
    Closed(Verdict),
    /// The request is abandoned, with a reason; a code that means `not run` is answered only if
    /// that is certain.
    Abandon(Code),
    /// The first byte of the call is about to be sent.
    CallWritten,
    /// The call was answered.
    CallAnswered(Answer),
    /// The call failed.
    CallFailed {
        /// Whether any byte of the call may have been sent.
        written: bool,
        /// The reason to answer if none was sent.
        code: Code,
    },
    /// The call is known not to have run: no connection could be opened, or the server refused
    /// it. It may be prepared again, or abandoned.
    CallRefused,
    /// The instance that holds the slot is known to have ended.
    HolderLost(Incarnation),
    /// Time passed.
    Tick,
}

impl Event {
    /// Builds the event for the verdict about a submitted record.
    pub const fn from_verdict(record: &Record, verdict: Verdict) -> Self {
        match record {
            Record::Claim { .. } => Self::Claimed(verdict),
            Record::Done { .. } | Record::Released { .. } => Self::Closed(verdict),
        }
    }
}

/// An action for the driver of the claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Submit a record to an owner of the slot's partition.
    Submit(Record),
    /// Look the slot up at an owner of its partition.
    Lookup(Slot),
    /// Prepare the call: choose a server and open a connection, but send nothing. The driver may
    /// try several servers as long as nothing was sent.
    Prepare,
    /// Send the call, now and once.
    Write,
    /// Drop the prepared call without sending any of it.
    Cancel,
    /// Answer the caller; emitted exactly once per claim.
    Answer(Answer),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing was submitted.
    Idle,
    /// The claim was submitted.
    Claiming,
    /// The claim won; no byte of the call was sent.
    Prepared,
    /// The call may have been sent.
    Written,
    /// Another attempt holds the slot.
    Attached {
        holder: Incarnation,
        is_looking_up: bool,
        /// When the next look-up is due.
        next_lookup: Tick,
    },
    /// The caller has its answer.
    Ended,
}

/// The outcome or release of a claim, until the log has it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Closing {
    record: Record,
    /// When the record was first submitted.
    since: Tick,
    /// The time between the last submission and the next one.
    interval: Duration,
    next_submit: Tick,
}

/// One attempt to make an at-most-once call.
#[derive(Clone, Debug)]
pub struct Claim {
    config: configs::Claim,
    call: Call,
    phase: Phase,
    closing: Option<Closing>,
}

impl Claim {
    /// Returns a claim that has submitted nothing.
    pub const fn new(config: configs::Claim, call: Call) -> Self {
        Self {
            config,
            call,
            phase: Phase::Idle,
            closing: None,
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        match event {
            Event::Start => self.start(),
            Event::Claimed(verdict) => self.handle_claimed(now, verdict),
            Event::Found(verdict) => self.handle_found(now, verdict),
            Event::Closed(verdict) => self.handle_closed(verdict),
            Event::Abandon(code) => self.abandon(now, code),
            Event::CallWritten => self.handle_written(),
            Event::CallAnswered(answer) => self.handle_answered(now, answer),
            Event::CallFailed { written, code } => self.handle_failed(now, written, code),
            Event::CallRefused => self.handle_refused(),
            Event::HolderLost(incarnation) => self.handle_holder_lost(&incarnation),
            Event::Tick => self.handle_tick(now),
        }
    }

    /// Returns the time of the next [`Event::Tick`] that the claim needs.
    pub fn next_wakeup(&self) -> Option<Tick> {
        let attached = match &self.phase {
            Phase::Attached {
                is_looking_up: false,
                next_lookup,
                ..
            } => Some(*next_lookup),
            _ => None,
        };
        let closing = self.closing.as_ref().map(|closing| closing.next_submit);
        attached.into_iter().chain(closing).min()
    }

    /// Returns the holder whose outcome the claim waits for, if any.
    pub const fn awaited_holder(&self) -> Option<&Incarnation> {
        match &self.phase {
            Phase::Attached { holder, .. } => Some(holder),
            _ => None,
        }
    }

    /// Returns whether the caller has its answer and nothing is left to record.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended && self.closing.is_none()
    }

    fn start(&mut self) -> Vec<Action> {
        if self.phase != Phase::Idle {
            return Vec::new();
        }
        self.phase = Phase::Claiming;
        vec![Action::Submit(Record::Claim {
            slot: self.call.slot,
            nonce: self.call.nonce,
            holder: self.call.holder.clone(),
            body: self.call.body,
        })]
    }

    fn handle_claimed(&mut self, now: Now, verdict: Verdict) -> Vec<Action> {
        if self.phase != Phase::Claiming {
            return Vec::new();
        }
        match verdict {
            Verdict::Won => {
                self.phase = Phase::Prepared;
                vec![Action::Prepare]
            }
            Verdict::Lost(state) => self.attach(now, state),
            // An attempt under the key may have run before the key became too old.
            Verdict::Expired => {
                let code = self.refusal_code(Code::KeyExpired);
                self.answer(Answer::from_code(code))
            }
            Verdict::Unavailable { may_have_landed } => {
                let code = self.refusal_code(Code::LogUnavailable);
                let mut actions = if may_have_landed {
                    self.release(now)
                } else {
                    Vec::new()
                };
                actions.extend(self.answer(Answer::from_code(code)));
                actions
            }
            Verdict::Found(_) | Verdict::Recorded => Vec::new(),
        }
    }

    /// Continues from the state of a slot that this attempt did not win: answers, waits for the holder's outcome,
    /// or claims the slot again.
    fn attach(&mut self, now: Now, state: State) -> Vec<Action> {
        match state {
            State::Done { answer, body } if body == self.call.body => self.answer(answer),
            State::Done { .. } => self.answer(Answer::from_code(Code::KeyReused)),
            // The holder may still release the slot, so this request's body may run later.
            State::InProgress { body, .. } if body != self.call.body => {
                self.answer(Answer::from_code(Code::EarlierUnknown))
            }
            State::InProgress { holder, .. } => {
                self.phase = Phase::Attached {
                    holder,
                    is_looking_up: false,
                    next_lookup: now.tick + self.config.lookup_interval,
                };
                Vec::new()
            }
            // The holder has released the slot, so it can be claimed again.
            State::Free => {
                self.call.nonce = self.call.nonce.next();
                self.call.first = false;
                self.phase = Phase::Idle;
                self.start()
            }
        }
    }

    fn handle_found(&mut self, now: Now, verdict: Verdict) -> Vec<Action> {
        let Phase::Attached {
            is_looking_up,
            next_lookup,
            ..
        } = &mut self.phase
        else {
            return Vec::new();
        };
        if !mem::take(is_looking_up) {
            return Vec::new();
        }
        *next_lookup = now.tick + self.config.lookup_interval;
        match verdict {
            Verdict::Found(state) => self.attach(now, state),
            Verdict::Expired => self.answer(Answer::from_code(Code::CallUnknown)),
            Verdict::Won | Verdict::Lost(_) | Verdict::Recorded | Verdict::Unavailable { .. } => {
                Vec::new()
            }
        }
    }

    fn handle_closed(&mut self, verdict: Verdict) -> Vec<Action> {
        if matches!(verdict, Verdict::Recorded | Verdict::Expired) {
            self.closing = None;
        }
        Vec::new()
    }

    fn abandon(&mut self, now: Now, code: Code) -> Vec<Action> {
        match &self.phase {
            Phase::Idle => {
                let code = self.refusal_code(code);
                self.answer(Answer::from_code(code))
            }
            Phase::Claiming => {
                let code = self.refusal_code(code);
                let mut actions = self.release(now);
                actions.extend(self.answer(Answer::from_code(code)));
                actions
            }
            Phase::Prepared => self.cancel(now, code),
            Phase::Written => self.answer_unknown(now),
            Phase::Attached { .. } => self.answer(Answer::from_code(Code::InProgress)),
            Phase::Ended => Vec::new(),
        }
    }

    fn handle_written(&mut self) -> Vec<Action> {
        match self.phase {
            Phase::Prepared => {
                self.phase = Phase::Written;
                vec![Action::Write]
            }
            Phase::Written => Vec::new(),
            _ => vec![Action::Cancel],
        }
    }

    fn handle_answered(&mut self, now: Now, answer: Answer) -> Vec<Action> {
        if self.phase != Phase::Written {
            return Vec::new();
        }
        let record = Record::Done {
            slot: self.call.slot,
            nonce: self.call.nonce,
            answer: answer.clone(),
        };
        let mut actions = self.answer(answer);
        actions.extend(self.submit_closing(now, record));
        actions
    }

    fn handle_failed(&mut self, now: Now, written: bool, code: Code) -> Vec<Action> {
        match self.phase {
            Phase::Prepared if !written => self.cancel(now, code),
            Phase::Prepared | Phase::Written => self.answer_unknown(now),
            _ => Vec::new(),
        }
    }

    fn handle_refused(&mut self) -> Vec<Action> {
        if self.phase == Phase::Written {
            self.phase = Phase::Prepared;
        }
        Vec::new()
    }

    fn handle_holder_lost(&mut self, incarnation: &Incarnation) -> Vec<Action> {
        match &self.phase {
            Phase::Attached { holder, .. } if holder == incarnation => {
                self.answer(Answer::from_code(Code::CallUnknown))
            }
            _ => Vec::new(),
        }
    }

    fn handle_tick(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Phase::Attached {
            is_looking_up,
            next_lookup,
            ..
        } = &mut self.phase
            && !*is_looking_up
            && *next_lookup <= now.tick
        {
            *is_looking_up = true;
            actions.push(Action::Lookup(self.call.slot));
        }
        if let Some(closing) = &mut self.closing
            && closing.next_submit <= now.tick
        {
            let max_interval = self.config.max_resubmit_interval;
            closing.interval = max_interval.min(2 * closing.interval);
            closing.next_submit = now.tick + closing.interval;
            actions.push(Action::Submit(closing.record.clone()));
        }
        let timeout = self.config.resubmit_timeout;
        self.closing
            .take_if(|closing| now.tick - closing.since >= timeout);
        actions
    }

    /// Abandons a claim that won and sent nothing: no call under the key has run.
    fn cancel(&mut self, now: Now, code: Code) -> Vec<Action> {
        let mut actions = vec![Action::Cancel];
        actions.extend(self.answer(Answer::from_code(code)));
        actions.extend(self.release(now));
        actions
    }

    /// Answers and records that the call may have run without a known answer.
    fn answer_unknown(&mut self, now: Now) -> Vec<Action> {
        let answer = Answer::from_code(Code::CallUnknown);
        let record = Record::Done {
            slot: self.call.slot,
            nonce: self.call.nonce,
            answer: answer.clone(),
        };
        let mut actions = self.answer(answer);
        actions.extend(self.submit_closing(now, record));
        actions
    }

    /// Submits that this attempt did not make the call and never will.
    fn release(&mut self, now: Now) -> Vec<Action> {
        let record = Record::Released {
            slot: self.call.slot,
            nonce: self.call.nonce,
        };
        self.submit_closing(now, record)
    }

    /// Submits an outcome or release, which is resubmitted until it is recorded.
    fn submit_closing(&mut self, now: Now, record: Record) -> Vec<Action> {
        self.closing = Some(Closing {
            record: record.clone(),
            since: now.tick,
            interval: self.config.resubmit_interval,
            next_submit: now.tick + self.config.resubmit_interval,
        });
        vec![Action::Submit(record)]
    }

    /// Answers the caller, which ends the claim except for what is left to record.
    fn answer(&mut self, answer: Answer) -> Vec<Action> {
        self.phase = Phase::Ended;
        vec![Action::Answer(answer)]
    }

    /// Chooses the code for an attempt that never calls: a code that means `not run` requires
    /// that no earlier attempt has run.
    const fn refusal_code(&self, code: Code) -> Code {
        if self.call.first {
            code
        } else {
            Code::EarlierUnknown
        }
    }
}
