//! One call of a backend server, with what the routing learns from it.

use core::{net::SocketAddr, time::Duration};
use std::rc::Rc;

use backend::stream::Part;
use base::{Digest, Incarnation, Name, Tick, attempt::Attempt};
use bundle::content::{Kind, Pool};
use flow::{Event, Failure};
use member::fact::State;
use retry::{suspect::Outcome as Ending, timeout::Progress};
use serde_json::{Value, json};

use crate::{
    control::roster::Heard,
    plane::{
        Plane, doubt,
        sink::{Push, Sink, Text},
        suspect,
    },
};

/// Milliseconds of a server's work in one of the seconds that its cost is stated for.
const MILLIS: f64 = 1_000.0;

/// One call, ready to be made.
pub(crate) struct Call<'a> {
    pub(crate) call: backend::Call,
    /// Names the content of the request.
    pub(crate) content: Digest,
    pub(crate) pipeline: &'a Name,
    pub(crate) pool: &'a Pool,
    /// The digest of the prompt's beginning, where the stage generates.
    pub(crate) prefix: Option<u64>,
    pub(crate) server: Incarnation,
    pub(crate) stage: &'a Name,
    /// Whether the output of this stage is the answer.
    pub(crate) last: bool,
}

/// How a call ended, with what is needed to go on after a failure.
pub(crate) enum End {
    /// The request goes on with an event.
    Event(Event),
    /// The caller has gone.
    Gone,
}

/// Makes a call and returns what the request learns of it.
///
/// Tokens of the answer's own stage go to the sink as they arrive and are kept in `text`.
pub(crate) async fn make(
    plane: &Rc<Plane>,
    call: Call<'_>,
    text: &mut Text,
    sink: Option<&mut Sink>,
) -> End {
    let mut watch = Watch::begin(plane, &call);
    let mut made = if call.pool.kind == Kind::Generate {
        generate(plane, &call, text, sink).await
    } else {
        reply(plane, &call).await
    };
    if let Err(Failure::Disconnected) = &made
        && suspect::check(plane, &call.server, call.call.address).await
    {
        made = Err(Failure::Died);
    }
    let ended = match &made {
        Ok(Made::Output(..) | Made::Diverged) => Ended::Finished,
        Ok(Made::Gone) => Ended::Failed(route::Failure::Cancelled),
        Err(Failure::Died) => Ended::Failed(mourn(plane, &call.server)),
        Err(failure @ Failure::TimedOut { .. }) => Ended::Silent(blame(failure)),
        Err(failure) => Ended::Failed(blame(failure)),
    };
    watch.end(ended);
    if let Err(Failure::Leaving) = &made {
        leaving(plane, &call.server);
    }
    let attempt = call.call.attempt;
    let cost = cost(call.pool, watch.took());
    let metrics = &plane.shared.metrics;
    let label = label(&made);
    metrics
        .attempts
        .with_label_values(&[call.pool.name.as_str(), label])
        .inc();
    tell_book(plane, &call, &made, watch.took());
    match made {
        Ok(Made::Output(output, cost_ms)) => End::Event(Event::Replied {
            attempt,
            output,
            cost: cost_ms / MILLIS * call.pool.cost_per_second,
        }),
        Ok(Made::Diverged) => End::Event(Event::Diverged),
        Ok(Made::Gone) => End::Gone,
        Err(failure) => End::Event(Event::Failed {
            attempt,
            cost: if failure.may_have_run() { cost } else { 0.0 },
            failure,
        }),
    }
}

fn tell_book(plane: &Plane, call: &Call<'_>, made: &Result<Made, Failure>, took: Duration) {
    let busy = match made {
        Ok(Made::Output(_, cost_ms)) => Duration::from_secs_f64(cost_ms.max(0.0) / MILLIS),
        Err(failure) if !failure.may_have_run() => Duration::ZERO,
        _ => took,
    };
    let called = burn::Event::Called(burn::event::Called {
        pipeline: call.pipeline.clone(),
        stage: call.stage.clone(),
        busy,
        cost_per_second: call.pool.cost_per_second,
        repeat: call.call.attempt.number > 0,
        wasted: !matches!(made, Ok(Made::Output(..))),
    });
    plane
        .shared
        .tracker()
        .record(plane.shared.clock.stamp(), &called);
}

enum Made {
    /// The output and the server's own time on it, in milliseconds.
    Output(Value, f64),
    Diverged,
    Gone,
}

async fn reply(plane: &Plane, call: &Call<'_>) -> Result<Made, Failure> {
    let begun = plane.shared.clock.tick();
    let reply = plane.client.call(&call.call).await?;
    let took = plane.shared.clock.tick() - begun;
    learn(plane, call, Progress::FirstByte(took));
    if reply.leaving {
        leaving(plane, &call.server);
    }
    Ok(Made::Output(reply.output, reply.cost_ms))
}

async fn generate(
    plane: &Plane,
    call: &Call<'_>,
    text: &mut Text,
    mut sink: Option<&mut Sink>,
) -> Result<Made, Failure> {
    let mut inner = Text::default();
    let text = if call.last { text } else { &mut inner };
    let mut stream = plane.client.stream(&call.call).await?;
    if stream.is_leaving() {
        leaving(plane, &call.server);
    }
    let mut last = plane.shared.clock.tick();
    let mut first = true;
    loop {
        let part = stream.next_part().await?;
        let now = plane.shared.clock.tick();
        let progress = if core::mem::take(&mut first) {
            Progress::FirstByte(now - last)
        } else {
            Progress::Gap(now - last)
        };
        last = now;
        learn(plane, call, progress);
        match part {
            Part::Token { text: token, .. } => {
                text.push(&token);
                let Some(sink) = sink.as_mut().filter(|_| call.last) else {
                    continue;
                };
                match sink.push(text, &token).await {
                    Push::Taken => {}
                    Push::Gone => return Ok(Made::Gone),
                    Push::Diverged => return Ok(Made::Diverged),
                }
            }
            Part::Done {
                digest,
                cost_ms,
                cached_tokens,
                ..
            } => {
                if cached_tokens == Some(0) {
                    missed(plane, call);
                }
                if digest != text.digest() {
                    return Ok(Made::Diverged);
                }
                let output = json!({ "text": text.whole, "count": text.count, "digest": digest });
                return Ok(Made::Output(output, cost_ms));
            }
        }
    }
}

fn learn(plane: &Plane, call: &Call<'_>, progress: Progress) {
    let mut inner = plane.inner.borrow_mut();
    inner.paces.learn(&call.pool.name, progress);
}

fn missed(plane: &Plane, call: &Call<'_>) {
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

/// Tells the routing and the peers that a server said it is leaving.
fn leaving(plane: &Plane, server: &Incarnation) {
    plane
        .shared
        .roster
        .do_send(Heard(server.clone(), State::Leaving));
    let server = server.clone();
    let now = plane.shared.clock.tick();
    let mut inner = plane.inner.borrow_mut();
    inner.table.handle(now, route::Event::Leaving { server });
}

fn cost(pool: &Pool, took: Duration) -> f64 {
    took.as_secs_f64() * pool.cost_per_second
}

/// Counts the death of a server once, however many attempts it took along: the rest of its pool may
/// be well.
fn mourn(plane: &Plane, server: &Incarnation) -> route::Failure {
    if plane.inner.borrow_mut().bury(server) {
        route::Failure::Crashed
    } else {
        route::Failure::Cancelled
    }
}

const fn blame(failure: &Failure) -> route::Failure {
    match failure {
        Failure::Busy { .. } | Failure::Leaving | Failure::Mismatched => route::Failure::Refused,
        Failure::Died | Failure::Disconnected => route::Failure::Crashed,
        Failure::NotConnected => route::Failure::ConnectFailed,
        Failure::Refused { .. } => route::Failure::Cancelled,
        Failure::TimedOut {
            new_connection: true,
        } => route::Failure::Slow,
        // An old connection is to blame, not the server.
        Failure::TimedOut {
            new_connection: false,
        } => route::Failure::Cancelled,
    }
}

const fn label(made: &Result<Made, Failure>) -> &'static str {
    match made {
        Ok(Made::Output(..)) => "answered",
        Ok(Made::Diverged) => "diverged",
        Ok(Made::Gone) => "caller_gone",
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

enum Ended {
    Finished,
    Failed(route::Failure),
    /// Nothing came from the server any more.
    Silent(route::Failure),
}

/// Tells the routing that an attempt began, and how it ended even if its future is dropped.
struct Watch {
    address: SocketAddr,
    attempt: Attempt,
    content: Digest,
    deadline: Tick,
    plane: Rc<Plane>,
    pool: Name,
    server: Incarnation,
    started: Tick,
    ended: bool,
}

impl Watch {
    fn begin(plane: &Rc<Plane>, call: &Call<'_>) -> Self {
        let now = plane.shared.clock.tick();
        let (attempt, server) = (call.call.attempt, call.server.clone());
        let started = route::Event::Started {
            attempt,
            server: server.clone(),
            prefix: call.prefix,
        };
        plane.inner.borrow_mut().table.handle(now, started);
        suspect::start(plane, call.content, &server);
        Self {
            address: call.call.address,
            attempt,
            content: call.content,
            deadline: now + call.call.time_left,
            plane: Rc::clone(plane),
            pool: call.pool.name.clone(),
            server,
            started: now,
            ended: false,
        }
    }

    fn took(&self) -> Duration {
        self.plane.shared.clock.tick() - self.started
    }

    fn end(&mut self, ended: Ended) {
        self.ended = true;
        let (attempt, server) = (self.attempt, self.server.clone());
        let took = self.took();
        let now = self.plane.shared.clock.tick();
        match ended {
            Ended::Finished => self.note(Ending::Completed),
            Ended::Failed(_) => self.note(Ending::Other),
            Ended::Silent(_) => doubt::follow(&self.plane, self.content, &server, self.address),
        }
        let event = match ended {
            Ended::Finished => route::Event::Finished {
                attempt,
                server,
                elapsed: took,
            },
            Ended::Failed(kind) | Ended::Silent(kind) => route::Event::Failed {
                attempt,
                server,
                kind,
            },
        };
        self.plane.inner.borrow_mut().table.handle(now, event);
    }

    fn note(&self, end: Ending) {
        suspect::end(&self.plane, self.content, &self.server, end);
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let late = self.plane.shared.clock.tick() >= self.deadline;
        let (kind, label) = if late {
            (route::Failure::Slow, "late")
        } else {
            (route::Failure::Cancelled, "cancelled")
        };
        self.end(Ended::Silent(kind));
        let attempts = &self.plane.shared.metrics.attempts;
        attempts
            .with_label_values(&[self.pool.as_str(), label])
            .inc();
    }
}
