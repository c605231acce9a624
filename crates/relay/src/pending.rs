//! Attempts whose head has not arrived, and what happens to them first.

use core::{
    cell::Cell,
    pin::{Pin, pin},
    time::Duration,
};
use std::rc::Rc;

use base::{Name, Tick};
use futures_util::future::{self, Either};
use mesh::Peer;
use quota::Demand;
use site::{roster::Server, route::Kind};
use tokio::time;

use crate::{
    Call, Failure, Hub, Job, Transport,
    attempt::{Attempt, Attempts, Choice},
    crash,
    guard::Guard,
    hub::completion_of,
    policy,
    stages::Inputs,
    turns::{MAX_DELAY, Taken},
};

/// The part of the time left that a request with a turn waits for a further one, as a divisor.
const LATE_TURN_WAIT_DIVISOR: u32 = 4;

/// The interval at which another server is looked for once a server has been silent for long.
const SILENT_INTERVAL: Duration = Duration::from_millis(100);

/// An attempt whose head has not arrived.
pub(crate) struct Pending<'a, E: Transport> {
    reply: Pin<Box<dyn Future<Output = Result<E::Reply, Failure>> + 'a>>,
    /// Whether the request was sent; a server of a certain version is asked for its run before.
    is_sent: Rc<Cell<bool>>,
    guard: Guard<E>,
    inputs: Rc<Inputs<E>>,
    /// The instance that makes the call, if the local one doesn't reach the server.
    helper: Option<Name>,
    /// Whether it counts as having reached its server.
    is_counted: bool,
}

/// What happened first.
pub(crate) enum Event<'a, E: Transport> {
    /// The head arrived.
    Answered(E::Reply),
    /// The head of an earlier, silent attempt arrived.
    SilentAnswered(Pending<'a, E>, E::Reply),
    /// The attempt failed.
    Failed(Failure),
    /// An earlier, silent attempt failed.
    SilentFailed(Pending<'a, E>, Failure),
    /// Nothing arrived for a while.
    Silent,
}

impl<E: Transport> Event<'_, E> {
    fn of(reply: Result<E::Reply, Failure>) -> Self {
        match reply {
            Ok(reply) => Self::Answered(reply),
            Err(failure) => Self::Failed(failure),
        }
    }
}

impl<'a, E: Transport> Pending<'a, E> {
    /// Sends a request to a server.
    pub(crate) fn send(
        hub: &'a Rc<Hub<E>>,
        job: &'a Job<E::Request>,
        choice: Choice,
        inputs: &Rc<Inputs<E>>,
        last_event: Option<u64>,
        helper: Option<Peer>,
    ) -> Self {
        let is_bound = job.is_bound(&choice.server);
        let call = Call {
            server: choice.server.clone(),
            time_left: job.time_left(hub.transport.now()),
            urgency: job.urgency(),
            account: job.account.clone(),
            inputs: inputs.handles.clone(),
            fetch_from: choice.fetch_from,
            last_event,
            at_most_once: !job.route.is_repeatable(),
            is_bound,
            max_connections: hub.max_connections(&choice.server.pool),
            helper,
        };
        let helper = call.helper.as_ref().map(|helper| helper.name.clone());
        let is_sent = Rc::new(Cell::new(!is_bound || helper.is_some()));
        Self {
            guard: Guard::start(
                hub,
                &choice.server,
                choice.tokens,
                job.body_bytes,
                job.route.kind == Kind::Streaming,
                helper.is_none(),
            ),
            reply: Box::pin(send(hub, job, call, choice.taken, is_sent.clone())),
            is_sent,
            inputs: inputs.clone(),
            helper,
            is_counted: false,
        }
    }

    /// Returns whether the request was sent.
    pub(crate) fn is_sent(&self) -> bool {
        self.is_sent.get()
    }

    /// Waits for the head, a failure or a long silence. `silent` are earlier attempts that were silent for long, of which
    /// one is taken out when it has ended. `since` is the time from which the caller waits.
    pub(crate) async fn next_event(
        &mut self,
        hub: &Rc<Hub<E>>,
        job: &Job<E::Request>,
        silent: &mut Vec<Self>,
        since: Tick,
    ) -> Event<'a, E> {
        let mut limit = policy::head_silence_limit(&job.route, &hub.settings);
        if self.guard.is_silent {
            limit = limit.min(SILENT_INTERVAL);
        }
        if silent.is_empty() {
            return match time::timeout(limit, &mut self.reply).await {
                Ok(reply) => Event::of(reply),
                Err(_) => Event::Silent,
            };
        }
        // Two engines must not work on a stream, and this one may start at any moment. So the earlier attempts count only
        // once this one is silent, too, for half of the time that the caller still waits.
        if job.route.kind == Kind::Streaming && !self.guard.is_silent {
            let half = (job.event_deadline(since) - hub.transport.now()) / 2;
            limit = limit.min(half.max(hub.settings.min_attempt_timeout));
            let head_start = limit.min(half);
            if let Ok(reply) = time::timeout(head_start, &mut self.reply).await {
                return Event::of(reply);
            }
            limit -= head_start;
        }
        let earlier_reply = future::select_all(silent.iter_mut().map(|at| &mut at.reply));
        let first = future::select(&mut self.reply, earlier_reply);
        let ended = match time::timeout(limit, first).await {
            Ok(Either::Left((reply, _))) => return Event::of(reply),
            Ok(Either::Right((ended, _))) => Some(ended),
            Err(_) => None,
        };
        let Some((reply, at, _)) = ended else {
            return Event::Silent;
        };
        let earlier = silent.remove(at);
        match reply {
            Ok(reply) => Event::SilentAnswered(earlier, reply),
            Err(failure) => Event::SilentFailed(earlier, failure),
        }
    }

    /// Gives up a silent attempt, as another server has answered.
    pub(crate) fn abandon(mut self) {
        self.guard.complete(completion_of(Failure::TimedOut));
    }

    /// Counts the attempt as having reached its server.
    pub(crate) const fn count_as_reached(&mut self, attempts: &mut Attempts) {
        if !self.is_counted {
            attempts.reached += 1;
            self.is_counted = true;
        }
    }

    /// Records that the server has been silent for long.
    pub(crate) const fn record_silence(&mut self, attempts: &mut Attempts) {
        self.count_as_reached(attempts);
        self.guard.is_silent = true;
    }

    /// Logs that the server has been silent for long.
    pub(crate) fn log_silence(&self, job: &Job<E::Request>) {
        log::info!(
            target: "relay", request:% = job.id, server:% = self.guard.server.id,
            age_ms = self.guard.age().as_millis(); "server is silent; trying another one beside it"
        );
    }

    /// Returns the attempt whose head has arrived.
    pub(crate) fn into_attempt(
        mut self,
        hub: &Rc<Hub<E>>,
        attempts: &mut Attempts,
        reply: E::Reply,
    ) -> Attempt<E> {
        self.count_as_reached(attempts);
        self.guard.is_silent = false;
        if self.helper.is_none() {
            let domain = &self.guard.server.domain;
            hub.with(|state| state.fleet.reachability.record_success(domain));
        }
        Attempt {
            reply,
            guard: self.guard,
            inputs: Some(self.inputs),
        }
    }

    /// Records that the attempt failed.
    pub(crate) async fn finish(
        &mut self,
        hub: &Rc<Hub<E>>,
        job: &Job<E::Request>,
        attempts: &mut Attempts,
        failure: Failure,
    ) {
        let server = self.guard.server.clone();
        log::info!(
            target: "relay", request:% = job.id, route:% = job.route.name, server:% = server.id,
            attempt = attempts.reached + 1, age_ms = self.guard.age().as_millis(), cause:% = failure;
            "attempt failed"
        );
        crash::complete(hub, job, &mut self.guard, failure, Duration::ZERO).await;
        let now = hub.transport.now();
        hub.with(|state| {
            if self.helper.is_none() {
                state.record_reachability(now, &server.domain, failure);
            }
            if failure == Failure::Moved {
                state.mark_leaving(now, &server.id, server.started_at_ms, "answer");
            }
        });
        match (failure, &self.helper) {
            (Failure::Unreachable, None) => {
                attempts.needs_helper = true;
                hub.record_unreachable(&server);
            }
            (Failure::Unreachable, Some(_)) => {
                hub.with(|state| state.links.record_out_of_reach(now, &server.id));
            }
            _ => {}
        }
        if matches!(failure, Failure::HelperLost | Failure::HelperUnavailable) {
            attempts.helpers.extend(self.helper.clone());
        }
        if failure == Failure::HelperUnavailable {
            // The server got nothing, so another instance may call it.
            attempts.tried.retain(|tried| *tried != server.id);
        }
        attempts.may_have_run |= failure.may_have_run();
        if !matches!(
            failure,
            Failure::Evacuated
                | Failure::Exhausted
                | Failure::HelperUnavailable
                | Failure::Unconfirmed
                | Failure::Unreachable
        ) {
            self.count_as_reached(attempts);
        }
    }
}

/// Sends a request, to the listed run of its server only if it is bound to it, and returns the head of the answer.
async fn send<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    mut call: Call,
    taken: Taken,
    is_sent: Rc<Cell<bool>>,
) -> Result<E::Reply, Failure> {
    if call.is_bound {
        if call.helper.is_none() {
            confirm(hub, job, &call, taken).await?;
        }
        let now = hub.transport.now();
        call.time_left = job.time_left(now);
        // The server may have announced its departure or asked for a pause meanwhile.
        let may_send = hub.with(|state| state.may_get_work(now, &call.server));
        if !may_send || call.time_left.is_zero() {
            return Err(Failure::Unconfirmed);
        }
        is_sent.set(true);
    }
    if call.helper.is_some() {
        return hub.transport.send(&job.request, call).await;
    }
    hub.watch(hub.transport.send(&job.request, call)).await
}

/// Makes sure that a call reaches the listed run of its server, which is asked if no connection leads there.
async fn confirm<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    call: &Call,
    taken: Taken,
) -> Result<(), Failure> {
    let server = &call.server;
    // Another request may have taken the connection that led to the run when the turn was asked for.
    if !taken.has_question && !hub.transport.leads_to_run(server) {
        take_late_turn(hub, job, server, "question after the run").await?;
    }
    // The domain may have been evacuated while the turn was waited for.
    if hub.with(|state| state.is_evacuated(hub.transport.now(), server)) {
        return Err(Failure::Evacuated);
    }
    let max_questions = hub.max_questions(server);
    let confirmed = hub
        .transport
        .confirm_run(server, call.max_connections, max_questions);
    confirmed.await?;
    let now = hub.transport.now();
    let is_late = now - taken.at > MAX_DELAY;
    if is_late && hub.with(|state| state.needs_turn(now, server, false)) {
        take_late_turn(hub, job, server, "request after a late answer").await?;
        // Another request may have taken the connection meanwhile.
        if !hub.transport.leads_to_run(server) {
            return Err(Failure::Unconfirmed);
        }
    }
    Ok(())
}

/// Takes a turn at a server after the one that was taken with the choice of the server.
async fn take_late_turn<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    server: &Server,
    purpose: &str,
) -> Result<(), Failure> {
    let max_wait = job.time_left(hub.transport.now()) / LATE_TURN_WAIT_DIVISOR;
    let demand = Demand::one(max_wait, Duration::ZERO);
    hub.take_turn(server, demand).await.map_err(|_| {
        log::info!(
            target: "relay", request:% = job.id, server:% = server.id, purpose = purpose,
            max_wait_ms = max_wait.as_millis(); "no further turn; the turn of the request is not used"
        );
        Failure::Unconfirmed
    })
}

/// Does work that the next attempt needs, unless one of the silent attempts answers before.
pub(crate) async fn run_beside<E: Transport, T>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    attempts: &mut Attempts,
    silent: &mut Vec<Pending<'_, E>>,
    work: impl Future<Output = T>,
) -> Either<T, Attempt<E>> {
    let mut work = pin!(work);
    {
        let answer = pin!(first_answer(hub, job, attempts, silent));
        match future::select(work.as_mut(), answer).await {
            Either::Left((output, _)) => return Either::Left(output),
            Either::Right((Some(attempt), _)) => return Either::Right(attempt),
            Either::Right((None, _)) => {}
        }
    }
    Either::Left(work.await)
}

/// Waits for the first answer of the silent attempts, or returns none once all have failed.
pub(crate) async fn first_answer<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    attempts: &mut Attempts,
    silent: &mut Vec<Pending<'_, E>>,
) -> Option<Attempt<E>> {
    while !silent.is_empty() {
        let replies = silent.iter_mut().map(|at| &mut at.reply);
        let (reply, at, _) = future::select_all(replies).await;
        let mut earlier = silent.remove(at);
        match reply {
            Ok(reply) => return Some(earlier.into_attempt(hub, attempts, reply)),
            Err(failure) => earlier.finish(hub, job, attempts, failure).await,
        }
    }
    None
}
