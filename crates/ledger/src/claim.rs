//! The holder's part in one call that may not be repeated.
//!
//! - The call is written at most once, and only after the claim has won.
//! - A claim that was given up before its call was written never calls, whatever comes later; only
//!   such a claim says `not run`, and only if nothing earlier under the key can have run.
//! - A call that was written and has no answer is `unknown`, at once.
//! - Nothing here goes by time but the pace of look-ups and of submissions that failed.

use core::{mem, time::Duration};

use base::{Code, Digest, Incarnation, Tick};

use crate::{
    Now, configs,
    owner::Verdict,
    projection::State,
    record::{Answer, Record},
    slot::{Nonce, Slot},
};

/// One call that may not be repeated, as one instance wants to make it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The call.
    pub slot: Slot,
    /// This attempt; random.
    pub nonce: Nonce,
    /// The instance.
    pub holder: Incarnation,
    /// The digest of the caller's request.
    pub body: Digest,
    /// The caller states that it has sent nothing else under this key.
    pub first: bool,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request has come to this stage.
    Start,
    /// The verdict about the submitted claim.
    Claimed(Verdict),
    /// The verdict about a look-up.
    Found(Verdict),
    /// The verdict about the submitted outcome or release.
    Closed(Verdict),
    /// The request is given up, for a reason; one that says `not run` is reported as such only
    /// where it is so.
    Abandon(Code),
    /// The first byte of the call is about to leave.
    CallWritten,
    /// The call was answered.
    CallAnswered(Answer),
    /// The call failed.
    CallFailed {
        /// Whether a byte of it may have left.
        written: bool,
        /// The reason to report if none has.
        code: Code,
    },
    /// The call is known not to have run: no connection could be opened, or the server turned it
    /// away. It may be prepared again, or given up.
    CallRefused,
    /// The instance that holds the slot is known to be gone for good.
    HolderLost(Incarnation),
    /// Time passed.
    Tick,
}

impl Event {
    /// Turns the verdict about a submitted record into an event.
    pub const fn from_verdict(record: &Record, verdict: Verdict) -> Self {
        match record {
            Record::Claim { .. } => Self::Claimed(verdict),
            Record::Done { .. } | Record::Released { .. } => Self::Closed(verdict),
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Submit a record to an owner of the slot's partition.
    Submit(Record),
    /// Look the slot up at an owner of its partition.
    Lookup(Slot),
    /// Prepare the call: choose a server and open a connection, but write nothing. The driver may
    /// try several servers as long as nothing was written.
    Prepare,
    /// Let the call leave, now and once.
    Write,
    /// Drop what was prepared; nothing of it may leave.
    Cancel,
    /// Answer the caller; comes exactly once.
    Answer(Answer),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing was submitted.
    Idle,
    /// The claim was submitted.
    Claiming,
    /// The claim won; nothing was written.
    Calling,
    /// The call may have been written.
    Written,
    /// Another attempt holds the slot.
    Attached {
        holder: Incarnation,
        waiting: bool,
        next: Tick,
    },
    /// The caller has its answer.
    Ended,
}

/// The record that ends a claim, until the log has it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Closing {
    record: Record,
    since: Tick,
    interval: Duration,
    next: Tick,
}

/// One attempt to make a call.
#[derive(Clone, Debug)]
pub struct Claim {
    config: configs::Claim,
    call: Call,
    phase: Phase,
    closing: Option<Closing>,
}

impl Claim {
    /// Returns a claim that has done nothing.
    pub const fn new(config: configs::Claim, call: Call) -> Self {
        Self {
            config,
            call,
            phase: Phase::Idle,
            closing: None,
        }
    }

    /// Takes an event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        match event {
            Event::Start => self.start(),
            Event::Claimed(verdict) => self.claimed(now, verdict),
            Event::Found(verdict) => self.found(now, verdict),
            Event::Closed(verdict) => self.closed(verdict),
            Event::Abandon(code) => self.give_up(now, code),
            Event::CallWritten => self.written(),
            Event::CallAnswered(answer) => self.answered(now, answer),
            Event::CallFailed { written, code } => self.failed(now, written, code),
            Event::CallRefused => self.call_refused(),
            Event::HolderLost(incarnation) => self.holder_lost(&incarnation),
            Event::Tick => self.tick(now),
        }
    }

    /// Returns when the claim wants to be called again.
    pub fn next_wakeup(&self) -> Option<Tick> {
        let attached = match &self.phase {
            Phase::Attached {
                waiting: false,
                next,
                ..
            } => Some(*next),
            _ => None,
        };
        let closing = self.closing.as_ref().map(|closing| closing.next);
        attached.into_iter().chain(closing).min()
    }

    /// Returns the instance whose outcome the claim waits for, while it waits for one.
    pub const fn awaited_holder(&self) -> Option<&Incarnation> {
        match &self.phase {
            Phase::Attached { holder, .. } => Some(holder),
            _ => None,
        }
    }

    /// Tells whether the caller has its answer and nothing is left to record.
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

    fn claimed(&mut self, now: Now, verdict: Verdict) -> Vec<Action> {
        if self.phase != Phase::Claiming {
            return Vec::new();
        }
        match verdict {
            Verdict::Won => {
                self.phase = Phase::Calling;
                vec![Action::Prepare]
            }
            Verdict::Lost(state) => self.attach(now, state),
            // An attempt under the key may have run before it became too old.
            Verdict::Expired => {
                let code = self.refusal(Code::KeyExpired);
                self.answer(Answer::from_code(code))
            }
            Verdict::Unavailable { may_have_landed } => {
                let code = self.refusal(Code::LogUnavailable);
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

    fn attach(&mut self, now: Now, state: State) -> Vec<Action> {
        match state {
            State::Done { answer, body } if body == self.call.body => self.answer(answer),
            State::Done { .. } => self.answer(Answer::from_code(Code::KeyReused)),
            // The holder may release the slot yet, so that this request's body may run after all.
            State::InProgress { body, .. } if body != self.call.body => {
                self.answer(Answer::from_code(Code::EarlierUnknown))
            }
            State::InProgress { holder, .. } => {
                self.phase = Phase::Attached {
                    holder,
                    waiting: false,
                    next: now.tick + self.config.lookup_interval,
                };
                Vec::new()
            }
            // Whoever held the slot has released it, so it can be claimed again.
            State::Free => {
                self.call.nonce = self.call.nonce.next();
                self.call.first = false;
                self.phase = Phase::Idle;
                self.start()
            }
        }
    }

    fn found(&mut self, now: Now, verdict: Verdict) -> Vec<Action> {
        let Phase::Attached { waiting, next, .. } = &mut self.phase else {
            return Vec::new();
        };
        if !mem::take(waiting) {
            return Vec::new();
        }
        *next = now.tick + self.config.lookup_interval;
        match verdict {
            Verdict::Found(state) => self.attach(now, state),
            Verdict::Expired => self.answer(Answer::from_code(Code::CallUnknown)),
            Verdict::Won | Verdict::Lost(_) | Verdict::Recorded | Verdict::Unavailable { .. } => {
                Vec::new()
            }
        }
    }

    fn closed(&mut self, verdict: Verdict) -> Vec<Action> {
        if matches!(verdict, Verdict::Recorded | Verdict::Expired) {
            self.closing = None;
        }
        Vec::new()
    }

    fn give_up(&mut self, now: Now, code: Code) -> Vec<Action> {
        match &self.phase {
            Phase::Idle => {
                let code = self.refusal(code);
                self.answer(Answer::from_code(code))
            }
            Phase::Claiming => {
                let code = self.refusal(code);
                let mut actions = self.release(now);
                actions.extend(self.answer(Answer::from_code(code)));
                actions
            }
            Phase::Calling => self.cancel(now, code),
            Phase::Written => self.lose(now),
            Phase::Attached { .. } => self.answer(Answer::from_code(Code::InProgress)),
            Phase::Ended => Vec::new(),
        }
    }

    fn written(&mut self) -> Vec<Action> {
        match self.phase {
            Phase::Calling => {
                self.phase = Phase::Written;
                vec![Action::Write]
            }
            Phase::Written => Vec::new(),
            _ => vec![Action::Cancel],
        }
    }

    fn answered(&mut self, now: Now, answer: Answer) -> Vec<Action> {
        if self.phase != Phase::Written {
            return Vec::new();
        }
        let record = Record::Done {
            slot: self.call.slot,
            nonce: self.call.nonce,
            answer: answer.clone(),
        };
        let mut actions = self.answer(answer);
        actions.extend(self.close(now, record));
        actions
    }

    fn failed(&mut self, now: Now, written: bool, code: Code) -> Vec<Action> {
        match self.phase {
            Phase::Calling if !written => self.cancel(now, code),
            Phase::Calling | Phase::Written => self.lose(now),
            _ => Vec::new(),
        }
    }

    fn call_refused(&mut self) -> Vec<Action> {
        if self.phase == Phase::Written {
            self.phase = Phase::Calling;
        }
        Vec::new()
    }

    fn holder_lost(&mut self, incarnation: &Incarnation) -> Vec<Action> {
        match &self.phase {
            Phase::Attached { holder, .. } if holder == incarnation => {
                self.answer(Answer::from_code(Code::CallUnknown))
            }
            _ => Vec::new(),
        }
    }

    fn tick(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Phase::Attached { waiting, next, .. } = &mut self.phase
            && !*waiting
            && *next <= now.tick
        {
            *waiting = true;
            actions.push(Action::Lookup(self.call.slot));
        }
        if let Some(closing) = &mut self.closing
            && closing.next <= now.tick
        {
            let limit = self.config.max_resubmit_interval;
            closing.interval = limit.min(2 * closing.interval);
            closing.next = now.tick + closing.interval;
            actions.push(Action::Submit(closing.record.clone()));
        }
        let limit = self.config.resubmit_timeout;
        self.closing
            .take_if(|closing| now.tick - closing.since >= limit);
        actions
    }

    /// Gives up a claim that won and wrote nothing: nothing under the key has run.
    fn cancel(&mut self, now: Now, code: Code) -> Vec<Action> {
        let mut actions = vec![Action::Cancel];
        actions.extend(self.answer(Answer::from_code(code)));
        actions.extend(self.release(now));
        actions
    }

    /// Ends a call that may have run and whose answer is not known.
    fn lose(&mut self, now: Now) -> Vec<Action> {
        let answer = Answer::from_code(Code::CallUnknown);
        let record = Record::Done {
            slot: self.call.slot,
            nonce: self.call.nonce,
            answer: answer.clone(),
        };
        let mut actions = self.answer(answer);
        actions.extend(self.close(now, record));
        actions
    }

    fn release(&mut self, now: Now) -> Vec<Action> {
        let record = Record::Released {
            slot: self.call.slot,
            nonce: self.call.nonce,
        };
        self.close(now, record)
    }

    fn close(&mut self, now: Now, record: Record) -> Vec<Action> {
        self.closing = Some(Closing {
            record: record.clone(),
            since: now.tick,
            interval: self.config.resubmit_interval,
            next: now.tick + self.config.resubmit_interval,
        });
        vec![Action::Submit(record)]
    }

    fn answer(&mut self, answer: Answer) -> Vec<Action> {
        self.phase = Phase::Ended;
        vec![Action::Answer(answer)]
    }

    /// Chooses the code for an attempt that never calls: `not run` needs to know that no earlier
    /// one has run.
    const fn refusal(&self, code: Code) -> Code {
        if self.call.first {
            code
        } else {
            Code::EarlierUnknown
        }
    }
}
