//! Carries one request through its pipeline: the core decides, this does.

mod admission;
mod tally;

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
    call::{self, Call, End},
    judge::{self, Judged},
    once::{self, Once, Recall},
    prefix::{self, Prefix},
    sink::{Sink, Text},
    suspect,
};

/// The wait advised to a caller whose request was given up on.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The pace at which a suspect content looks for a server that has nothing else to do.
const ALONE_PACE: Duration = Duration::from_millis(50);

/// One request on its way.
pub(crate) struct Drive {
    ask: Submission,
    /// Whether the call that may not be repeated is under way.
    calling: bool,
    /// Names the content of the request, whatever its key.
    content: Digest,
    flight: Flight,
    id: Id,
    judged: Judged,
    once: Option<Once>,
    picked: Option<route::Choice>,
    prefix: Option<Prefix>,
    plane: Rc<Plane>,
    /// Whether the answer is what the ledger knows of the key.
    recalled: bool,
    request: Request,
    sink: Option<Sink>,
    started: Tick,
    text: Text,
}

/// How a request ended.
enum Over {
    Answer(Answer),
    /// Nobody waits for the answer any more.
    Gone,
}

impl Drive {
    pub(crate) fn new(
        plane: Rc<Plane>,
        id: Id,
        ask: &Submission,
        judged: Judged,
        sink: Option<Sink>,
    ) -> Self {
        let once = prepare_once(&plane, ask, &judged);
        Self {
            ask: ask.clone(),
            calling: false,
            content: suspect::content(&judged.account, &judged.pipeline.name, &ask.digest),
            flight: Flight::begin(&plane.shared),
            id,
            once,
            picked: None,
            prefix: None,
            recalled: false,
            request: Request::new(id, judged.pipeline.clone(), ask.input.clone()),
            sink,
            started: plane.shared.clock.tick(),
            text: Text::default(),
            judged,
            plane,
        }
    }

    /// Runs the request to its end and sends the answer.
    pub(crate) async fn run(mut self, mut caller: oneshot::Sender<Answer>) {
        // A request with a call that may not be repeated goes on without its caller, so that the
        // outcome of the call is recorded.
        let over = if self.once.is_some() {
            self.serve().await
        } else {
            tokio::select! {
                over = self.serve() => over,
                () = caller.closed(), if self.sink_is_none() => Over::Gone,
            }
        };
        self.finish(over, caller).await;
    }

    const fn sink_is_none(&self) -> bool {
        self.sink.is_none()
    }

    async fn serve(&mut self) -> Over {
        let first = match self.recall().await {
            Ok(event) => event,
            Err(answer) => {
                self.recalled = true;
                return Over::Answer(answer);
            }
        };
        if first == Event::Admitted
            && suspect::verdict(&self.plane, &self.content) == Verdict::Refused
        {
            let answer = Answer::refusal(Code::RequestHarmful, Code::RequestHarmful.title());
            return Over::Answer(answer.with_outcome(Outcome::NotRun));
        }
        // What the ledger keeps for a repeat costs nothing to give.
        if first == Event::Admitted
            && let Err(answer) = self.admit().await
        {
            return Over::Answer(answer);
        }
        self.advance(first).await
    }

    /// Learns what is known of the key, unless the caller says that it is new.
    async fn recall(&mut self) -> Result<Event, Answer> {
        let Some(once) = self.once.as_mut().filter(|_| !self.ask.is_first_use) else {
            return Ok(Event::Admitted);
        };
        let left = self.judged.deadline - self.plane.shared.clock.tick();
        match time::timeout(left, once.recall(&self.plane)).await {
            Ok(Recall::Free) => Ok(Event::Admitted),
            Ok(Recall::Done(output)) => Ok(Event::Recalled { output }),
            Ok(Recall::End(answer)) => Err(answer),
            Err(_) => {
                let answer = Answer::refusal(Code::EarlierUnknown, "the deadline passed");
                Err(once.release(&self.plane, answer.with_retry_after(RETRY_AFTER)))
            }
        }
    }

    async fn advance(&mut self, first: Event) -> Over {
        let mut event = first;
        loop {
            let cx = self.cx();
            let mut action = self.request.handle(cx, event);
            if let Action::RecordOutput { output } = action {
                self.settle(&output);
                action = self.request.resume(self.cx());
            }
            let left = self.judged.deadline - self.plane.shared.clock.tick();
            event = match time::timeout(left, self.act(action)).await {
                Ok(Next::Event(event)) => event,
                Ok(Next::Over(over)) => return over,
                Err(_) => {
                    self.lose_call();
                    Event::DeadlinePassed
                }
            };
        }
    }

    async fn act(&mut self, action: Action) -> Next {
        match action {
            Action::RequestRetry => Next::Event(self.ask_retry()),
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
            Action::Claim => match &mut self.once {
                Some(once) => Next::Event(once.claim(&self.plane).await),
                None => Next::Over(Over::Answer(internal("a claim without a key"))),
            },
            Action::Finish(answer) => Next::Over(Over::Answer(answer)),
            Action::Nothing | Action::RecordOutput { .. } => {
                Next::Over(Over::Answer(internal("an event out of place")))
            }
            Action::Pick { exclude } => Next::Event(self.pick(&exclude).await),
            Action::Release(answer) => {
                let answer = match &mut self.once {
                    Some(once) => once.release(&self.plane, answer),
                    None => answer,
                };
                Next::Over(Over::Answer(answer))
            }
        }
    }

    /// Picks a server; a suspect content waits until one has nothing else to do.
    async fn pick(&mut self, exclude: &[Incarnation]) -> Event {
        loop {
            let event = self.pick_now(exclude);
            let alone = suspect::verdict(&self.plane, &self.content) == Verdict::PermitOnly;
            if !alone || !matches!(event, Event::NoServer { .. }) {
                return event;
            }
            time::sleep(ALONE_PACE).await;
        }
    }

    fn pick_now(&mut self, exclude: &[Incarnation]) -> Event {
        let pool = self.request.stage().pool.clone();
        let prefix = self.find_prefix();
        let ask = route::Request {
            exclusive: suspect::verdict(&self.plane, &self.content) == Verdict::PermitOnly,
            exclude,
            prefix: prefix.map(|prefix| prefix.digest),
            prefill_tokens: prefix.map_or(0, |prefix| prefix.tokens),
            ..route::Request::any(pool.as_str())
        };
        let own_domain = &self.plane.shared.settings.domain;
        let picked = self.plane.inner.borrow_mut().pick(own_domain, &ask);
        self.prefix = prefix;
        if exclude.is_empty() {
            let now = self.plane.shared.clock.tick();
            let mut inner = self.plane.inner.borrow_mut();
            inner.budget.deposit(now, &pool, &self.judged.account);
        }
        match picked {
            Ok(pick) => {
                let server = pick.incarnation.clone();
                self.picked = Some(pick);
                Event::Picked { server }
            }
            Err(error) => Event::NoServer {
                retry_after: error.retry_after,
            },
        }
    }

    /// Names the beginning of the prompt, where the stage generates.
    fn find_prefix(&self) -> Option<Prefix> {
        let pool = self.judged.pools.get(self.request.stage_index())?;
        if pool.kind != Kind::Generate {
            return None;
        }
        Some(prefix::of(
            self.request.stage().operation(),
            &self.request.input(),
        ))
    }

    async fn call(
        &mut self,
        attempt: Attempt,
        server: Incarnation,
        input: Value,
        from: u64,
        idempotent: bool,
    ) -> Next {
        let index = self.request.stage_index();
        let Some((pick, pool)) = self.picked.take().zip(self.judged.pools.get(index)) else {
            return Next::Over(Over::Answer(internal("a call without a server")));
        };
        if !suspect::permit(&self.plane, self.content, &server).await {
            return Next::Event(Event::Harmful);
        }
        if let Some(once) = self.once.as_mut().filter(|_| !idempotent)
            && !once.write(&self.plane)
        {
            return Next::Over(Over::Answer(internal(
                "a call after its claim was given up",
            )));
        }
        let left = self.judged.deadline - self.plane.shared.clock.tick();
        let limits = self.plane.inner.borrow().paces.limits(&pool.name, left);
        let call = Call {
            call: backend::Call {
                account: self.judged.account.clone(),
                address: pick.address,
                attempt,
                part_timeout: limits.gap,
                time_left: left,
                head_timeout: limits.first_byte,
                first_token: from,
                idempotent,
                input,
                key: self.ask.key,
                operation: self.request.stage().operation().clone(),
                priority: self.judged.pipeline.priority,
            },
            content: self.content,
            pipeline: &self.judged.pipeline.name,
            pool,
            prefix: self.prefix.map(|prefix| prefix.digest),
            server,
            stage: &self.request.stage().name,
            last: index + 1 == self.judged.pipeline.stages.len(),
        };
        self.calling = !idempotent;
        let ended = call::make(&self.plane, call, &mut self.text, self.sink.as_mut()).await;
        self.calling = false;
        let count = self.text.count;
        self.request.handle(self.cx(), Event::Progressed { count });
        match ended {
            End::Event(event) => {
                self.note(&event, idempotent);
                Next::Event(event)
            }
            End::Gone => Next::Over(Over::Gone),
        }
    }

    /// Tells the claim what became of its call.
    fn note(&mut self, event: &Event, idempotent: bool) {
        let Some(once) = self.once.as_mut().filter(|_| !idempotent) else {
            return;
        };
        if let Event::Failed { failure, .. } = event {
            if failure.may_have_run() {
                once.lost(&self.plane);
            } else {
                once.refused(&self.plane);
            }
        }
    }

    /// Tells the claim that its call was cut by the deadline, if it was under way.
    fn lose_call(&mut self) {
        if !self.calling {
            return;
        }
        if let Some(once) = &mut self.once {
            once.abandon(&self.plane);
        }
    }

    fn settle(&mut self, output: &Value) {
        if let Some(once) = &mut self.once {
            once.settle(&self.plane, output);
        }
    }

    fn ask_retry(&self) -> Event {
        let now = self.plane.shared.clock.tick();
        let pool = &self.request.stage().pool;
        let mut inner = self.plane.inner.borrow_mut();
        match inner.budget.try_withdraw(now, pool, &self.judged.account) {
            Ok(()) => Event::RetryGranted,
            Err(_) => Event::RetryDenied,
        }
    }

    async fn finish(mut self, over: Over, caller: oneshot::Sender<Answer>) {
        let answer = match over {
            Over::Answer(answer) => answer,
            Over::Gone => {
                if let Some(once) = &mut self.once {
                    once.abandon(&self.plane);
                }
                internal("the caller has gone")
            }
        };
        // Without the claim, another attempt under the key may have run since the ledger was asked; its
        // own word on the key stands.
        let answer = match &self.once {
            Some(once) if !once.is_started() && !self.recalled => judge::unsure(&self.ask, answer),
            _ => answer,
        };
        self.measure(&answer);
        if let Some(sink) = &mut self.sink {
            sink.end(answer.clone(), &self.text).await;
        }
        // The caller may have gone.
        let _gone = caller.send(answer);
        drop(self.flight);
    }

    fn cx(&self) -> Context {
        Context {
            now: self.plane.shared.clock.tick(),
        }
    }
}

/// What follows an action.
enum Next {
    Event(Event),
    Over(Over),
}

fn prepare_once(plane: &Plane, ask: &Submission, judged: &Judged) -> Option<Once> {
    judged.pipeline.non_idempotent_stage()?;
    let key = ask.key?;
    let bits = plane.inner.borrow_mut().bits();
    Some(Once::new(ledger::claim::Call {
        slot: Once::slot(&judged.account, &key),
        nonce: once::nonce(bits),
        holder: plane.shared.incarnation.clone(),
        body: ask.digest,
        first: ask.is_first_use,
    }))
}

fn internal(detail: &str) -> Answer {
    Answer::refusal(Code::Internal, detail).with_outcome(Outcome::Unknown)
}
