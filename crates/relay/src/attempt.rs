//! Sends a request to backend servers until the head of an answer arrives.

use core::time::Duration;
use std::rc::Rc;

use base::{Code, Name, Tick};
use futures_util::future::Either;
use mesh::Peer;
use pick::{Fleet, engine, plain};
use site::{roster::Server, route::Kind};

use crate::{
    Failure, Hub, Job, Transport, admission,
    guard::Guard,
    hub::{self, State},
    links::Way,
    origin,
    pending::{self, Event, Pending},
    policy::{self, Decision},
    stages::{self, Inputs},
    stop,
    turns::{self, Taken},
};

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
    pub(crate) tried: Vec<Name>,
    /// The number of servers that the request reached.
    pub(crate) reached: u32,
    /// The number of servers that were unreachable or whose address another server uses.
    unreachable: usize,
    pub(crate) may_have_run: bool,
    /// Whether bytes of a stream have arrived.
    pub(crate) has_started: bool,
    /// The time that the stages took, including waits.
    pub(crate) stage_time: Duration,
    /// Whether the request is sent to one server though a part of its prompt is harmful.
    pub(crate) is_trial: bool,
    /// Whether another instance makes the next call, as the local one did not reach a server.
    pub(crate) needs_helper: bool,
    /// The instances that did not make a call.
    pub(crate) helpers: Vec<Name>,
    /// When the caller may return, if the request was refused before its first stage.
    pub(crate) retry_after: Option<Duration>,
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
    let now = hub.transport.now();
    hub.with(|state| stop::check(state, now, job, attempts))?;
    let pool = select_pool(job)?;
    if job.origin.get().is_some() {
        let time_left = job.event_deadline(since) - hub.transport.now();
        origin::wait_for_check(job, time_left).await;
        if !origin::has_server(hub, job, &pool) {
            return Err(Code::VersionGone);
        }
    }
    let started_at = hub.transport.now();
    if hub.with(|state| state.lacks_servers(started_at, &pool, job)) {
        let code = policy::final_code(attempts.may_have_run, Code::StageUnavailable);
        return Err(code);
    }
    let max_wait = turns::max_wait(job, started_at, since);
    if hub
        .with(|state| state.pause_left(started_at, &pool, job, max_wait))
        .is_some()
    {
        return Err(policy::final_code(attempts.may_have_run, Code::Overloaded));
    }
    let preferred = preferred_domain(hub, job, &pool);
    let domain = admission::admit(hub, job, attempts, preferred.as_ref(), since).await?;
    let inputs = stages::run(hub, job, preferred, domain, since).await?;
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
        hub.transport.settled().await;
        let now = hub.transport.now();
        // A paused process finds what it waited for before its timers.
        let is_late = job.time_left(now).is_zero();
        let is_harmful = !attempts.is_trial && hub.with(|state| state.has_harmful_part(now, job));
        let way = hub.with(|state| state.way(now, job, attempts));
        let choice = match is_late || is_harmful || matches!(way, Way::Nowhere) {
            true => Ok(None),
            false => {
                let tried = attempts.tried.clone();
                let is_direct = matches!(way, Way::Direct);
                let chosen =
                    turns::choose_in_turn(hub, job, &pool, &inputs, &tried, since, is_direct);
                match pending::run_beside(hub, job, attempts, silent, chosen).await {
                    Either::Left(choice) => choice,
                    Either::Right(answered) => return Ok(answered),
                }
            }
        };
        // The request may have waited for its turn.
        let now = hub.transport.now();
        let is_late = is_late || job.time_left(now).is_zero();
        let stopping = hub.with(|state| stop::check(state, now, job, attempts));
        let mut pending = match choice {
            Ok(Some(_)) if stopping.is_err() => {
                let code = stopping.err().unwrap_or(Code::Stopping);
                silent.pop().ok_or(code)?
            }
            Ok(Some(choice)) if !is_late => {
                if attempts.tried.is_empty() {
                    hub.with(|state| state.retry_window.record_request(now, &pool));
                }
                attempts.tried.push(choice.server.id.clone());
                let way = match choice.is_blocked {
                    true => {
                        attempts.needs_helper = true;
                        hub.with(|state| state.way(now, job, attempts))
                    }
                    false => way,
                };
                let helper = match way {
                    Way::Through(helper) => Some(helper),
                    Way::Direct | Way::Nowhere => None,
                };
                Pending::send(hub, job, choice, &inputs, last_event, helper)
            }
            Ok(_) => {
                let code = match is_late {
                    true => Code::DeadlinePassed,
                    false => policy::final_code(attempts.may_have_run, Code::StageUnavailable),
                };
                silent.pop().ok_or(code)?
            }
            Err(turns::NoTurn) => {
                let code = policy::final_code(attempts.may_have_run, Code::Overloaded);
                silent.pop().ok_or(code)?
            }
        };
        loop {
            let event = match pending.next_event(hub, job, silent, since).await {
                // Another server may confirm its run sooner.
                Event::Silent if !pending.is_sent() => {
                    if choose(hub, job, &pool, &inputs, &attempts.tried).is_none() {
                        continue;
                    }
                    Event::Failed(Failure::Unconfirmed)
                }
                event => event,
            };
            match event {
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
                    pending.finish(hub, job, attempts, failure).await;
                    let mut retry = attempts.check_retry(hub, job, failure);
                    if retry.is_ok() && failure == Failure::InputGone {
                        let preferred = inputs.domain();
                        let domain = admission::draw_domain(hub, job, preferred.as_ref());
                        let remade = stages::run(hub, job, preferred, domain, since);
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
                    earlier.finish(hub, job, attempts, failure).await;
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
            Failure::Evacuated
                | Failure::Exhausted
                | Failure::HelperUnavailable
                | Failure::Moved
                | Failure::Unconfirmed
                | Failure::Unreachable
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
            && choose(hub, job, pool, inputs, &self.tried).is_some()
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
        if state.crashes.is_harmful(job.digest) || state.has_harmful_part(now, job) {
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
    pub(crate) server: Rc<Server>,
    pub(crate) tokens: u64,
    pub(crate) fetch_from: Option<core::net::SocketAddr>,
    /// Whether this instance did not reach the server a moment ago, so that another one makes the call.
    pub(crate) is_blocked: bool,
    /// The turns that were taken at the server.
    pub(crate) taken: Taken,
}

pub(crate) fn choose<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    pool: &Name,
    inputs: &Inputs<E>,
    tried: &[Name],
) -> Option<Choice> {
    let domain = inputs.domain();
    hub.with(|state| choose_with(hub, state, None, job, pool, domain.as_ref(), tried))
}

/// Chooses among the servers that this instance did not reach a moment ago, if another instance may reach them.
pub(crate) fn choose_blocked<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    pool: &Name,
    inputs: &Inputs<E>,
    tried: &[Name],
) -> Option<Choice> {
    let now = hub.transport.now();
    let domain = inputs.domain();
    hub.with(|state| {
        let may_help = |peer: &Peer| job.allows_instance(&peer.domain);
        state.members.helper(now, &[], 0.0, may_help)?;
        let mut fleet = state.fleet.clone();
        fleet.forget_unreachable();
        let servers = state.roster.usable(now, pool);
        let lost = servers.filter(|server| state.links.is_out_of_reach(now, &server.id));
        let lost = lost.map(|server| server.id.clone());
        let tried: Vec<_> = tried.iter().cloned().chain(lost).collect();
        let choice = choose_with(hub, state, Some(&fleet), job, pool, domain.as_ref(), &tried)?;
        Some(Choice {
            is_blocked: true,
            ..choice
        })
    })
}

/// Chooses a server by the estimates of `fleet`, or of the state. `domain` stores the results that the request reads.
fn choose_with<E: Transport>(
    hub: &Hub<E>,
    state: &mut State,
    fleet: Option<&Fleet>,
    job: &Job<E::Request>,
    pool: &Name,
    domain: Option<&Name>,
    tried: &[Name],
) -> Option<Choice> {
    let now = hub.transport.now();
    let fleet = fleet.unwrap_or(&state.fleet);
    let registered = state.roster.usable(now, pool);
    let may_hold = |server: &Server| {
        let uploads = &state.uploads;
        uploads.may_send(now, pool, &server.id, job.body_bytes)
    };
    let registered: Vec<_> = registered
        .filter(|server| job.may_use(server) && may_hold(server))
        .collect();
    let servers = hub::reachable(fleet, now, registered);
    let mut cx = plain::Context {
        now,
        domain: &hub.domain,
        tried,
        rng: &mut state.rng,
    };
    let Some(prompt) = &job.prompt else {
        let server = plain::choose(fleet, &mut cx, servers.into_iter())?;
        return Some(Choice {
            server: server.clone(),
            tokens: 0,
            fetch_from: None,
            is_blocked: false,
            taken: Taken::none(now),
        });
    };
    let affinity = engine::Affinity {
        domain,
        penalty_ms: hub.settings.remote_results_penalty_ms,
    };
    let choice = engine::choose(fleet, &mut cx, prompt, affinity, &servers)?;
    Some(Choice {
        server: choice.server.clone(),
        tokens: choice.tokens,
        fetch_from: choice.fetch_from,
        is_blocked: false,
        taken: Taken::none(now),
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
    choose(hub, job, pool, &inputs, &[]).map(|choice| choice.server.domain.clone())
}

/// Returns the time that an engine of usual speed takes to read the part of the prompt that no other request shares.
pub(crate) fn prompt_read_time<E: Transport>(hub: &Hub<E>, job: &Job<E::Request>) -> Duration {
    let rate = hub.with(|state| match select_pool(job) {
        Ok(pool) => state.fleet.tokens_per_ms(&pool),
        Err(_) => pick::configs::TOKENS_PER_MS,
    });
    job.prompt_read_time(rate)
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
