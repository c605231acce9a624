//! Streams of tokens from a continuous batch.

use core::time::Duration;
use std::{convert::Infallible, time::Instant};

use actix_web::{HttpRequest, HttpResponse, http::StatusCode, rt::time::sleep, web};
use base::{Digest, attempt::Attempt};
use futures_util::stream;
use serde_json::{Value, json};

use super::{
    State,
    cache::{BLOCK_TOKENS, Prefill},
    call::{Admitted, Slot, admit, answer_attempt, other_attempt, record_load, respond},
    output,
};
use crate::socket;

/// The time for pending writes to be sent before the connection is closed.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Runs a generation and streams its tokens.
pub(super) async fn answer(
    request: HttpRequest,
    state: web::Data<State>,
    bytes: web::Bytes,
) -> HttpResponse {
    let admitted = match admit(&request, &state, &bytes).await {
        Ok(admitted) => admitted,
        Err(refusal) => return refusal,
    };
    let faults = state.lock().faults.clone();
    if faults.silent_after_run {
        return socket::hang().await;
    }
    let attempt = admitted.headers.attempt;
    let generation = Generation::start(request, state.clone(), admitted);
    respond(&state, StatusCode::OK, Some(attempt))
        .content_type("text/event-stream")
        .streaming(stream::unfold(generation, next_event))
}

/// One stream in progress; dropping it releases its slot in the batch.
struct Generation {
    attempt: Attempt,
    started_at: Instant,
    cached_blocks: usize,
    count: u64,
    digest: Digest,
    finished: bool,
    index: u64,
    /// Released when the stream ends or its client disconnects.
    _slot: Slot,
    prefill: Duration,
    request: HttpRequest,
    sent: u64,
    state: web::Data<State>,
    stream: Option<String>,
}

impl Generation {
    fn start(request: HttpRequest, state: web::Data<State>, admitted: Admitted) -> Self {
        let Admitted {
            body,
            headers,
            slot,
        } = admitted;
        let prompt = prompt(&body.input);
        let now = Instant::now();
        let Prefill {
            cached_blocks,
            missing_blocks,
        } = state.lock().cache.prefill(now, &prompt);
        record_load(&state);
        if let Some(stream) = &body.stream {
            state.lock().streams.start(stream);
        }
        let prefill_ms = state.config.prefill_ms * missing_blocks as f64;
        Self {
            attempt: headers.attempt,
            started_at: now,
            cached_blocks,
            count: output::token_count(&body.input, state.config.tokens),
            digest: output::digest(&body.operation, &body.input),
            finished: false,
            index: body.from,
            _slot: slot,
            prefill: Duration::from_secs_f64(prefill_ms / 1_000.0),
            request,
            sent: 0,
            state,
            stream: body.stream,
        }
    }

    /// Waits until the next token is due; the running streams share the token rate.
    async fn wait_for_token(&mut self) {
        let interval = {
            let inner = self.state.lock();
            let config = &self.state.config;
            let shared = inner.queue.running() as f64 / config.tokens_per_second;
            let seconds = shared.max(config.token_ms / 1_000.0);
            Duration::from_secs_f64(seconds * inner.faults.slow_factor)
                + Duration::from_millis(inner.faults.slow_ms)
        };
        sleep(interval + core::mem::take(&mut self.prefill)).await;
    }

    /// Applies the faults that take effect during a stream.
    async fn apply_faults(&self) {
        let faults = self.state.lock().faults.clone();
        if faults
            .cut_stream_after
            .is_some_and(|limit| self.sent >= limit)
        {
            self.state.lock().stats.cut += 1;
            // The HTTP server writes the earlier tokens while the body yields nothing more.
            sleep(FLUSH_DELAY).await;
            socket::close::<()>(&self.request).await;
        }
        if faults
            .stall_stream_after
            .is_some_and(|limit| self.sent >= limit)
        {
            socket::hang::<()>().await;
        }
    }

    fn is_cancelled(&self) -> bool {
        let inner = self.state.lock();
        self.stream
            .as_deref()
            .is_some_and(|stream| inner.streams.is_cancelled(stream))
    }

    fn token(&mut self) -> web::Bytes {
        let index = self.index;
        self.index += 1;
        self.sent += 1;
        self.state.lock().stats.tokens += 1;
        let data = json!({
            "attempt": self.event_attempt(),
            "index": index,
            "text": output::token(&self.digest, index),
        });
        event(index, "token", &data)
    }

    fn done(&mut self) -> web::Bytes {
        self.finished = true;
        let text = output::text(&self.digest, self.count);
        let data = json!({
            "attempt": self.event_attempt(),
            "count": self.count,
            "digest": Digest::of(text.as_bytes()),
            "cost_ms": self.started_at.elapsed().as_secs_f64() * 1_000.0,
            "cached_tokens": self.cached_blocks * BLOCK_TOKENS,
        });
        event(self.count, "done", &data)
    }

    fn event_attempt(&self) -> String {
        let faults = &self.state.lock().faults;
        let limit = faults.cross_stream_after;
        if limit.is_some_and(|limit| self.sent > limit) {
            return other_attempt(self.attempt).to_string();
        }
        answer_attempt(faults, self.attempt).to_string()
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        let mut inner = self.state.lock();
        if let Some(stream) = &self.stream {
            inner.streams.finish(stream);
        }
        inner.stats.cancelled += u64::from(!self.finished);
    }
}

/// Produces the next event of a stream; a cancelled stream ends without its last event.
async fn next_event(
    mut generation: Generation,
) -> Option<(Result<web::Bytes, Infallible>, Generation)> {
    if generation.finished {
        return None;
    }
    generation.apply_faults().await;
    if generation.index >= generation.count {
        let done = generation.done();
        return Some((Ok(done), generation));
    }
    generation.wait_for_token().await;
    if generation.is_cancelled() {
        return None;
    }
    let token = generation.token();
    Some((Ok(token), generation))
}

fn event(id: u64, name: &str, data: &Value) -> web::Bytes {
    web::Bytes::from(format!("id: {id}\nevent: {name}\ndata: {data}\n\n"))
}

fn prompt(input: &Value) -> String {
    match output::field(input, "prompt").as_str() {
        Some(prompt) => prompt.to_owned(),
        None => input.to_string(),
    }
}
