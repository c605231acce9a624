//! Takes a request through its stages to a backend server.

use core::time::Duration;
use std::rc::Rc;

use base::{Code, Name, Outcome, Tick};
use bytes::{Bytes, BytesMut};
use pick::{engine, fleet::Completion, plain};
use rand::RngExt;
use site::{pool::Work, route::Kind};
use tokio::time;

use crate::{
    Body, Call, Failure, Hub, Job, Reply, Transport,
    hub::end_of,
    lease::Lease,
    policy::{self, Decision},
    stages::{self, Inputs},
};

/// The answer of a backend server.
pub enum Answer<E: Transport> {
    /// It is here as a whole.
    Whole {
        /// Its head.
        reply: E::Reply,
        /// Its body.
        body: Bytes,
    },
    /// It is a stream of events that goes on.
    Stream {
        /// The head of the first attempt.
        head: Head<E>,
        /// The events.
        body: Body<E>,
    },
}

/// What an edge keeps of an answer's head while the body goes on.
pub type Head<E> = <<E as Transport>::Reply as Reply>::Head;

/// A request that gets no answer of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What the caller is told.
    pub code: Code,
    /// When the caller may return, where that can help.
    pub retry_after: Option<Duration>,
}

/// An attempt whose head has arrived.
pub(crate) struct Attempt<E: Transport> {
    pub(crate) reply: E::Reply,
    pub(crate) lease: Lease<E>,
    pub(crate) inputs: Option<Inputs<E>>,
}

/// What a request remembers of its attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trail {
    tried: Vec<Name>,
    sent: u32,
    unreached: usize,
    ran: bool,
    pub(crate) begun: bool,
    /// The time that stages took, waits included.
    pub(crate) staged: Duration,
}

/// Takes a request through its stages to a backend server.
///
/// # Errors
///
/// - A refusal whose code says "not run" only if no server may have run the request.
pub async fn serve<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: Rc<Job<E::Request>>,
) -> Result<Answer<E>, Refusal> {
    if hub.with(|state| state.crashes.is_harmful(job.digest)) {
        log::warn!(target: "relay", request:% = job.id, digest = job.digest; "content crashed servers; refused");
        return Err(Refusal {
            code: Code::Overloaded,
            retry_after: None,
        });
    }
    let mut trail = Trail::default();
    let left = job.event_deadline(job.arrived_at) - hub.transport.now();
    let attempt = time::timeout(
        left,
        attempt(hub, &job, &mut trail, job.last_event, job.arrived_at),
    )
    .await;
    let attempt = match attempt {
        Ok(attempt) => attempt,
        Err(_) => Err(Code::DeadlinePassed),
    };
    let mut attempt = match attempt {
        Ok(attempt) => attempt,
        Err(code) => return Err(refuse(hub, &job, &trail, code)),
    };
    let is_stream = job.route.kind == Kind::Streaming && attempt.reply.status() == 200;
    if is_stream {
        let head = attempt.reply.head();
        return Ok(Answer::Stream {
            head,
            body: Body::new(hub, job, attempt, trail),
        });
    }
    loop {
        let limit = job.time_left(hub.transport.now());
        let most = hub.settings.max_buffered_bytes;
        let whole = time::timeout(limit, whole(&mut attempt.reply, most)).await;
        let failure = match whole {
            Ok(Ok(body)) => {
                let head = attempt.lease.age();
                let server = attempt.lease.server.id.clone();
                attempt.lease.end(Completion::Answered { latency: head });
                hub.with(|state| state.crashes.clear(job.digest));
                sample(hub, &job, &attempt.reply);
                late(hub, &job, &trail, &server);
                return Ok(Answer::Whole {
                    reply: attempt.reply,
                    body,
                });
            }
            Ok(Err(failure)) => failure,
            Err(_) => return Err(refuse(hub, &job, &trail, Code::DeadlinePassed)),
        };
        let server = attempt.lease.server.clone();
        attempt.lease.end(end_of(failure));
        crashed(hub, &job, &server.id);
        log::info!(target: "relay", request:% = job.id, server:% = server.id, cause:% = failure; "answer broke off");
        trail.ran = true;
        if let Err(code) = trail.next(hub, &job, failure) {
            return Err(refuse(hub, &job, &trail, code));
        }
        let left = job.time_left(hub.transport.now());
        let again = time::timeout(
            left,
            self::attempt(hub, &job, &mut trail, job.last_event, job.arrived_at),
        )
        .await;
        attempt = match again {
            Ok(Ok(attempt)) => attempt,
            Ok(Err(code)) => return Err(refuse(hub, &job, &trail, code)),
            Err(_) => return Err(refuse(hub, &job, &trail, Code::DeadlinePassed)),
        };
    }
}

/// Sends a request until the head of an answer arrives, and returns it; its caller waits since some time.
///
/// # Errors
///
/// - The code with which the request ends.
pub(crate) async fn attempt<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    trail: &mut Trail,
    after: Option<u64>,
    since: Tick,
) -> Result<Attempt<E>, Code> {
    let pool = pool(hub, job)?;
    let preferred = prefer(hub, job, &pool);
    let begun = hub.transport.now();
    let mut inputs = stages::run(hub, job, preferred, since).await?;
    trail.staged += hub.transport.now() - begun;
    loop {
        let Some(choice) = choose(hub, job, &pool, &inputs, trail) else {
            return Err(policy::final_code(trail.ran, Code::StageUnavailable));
        };
        let server = choice.server.clone();
        let once = !job.route.is_repeatable();
        let connections = hub.with(|state| {
            let config = state.config.as_ref()?;
            config.pool(&server.pool).map(|pool| pool.max_connections)
        });
        let call = Call {
            server: server.clone(),
            time_left: job.time_left(hub.transport.now()),
            urgency: job.urgency(),
            account: job.account.clone(),
            inputs: inputs.handles.clone(),
            fetch_from: choice.fetch,
            last_event: after,
            at_most_once: once,
            max_connections: connections.unwrap_or(usize::MAX),
        };
        let lease = Lease::begin(hub, &server, choice.tokens);
        if trail.sent == 0 {
            let now = hub.transport.now();
            hub.with(|state| state.retry_window.record_request(now, &server.pool));
        }
        // A server that is silent is left only where another one may be asked.
        let limit = if !once && trail.sent + 1 < job.route.max_attempts {
            job.route.objective.max(hub.settings.min_attempt_timeout)
        } else {
            Duration::MAX
        };
        trail.tried.push(server.id.clone());
        let sent = time::timeout(limit, hub.transport.send(&job.request, call)).await;
        let failure = match sent {
            Ok(Ok(reply)) => {
                trail.sent += 1;
                hub.with(|state| state.fleet.reachability.record_success(&server.domain));
                if reply.is_leaving() {
                    left(hub, &server.id);
                }
                return Ok(Attempt {
                    reply,
                    lease,
                    inputs: Some(inputs),
                });
            }
            Ok(Err(failure)) => failure,
            Err(_) => Failure::TimedOut,
        };
        log::info!(
            target: "relay", request:% = job.id, route:% = job.route.name, server:% = server.id,
            attempt = trail.sent + 1, age_ms = lease.age().as_millis(), cause:% = failure;
            "attempt failed"
        );
        lease.end(end_of(failure));
        let now = hub.transport.now();
        hub.with(|state| state.note_reach(now, &server.domain, failure));
        if failure == Failure::Moved {
            left(hub, &server.id);
        }
        if failure == Failure::Broken {
            crashed(hub, job, &server.id);
        }
        if failure != Failure::Unreachable {
            trail.sent += 1;
        }
        trail.next(hub, job, failure)?;
        if failure == Failure::InputGone {
            inputs = stages::run(hub, job, inputs.domain(), since).await?;
        }
    }
}

impl Trail {
    /// Decides what follows a failure, and takes the leave for a repeat.
    pub(crate) fn next<E: Transport>(
        &mut self,
        hub: &Rc<Hub<E>>,
        job: &Job<E::Request>,
        failure: Failure,
    ) -> Result<(), Code> {
        self.unreached += usize::from(matches!(failure, Failure::Unreachable | Failure::Moved));
        let cx = policy::Context {
            route: &job.route,
            reached: self.sent,
            unreachable: self.unreached,
            max_unreachable: hub.settings.max_unreachable,
            may_have_run: self.ran,
        };
        let next = policy::decide(cx, failure);
        self.ran |= failure.may_have_run();
        match next {
            Decision::Fail(code) => Err(code),
            Decision::Retry { is_counted: false } => Ok(()),
            Decision::Retry { is_counted: true } => {
                if hub.with(|state| state.crashes.is_harmful(job.digest)) {
                    return Err(policy::final_code(self.ran, Code::StageUnavailable));
                }
                let Ok(pool) = pool(hub, job) else {
                    return Err(policy::final_code(self.ran, Code::BundleMissing));
                };
                let now = hub.transport.now();
                let is_allowed = hub.with(|state| {
                    state
                        .retry_window
                        .try_retry(now, &pool, state.members.count())
                });
                if is_allowed {
                    Ok(())
                } else {
                    Err(policy::final_code(self.ran, Code::Overloaded))
                }
            }
        }
    }
}

/// What was chosen for an attempt.
struct Choice {
    server: Rc<site::roster::Server>,
    tokens: u64,
    fetch: Option<core::net::SocketAddr>,
}

fn choose<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    pool: &Name,
    inputs: &Inputs<E>,
    trail: &Trail,
) -> Option<Choice> {
    let now = hub.transport.now();
    let domain = inputs.domain();
    hub.with(|state| {
        let listed: Vec<_> = state.roster.usable(now, pool).cloned().collect();
        let servers = state.reachable(now, listed.iter().collect());
        let mut cx = plain::Context {
            now,
            domain: &hub.domain,
            tried: &trail.tried,
            rng: &mut state.rng,
        };
        if let Some(prompt) = &job.prompt {
            let pull = engine::Affinity {
                domain: domain.as_ref(),
                penalty_ms: hub.settings.remote_results_penalty_ms,
            };
            let choice = engine::choose(&state.fleet, &mut cx, prompt, pull, &servers)?;
            return Some(Choice {
                server: choice.server.clone(),
                tokens: choice.tokens,
                fetch: choice.fetch_from,
            });
        }
        let server = plain::choose(&state.fleet, &mut cx, servers.into_iter())?;
        Some(Choice {
            server: server.clone(),
            tokens: 0,
            fetch: None,
        })
    })
}

/// Returns the failure domain of the engine that would be chosen now, for results to be made near it.
fn prefer<E: Transport>(hub: &Rc<Hub<E>>, job: &Job<E::Request>, pool: &Name) -> Option<Name> {
    job.prompt.as_ref()?;
    let none = Inputs::none(hub);
    choose(hub, job, pool, &none, &Trail::default()).map(|choice| choice.server.domain.clone())
}

/// Returns the pool that serves a request; all its attempts draw the same one.
fn pool<E: Transport>(hub: &Rc<Hub<E>>, job: &Job<E::Request>) -> Result<Name, Code> {
    let draw = (job.digest >> 11) as f64 / (1_u64 << 53) as f64;
    let pool = job.route.pool(draw).ok_or(Code::StageUnavailable)?;
    let is_known = hub.with(|state| {
        let config = state.config.as_ref()?;
        config
            .pool(pool)
            .map(|pool| !matches!(pool.work, Work::Pieces(_)))
    });
    match is_known {
        Some(_) => Ok(pool.clone()),
        None => Err(Code::StageUnavailable),
    }
}

async fn whole<R: Reply>(reply: &mut R, most: usize) -> Result<Bytes, Failure> {
    let mut body = BytesMut::new();
    while let Some(chunk) = reply.chunk().await? {
        if body.len() + chunk.len() > most {
            return Err(Failure::Broken);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Takes note that a server said that it leaves.
pub(crate) fn left<E: Transport>(hub: &Rc<Hub<E>>, server: &Name) {
    let now = hub.transport.now();
    log::info!(target: "servers", server:% = server, source = "answer"; "server leaves");
    hub.with(|state| state.roster.mark_leaving(now, server));
}

/// Takes note that a connection broke while a server ran a request.
pub(crate) fn crashed<E: Transport>(hub: &Rc<Hub<E>>, job: &Job<E::Request>, server: &Name) {
    let now = hub.transport.now();
    let is_new = hub.with(|state| state.crashes.record(now, job.digest, server));
    if is_new {
        hub.transport.report_crash(job.digest, server);
    }
}

fn refuse<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    trail: &Trail,
    code: Code,
) -> Refusal {
    // Stages and choices tell of their own failure; the request may have run before.
    let says_not_run = code.outcome() == Outcome::NotRun;
    let code = policy::final_code(trail.ran && says_not_run, code);
    let now: Tick = hub.transport.now();
    let retry_after = code.is_retryable().then(|| {
        let draw = hub.with(|state| state.rng.random::<f64>());
        let settings = &hub.settings;
        let soon = settings.min_retry_after + settings.retry_after_jitter.mul_f64(draw);
        if code == Code::DeadlineUnmeetable {
            let (least, most) = settings.overload_retry_share;
            soon.max(job.time_left(now).mul_f64(least + (most - least) * draw))
        } else {
            soon
        }
    });
    let version = job.config_version;
    log::warn!(
        target: "relay", request:% = job.id, route:% = job.route.name, code = code.number(),
        cause = code.title(), attempts = trail.sent, ran = trail.ran, config = version,
        age_ms = (now - job.arrived_at).as_millis(), left_ms = job.time_left(now).as_millis();
        "request refused"
    );
    Refusal { code, retry_after }
}

/// Logs an answer, or the first event of a stream, that came after its objective.
pub(crate) fn late<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    trail: &Trail,
    server: &Name,
) {
    let took = hub.transport.now() - job.arrived_at;
    if took <= job.route.objective {
        return;
    }
    log::info!(
        target: "relay", request:% = job.id, route:% = job.route.name, server:% = server,
        took_ms = took.as_millis(), objective_ms = job.route.objective.as_millis(),
        stages_ms = trail.staged.as_millis(), attempts = trail.sent; "request answered late"
    );
}

fn sample<E: Transport>(hub: &Rc<Hub<E>>, job: &Job<E::Request>, reply: &E::Reply) {
    if job.digest.is_multiple_of(hub.settings.log_sample_interval) {
        let took = hub.transport.now() - job.arrived_at;
        log::info!(
            target: "relay", request:% = job.id, route:% = job.route.name,
            status = reply.status(), took_ms = took.as_millis(); "request answered"
        );
    }
}
