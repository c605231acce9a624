//! One call of a backend server; its result is reported to routing, to the metrics and to the
//! register of suspect content.

use core::{net::SocketAddr, time::Duration};
use std::rc::Rc;

use backend::stream::Part;
use base::{Digest, Incarnation, Name, Tick, attempt::Attempt};
use bundle::content::{Kind, Pool};
use flow::{Event, Failure};
use member::fact::State;
use retry::{suspect::Outcome as AttemptOutcome, timeout::Progress};
use serde_json::{Value, json};

use crate::{
    control::roster::ServerStatus,
    plane::{
        Plane,
        sink::{Push, Sink, Text},
        suspect, unresponsive,
    },
};

/// The milliseconds of a second: servers report costs in milliseconds, pools state them per second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A call and its context.
pub(crate) struct Call<'a> {
    pub(crate) call: backend::Call,
    /// The digest of the request's content.
    pub(crate) content: Digest,
    pub(crate) pipeline: &'a Name,
    pub(crate) pool: &'a Pool,
    /// The digest of the prompt's prefix, if the stage generates text.
    pub(crate) prefix: Option<u64>,
    pub(crate) server: Incarnation,
    pub(crate) stage: &'a Name,
    /// Whether the output of this stage is the answer.
    pub(crate) is_last: bool,
}

/// How a call ended.
pub(crate) enum Completion {
    /// The request continues with an event.
    Event(Event),
    /// The caller has disconnected.
    CallerGone,
}

/// Makes a call and returns its result as an event of the request.
///
/// Tokens of the last stage are sent to the sink as they arrive and are kept in `text`.
pub(crate) async fn run(
    plane: &Rc<Plane>,
    call: Call<'_>,
    text: &mut Text,
    sink: Option<&mut Sink>,
) -> Completion {
    let mut guard = Guard::new(plane, &call);
    let mut response = if call.pool.kind == Kind::Generate {
        generate(plane, &call, text, sink).await
    } else {
        reply(plane, &call).await
    };
    if let Err(Failure::Disconnected) = &response
        && suspect::check_dead(plane, &call.server, call.call.address).await
    {
        response = Err(Failure::Died);
    }
    let result = match &response {
        Ok(Response::Output(..) | Response::Diverged) => Report::Finished,
        Ok(Response::CallerGone) => Report::Failed(route::Failure::Cancelled),
        Err(Failure::Died) => Report::Failed(record_death(plane, &call.server)),
        Err(failure @ Failure::TimedOut { .. }) => Report::Unanswered(route_failure(failure)),
        Err(failure) => Report::Failed(route_failure(failure)),
    };
    guard.report(result);
    if let Err(Failure::Leaving) = &response {
        record_leaving(plane, &call.server);
    }
    let attempt = call.call.attempt;
    let cost = cost(call.pool, guard.elapsed());
    let metrics = &plane.shared.metrics;
    let label = metric_label(&response);
    metrics
        .attempts
        .with_label_values(&[call.pool.name.as_str(), label])
        .inc();
    record_burn(plane, &call, &response, guard.elapsed());
    match response {
        Ok(Response::Output(output, cost_ms)) => Completion::Event(Event::Replied {
            attempt,
            output,
            cost: cost_ms / MILLIS_PER_SECOND * call.pool.cost_per_second,
        }),
        Ok(Response::Diverged) => Completion::Event(Event::Diverged),
        Ok(Response::CallerGone) => Completion::CallerGone,
        Err(failure) => Completion::Event(Event::Failed {
            attempt,
            cost: if failure.may_have_run() { cost } else { 0.0 },
            failure,
        }),
    }
}

fn record_burn(
    plane: &Plane,
    call: &Call<'_>,
    response: &Result<Response, Failure>,
    elapsed: Duration,
) {
    let busy = match response {
        Ok(Response::Output(_, cost_ms)) => {
            Duration::from_secs_f64(cost_ms.max(0.0) / MILLIS_PER_SECOND)
        }
        Err(failure) if !failure.may_have_run() => Duration::ZERO,
        _ => elapsed,
    };
    let event = burn::Event::Called(burn::event::Called {
        pipeline: call.pipeline.clone(),
        stage: call.stage.clone(),
        busy,
        cost_per_second: call.pool.cost_per_second,
        repeat: call.call.attempt.number > 0,
        wasted: !matches!(response, Ok(Response::Output(..))),
    });
    plane
        .shared
        .tracker()
        .record(plane.shared.clock.stamp(), &event);
}

enum Response {
    /// The output and the server's own time on it, in milliseconds.
    Output(Value, f64),
    Diverged,
    CallerGone,
}

async fn reply(plane: &Plane, call: &Call<'_>) -> Result<Response, Failure> {
    let started = plane.shared.clock.tick();
    let reply = plane.client.call(&call.call).await?;
    let elapsed = plane.shared.clock.tick() - started;
    record_progress(plane, call, Progress::FirstByte(elapsed));
    if reply.leaving {
        record_leaving(plane, &call.server);
    }
    Ok(Response::Output(reply.output, reply.cost_ms))
}

async fn generate(
    plane: &Plane,
    call: &Call<'_>,
    text: &mut Text,
    mut sink: Option<&mut Sink>,
) -> Result<Response, Failure> {
    let mut own_text = Text::default();
    let text = if call.is_last { text } else { &mut own_text };
    let mut stream = plane.client.stream(&call.call).await?;
    if stream.is_leaving() {
        record_leaving(plane, &call.server);
    }
    let mut last_part_at = plane.shared.clock.tick();
    let mut is_first = true;
    loop {
        let part = stream.next_part().await?;
        let now = plane.shared.clock.tick();
        let progress = if core::mem::take(&mut is_first) {
            Progress::FirstByte(now - last_part_at)
        } else {
            Progress::Gap(now - last_part_at)
        };
        last_part_at = now;
        record_progress(plane, call, progress);
        match part {
            Part::Token { text: token, .. } => {
                text.push(&token);
                let Some(sink) = sink.as_mut().filter(|_| call.is_last) else {
                    continue;
                };
                match sink.push(text, &token).await {
                    Push::Sent => {}
                    Push::CallerGone => return Ok(Response::CallerGone),
                    Push::Diverged => return Ok(Response::Diverged),
                }
            }
            Part::Done {
                digest,
                cost_ms,
                cached_tokens,
                ..
            } => {
                if cached_tokens == Some(0) {
                    record_cache_miss(plane, call);
                }
                if digest != text.digest() {
                    return Ok(Response::Diverged);
                }
                let output = json!({ "text": text.full, "count": text.count, "digest": digest });
                return Ok(Response::Output(output, cost_ms));
            }
        }
    }
}

fn record_progress(plane: &Plane, call: &Call<'_>, progress: Progress) {
    let mut inner = plane.inner.borrow_mut();
    inner.timeouts.record(&call.pool.name, progress);
}

fn record_cache_miss(plane: &Plane, call: &Call<'_>) {
    let Some(prefix) = call.prefix else {
        return;
    };
    let server = call.server.clone();
    let now = plane.shared.clock.tick();
    let mut inner = plane.inner.borrow_mut();
    inner
        .table
        .handle(now, route::Event::CacheMiss { server, prefix });
}

/// Reports to routing and to the peers that a server is leaving.
fn record_leaving(plane: &Plane, server: &Incarnation) {
    plane
        .shared
        .roster
        .do_send(ServerStatus(server.clone(), State::Leaving));
    let server = server.clone();
    let now = plane.shared.clock.tick();
    let mut inner = plane.inner.borrow_mut();
    inner.table.handle(now, route::Event::Leaving { server });
}

fn cost(pool: &Pool, elapsed: Duration) -> f64 {
    elapsed.as_secs_f64() * pool.cost_per_second
}

/// Counts the death of a server as a crash only once, however many attempts failed with it: the rest
/// of its pool may be healthy.
fn record_death(plane: &Plane, server: &Incarnation) -> route::Failure {
    if plane.inner.borrow_mut().record_death(server) {
        route::Failure::Crashed
    } else {
        route::Failure::Cancelled
    }
}

const fn route_failure(failure: &Failure) -> route::Failure {
    match failure {
        Failure::Busy { .. } | Failure::Leaving | Failure::Mismatched => route::Failure::Refused,
        Failure::Died | Failure::Disconnected => route::Failure::Crashed,
        Failure::NotConnected => route::Failure::ConnectFailed,
        Failure::Refused { .. } => route::Failure::Cancelled,
        Failure::TimedOut {
            new_connection: true,
        } => route::Failure::Slow,
        // A stale connection caused the timeout, not the server.
        Failure::TimedOut {
            new_connection: false,
        } => route::Failure::Cancelled,
    }
}

const fn metric_label(response: &Result<Response, Failure>) -> &'static str {
    match response {
        Ok(Response::Output(..)) => "answered",
        Ok(Response::Diverged) => "diverged",
        Ok(Response::CallerGone) => "caller_gone",
        Err(Failure::Busy { .. }) => "busy",
        Err(Failure::Died) => "died",
        Err(Failure::Disconnected) => "disconnected",
        Err(Failure::Leaving) => "leaving",
        Err(Failure::Mismatched) => "mismatched",
        Err(Failure::NotConnected) => "not_connected",
        Err(Failure::Refused { .. }) => "refused",
        Err(Failure::TimedOut { .. }) => "silent",
    }
}

/// The end of an attempt, as reported to routing and to the register of suspect content.
enum Report {
    Finished,
    Failed(route::Failure),
    /// The server stopped answering.
    Unanswered(route::Failure),
}

/// Reports to routing that an attempt starts and how it ends, also if its future is dropped.
struct Guard {
    address: SocketAddr,
    attempt: Attempt,
    content: Digest,
    deadline: Tick,
    plane: Rc<Plane>,
    pool: Name,
    server: Incarnation,
    started: Tick,
    is_reported: bool,
}

impl Guard {
    fn new(plane: &Rc<Plane>, call: &Call<'_>) -> Self {
        let now = plane.shared.clock.tick();
        let (attempt, server) = (call.call.attempt, call.server.clone());
        let started = route::Event::Started {
            attempt,
            server: server.clone(),
            prefix: call.prefix,
        };
        plane.inner.borrow_mut().table.handle(now, started);
        suspect::record_start(plane, call.content, &server);
        Self {
            address: call.call.address,
            attempt,
            content: call.content,
            deadline: now + call.call.time_left,
            plane: Rc::clone(plane),
            pool: call.pool.name.clone(),
            server,
            started: now,
            is_reported: false,
        }
    }

    fn elapsed(&self) -> Duration {
        self.plane.shared.clock.tick() - self.started
    }

    fn report(&mut self, report: Report) {
        self.is_reported = true;
        let (attempt, server) = (self.attempt, self.server.clone());
        let elapsed = self.elapsed();
        let now = self.plane.shared.clock.tick();
        match report {
            Report::Finished => self.record_end(AttemptOutcome::Completed),
            Report::Failed(_) => self.record_end(AttemptOutcome::Other),
            Report::Unanswered(_) => {
                unresponsive::watch(&self.plane, self.content, &server, self.address)
            }
        }
        let event = match report {
            Report::Finished => route::Event::Finished {
                attempt,
                server,
                elapsed,
            },
            Report::Failed(kind) | Report::Unanswered(kind) => route::Event::Failed {
                attempt,
                server,
                kind,
            },
        };
        let actions = {
            let mut inner = self.plane.inner.borrow_mut();
            inner.table.handle(now, event);
            inner.update_empty_pool(&self.pool)
        };
        self.plane.dispatch(actions);
    }

    fn record_end(&self, outcome: AttemptOutcome) {
        suspect::record_end(&self.plane, self.content, &self.server, outcome);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.is_reported {
            return;
        }
        let is_late = self.plane.shared.clock.tick() >= self.deadline;
        let (kind, label) = if is_late {
            (route::Failure::Slow, "late")
        } else {
            (route::Failure::Cancelled, "cancelled")
        };
        self.report(Report::Unanswered(kind));
        let attempts = &self.plane.shared.metrics.attempts;
        attempts
            .with_label_values(&[self.pool.as_str(), label])
            .inc();
    }
}
