//! Runs the stages of a request and sends it to a backend server.

use core::{pin::pin, time::Duration};
use std::rc::Rc;

use base::{Code, Name, Outcome, Tick};
use bytes::{Bytes, BytesMut};
use futures_util::future::Either;
use pick::{engine, fleet::Completion, plain};
use rand::RngExt;
use site::route::Kind;
use tokio::time;

use crate::{
    Body, Failure, Hub, Job, Reply, Transport,
    guard::Guard,
    hub::completion_of,
    origin,
    pending::{self, Event, Pending},
    policy::{self, Decision},
    stages::{self, Inputs},
};

/// The answer of a backend server.
pub enum Answer<E: Transport> {
    /// A complete answer.
    Whole {
        /// The reply, of which only the head is still needed.
        reply: E::Reply,
        /// The body.
        body: Bytes,
    },
    /// A stream of events.
    Stream {
        /// The head of the first attempt.
        head: Head<E>,
        /// The events.
        body: Body<E>,
    },
}

/// The parts of an answer's head that the transport keeps while the body is read.
pub type Head<E> = <<E as Transport>::Reply as Reply>::Head;

/// The refusal of a request that gets no answer of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The code that the caller receives.
    pub code: Code,
    /// The delay after which the caller may retry, if a retry can help.
    pub retry_after: Option<Duration>,
}

/// An attempt whose head has arrived.
pub(crate) struct Attempt<E: Transport> {
    pub(crate) reply: E::Reply,
    pub(crate) guard: Guard<E>,
    pub(crate) inputs: Option<Rc<Inputs<E>>>,
}

/// What an attempt needs before it is sent.
pub(crate) struct Prepared<E: Transport> {
    pool: Name,
    inputs: Rc<Inputs<E>>,
}

/// The state of a request across its attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempts {
    /// The servers that the request was sent to, including unreachable ones.
    tried: Vec<Name>,
    /// The number of servers that the request reached.
    pub(crate) reached: u32,
    /// The number of servers that were unreachable or whose address another server uses.
    unreachable: usize,
    pub(crate) may_have_run: bool,
    /// Whether bytes of a stream have arrived.
    pub(crate) has_started: bool,
    /// The time that the stages took, including waits.
    pub(crate) stage_time: Duration,
}

/// Runs the stages of a request, sends it to a backend server and returns the answer.
///
/// # Errors
///
/// - A refusal, whose code says "not run" only if no server may have run the request.
pub async fn serve<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: Rc<Job<E::Request>>,
) -> Result<Answer<E>, Refusal> {
    if hub.with(|state| state.crashes.is_harmful(job.digest)) {
        log::warn!(target: "relay", request:% = job.id, digest = job.digest; "request crashed servers before; refusing it");
        return Err(Refusal {
            code: Code::Overloaded,
            retry_after: None,
        });
    }
    let mut attempts = Attempts::default();
    if let Err(code) = origin::resolve(hub, &job).await {
        return Err(refusal(hub, &job, &attempts, code));
    }
    let time_left = job.event_deadline(job.arrived_at) - hub.transport.now();
    let mut silent = Vec::new();
    let sent = send_attempt(
        hub,
        &job,
        &mut attempts,
        &mut silent,
        job.last_event,
        job.arrived_at,
    );
    let attempt = time::timeout(time_left, sent).await;
    let attempt = match attempt {
        Ok(attempt) => attempt,
        Err(_) => Err(Code::DeadlinePassed),
    };
    let mut attempt = match attempt {
        Ok(attempt) => attempt,
        Err(code) => return Err(refusal(hub, &job, &attempts, code)),
    };
    let is_stream = job.route.kind == Kind::Streaming && attempt.reply.status() == 200;
    if is_stream {
        let head = attempt.reply.head();
        drop(silent);
        return Ok(Answer::Stream {
            head,
            body: Body::new(hub, job, attempt, attempts),
        });
    }
    loop {
        let body = read_body_or_move(hub, &job, &mut attempts, &mut attempt).await;
        let failure = match body {
            Ok(body) => {
                let latency = attempt.guard.age();
                let server = attempt.guard.server.id.clone();
                attempt.guard.finish(Completion::Answered { latency });
                hub.with(|state| state.crashes.clear(job.digest));
                log_sample(hub, &job, &attempt.reply);
                log_if_late(hub, &job, &attempts, &server);
                return Ok(Answer::Whole {
                    reply: attempt.reply,
                    body,
                });
            }
            Err(Failure::TimedOut) => {
                return Err(refusal(hub, &job, &attempts, Code::DeadlinePassed));
            }
            Err(failure) => failure,
        };
        let server = attempt.guard.server.clone();
        attempt.guard.finish(completion_of(failure));
        if failure == Failure::Broken {
            record_crash(hub, &job, &server.id);
        }
        log::info!(target: "relay", request:% = job.id, server:% = server.id, cause:% = failure; "answer interrupted");
        attempts.may_have_run = true;
        let time_left = job.time_left(hub.transport.now());
        let retried = retry(hub, &job, &mut attempts, &mut silent, failure);
        attempt = match time::timeout(time_left, retried).await {
            Ok(Ok(attempt)) => attempt,
            Ok(Err(code)) => return Err(refusal(hub, &job, &attempts, code)),
            Err(_) => return Err(refusal(hub, &job, &attempts, Code::DeadlinePassed)),
        };
    }
}

/// Sends a request again after its answer was interrupted, or waits for a server that was silent before.
async fn retry<'a, E: Transport>(
    hub: &'a Rc<Hub<E>>,
    job: &'a Job<E::Request>,
    attempts: &mut Attempts,
    silent: &mut Vec<Pending<'a, E>>,
    failure: Failure,
) -> Result<Attempt<E>, Code> {
    let sent = match attempts.check_retry(hub, job, failure) {
        Ok(()) => {
            let (last_event, since) = (job.last_event, job.arrived_at);
            send_attempt(hub, job, attempts, silent, last_event, since).await
        }
        Err(code) => Err(code),
    };
    match sent {
        Ok(attempt) => Ok(attempt),
        Err(code) => pending::first_answer(hub, job, attempts, silent)
            .await
            .ok_or(code),
    }
}

/// Runs the stages of a request and sends it to servers until the head of an answer arrives. `since` is the time
/// from which the caller waits.
///
/// # Errors
///
/// - The code with which the request is refused.
pub(crate) async fn send_attempt<'a, E: Transport>(
    hub: &'a Rc<Hub<E>>,
    job: &'a Job<E::Request>,
    attempts: &mut Attempts,
    silent: &mut Vec<Pending<'a, E>>,
    last_event: Option<u64>,
    since: Tick,
) -> Result<Attempt<E>, Code> {
    let prepared = prepare(hub, job, attempts, since).await?;
    send(hub, job, attempts, silent, prepared, last_event, since).await
}

/// Runs the stages of a request.
///
/// # Errors
///
/// - The code with which the request is refused; this attempt was not sent.
pub(crate) async fn prepare<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    attempts: &mut Attempts,
    since: Tick,
) -> Result<Prepared<E>, Code> {
    let pool = select_pool(job)?;
    if job.origin.get().is_some() && !origin::has_server(hub, job, &pool) {
        return Err(Code::VersionGone);
    }
    let started_at = hub.transport.now();
    if hub
        .with(|state| state.pause_left(started_at, &pool, job))
        .is_some()
    {
        return Err(policy::final_code(attempts.may_have_run, Code::Overloaded));
    }
    let preferred = preferred_domain(hub, job, &pool);
    let inputs = stages::run(hub, job, preferred, since).await?;
    attempts.stage_time += hub.transport.now() - started_at;
    Ok(Prepared {
        pool,
        inputs: Rc::new(inputs),
    })
}

/// Sends a request to servers until the head of an answer arrives.
///
/// A server that is silent for long is not given up: another one is tried beside it if that is allowed, and the silent
/// one may still answer if the other fails. `silent` holds such attempts; those of a stream end with the head of an
/// answer, since two engines must not work on it.
///
/// # Errors
///
/// - The code with which the request is refused.
pub(crate) async fn send<'a, E: Transport>(
    hub: &'a Rc<Hub<E>>,
    job: &'a Job<E::Request>,
    attempts: &mut Attempts,
    silent: &mut Vec<Pending<'a, E>>,
    prepared: Prepared<E>,
    last_event: Option<u64>,
    since: Tick,
) -> Result<Attempt<E>, Code> {
    let Prepared { pool, mut inputs } = prepared;
    let is_stream = job.route.kind == Kind::Streaming;
    loop {
        let mut pending = match choose(hub, job, &pool, &inputs, attempts) {
            Some(choice) => {
                if attempts.tried.is_empty() {
                    let now = hub.transport.now();
                    hub.with(|state| state.retry_window.record_request(now, &pool));
                }
                attempts.tried.push(choice.server.id.clone());
                Pending::send(hub, job, choice, &inputs, last_event)
            }
            None => {
                let code = policy::final_code(attempts.may_have_run, Code::StageUnavailable);
                silent.pop().ok_or(code)?
            }
        };
        loop {
            match pending.next_event(hub, job, silent, since).await {
                Event::Answered(reply) => {
                    attempts.may_have_run |= !silent.is_empty();
                    if is_stream {
                        silent.drain(..).for_each(Pending::abandon);
                    }
                    return Ok(pending.into_attempt(hub, attempts, reply));
                }
                Event::SilentAnswered(earlier, reply) => {
                    attempts.may_have_run = true;
                    if is_stream {
                        silent.clear();
                    } else {
                        silent.push(pending);
                    }
                    return Ok(earlier.into_attempt(hub, attempts, reply));
                }
                Event::Failed(failure) => {
                    pending.finish(hub, job, attempts, failure);
                    let mut retry = attempts.check_retry(hub, job, failure);
                    if retry.is_ok() && failure == Failure::InputGone {
                        let remade = stages::run(hub, job, inputs.domain(), since);
                        match pending::run_beside(hub, job, attempts, silent, remade).await {
                            Either::Left(remade) => {
                                retry = remade.map(|remade| inputs = Rc::new(remade));
                            }
                            Either::Right(answered) => return Ok(answered),
                        }
                    }
                    match retry {
                        Ok(()) => break,
                        Err(code) => pending = silent.pop().ok_or(code)?,
                    }
                }
                Event::SilentFailed(mut earlier, failure) => {
                    earlier.finish(hub, job, attempts, failure);
                }
                Event::Silent => {
                    pending.record_silence(attempts);
                    if attempts.may_try_beside(hub, job, &pool, &inputs) {
                        pending.log_silence(job);
                        silent.push(pending);
                        break;
                    }
                }
            }
        }
    }
}

impl Attempts {
    /// Checks whether another attempt may follow a failure, and takes it from the retry budget.
    pub(crate) fn check_retry<E: Transport>(
        &mut self,
        hub: &Rc<Hub<E>>,
        job: &Job<E::Request>,
        failure: Failure,
    ) -> Result<(), Code> {
        self.unreachable += usize::from(matches!(
            failure,
            Failure::Exhausted | Failure::Moved | Failure::Unreachable
        ));
        let cx = policy::Context {
            route: &job.route,
            reached: self.reached,
            unreachable: self.unreachable,
            max_unreachable: hub.settings.max_unreachable,
            may_have_run: self.may_have_run,
        };
        let decision = policy::decide(cx, failure);
        self.may_have_run |= failure.may_have_run();
        match decision {
            Decision::Fail(code) => Err(code),
            Decision::Retry { is_counted: false } => Ok(()),
            Decision::Retry { is_counted: true } => {
                let Ok(pool) = select_pool(job) else {
                    return Err(policy::final_code(self.may_have_run, Code::BundleMissing));
                };
                take_retry(hub, job, &pool)
                    .map_err(|code| policy::final_code(self.may_have_run, code))
            }
        }
    }

    /// Checks whether another server may be tried beside one that is silent, and takes it from the retry budget.
    fn may_try_beside<E: Transport>(
        &self,
        hub: &Rc<Hub<E>>,
        job: &Job<E::Request>,
        pool: &Name,
        inputs: &Inputs<E>,
    ) -> bool {
        let cx = policy::Context {
            route: &job.route,
            reached: self.reached,
            unreachable: self.unreachable,
            max_unreachable: hub.settings.max_unreachable,
            may_have_run: self.may_have_run,
        };
        matches!(
            policy::decide(cx, Failure::TimedOut),
            Decision::Retry { .. }
        ) && select_pool(job).is_ok()
            && choose(hub, job, pool, inputs, self).is_some()
            && take_retry(hub, job, pool).is_ok()
    }

    /// Checks whether a stream whose server is silent may be tried at another one, and takes it from the retry budget.
    pub(crate) fn may_leave_silent<E: Transport>(
        &self,
        hub: &Rc<Hub<E>>,
        job: &Job<E::Request>,
    ) -> bool {
        let Ok(pool) = select_pool(job) else {
            return false;
        };
        self.may_try_beside(hub, job, &pool, &Inputs::empty(hub))
    }
}

/// Takes a retry from the budget of a pool.
fn take_retry<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    pool: &Name,
) -> Result<(), Code> {
    let now = hub.transport.now();
    hub.with(|state| {
        if state.crashes.is_harmful(job.digest) {
            return Err(Code::StageUnavailable);
        }
        let count = state.members.count();
        match state.retry_window.try_retry(now, pool, count) {
            true => Ok(()),
            false => Err(Code::Overloaded),
        }
    })
}

/// The server selected for an attempt.
pub(crate) struct Choice {
    pub(crate) server: Rc<site::roster::Server>,
    pub(crate) tokens: u64,
    pub(crate) fetch_from: Option<core::net::SocketAddr>,
}

fn choose<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    pool: &Name,
    inputs: &Inputs<E>,
    attempts: &Attempts,
) -> Option<Choice> {
    let now = hub.transport.now();
    let domain = inputs.domain();
    hub.with(|state| {
        let registered = state.roster.usable(now, pool);
        let registered = registered.filter(|server| job.may_use(server));
        let registered: Vec<_> = registered.cloned().collect();
        let servers = state.reachable(now, registered.iter().collect());
        let mut cx = plain::Context {
            now,
            domain: &hub.domain,
            tried: &attempts.tried,
            rng: &mut state.rng,
        };
        if let Some(prompt) = &job.prompt {
            let affinity = engine::Affinity {
                domain: domain.as_ref(),
                penalty_ms: hub.settings.remote_results_penalty_ms,
            };
            let choice = engine::choose(&state.fleet, &mut cx, prompt, affinity, &servers)?;
            return Some(Choice {
                server: choice.server.clone(),
                tokens: choice.tokens,
                fetch_from: choice.fetch_from,
            });
        }
        let server = plain::choose(&state.fleet, &mut cx, servers.into_iter())?;
        Some(Choice {
            server: server.clone(),
            tokens: 0,
            fetch_from: None,
        })
    })
}

/// Returns the failure domain of the engine that would be selected now, so that results are produced near it.
fn preferred_domain<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    pool: &Name,
) -> Option<Name> {
    job.prompt.as_ref()?;
    let inputs = Inputs::empty(hub);
    choose(hub, job, pool, &inputs, &Attempts::default()).map(|choice| choice.server.domain.clone())
}

/// Returns the pool that serves a request, which is the same for all its attempts, also if a newer configuration lacks it.
pub(crate) fn select_pool<R>(job: &Job<R>) -> Result<Name, Code> {
    match job.origin.get() {
        Some(origin) if job.route.allows_pool(&origin.pool) => Ok(origin.pool.clone()),
        Some(_) => Err(Code::VersionGone),
        None => {
            // The upper 53 bits of the digest as a number from 0 to 1.
            let draw = (job.digest >> 11) as f64 / (1_u64 << 53) as f64;
            let pool = job.route.pool(draw).ok_or(Code::StageUnavailable)?;
            Ok(pool.clone())
        }
    }
}

/// Reads the body of an answer. A server whose body takes long is left once another one answers, if the request may be
/// repeated.
///
/// # Errors
///
/// - [`Failure::TimedOut`] if the deadline passes.
/// - The failure of the server that the body was read from last.
async fn read_body_or_move<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    attempts: &mut Attempts,
    attempt: &mut Attempt<E>,
) -> Result<Bytes, Failure> {
    let max_bytes = hub.settings.max_buffered_bytes;
    let limit = policy::body_time_limit(&job.route, &hub.settings);
    let mut body = BytesMut::new();
    loop {
        let time_left = job.time_left(hub.transport.now());
        let reading = read_body(&mut attempt.reply, &mut body, max_bytes);
        match time::timeout(limit.min(time_left), reading).await {
            Ok(Ok(())) => return Ok(body.freeze()),
            Ok(Err(failure)) => return Err(failure),
            Err(_) if time_left <= limit => return Err(Failure::TimedOut),
            Err(_) if !attempts.may_leave_silent(hub, job) => continue,
            Err(_) => {}
        }
        log::info!(
            target: "relay", request:% = job.id, server:% = attempt.guard.server.id,
            age_ms = attempt.guard.age().as_millis(), bytes = body.len();
            "answer takes long; trying another server beside it"
        );
        let time_left = job.time_left(hub.transport.now());
        let mut silent = Vec::new();
        let (last_event, since) = (job.last_event, job.arrived_at);
        let sent = send_attempt(hub, job, attempts, &mut silent, last_event, since);
        let mut sent = pin!(time::timeout(time_left, sent));
        let mut failure = None;
        let next = tokio::select! {
            biased;
            read = read_body(&mut attempt.reply, &mut body, max_bytes) => match read {
                Ok(()) => return Ok(body.freeze()),
                Err(error) => {
                    failure = Some(error);
                    sent.await
                }
            },
            next = &mut sent => next,
        };
        match (next, failure) {
            (Ok(Ok(next)), failure) => {
                let slow = core::mem::replace(attempt, next);
                slow.guard
                    .finish(completion_of(failure.unwrap_or(Failure::TimedOut)));
                body.clear();
            }
            (_, Some(failure)) => return Err(failure),
            (_, None) => {}
        }
    }
}

/// Reads the rest of a body of limited size.
async fn read_body<R: Reply>(
    reply: &mut R,
    body: &mut BytesMut,
    max_bytes: usize,
) -> Result<(), Failure> {
    while let Some(chunk) = reply.chunk().await? {
        if body.len() + chunk.len() > max_bytes {
            return Err(Failure::Mismatched);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(())
}

/// Records that a connection broke while a server ran a request, and reports it if it is new.
pub(crate) fn record_crash<E: Transport>(hub: &Rc<Hub<E>>, job: &Job<E::Request>, server: &Name) {
    let now = hub.transport.now();
    let is_new = hub.with(|state| state.crashes.record(now, job.digest, server));
    if is_new {
        hub.transport.report_crash(job.digest, server);
    }
}

fn refusal<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    attempts: &Attempts,
    code: Code,
) -> Refusal {
    // Codes of stages and of server selection don't consider that an earlier attempt may have run.
    let says_not_run = code.outcome() == Outcome::NotRun;
    let code = policy::final_code(attempts.may_have_run && says_not_run, code);
    let now: Tick = hub.transport.now();
    let retry_after = code.is_retryable().then(|| {
        let draw = hub.with(|state| state.rng.random::<f64>());
        let settings = &hub.settings;
        let pause_left = select_pool(job)
            .ok()
            .and_then(|pool| hub.with(|state| state.pause_left(now, &pool, job)));
        let spread = settings.retry_after_jitter.mul_f64(draw);
        let delay = pause_left.unwrap_or_default().max(settings.min_retry_after) + spread;
        if code == Code::DeadlineUnmeetable {
            let (min, max) = settings.overload_retry_share;
            delay.max(job.time_left(now).mul_f64(min + (max - min) * draw))
        } else {
            delay
        }
    });
    let version = job.config_version;
    log::warn!(
        target: "relay", request:% = job.id, route:% = job.route.name, code = code.number(),
        cause = code.title(), attempts = attempts.reached, ran = attempts.may_have_run, config = version,
        age_ms = (now - job.arrived_at).as_millis(), left_ms = job.time_left(now).as_millis();
        "request refused"
    );
    Refusal { code, retry_after }
}

/// Logs an answer, or the first event of a stream, that missed its objective.
pub(crate) fn log_if_late<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    attempts: &Attempts,
    server: &Name,
) {
    let elapsed = hub.transport.now() - job.arrived_at;
    if elapsed <= job.route.objective {
        return;
    }
    log::info!(
        target: "relay", request:% = job.id, route:% = job.route.name, server:% = server,
        took_ms = elapsed.as_millis(), objective_ms = job.route.objective.as_millis(),
        stages_ms = attempts.stage_time.as_millis(), attempts = attempts.reached; "request answered late"
    );
}

fn log_sample<E: Transport>(hub: &Rc<Hub<E>>, job: &Job<E::Request>, reply: &E::Reply) {
    if job.digest.is_multiple_of(hub.settings.log_sample_interval) {
        let elapsed = hub.transport.now() - job.arrived_at;
        log::info!(
            target: "relay", request:% = job.id, route:% = job.route.name,
            status = reply.status(), took_ms = elapsed.as_millis(); "request answered"
        );
    }
}
