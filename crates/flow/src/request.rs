//! The state machine of one request.

mod failing;

use base::{Code, Incarnation, Outcome, Tick, attempt::Attempt, request::Id};
use bundle::content::{Pipeline, Stage};
use serde_json::{Value, json};

use crate::{Action, Answer, Event, Failure, answer};

/// What a request may see when it decides.
#[derive(Clone, Copy, Debug)]
pub struct Context {
    /// The present instant.
    pub now: Tick,
}

/// One request on its way through its pipeline.
#[derive(Debug)]
pub struct Request {
    id: Id,
    pipeline: Pipeline,
    input: Value,
    previous: Value,
    stage: usize,
    phase: Phase,
    number: u16,
    since: Tick,
    spent: f64,
    continuations: u16,
    deaths: u16,
    /// Servers that failed the present stage.
    exclude: Vec<Incarnation>,
    /// Those of them that may be well over a new connection.
    spare: Vec<Incarnation>,
    last: Option<Failure>,
    emitted: u64,
    /// The tokens that had gone out when the present attempt began.
    begun_at: u64,
    done: Vec<answer::Stage>,
    ran: Ran,
}

/// What the request waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Admission,
    Budget,
    Call(Attempt),
    Claim,
    End,
    Pick,
}

/// What may have run on behalf of the request.
#[derive(Clone, Copy, Debug, Default)]
struct Ran {
    /// A call that may be repeated was written.
    idempotent: bool,
    /// The claim on the call that may not be repeated was won by this request.
    claimed: bool,
    /// The call that may not be repeated may have run, here or in an earlier attempt.
    once: bool,
}

impl Request {
    /// Builds a request that waits for its admission.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Tick, request::Id};
    /// use flow::{Action, Event, Request, request::Context};
    ///
    /// let bundle = bundle::Bundle::from_toml(r#"
    ///     name = "tiny"
    ///     version = 1
    ///     pools = [{ name = "encoders", kind = "encode" }]
    ///     [[pipelines]]
    ///     name = "embed"
    ///     deadline_ms = 1000
    ///     stages = [{ name = "encode", pool = "encoders" }]
    /// "#).unwrap();
    /// let pipeline = bundle.pipeline("embed").unwrap().clone();
    /// let mut request = Request::new(Id::from_random(1), pipeline, "text".into());
    /// let cx = Context { now: Tick::from_millis(1) };
    /// let action = request.on(cx, Event::Admitted);
    /// assert!(matches!(action, Action::Pick { .. }));
    /// ```
    pub fn new(id: Id, pipeline: Pipeline, input: Value) -> Self {
        Self {
            id,
            pipeline,
            input,
            previous: Value::Null,
            stage: 0,
            phase: Phase::Admission,
            number: 0,
            since: Tick::default(),
            spent: 0.0,
            continuations: 0,
            deaths: 0,
            exclude: Vec::new(),
            spare: Vec::new(),
            last: None,
            emitted: 0,
            begun_at: 0,
            done: Vec::new(),
            ran: Ran::default(),
        }
    }

    /// Returns the stage that the request is at.
    pub fn stage(&self) -> &Stage {
        &self.pipeline.stages[self.stage.min(self.pipeline.stages.len() - 1)]
    }

    /// Returns the index of the stage that the request is at.
    pub const fn index(&self) -> usize {
        self.stage
    }

    /// Returns the input of the present stage: the caller's and the previous stage's output.
    pub fn input(&self) -> Value {
        json!({ "request": self.input, "previous": self.previous })
    }

    /// Takes note of an event and returns what the driver does next.
    ///
    /// An event that belongs to an attempt given up earlier changes nothing.
    pub fn on(&mut self, cx: Context, event: Event) -> Action {
        match event {
            Event::Admitted if self.phase == Phase::Admission => self.enter_stage(cx),
            Event::ClaimWon if self.phase == Phase::Claim => {
                self.ran.claimed = true;
                self.pick()
            }
            Event::ClaimDone { output } if self.phase == Phase::Claim => {
                self.ran.once = true;
                self.leave_stage(cx, output)
            }
            Event::ClaimRefused { code, detail } if self.phase == Phase::Claim => {
                self.refuse_claim(code, detail)
            }
            Event::DeadlinePassed => self.give_up(Code::DeadlinePassed, "deadline passed"),
            Event::Diverged => {
                self.refuse(Code::StreamDiverged, Code::StreamDiverged.title(), None)
            }
            Event::Failed {
                attempt,
                failure,
                cost,
            } if self.phase == Phase::Call(attempt) => self.fail(failure, cost),
            Event::Harmful if matches!(self.phase, Phase::Call(_)) => self.forgo(),
            Event::NoServer { retry_after } if self.phase == Phase::Pick => {
                self.lack_server(retry_after)
            }
            Event::Picked { server } if self.phase == Phase::Pick => self.call(server),
            Event::Progressed { count } => {
                self.emitted = self.emitted.max(count);
                Action::Nothing
            }
            Event::Replied {
                attempt,
                output,
                cost,
            } if self.phase == Phase::Call(attempt) => {
                self.spent += cost;
                self.leave_stage(cx, output)
            }
            Event::Recalled { output } if self.phase == Phase::Admission => self.recall(cx, output),
            Event::RetryGranted if self.phase == Phase::Budget => self.retry(),
            Event::RetryDenied if self.phase == Phase::Budget => self.deny_retry(),
            _ => Action::Nothing,
        }
    }

    fn recall(&mut self, cx: Context, output: Value) -> Action {
        let Some(once) = self.pipeline.non_idempotent_stage() else {
            return self.enter_stage(cx);
        };
        self.stage = once;
        self.since = cx.now;
        self.ran.once = true;
        self.leave_stage(cx, output)
    }

    fn enter_stage(&mut self, cx: Context) -> Action {
        self.since = cx.now;
        self.number = 0;
        self.spent = 0.0;
        self.exclude.clear();
        self.spare.clear();
        if self.stage().idempotent {
            return self.pick();
        }
        self.phase = Phase::Claim;
        Action::Claim
    }

    fn pick(&mut self) -> Action {
        self.phase = Phase::Pick;
        Action::Pick {
            exclude: self.exclude.clone(),
        }
    }

    fn call(&mut self, server: Incarnation) -> Action {
        let stage = u16::try_from(self.stage).unwrap_or(u16::MAX);
        let attempt = Attempt::new(self.id, stage, self.number);
        let idempotent = self.stage().idempotent;
        self.phase = Phase::Call(attempt);
        self.begun_at = self.emitted;
        self.exclude.push(server.clone());
        if idempotent {
            self.ran.idempotent = true;
        } else {
            // Until the driver says otherwise, the call may be under way.
            self.ran.once = true;
        }
        Action::Call {
            attempt,
            server,
            input: self.input(),
            from: self.emitted,
            idempotent,
        }
    }

    fn leave_stage(&mut self, cx: Context, output: Value) -> Action {
        let name = self.stage().name.clone();
        let once = !self.stage().idempotent;
        self.done.push(answer::Stage {
            name,
            took_ms: (cx.now - self.since).as_secs_f64() * 1_000.0,
            cost: self.spent,
            attempts: self.number + 1,
        });
        self.previous = output;
        self.stage += 1;
        if once && self.ran.claimed {
            self.phase = Phase::Admission;
            return Action::Settle {
                output: self.previous.clone(),
            };
        }
        self.next_stage(cx)
    }

    /// Goes on once the output of a claimed call was recorded, or could not be.
    ///
    /// The caller gets the answer either way: the call has run, and its claim keeps it from
    /// running again.
    pub fn settled(&mut self, cx: Context) -> Action {
        self.next_stage(cx)
    }

    fn next_stage(&mut self, cx: Context) -> Action {
        if self.stage < self.pipeline.stages.len() {
            return self.enter_stage(cx);
        }
        self.phase = Phase::End;
        Action::Finish(Answer {
            code: Code::Answered,
            outcome: Outcome::Answered,
            output: self.previous.clone(),
            retry_after: None,
            stages: self.done.clone(),
            detail: String::new(),
        })
    }

    fn retry(&mut self) -> Action {
        self.number += 1;
        self.pick()
    }
}
