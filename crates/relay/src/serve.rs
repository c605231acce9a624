//! Runs the stages of a request and sends it to a backend server.

use core::{pin::pin, time::Duration};
use std::rc::Rc;

use base::{Code, Name, Outcome, Tick};
use bytes::{Bytes, BytesMut};
use pick::fleet::Completion;
use rand::RngExt;
use site::route::Kind;
use tokio::time;

use crate::{
    Body, Failure, Hub, Job, Reply, Transport,
    attempt::{self, Attempt, Attempts},
    crash, hold,
    hub::completion_of,
    memory::Share,
    origin,
    pending::{self, Pending},
    policy, turns,
};

/// The answer of a backend server.
pub enum Answer<E: Transport> {
    /// A complete answer.
    Whole {
        /// The reply, of which only the head is still needed.
        reply: E::Reply,
        /// The body.
        body: Bytes,
        /// The memory that the body takes until its caller has it.
        share: Share<E>,
    },
    /// A stream of events.
    Stream {
        /// The head of the first attempt.
        head: Head<E>,
        /// The events.
        body: Box<Body<E>>,
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

/// Runs the stages of a request, sends it to a backend server and returns the answer.
///
/// # Errors
///
/// - A refusal, whose code says "not run" only if no server may have run the request.
pub async fn serve<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: Rc<Job<E::Request>>,
) -> Result<Answer<E>, Refusal> {
    let mut attempts = Attempts::default();
    crash::check(hub, &job, &mut attempts)?;
    if let Err(code) = origin::resolve(hub, &job).await {
        return Err(refusal(hub, &job, &attempts, code));
    }
    let time_left = job.time_left(hub.transport.now());
    let mut silent = Vec::new();
    let sent = attempt::send_attempt(
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
            body: Box::new(Body::new(hub, job, attempt, attempts)),
        });
    }
    loop {
        let body = read_body_or_move(hub, &job, &mut attempts, &mut attempt).await;
        let failure = match body {
            Ok((body, share)) => {
                let latency = attempt.guard.age();
                let server = attempt.guard.server.id.clone();
                let sent_at = attempt.guard.sent_at();
                attempt.guard.finish(Completion::Answered { latency });
                let is_marked = !attempt.reply.is_close_delimited();
                let since = is_marked.then_some(sent_at);
                crash::record_answer(hub, &job, since, attempt.reply.status());
                log_sample(hub, &job, &attempt.reply);
                log_if_late(hub, &job, &attempts, &server);
                return Ok(Answer::Whole {
                    reply: attempt.reply,
                    body,
                    share,
                });
            }
            Err(Failure::TimedOut) => {
                return Err(refusal(hub, &job, &attempts, Code::DeadlinePassed));
            }
            Err(failure) => failure,
        };
        let server = attempt.guard.server.clone();
        crash::complete(hub, &job, &mut attempt.guard, failure, Duration::ZERO).await;
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
            attempt::send_attempt(hub, job, attempts, silent, last_event, since).await
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
) -> Result<(Bytes, Share<E>), Failure> {
    let limit = policy::body_time_limit(&job.route, &hub.settings);
    let mut body = Buffer::new(hub);
    loop {
        let time_left = job.time_left(hub.transport.now());
        let reading = body.read(&mut attempt.reply);
        match time::timeout(limit.min(time_left), reading).await {
            Ok(Ok(())) => return Ok((body.bytes.freeze(), body.share)),
            Ok(Err(failure)) => return Err(failure),
            Err(_) if time_left <= limit => return Err(Failure::TimedOut),
            Err(_) if !attempts.may_leave_silent(hub, job) => continue,
            Err(_) => {}
        }
        log::info!(
            target: "relay", request:% = job.id, server:% = attempt.guard.server.id,
            age_ms = attempt.guard.age().as_millis(), bytes = body.bytes.len();
            "answer takes long; trying another server beside it"
        );
        let time_left = job.time_left(hub.transport.now());
        let mut silent = Vec::new();
        let (last_event, since) = (job.last_event, job.arrived_at);
        let sent = attempt::send_attempt(hub, job, attempts, &mut silent, last_event, since);
        let mut sent = pin!(time::timeout(time_left, sent));
        let mut failure = None;
        let next = tokio::select! {
            biased;
            read = body.read(&mut attempt.reply) => match read {
                Ok(()) => return Ok((body.bytes.freeze(), body.share)),
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
                body = Buffer::new(hub);
            }
            (_, Some(failure)) => return Err(failure),
            (_, None) => {}
        }
    }
}

/// The body of an answer, of limited size.
struct Buffer<E: Transport> {
    bytes: BytesMut,
    share: Share<E>,
    max_bytes: usize,
}

impl<E: Transport> Buffer<E> {
    fn new(hub: &Rc<Hub<E>>) -> Self {
        Self {
            bytes: BytesMut::new(),
            share: Share::open(hub, hold::Kind::Whole),
            max_bytes: hub.settings.max_buffered_bytes,
        }
    }

    /// Reads the rest of the body.
    async fn read(&mut self, reply: &mut E::Reply) -> Result<(), Failure> {
        while let Some(chunk) = reply.chunk().await? {
            let length = self.bytes.len() + chunk.len();
            if length > self.max_bytes || !self.share.resize(length) {
                return Err(Failure::Mismatched);
            }
            self.bytes.extend_from_slice(&chunk);
        }
        Ok(())
    }
}

/// Returns the refusal of a request that has not run because requests like it crash servers.
pub(crate) const fn harmful(retry_after: Option<Duration>) -> Refusal {
    Refusal {
        code: Code::Overloaded,
        retry_after,
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
        let pause_left = attempt::select_pool(job)
            .map_or(Duration::ZERO, |pool| pause_left(hub, job, &pool, now));
        let spread = settings.retry_after_jitter.mul_f64(draw);
        let delay = pause_left.max(settings.min_retry_after) + spread;
        if let Some(drained_in) = attempts.retry_after {
            // Spread already, and bounded by the time that callers wait.
            drained_in.max(settings.min_retry_after)
        } else if code == Code::DeadlineUnmeetable {
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

/// Returns how long a refused request has to wait for the servers of a pool. A stream that has begun can get a turn earlier
/// than it comes, as it may wait for it.
fn pause_left<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    pool: &Name,
    now: Tick,
) -> Duration {
    let left = |max_wait| hub.with(|state| state.pause_left(now, pool, job, max_wait));
    let until_turn = left(Duration::ZERO).unwrap_or_default();
    if job.origin.get().is_none() {
        return until_turn;
    }
    let paused = left(Duration::MAX).unwrap_or_default();
    paused.max(until_turn.saturating_sub(turns::max_wait(job, now, now)))
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
