//! Calls with a single answer, and the steps that they share with streams.

use core::time::Duration;
use std::time::Instant;

use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder, http::StatusCode, web};
use base::attempt::Attempt;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::{
    Faults, Kind, State,
    headers::{ATTEMPT, Headers, LEAVING, SERVER},
    load::Sample,
    output,
    queue::Admission,
};
use crate::socket;

/// Added to the attempt's number by a server whose answers name another attempt.
const OTHER_ATTEMPT_OFFSET: u16 = 1_000;

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

/// An admitted call and the slot that it runs in.
pub(super) struct Admitted {
    pub(super) body: Body,
    pub(super) headers: Headers,
    pub(super) slot: Slot,
}

/// A slot to run a call in; dropping it releases the slot to the next waiter.
pub(super) struct Slot {
    state: web::Data<State>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.state.lock().queue.release();
        record_load(&self.state);
    }
}

/// Runs a call and answers it.
pub(super) async fn answer(
    request: HttpRequest,
    state: web::Data<State>,
    bytes: web::Bytes,
) -> HttpResponse {
    let Admitted {
        body,
        headers,
        slot,
    } = match admit(&request, &state, &bytes).await {
        Ok(admitted) => admitted,
        Err(refusal) => return refusal,
    };
    record_run(&state, &body, &headers);
    let work = work_time(&state);
    sleep_unless_zero(work).await;
    drop(slot);
    let faults = state.lock().faults.clone();
    apply_faults_after_run(&request, &faults).await;
    let config = &state.config;
    let key = headers.key.as_deref();
    let value = json!({
        "attempt": answer_attempt(&faults, headers.attempt).to_string(),
        "output": output::compute(config.kind, &body.operation, key, &body.input, config.tokens),
        "cost_ms": work.as_secs_f64() * 1_000.0,
    });
    respond(&state, StatusCode::OK, Some(headers.attempt)).json(value)
}

/// Checks a call and waits for a slot to run it in.
pub(super) async fn admit(
    request: &HttpRequest,
    state: &web::Data<State>,
    bytes: &[u8],
) -> Result<Admitted, HttpResponse> {
    let (faults, silent_before) = {
        let inner = state.lock();
        (inner.faults.clone(), inner.silent_before)
    };
    socket::hang_if_older(request, silent_before).await;
    let reused = socket::record_call(request);
    apply_faults_before_run(request, state, &faults, bytes).await;
    let mut headers = Headers::parse(request)
        .ok_or_else(|| respond(state, StatusCode::BAD_REQUEST, None).body("no attempt"))?;
    if faults.cross_reused && reused {
        headers.attempt = other_attempt(headers.attempt);
    }
    let refuse = |status| respond(state, status, Some(headers.attempt));
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
    if contains_text(bytes, faults.refuse_on.as_deref()) {
        state.lock().stats.refused_input += 1;
        return Err(refuse(StatusCode::UNPROCESSABLE_ENTITY).body("input refused"));
    }
    let slot = acquire_slot(state, &headers).await?;
    state.lock().stats.calls += 1;
    Ok(Admitted {
        body,
        headers,
        slot,
    })
}

/// Applies the faults that take effect before a call runs.
async fn apply_faults_before_run(
    request: &HttpRequest,
    state: &State,
    faults: &Faults,
    bytes: &[u8],
) {
    if faults.refuse || faults.close_after_read {
        socket::close::<()>(request).await;
    }
    if faults.silent {
        socket::hang::<()>().await;
    }
    if contains_text(bytes, faults.crash_on.as_deref()) {
        // Blocks the only worker thread: a server that hangs answers no connection.
        std::thread::sleep(Duration::from_millis(faults.crash_after_ms));
        state.crash();
        socket::close::<()>(request).await;
    }
}

/// Applies the faults that take effect between a run and its answer.
async fn apply_faults_after_run(request: &HttpRequest, faults: &Faults) {
    if faults.silent_after_run {
        socket::hang::<()>().await;
    }
    if faults.close_after_run {
        socket::close::<()>(request).await;
    }
    sleep_unless_zero(Duration::from_millis(faults.late_answers_ms)).await;
}

/// A wait for a slot; dropping it releases a slot that was granted too late to be used.
struct Waiter {
    receiver: oneshot::Receiver<()>,
    state: web::Data<State>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.receiver.try_recv().is_ok() {
            self.state.lock().queue.release();
        }
    }
}

async fn acquire_slot(state: &web::Data<State>, headers: &Headers) -> Result<Slot, HttpResponse> {
    let admission = state.lock().queue.acquire(headers.priority);
    record_load(state);
    let slot = || Slot {
        state: state.clone(),
    };
    let receiver = match admission {
        Admission::Granted => return Ok(slot()),
        Admission::Queued(receiver) => receiver,
        Admission::Full => {
            state.lock().stats.limited += 1;
            let mut refusal = respond(state, StatusCode::TOO_MANY_REQUESTS, Some(headers.attempt));
            return Err(refusal.body("the queue is full"));
        }
    };
    let mut waiter = Waiter {
        receiver,
        state: state.clone(),
    };
    let time_left = headers.time_left.unwrap_or(Duration::MAX);
    let granted = tokio::time::timeout(time_left, &mut waiter.receiver).await;
    if granted.is_ok_and(|result| result.is_ok()) {
        return Ok(slot());
    }
    let mut refusal = respond(
        state,
        StatusCode::SERVICE_UNAVAILABLE,
        Some(headers.attempt),
    );
    Err(refusal.body("the deadline passed in the queue"))
}

/// Counts the run of a service call when it takes effect.
pub(super) fn record_run(state: &State, body: &Body, headers: &Headers) {
    if let Some(key) = &headers.key
        && state.config.kind == Kind::Service
    {
        let attempt = headers.attempt.to_string();
        state.lock().runs.record(&body.operation, key, attempt);
    }
}

/// Starts a response with the headers common to all responses.
pub(super) fn respond(
    state: &State,
    status: StatusCode,
    attempt: Option<Attempt>,
) -> HttpResponseBuilder {
    let faults = state.lock().faults.clone();
    let mut response = HttpResponse::build(status);
    response.insert_header((SERVER, state.incarnation.to_string()));
    if let Some(attempt) = attempt {
        response.insert_header((ATTEMPT, answer_attempt(&faults, attempt).to_string()));
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

/// Returns the attempt that an answer names, which `cross_answers` falsifies.
pub(super) fn answer_attempt(faults: &Faults, attempt: Attempt) -> Attempt {
    if faults.cross_answers {
        return other_attempt(attempt);
    }
    attempt
}

/// Returns another attempt of the same request.
pub(super) fn other_attempt(attempt: Attempt) -> Attempt {
    Attempt {
        number: attempt.number.wrapping_add(OTHER_ATTEMPT_OFFSET),
        ..attempt
    }
}

pub(super) fn record_load(state: &State) {
    let mut inner = state.lock();
    let sample = Sample {
        kv_used: inner.cache.block_count(),
        running: inner.queue.running(),
        waiting: inner.queue.waiting(),
    };
    inner.history.record(Instant::now(), sample);
}

/// Sleeps, unless the time is zero, which a timer would round up to a millisecond.
async fn sleep_unless_zero(time: Duration) {
    if !time.is_zero() {
        actix_web::rt::time::sleep(time).await;
    }
}

fn work_time(state: &State) -> Duration {
    let faults = &state.lock().faults;
    let work = Duration::from_secs_f64(state.config.work_ms / 1_000.0);
    work.mul_f64(faults.slow_factor) + Duration::from_millis(faults.slow_ms)
}

fn contains_text(bytes: &[u8], text: Option<&str>) -> bool {
    text.is_some_and(|text| String::from_utf8_lossy(bytes).contains(text))
}
