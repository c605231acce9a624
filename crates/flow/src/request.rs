//! The state machine of one request.

mod failure;

use base::{Code, Incarnation, Outcome, Tick, attempt::Attempt, request::Id};
use bundle::content::{Pipeline, Stage};
use serde_json::{Value, json};

use crate::{Action, Answer, Event, Failure, answer};

/// The clock that a decision uses.
#[derive(Clone, Copy, Debug)]
pub struct Context {
    /// The current time.
    pub now: Tick,
}

/// The execution of one request through its pipeline.
#[derive(Debug)]
pub struct Request {
    id: Id,
    pipeline: Pipeline,
    input: Value,
    /// The output of the previous stage; null at the first one.
    previous_output: Value,
    /// The index of the current stage.
    stage: usize,
    phase: Phase,
    /// Number of retries at the current stage.
    retries: u16,
    stage_start: Tick,
    stage_cost: f64,
    /// Number of times that a streamed answer continued on another server.
    resumptions: u16,
    /// Number of retries after a server was dead or unreachable that did not use the retry budget.
    server_deaths: u16,
    /// Servers that failed the current stage.
    exclude: Vec<Incarnation>,
    /// Those of them that may be reachable over a new connection.
    reusable: Vec<Incarnation>,
    last_failure: Option<Failure>,
    /// Number of tokens of the streamed answer that were sent to the caller.
    emitted_tokens: u64,
    /// The number of tokens sent when the current attempt began.
    attempt_first_token: u64,
    finished_stages: Vec<answer::Stage>,
    execution: Execution,
}

/// What the request waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Admission, or [`Request::resume`] after the output of a claimed call.
    Admission,
    /// The decision of the retry budget.
    Budget,
    /// The result of an attempt.
    Call(Attempt),
    /// The claim on the call of the current stage.
    Claim,
    /// Nothing, as the request has ended.
    End,
    /// The selection of a backend server.
    Pick,
}

/// What may have run on behalf of the request.
#[derive(Clone, Copy, Debug, Default)]
struct Execution {
    /// An idempotent call was sent.
    idempotent_was_sent: bool,
    /// This request won the claim on the non-idempotent call.
    is_claimed: bool,
    /// The non-idempotent call may have run, for this or for an earlier request under the same key.
    non_idempotent_may_have_run: bool,
}

impl Request {
    /// Creates a request that waits for admission.
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
    /// let action = request.handle(cx, Event::Admitted);
    /// assert!(matches!(action, Action::Pick { .. }));
    /// ```
    pub fn new(id: Id, pipeline: Pipeline, input: Value) -> Self {
        Self {
            id,
            pipeline,
            input,
            previous_output: Value::Null,
            stage: 0,
            phase: Phase::Admission,
            retries: 0,
            stage_start: Tick::default(),
            stage_cost: 0.0,
            resumptions: 0,
            server_deaths: 0,
            exclude: Vec::new(),
            reusable: Vec::new(),
            last_failure: None,
            emitted_tokens: 0,
            attempt_first_token: 0,
            finished_stages: Vec::new(),
            execution: Execution::default(),
        }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> &Stage {
        &self.pipeline.stages[self.stage.min(self.pipeline.stages.len() - 1)]
    }

    /// Returns the index of the current stage.
    pub const fn stage_index(&self) -> usize {
        self.stage
    }

    /// Returns the input of the current stage: the caller's input and the output of the previous stage.
    pub fn input(&self) -> Value {
        json!({ "request": self.input, "previous": self.previous_output })
    }

    /// Handles an event and returns what the driver must do next.
    ///
    /// An event of an attempt that was abandoned earlier is ignored.
    pub fn handle(&mut self, cx: Context, event: Event) -> Action {
        match event {
            Event::Admitted if self.phase == Phase::Admission => self.enter_stage(cx),
            Event::ClaimWon if self.phase == Phase::Claim => {
                self.execution.is_claimed = true;
                self.pick()
            }
            Event::ClaimDone { output } if self.phase == Phase::Claim => {
                self.execution.non_idempotent_may_have_run = true;
                self.finish_stage(cx, output)
            }
            Event::ClaimRefused { code, detail } if self.phase == Phase::Claim => {
                self.refuse_claim(code, detail)
            }
            Event::DeadlinePassed => self.abandon(Code::DeadlinePassed, "deadline passed"),
            Event::Diverged => {
                self.refuse(Code::StreamDiverged, Code::StreamDiverged.title(), None)
            }
            Event::Failed {
                attempt,
                failure,
                cost,
            } if self.phase == Phase::Call(attempt) => self.handle_failure(failure, cost),
            Event::Expired if matches!(self.phase, Phase::Call(_)) => {
                self.skip_call(Code::DeadlinePassed)
            }
            Event::Harmful if matches!(self.phase, Phase::Call(_)) => {
                self.skip_call(Code::RequestHarmful)
            }
            Event::NoServer { retry_after } if self.phase == Phase::Pick => {
                self.handle_no_server(retry_after)
            }
            Event::Picked { server } if self.phase == Phase::Pick => self.call(server),
            Event::Progressed { count } => {
                self.emitted_tokens = self.emitted_tokens.max(count);
                Action::Nothing
            }
            Event::Replied {
                attempt,
                output,
                cost,
            } if self.phase == Phase::Call(attempt) => {
                self.stage_cost += cost;
                self.finish_stage(cx, output)
            }
            Event::Recalled { output } if self.phase == Phase::Admission => self.recall(cx, output),
            Event::RetryGranted if self.phase == Phase::Budget => self.retry(),
            Event::RetryDenied if self.phase == Phase::Budget => self.deny_retry(),
            _ => Action::Nothing,
        }
    }

    /// Continues after the non-idempotent stage, whose output the ledger holds.
    fn recall(&mut self, cx: Context, output: Value) -> Action {
        let Some(stage) = self.pipeline.non_idempotent_stage() else {
            return self.enter_stage(cx);
        };
        self.stage = stage;
        self.stage_start = cx.now;
        self.execution.non_idempotent_may_have_run = true;
        self.finish_stage(cx, output)
    }

    /// Starts the current stage; a call that is not idempotent is claimed first.
    fn enter_stage(&mut self, cx: Context) -> Action {
        self.stage_start = cx.now;
        self.retries = 0;
        self.stage_cost = 0.0;
        self.exclude.clear();
        self.reusable.clear();
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
        let attempt = Attempt::new(self.id, stage, self.retries);
        let idempotent = self.stage().idempotent;
        self.phase = Phase::Call(attempt);
        self.attempt_first_token = self.emitted_tokens;
        self.exclude.push(server.clone());
        if idempotent {
            self.execution.idempotent_was_sent = true;
        } else {
            // The call may be running until the driver reports otherwise.
            self.execution.non_idempotent_may_have_run = true;
        }
        Action::Call {
            attempt,
            server,
            input: self.input(),
            first_token: self.emitted_tokens,
            idempotent,
        }
    }

    fn finish_stage(&mut self, cx: Context, output: Value) -> Action {
        let name = self.stage().name.clone();
        let is_non_idempotent = !self.stage().idempotent;
        self.finished_stages.push(answer::Stage {
            name,
            took_ms: (cx.now - self.stage_start).as_secs_f64() * 1_000.0,
            cost: self.stage_cost,
            attempts: self.retries + 1,
        });
        self.previous_output = output;
        self.stage += 1;
        if is_non_idempotent && self.execution.is_claimed {
            self.phase = Phase::Admission;
            return Action::RecordOutput {
                output: self.previous_output.clone(),
            };
        }
        self.next_stage(cx)
    }

    /// Continues after the output of a claimed call was recorded or could not be recorded.
    ///
    /// The caller gets the answer in both cases, because the call has run and its claim prevents it from
    /// running again.
    pub fn resume(&mut self, cx: Context) -> Action {
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
            output: self.previous_output.clone(),
            retry_after: None,
            stages: self.finished_stages.clone(),
            detail: String::new(),
        })
    }

    fn retry(&mut self) -> Action {
        self.retries += 1;
        self.pick()
    }
}
