//! Calls that are answered as a whole, and what streams share with them.

use core::time::Duration;
use std::time::Instant;

use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder, http::StatusCode, web};
use base::attempt::Attempt;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::{
    Faults, Kind, State,
    head::{ATTEMPT, Head, LEAVING, SERVER},
    load::Sample,
    output,
    queue::Entrance,
};
use crate::socket;

/// Added to the attempt's number by a server that crosses its answers.
const CROSSED: u16 = 1_000;

#[derive(Clone, Debug, Deserialize)]
pub(super) struct Body {
    pub(super) operation: String,
    #[serde(default)]
    pub(super) input: Value,
    /// The first token wanted of a stream.
    #[serde(default)]
    pub(super) from: u64,
    /// The id to cancel a stream by.
    #[serde(default)]
    pub(super) stream: Option<String>,
}

/// A call that has a place to run in.
pub(super) struct Admitted {
    pub(super) body: Body,
    pub(super) head: Head,
    pub(super) place: Place,
}

/// A place to run in; dropping it lets the next one in.
pub(super) struct Place {
    state: web::Data<State>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.state.lock().queue.leave();
        note_load(&self.state);
    }
}

/// Runs a call and answers it.
pub(super) async fn answer(
    request: HttpRequest,
    state: web::Data<State>,
    bytes: web::Bytes,
) -> HttpResponse {
    let Admitted { body, head, place } = match admit(&request, &state, &bytes).await {
        Ok(admitted) => admitted,
        Err(refusal) => return refusal,
    };
    record(&state, &body, &head);
    let work = work_time(&state);
    pause(work).await;
    drop(place);
    let faults = state.lock().faults.clone();
    after_run(&request, &faults).await;
    let config = &state.config;
    let key = head.key.as_deref();
    let value = json!({
        "attempt": shown(&faults, head.attempt).to_string(),
        "output": output::compute(config.kind, &body.operation, key, &body.input, config.tokens),
        "cost_ms": work.as_secs_f64() * 1_000.0,
    });
    respond(&state, StatusCode::OK, Some(head.attempt)).json(value)
}

/// Checks a call and waits for a place to run it.
pub(super) async fn admit(
    request: &HttpRequest,
    state: &web::Data<State>,
    bytes: &[u8],
) -> Result<Admitted, HttpResponse> {
    let (faults, silent_before) = {
        let inner = state.lock();
        (inner.faults.clone(), inner.silent_before)
    };
    socket::silence_before(request, silent_before).await;
    let reused = socket::is_reused(request);
    before_run(request, state, &faults, bytes).await;
    let mut head = Head::read(request)
        .ok_or_else(|| respond(state, StatusCode::BAD_REQUEST, None).body("no attempt"))?;
    if faults.cross_reused && reused {
        head.attempt = crossed(head.attempt);
    }
    let refuse = |status| respond(state, status, Some(head.attempt));
    if faults.leaving {
        state.lock().stats.refused_leaving += 1;
        return Err(refuse(StatusCode::SERVICE_UNAVAILABLE).body("leaving"));
    }
    if faults.down {
        state.lock().stats.refused_down += 1;
        return Err(refuse(StatusCode::SERVICE_UNAVAILABLE).body("down"));
    }
    let body: Body = serde_json::from_slice(bytes)
        .map_err(|error| refuse(StatusCode::BAD_REQUEST).body(error.to_string()))?;
    if contains(bytes, faults.refuse_on.as_deref()) {
        state.lock().stats.refused_input += 1;
        return Err(refuse(StatusCode::UNPROCESSABLE_ENTITY).body("input refused"));
    }
    let place = enter(state, &head).await?;
    state.lock().stats.calls += 1;
    Ok(Admitted { body, head, place })
}

/// Carries out the faults that strike before a call runs.
async fn before_run(request: &HttpRequest, state: &State, faults: &Faults, bytes: &[u8]) {
    if faults.refuse || faults.close_after_read {
        socket::close::<()>(request).await;
    }
    if faults.silent {
        socket::silence::<()>().await;
    }
    if contains(bytes, faults.crash_on.as_deref()) {
        // The thread of all connections is held up: a server that hangs answers nobody.
        std::thread::sleep(Duration::from_millis(faults.crash_after_ms));
        state.crash();
        socket::close::<()>(request).await;
    }
}

/// Carries out the faults that strike between a run and its answer.
async fn after_run(request: &HttpRequest, faults: &Faults) {
    if faults.silent_after_run {
        socket::silence::<()>().await;
    }
    if faults.close_after_run {
        socket::close::<()>(request).await;
    }
    pause(Duration::from_millis(faults.late_answers_ms)).await;
}

/// A wait for a place, which gives back a place that came too late to be taken.
struct Turn {
    receiver: oneshot::Receiver<()>,
    state: web::Data<State>,
}

impl Drop for Turn {
    fn drop(&mut self) {
        if self.receiver.try_recv().is_ok() {
            self.state.lock().queue.leave();
        }
    }
}

async fn enter(state: &web::Data<State>, head: &Head) -> Result<Place, HttpResponse> {
    let entrance = state.lock().queue.enter(head.priority);
    note_load(state);
    let place = || Place {
        state: state.clone(),
    };
    let turn = match entrance {
        Entrance::Open => return Ok(place()),
        Entrance::Wait(turn) => turn,
        Entrance::Full => {
            state.lock().stats.limited += 1;
            let mut refusal = respond(state, StatusCode::TOO_MANY_REQUESTS, Some(head.attempt));
            return Err(refusal.body("the queue is full"));
        }
    };
    let mut turn = Turn {
        receiver: turn,
        state: state.clone(),
    };
    let left = head.left.unwrap_or(Duration::MAX);
    let came = tokio::time::timeout(left, &mut turn.receiver).await;
    if came.is_ok_and(|turn| turn.is_ok()) {
        return Ok(place());
    }
    let mut refusal = respond(state, StatusCode::SERVICE_UNAVAILABLE, Some(head.attempt));
    Err(refusal.body("the deadline passed in the queue"))
}

/// Counts the run of a call at the moment of its effect.
pub(super) fn record(state: &State, body: &Body, head: &Head) {
    if let Some(key) = &head.key
        && state.config.kind == Kind::Service
    {
        let attempt = head.attempt.to_string();
        state.lock().runs.record(&body.operation, key, attempt);
    }
}

/// Begins an answer with the headers that every answer has.
pub(super) fn respond(
    state: &State,
    status: StatusCode,
    attempt: Option<Attempt>,
) -> HttpResponseBuilder {
    let faults = state.lock().faults.clone();
    let mut response = HttpResponse::build(status);
    response.insert_header((SERVER, state.incarnation.to_string()));
    if let Some(attempt) = attempt {
        response.insert_header((ATTEMPT, shown(&faults, attempt).to_string()));
    }
    if faults.leaving {
        response.insert_header((LEAVING, "1"));
    }
    if matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    ) {
        response.insert_header(("Retry-After", "1"));
    }
    response
}

/// Returns the attempt that an answer names.
pub(super) fn shown(faults: &Faults, attempt: Attempt) -> Attempt {
    if faults.cross_answers {
        return crossed(attempt);
    }
    attempt
}

/// Returns another attempt of the same request.
pub(super) fn crossed(attempt: Attempt) -> Attempt {
    Attempt {
        number: attempt.number.wrapping_add(CROSSED),
        ..attempt
    }
}

pub(super) fn note_load(state: &State) {
    let mut inner = state.lock();
    let sample = Sample {
        kv_used: inner.cache.used(),
        running: inner.queue.running(),
        waiting: inner.queue.waiting(),
    };
    inner.history.note(Instant::now(), sample);
}

/// Waits, but not at all for no time: a timer would round it up to a millisecond.
async fn pause(time: Duration) {
    if !time.is_zero() {
        actix_web::rt::time::sleep(time).await;
    }
}

fn work_time(state: &State) -> Duration {
    let faults = &state.lock().faults;
    let work = Duration::from_secs_f64(state.config.work_ms / 1_000.0);
    work.mul_f64(faults.slow_factor) + Duration::from_millis(faults.slow_ms)
}

fn contains(bytes: &[u8], text: Option<&str>) -> bool {
    text.is_some_and(|text| String::from_utf8_lossy(bytes).contains(text))
}
