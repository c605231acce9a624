//! Entry instances: admission, stages, attempts and retries.

use core::time::Duration;

use admit::{Action, Event as Admission, Verdict};
use base::{Code, Name, Tick, attempt::Attempt, request::Id};
use route::Failure;

use super::{CALLER_HOP_MICROS, CONNECT_TIMEOUT_MICROS, Event, Simulation};
use crate::{
    agent::Query,
    call::{Call, Dispatch, Phase},
    policy::Retries,
};

/// Pause before a retry.
const RETRY_PAUSE_MICROS: u64 = 10_000;
/// How many servers one request may crash.
const MAX_CRASHES: u32 = 2;

impl Simulation<'_> {
    pub(super) fn arrive(&mut self, job: usize, instance: usize) {
        if !self.agents[instance].up {
            return self.handle_disconnect(job);
        }
        if self.policy.isolates_suspects && self.jobs[job].crashes >= MAX_CRASHES {
            return self.handle_refusal(job, Code::RequestHarmful, None);
        }
        let call = self.new_call(job, instance);
        let deadline = self.trace.requests[job].deadline;
        self.schedule_at(deadline, Event::Deadline { call });
        if !self.policy.admission {
            return self.start(call);
        }
        match self.request_admission(call) {
            Verdict::Start => self.start(call),
            Verdict::Queued => {}
            Verdict::Refused(refusal) => {
                self.refuse(call, refusal.code, Some(refusal.retry_after));
            }
        }
    }

    fn new_call(&mut self, job: usize, instance: usize) -> usize {
        let call = self.calls.len();
        self.calls.push(Call {
            job,
            id: Id::from_random(call as u128),
            instance,
            phase: Phase::Queued,
            stage: 0,
            stage_started_at: self.tick(),
            attempts: 0,
            tried: Vec::new(),
            dispatch: None,
            cost: 0.0,
        });
        call
    }

    fn request_admission(&mut self, call: usize) -> Verdict {
        let request = &self.trace.requests[self.calls[call].job];
        let pipeline = &self.size.pipelines[request.pipeline];
        let ask = admit::Request {
            id: self.calls[call].id,
            account: Name::from(self.size.accounts[request.account].name.as_str()),
            pipeline: Name::from(pipeline.name),
            priority: pipeline.priority,
            deadline: Tick::from_micros(request.deadline.saturating_sub(CALLER_HOP_MICROS)),
            issued_at: Tick::from_micros(request.at),
        };
        let mut cx = admit::Context {
            now: Tick::from_micros(self.now),
            rng: &mut self.rng,
        };
        self.agents[self.calls[call].instance]
            .admission
            .offer(&mut cx, ask)
    }

    pub(super) fn admission_event(&mut self, instance: usize, event: Admission) {
        let mut cx = admit::Context {
            now: Tick::from_micros(self.now),
            rng: &mut self.rng,
        };
        let actions = self.agents[instance].admission.handle(&mut cx, event);
        self.act(actions);
    }

    pub(super) fn admission_tick(&mut self, instance: usize) {
        let mut cx = admit::Context {
            now: Tick::from_micros(self.now),
            rng: &mut self.rng,
        };
        let actions = self.agents[instance].admission.tick(&mut cx);
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => self.start(call_index(id)),
                Action::Refuse(id, refusal) => {
                    self.refuse(call_index(id), refusal.code, Some(refusal.retry_after));
                }
            }
        }
    }

    fn start(&mut self, call: usize) {
        self.calls[call].phase = Phase::Running;
        self.calls[call].stage_started_at = self.tick();
        self.attempt(call);
    }

    /// Sends an attempt at the current stage.
    fn attempt(&mut self, call: usize) {
        let (job, instance, stage) = {
            let call = &self.calls[call];
            (call.job, call.instance, call.stage)
        };
        let request = &self.trace.requests[job];
        let pool = self.size.pipelines[request.pipeline].stages[stage];
        let query = Query {
            pool,
            prefix: (self.size.pools[pool].prefix_tokens > 0).then_some(request.prefix),
            exclusive: self.policy.isolates_suspects && self.jobs[job].crashes > 0,
            call: &self.calls[call],
        };
        let now = Tick::from_micros(self.now);
        let picked = self.agents[instance].pick(self.policy, self.size, now, &mut self.rng, &query);
        match picked {
            Ok((server, incarnation)) => self.send(call, pool, server, incarnation),
            Err(wait) if needs_exclusive_server(&self.policy, self.jobs[job].crashes) => {
                self.pause(call, micros(wait));
            }
            Err(wait) => self.unavailable(call, wait),
        }
    }

    fn send(&mut self, call: usize, pool: usize, server: usize, incarnation: base::Incarnation) {
        let instance = self.calls[call].instance;
        let number = self.calls[call].attempts;
        let stage = self.calls[call].stage;
        let attempt = Attempt::new(self.calls[call].id, stage as u16, number as u16);
        let dispatch = self.dispatches.len();
        self.dispatches.push(Dispatch {
            call,
            attempt,
            server,
            incarnation: incarnation.clone(),
            sent: self.tick(),
            started_at: None,
            open: true,
            hit: false,
        });
        self.calls[call].dispatch = Some(dispatch);
        self.calls[call].attempts += 1;
        let job = self.calls[call].job;
        self.jobs[job].attempts += u32::from(pool == self.size.main);
        let prefix = self.size.pools[pool].prefix_tokens > 0;
        let prefix = prefix.then(|| self.trace.requests[job].prefix);
        let now = self.tick();
        let (stage, account) = self.labels(call);
        let agent = &mut self.agents[instance];
        agent.record_sent(server);
        if number == 0 {
            agent.record_first_attempt(now, &stage, &account);
        }
        let event = route::Event::Started {
            attempt,
            server: incarnation,
            prefix,
        };
        agent.table.handle(now, event);
        let hop = self.hop_latency(instance, server);
        if self.servers[server].silent {
            let kind = Failure::ConnectFailed;
            return self.schedule_after(CONNECT_TIMEOUT_MICROS, Event::Fail { dispatch, kind });
        }
        self.schedule_after(hop, Event::Receive { dispatch });
    }

    pub(super) fn answer(&mut self, dispatch: usize) {
        if !self.dispatches[dispatch].open {
            return;
        }
        self.dispatches[dispatch].open = false;
        let (call, server) = (
            self.dispatches[dispatch].call,
            self.dispatches[dispatch].server,
        );
        let instance = self.calls[call].instance;
        let took = self.tick() - self.dispatches[dispatch].sent;
        let attempt = self.dispatches[dispatch].attempt;
        let incarnation = self.dispatches[dispatch].incarnation.clone();
        self.agents[instance].record_ended(server);
        let prefix = self.request(dispatch).prefix;
        let missed = !self.dispatches[dispatch].hit
            && self.size.pools[self.servers[server].pool].prefix_tokens > 0;
        let now = self.tick();
        let table = &mut self.agents[instance].table;
        if missed {
            let server = incarnation.clone();
            table.handle(now, route::Event::CacheMiss { server, prefix });
        }
        let server = incarnation;
        let event = route::Event::Finished {
            attempt,
            server,
            elapsed: took,
        };
        table.handle(now, event);
        self.advance(call);
    }

    fn advance(&mut self, call: usize) {
        let job = self.calls[call].job;
        let pipeline = self.trace.requests[job].pipeline;
        let (stage, instance) = (self.calls[call].stage, self.calls[call].instance);
        let took = self.tick() - self.calls[call].stage_started_at;
        let now = self.tick();
        let id = self.calls[call].id;
        self.calls[call].dispatch = None;
        self.calls[call].stage += 1;
        self.calls[call].stage_started_at = now;
        self.calls[call].attempts = 0;
        self.calls[call].tried.clear();
        if self.policy.admission {
            let event = Admission::StageFinished {
                request: id,
                stage,
                elapsed: took,
            };
            self.admission_event(instance, event);
        }
        if stage + 1 < self.size.pipelines[pipeline].stages.len() {
            return self.attempt(call);
        }
        if self.now + CALLER_HOP_MICROS <= self.trace.requests[job].deadline {
            self.jobs[job].answered = true;
            let took = self.now + CALLER_HOP_MICROS - self.trace.requests[job].at;
            self.jobs[job].took = took as f64 / 1e6;
            self.jobs[job].waste -= self.calls[call].cost;
            self.jobs[job].crashes = 0;
        }
        self.close(call);
    }

    pub(super) fn fail(&mut self, dispatch: usize, kind: Failure) {
        if !self.dispatches[dispatch].open {
            return;
        }
        self.dispatches[dispatch].open = false;
        let (call, server) = (
            self.dispatches[dispatch].call,
            self.dispatches[dispatch].server,
        );
        let instance = self.calls[call].instance;
        self.agents[instance].record_ended(server);
        let event = route::Event::Failed {
            attempt: self.dispatches[dispatch].attempt,
            server: self.dispatches[dispatch].incarnation.clone(),
            kind,
        };
        let now = self.tick();
        self.agents[instance].table.handle(now, event);
        self.capacity(instance, self.servers[server].pool);
        self.calls[call].dispatch = None;
        let tried = self.dispatches[dispatch].incarnation.clone();
        self.calls[call].tried.push(tried);
        self.retry(call);
    }

    fn retry(&mut self, call: usize) {
        let (job, instance) = (self.calls[call].job, self.calls[call].instance);
        if self.policy.isolates_suspects && self.jobs[job].crashes >= MAX_CRASHES {
            return self.refuse(call, Code::RequestHarmful, None);
        }
        let allowed = match self.policy.retries {
            Retries::Budget => {
                let (stage, account) = self.labels(call);
                let now = self.tick();
                self.agents[instance].withdraw_retry(now, &stage, &account)
            }
            Retries::Fixed(most) => self.calls[call].attempts <= most,
            Retries::Unlimited => true,
        };
        if !allowed {
            return self.refuse(call, Code::RetriesSpent, None);
        }
        if self.policy.retries == Retries::Unlimited {
            self.calls[call].tried.clear();
        }
        self.pause(call, RETRY_PAUSE_MICROS);
    }

    /// Returns the pool of a call's current stage and the call's account.
    fn labels(&self, call: usize) -> (Name, Name) {
        let request = &self.trace.requests[self.calls[call].job];
        let stages = &self.size.pipelines[request.pipeline].stages;
        let pool = &self.size.pools[stages[self.calls[call].stage]];
        let account = &self.size.accounts[request.account];
        (Name::from(pool.name), Name::from(account.name.as_str()))
    }

    fn pause(&mut self, call: usize, span: u64) {
        self.calls[call].phase = Phase::RetryWait;
        self.schedule_after(span, Event::Retry { call });
    }

    pub(super) fn resume_retry(&mut self, call: usize) {
        if self.calls[call].phase == Phase::RetryWait {
            self.calls[call].phase = Phase::Running;
            self.attempt(call);
        }
    }

    fn unavailable(&mut self, call: usize, wait: Duration) {
        if self.policy.retries == Retries::Unlimited {
            return self.pause(call, RETRY_PAUSE_MICROS);
        }
        self.refuse(call, Code::StageUnavailable, Some(wait));
    }

    pub(super) fn deadline(&mut self, call: usize) {
        if self.calls[call].phase != Phase::Ended {
            self.cancel(call);
            self.refuse(call, Code::DeadlinePassed, None);
        }
    }

    fn cancel(&mut self, call: usize) {
        if let Some(dispatch) = self.calls[call].dispatch {
            let event = route::Event::Failed {
                attempt: self.dispatches[dispatch].attempt,
                server: self.dispatches[dispatch].incarnation.clone(),
                kind: Failure::Cancelled,
            };
            let now = self.tick();
            let server = self.dispatches[dispatch].server;
            let agent = &mut self.agents[self.calls[call].instance];
            agent.record_ended(server);
            agent.table.handle(now, event);
        }
        self.cancel_dispatch(call);
    }

    fn refuse(&mut self, call: usize, code: Code, retry_after: Option<Duration>) {
        self.close(call);
        self.handle_refusal(self.calls[call].job, code, retry_after.map(micros));
    }

    /// Ends a call and reports it to the admission controller.
    fn close(&mut self, call: usize) {
        let waited = self.calls[call].phase == Phase::Queued;
        self.calls[call].phase = Phase::Ended;
        if !self.policy.admission {
            return;
        }
        let request = self.calls[call].id;
        let event = if waited {
            Admission::Cancelled { request }
        } else {
            let cost = self.calls[call].cost;
            Admission::Finished { request, cost }
        };
        self.admission_event(self.calls[call].instance, event);
    }
}

/// Returns whether a request needs a server of its own.
const fn needs_exclusive_server(policy: &crate::Policy, crashes: u32) -> bool {
    policy.isolates_suspects && crashes > 0
}

/// Returns the index of the call with this id.
fn call_index(id: Id) -> usize {
    // An id is the index of the call with the version and variant bits set.
    let text = id.to_string();
    usize::from_str_radix(&text[24..], 16).unwrap_or_default()
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
