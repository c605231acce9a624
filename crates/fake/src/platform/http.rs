//! The HTTP routes of the platform's stand-in.

use core::time::Duration;
use std::time::Instant;

use actix_web::{HttpRequest, HttpResponse, rt::time, web};
use platform::Instance;
use serde::Deserialize;
use serde_json::{Value, json};

use super::{Faults, Inner, State, faults::Outcome};
use crate::{merge::merge, socket};

/// The largest append accepted, in bytes.
const MAX_APPEND_BYTES: usize = 8 * 1024 * 1024;

/// Adds the routes to an application.
pub(super) fn routes(config: &mut web::ServiceConfig) {
    config
        .app_data(web::JsonConfig::default().limit(MAX_APPEND_BYTES))
        .route("/faults", web::get().to(get_faults))
        .route("/faults", web::put().to(put_faults))
        .route("/instances", web::get().to(get_instances))
        .route("/instances/{name}", web::put().to(put_instance))
        .route("/instances/{name}", web::delete().to(delete_instance))
        .route("/log/{stream}", web::get().to(read))
        .route("/log/{stream}", web::post().to(append))
        .route("/stats", web::get().to(stats))
        .route("/weights/{name}", web::get().to(get_weights));
}

#[derive(Deserialize)]
struct Append {
    body: String,
}

#[derive(Deserialize)]
struct Range {
    #[serde(default)]
    from: u64,
    limit: Option<usize>,
}

async fn append(
    request: HttpRequest,
    state: web::Data<State>,
    stream: web::Path<String>,
    body: web::Json<Append>,
) -> HttpResponse {
    if let Some(refusal) = refuse_if_down(&request, &state).await {
        return refusal;
    }
    let (outcome, offset, delay) = {
        let mut inner = state.lock();
        let now = Instant::now();
        if let Err(wait) = inner.appends.try_take(now) {
            inner.stats.appends_limited += 1;
            return rate_limited(wait);
        }
        let outcome = inner.faults.next_append_outcome();
        let offset = match outcome {
            Outcome::HungBeforeAppend => 0,
            _ => inner.streams.append(now, &stream, body.into_inner().body),
        };
        inner.stats.appends += u64::from(outcome != Outcome::HungBeforeAppend);
        inner.stats.appends_lost += u64::from(outcome != Outcome::Answered);
        let delay = Duration::from_millis(inner.faults.append_answer_delay_ms);
        (outcome, offset, delay)
    };
    time::sleep(delay).await;
    match outcome {
        Outcome::Answered => HttpResponse::Ok().json(json!({ "offset": offset })),
        Outcome::HungAfterAppend | Outcome::HungBeforeAppend => socket::hang().await,
        Outcome::Closed => socket::close(&request).await,
    }
}

async fn read(
    request: HttpRequest,
    state: web::Data<State>,
    stream: web::Path<String>,
    range: web::Query<Range>,
) -> HttpResponse {
    if let Some(refusal) = refuse_if_down(&request, &state).await {
        return refusal;
    }
    let mut inner = state.lock();
    let (max_records, max_age) = (
        inner.faults.keep_records,
        Duration::from_millis(inner.faults.keep_ms),
    );
    inner.streams.trim(Instant::now(), max_records, max_age);
    inner.stats.log_reads += 1;
    let limit = range.limit.unwrap_or(usize::MAX);
    HttpResponse::Ok().json(inner.streams.read(&stream, range.from, limit))
}

async fn get_instances(request: HttpRequest, state: web::Data<State>) -> HttpResponse {
    if let Some(refusal) = refuse_if_down(&request, &state).await {
        return refusal;
    }
    let mut inner = state.lock();
    inner.stats.list_reads += 1;
    let (lag, expire) = list_lag_and_expiry(&inner);
    let instances = inner.list.snapshot(Instant::now(), lag, expire);
    HttpResponse::Ok().json(json!({ "instances": instances }))
}

async fn put_instance(
    request: HttpRequest,
    state: web::Data<State>,
    name: web::Path<String>,
    instance: web::Json<Instance>,
) -> HttpResponse {
    register(&request, &state, &name, Some(instance.into_inner())).await
}

async fn delete_instance(
    request: HttpRequest,
    state: web::Data<State>,
    name: web::Path<String>,
) -> HttpResponse {
    register(&request, &state, &name, None).await
}

async fn register(
    request: &HttpRequest,
    state: &State,
    name: &str,
    instance: Option<Instance>,
) -> HttpResponse {
    if let Some(refusal) = refuse_if_down(request, state).await {
        return refusal;
    }
    state.lock().list.update(Instant::now(), name, instance);
    HttpResponse::Ok().json(json!({}))
}

async fn get_weights(
    request: HttpRequest,
    state: web::Data<State>,
    name: web::Path<String>,
) -> HttpResponse {
    if let Some(refusal) = refuse_if_down(&request, &state).await {
        return refusal;
    }
    let mut inner = state.lock();
    if let Err(wait) = inner.weights.try_take(Instant::now()) {
        inner.stats.weights_limited += 1;
        return rate_limited(wait);
    }
    inner.stats.weight_reads += 1;
    let content: Vec<u8> = name.bytes().cycle().take(inner.weight_bytes).collect();
    HttpResponse::Ok().body(content)
}

async fn get_faults(state: web::Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().faults)
}

async fn put_faults(state: web::Data<State>, change: web::Json<Value>) -> HttpResponse {
    let mut inner = state.lock();
    let (lag, expire) = list_lag_and_expiry(&inner);
    match merge::<Faults>(&inner.faults, &change) {
        Ok(mut faults) => {
            if core::mem::take(&mut faults.silence_open) {
                inner.silent_before = socket::next_connection_number();
            }
            inner
                .list
                .set_frozen(Instant::now(), faults.list_frozen, lag, expire);
            inner.faults = faults;
            HttpResponse::Ok().json(&inner.faults)
        }
        Err(error) => HttpResponse::BadRequest().body(error.to_string()),
    }
}

async fn stats(state: web::Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().stats)
}

/// Delays a call by `slow_ms` and refuses it while the platform is down.
async fn refuse_if_down(request: &HttpRequest, state: &State) -> Option<HttpResponse> {
    let (slow, silent_before) = {
        let inner = state.lock();
        (inner.faults.slow_ms, inner.silent_before)
    };
    socket::hang_if_older(request, silent_before).await;
    if slow > 0 {
        actix_web::rt::time::sleep(Duration::from_millis(slow)).await;
    }
    let mut inner = state.lock();
    if !inner.faults.down {
        return None;
    }
    inner.stats.refused_down += 1;
    Some(HttpResponse::ServiceUnavailable().body("down"))
}

fn rate_limited(wait: Duration) -> HttpResponse {
    let seconds = wait.as_secs_f64().ceil().max(1.0);
    HttpResponse::TooManyRequests()
        .insert_header(("Retry-After", seconds.to_string()))
        .body("over the rate")
}

fn list_lag_and_expiry(inner: &Inner) -> (Duration, Duration) {
    (
        Duration::from_millis(inner.faults.list_lag_ms),
        Duration::from_millis(inner.faults.list_expire_ms),
    )
}
