//! Runs one request through its pipeline: [`Request`] decides which action is next, and this module
//! performs its input and output.

mod admission;
mod metrics;

use core::time::Duration;
use std::rc::Rc;

use base::{Code, Digest, Incarnation, Outcome, Tick, attempt::Attempt, request::Id};
use bundle::content::Kind;
use flow::{Action, Answer, Event, Request, request::Context};
use front::Submission;
use retry::suspect::Verdict;
use serde_json::Value;
use tokio::{sync::oneshot, time};

use crate::plane::{
    Flight, Plane,
    call::{self, Call, Completion as CallCompletion},
    claim::{self, Holder, Recall},
    prefix::{self, Prefix},
    sink::{Sink, Text},
    suspect,
    validation::{self, Execution},
};

/// The `Retry-After` of a request that was abandoned.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How often a request with suspect content looks for an idle server.
const IDLE_SERVER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A request that is being served.
pub(crate) struct Runner {
    submission: Submission,
    /// Whether a non-idempotent call is in flight.
    is_calling: bool,
    /// Identifies the content of the request, independent of its key.
    content: Digest,
    flight: Flight,
    id: Id,
    execution: Execution,
    holder: Option<Holder>,
    choice: Option<route::Choice>,
    prefix: Option<Prefix>,
    plane: Rc<Plane>,
    /// Whether the answer comes from the ledger's record of the key.
    is_recalled: bool,
    request: Request,
    sink: Option<Sink>,
    started: Tick,
    text: Text,
}

/// How a request ended.
enum Completion {
    Answer(Answer),
    /// The caller has disconnected.
    CallerGone,
}

impl Runner {
    pub(crate) fn new(
        plane: Rc<Plane>,
        id: Id,
        submission: &Submission,
        execution: Execution,
        sink: Option<Sink>,
    ) -> Self {
        let holder = prepare_holder(&plane, submission, &execution);
        Self {
            submission: submission.clone(),
            is_calling: false,
            content: suspect::content_digest(
                &execution.account,
                &execution.pipeline.name,
                &submission.digest,
            ),
            flight: Flight::new(&plane.shared),
            id,
            holder,
            choice: None,
            prefix: None,
            is_recalled: false,
            request: Request::new(id, execution.pipeline.clone(), submission.input.clone()),
            sink,
            started: plane.shared.clock.tick(),
            text: Text::default(),
            execution,
            plane,
        }
    }

    /// Runs the request to its end and sends the answer.
    pub(crate) async fn run(mut self, mut caller: oneshot::Sender<Answer>) {
        // A request with a non-idempotent call continues after its caller disconnects, so that the
        // outcome of the call is recorded.
        let completion = if self.holder.is_some() {
            self.serve().await
        } else {
            tokio::select! {
                completion = self.serve() => completion,
                () = caller.closed(), if self.is_unary() => Completion::CallerGone,
            }
        };
        self.finish(completion, caller).await;
    }

    const fn is_unary(&self) -> bool {
        self.sink.is_none()
    }

    async fn serve(&mut self) -> Completion {
        let first = match self.recall().await {
            Ok(event) => event,
            Err(answer) => {
                self.is_recalled = true;
                return Completion::Answer(answer);
            }
        };
        if first == Event::Admitted
            && suspect::verdict(&self.plane, &self.content) == Verdict::Refused
        {
            let answer = Answer::refusal(Code::RequestHarmful, Code::RequestHarmful.title());
            return Completion::Answer(answer.with_outcome(Outcome::NotRun));
        }
        // A recorded answer to a repeat needs no admission, since nothing runs.
        if first == Event::Admitted
            && let Err(answer) = self.admit().await
        {
            return Completion::Answer(answer);
        }
        self.advance(first).await
    }

    /// Looks the key up in the ledger, unless the caller says that it is new.
    async fn recall(&mut self) -> Result<Event, Answer> {
        let Some(holder) = self
            .holder
            .as_mut()
            .filter(|_| !self.submission.is_first_use)
        else {
            return Ok(Event::Admitted);
        };
        let time_left = self.execution.deadline - self.plane.shared.clock.tick();
        match time::timeout(time_left, holder.recall(&self.plane)).await {
            Ok(Recall::Unclaimed) => Ok(Event::Admitted),
            Ok(Recall::Completed(output)) => Ok(Event::Recalled { output }),
            Ok(Recall::Refused(answer)) => Err(answer),
            Err(_) => {
                let answer = Answer::refusal(Code::EarlierUnknown, "the deadline passed");
                Err(holder.release(&self.plane, answer.with_retry_after(RETRY_AFTER)))
            }
        }
    }

    async fn advance(&mut self, first: Event) -> Completion {
        let mut event = first;
        loop {
            let context = self.context();
            let mut action = self.request.handle(context, event);
            if let Action::RecordOutput { output } = action {
                self.record_output(&output);
                action = self.request.resume(self.context());
            }
            let time_left = self.execution.deadline - self.plane.shared.clock.tick();
            event = match time::timeout(time_left, self.execute(action)).await {
                Ok(Step::Event(event)) => event,
                Ok(Step::Complete(completion)) => return completion,
                Err(_) => {
                    self.abandon_call();
                    Event::DeadlinePassed
                }
            };
        }
    }

    async fn execute(&mut self, action: Action) -> Step {
        match action {
            Action::RequestRetry => Step::Event(self.request_retry()),
            Action::Call {
                attempt,
                server,
                input,
                first_token,
                idempotent,
            } => {
                self.call(attempt, server, input, first_token, idempotent)
                    .await
            }
            Action::Claim => match &mut self.holder {
                Some(holder) => Step::Event(holder.claim(&self.plane).await),
                None => Step::Complete(Completion::Answer(internal("a claim without a key"))),
            },
            Action::Finish(answer) => Step::Complete(Completion::Answer(answer)),
            Action::Nothing | Action::RecordOutput { .. } => {
                Step::Complete(Completion::Answer(internal("an event out of place")))
            }
            Action::Pick { exclude } => Step::Event(self.pick(&exclude).await),
            Action::Release(answer) => {
                let answer = match &mut self.holder {
                    Some(holder) => holder.release(&self.plane, answer),
                    None => answer,
                };
                Step::Complete(Completion::Answer(answer))
            }
        }
    }

    /// Picks a server. A request with suspect content waits for an idle one, so that a crash harms no
    /// other request.
    async fn pick(&mut self, exclude: &[Incarnation]) -> Event {
        loop {
            let event = self.pick_now(exclude);
            let is_exclusive = suspect::verdict(&self.plane, &self.content) == Verdict::PermitOnly;
            if !is_exclusive || !matches!(event, Event::NoServer { .. }) {
                return event;
            }
            time::sleep(IDLE_SERVER_POLL_INTERVAL).await;
        }
    }

    fn pick_now(&mut self, exclude: &[Incarnation]) -> Event {
        let pool = self.request.stage().pool.clone();
        let prefix = self.find_prefix();
        let routing = route::Request {
            exclusive: suspect::verdict(&self.plane, &self.content) == Verdict::PermitOnly,
            exclude,
            prefix: prefix.map(|prefix| prefix.digest),
            prefill_tokens: prefix.map_or(0, |prefix| prefix.tokens),
            ..route::Request::any(pool.as_str())
        };
        let own_domain = &self.plane.shared.settings.domain;
        let choice = self.plane.inner.borrow_mut().pick(own_domain, &routing);
        self.prefix = prefix;
        if exclude.is_empty() {
            let now = self.plane.shared.clock.tick();
            let mut inner = self.plane.inner.borrow_mut();
            inner.budget.deposit(now, &pool, &self.execution.account);
        }
        match choice {
            Ok(choice) => {
                let server = choice.incarnation.clone();
                self.choice = Some(choice);
                Event::Picked { server }
            }
            Err(error) => Event::NoServer {
                retry_after: error.retry_after,
            },
        }
    }

    /// Returns the prompt's prefix if the stage generates text.
    fn find_prefix(&self) -> Option<Prefix> {
        let pool = self.execution.pools.get(self.request.stage_index())?;
        if pool.kind != Kind::Generate {
            return None;
        }
        Some(prefix::from_input(
            self.request.stage().operation(),
            &self.request.input(),
        ))
    }

    async fn call(
        &mut self,
        attempt: Attempt,
        server: Incarnation,
        input: Value,
        first_token: u64,
        idempotent: bool,
    ) -> Step {
        let index = self.request.stage_index();
        let Some((choice, pool)) = self.choice.take().zip(self.execution.pools.get(index)) else {
            return Step::Complete(Completion::Answer(internal("a call without a server")));
        };
        if !suspect::wait_for_permit(&self.plane, self.content, &server).await {
            return Step::Event(Event::Harmful);
        }
        let time_left = self.execution.deadline - self.plane.shared.clock.tick();
        // A paused process finds what it waited for before its timers.
        if time_left.is_zero() {
            return Step::Event(Event::Expired);
        }
        if let Some(holder) = self.holder.as_mut().filter(|_| !idempotent)
            && !holder.permit_call(&self.plane)
        {
            return Step::Complete(Completion::Answer(internal(
                "a call after its claim was given up",
            )));
        }
        let limits = self
            .plane
            .inner
            .borrow()
            .timeouts
            .limits(&pool.name, time_left);
        let call = Call {
            call: backend::Call {
                account: self.execution.account.clone(),
                address: choice.address,
                attempt,
                part_timeout: limits.gap,
                time_left,
                head_timeout: limits.first_byte,
                first_token,
                idempotent,
                input,
                key: self.submission.key,
                operation: self.request.stage().operation().clone(),
                priority: self.execution.pipeline.priority,
            },
            content: self.content,
            pipeline: &self.execution.pipeline.name,
            pool,
            prefix: self.prefix.map(|prefix| prefix.digest),
            server,
            stage: &self.request.stage().name,
            is_last: index + 1 == self.execution.pipeline.stages.len(),
        };
        self.is_calling = !idempotent;
        let completion = call::run(&self.plane, call, &mut self.text, self.sink.as_mut()).await;
        self.is_calling = false;
        let count = self.text.count;
        self.request
            .handle(self.context(), Event::Progressed { count });
        match completion {
            CallCompletion::Event(event) => {
                self.record_call_failure(&event, idempotent);
                Step::Event(event)
            }
            CallCompletion::CallerGone => Step::Complete(Completion::CallerGone),
        }
    }

    /// Records with the claim whether its failed call may have run.
    fn record_call_failure(&mut self, event: &Event, idempotent: bool) {
        let Some(holder) = self.holder.as_mut().filter(|_| !idempotent) else {
            return;
        };
        if let Event::Failed { failure, .. } = event {
            if failure.may_have_run() {
                holder.record_failure(&self.plane);
            } else {
                holder.record_not_run(&self.plane);
            }
        }
    }

    /// Abandons the claim if the deadline passed while its call was in flight.
    fn abandon_call(&mut self) {
        if !self.is_calling {
            return;
        }
        if let Some(holder) = &mut self.holder {
            holder.abandon(&self.plane);
        }
    }

    fn record_output(&mut self, output: &Value) {
        if let Some(holder) = &mut self.holder {
            holder.record_output(&self.plane, output);
        }
    }

    fn request_retry(&self) -> Event {
        let now = self.plane.shared.clock.tick();
        let pool = &self.request.stage().pool;
        let mut inner = self.plane.inner.borrow_mut();
        match inner
            .budget
            .try_withdraw(now, pool, &self.execution.account)
        {
            Ok(()) => Event::RetryGranted,
            Err(_) => Event::RetryDenied,
        }
    }

    async fn finish(mut self, completion: Completion, caller: oneshot::Sender<Answer>) {
        let answer = match completion {
            Completion::Answer(answer) => answer,
            Completion::CallerGone => {
                if let Some(holder) = &mut self.holder {
                    holder.abandon(&self.plane);
                }
                internal("the caller has gone")
            }
        };
        // Unless this request holds the claim, another attempt under the key may have run since the
        // lookup. An answer from the ledger itself is definite.
        let answer = match &self.holder {
            Some(holder) if !holder.is_started() && !self.is_recalled => {
                validation::weaken_outcome(&self.submission, answer)
            }
            _ => answer,
        };
        self.record_metrics(&answer);
        if let Some(sink) = &mut self.sink {
            sink.finish(answer.clone(), &self.text).await;
        }
        // The caller may have disconnected.
        let _disconnected = caller.send(answer);
        drop(self.flight);
    }

    fn context(&self) -> Context {
        Context {
            now: self.plane.shared.clock.tick(),
        }
    }
}

/// What follows an action: the next event of the request, or its end.
enum Step {
    Event(Event),
    Complete(Completion),
}

fn prepare_holder(plane: &Plane, submission: &Submission, execution: &Execution) -> Option<Holder> {
    execution.pipeline.non_idempotent_stage()?;
    let key = submission.key?;
    let bits = plane.inner.borrow_mut().random_bits();
    Some(Holder::new(ledger::claim::Call {
        slot: Holder::slot(&execution.account, &key),
        nonce: claim::nonce(bits),
        holder: plane.shared.incarnation.clone(),
        body: submission.digest,
        first: submission.is_first_use,
    }))
}

fn internal(detail: &str) -> Answer {
    Answer::refusal(Code::Internal, detail).with_outcome(Outcome::Unknown)
}
