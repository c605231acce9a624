//! The HTTP routes of a backend server's stand-in.

use core::time::Duration;
use std::time::Instant;

use actix_web::{HttpRequest, HttpResponse, web};
use base::Digest;
use serde::Deserialize;
use serde_json::{Value, json};

use super::{Faults, Kind, State, cache::BLOCK_TOKENS, call, generate, orders};
use crate::{merge::merge, socket};

/// The largest call accepted, in bytes.
const MAX_CALL_BYTES: usize = 8 * 1024 * 1024;

/// Adds the routes to an application.
pub(super) fn routes(config: &mut web::ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(MAX_CALL_BYTES))
        .route("/faults", web::get().to(get_faults))
        .route("/faults", web::put().to(put_faults))
        .route("/stats", web::get().to(stats))
        .route("/v1/cache-events", web::get().to(cache_events))
        .route("/v1/call", web::post().to(call::answer))
        .route("/v1/generate", web::post().to(generate_or_missing))
        .route("/v1/kv/{prefix}", web::get().to(export_kv))
        .route("/v1/kv/{prefix}", web::post().to(import_kv))
        .route("/v1/load", web::get().to(load))
        .route("/v1/orders", web::get().to(get_orders))
        .route("/v1/orders", web::post().to(post_order))
        .route("/v1/runs", web::get().to(runs))
        .route("/v1/runs/{key}", web::get().to(runs_of))
        .route("/v1/streams/{id}/cancel", web::post().to(cancel));
}

#[derive(Deserialize)]
struct Range {
    #[serde(default)]
    from: u64,
}

async fn generate_or_missing(
    request: HttpRequest,
    state: web::Data<State>,
    bytes: web::Bytes,
) -> HttpResponse {
    match state.config.kind {
        Kind::Generate => generate::answer(request, state, bytes).await,
        _ => HttpResponse::NotFound().finish(),
    }
}

async fn cancel(state: web::Data<State>, id: web::Path<String>) -> HttpResponse {
    let cancelled = state.lock().streams.cancel(&id);
    HttpResponse::Ok().json(json!({ "cancelled": cancelled }))
}

async fn load(request: HttpRequest, state: web::Data<State>) -> HttpResponse {
    let (silent, silent_before) = {
        let inner = state.lock();
        (inner.faults.silent, inner.silent_before)
    };
    socket::hang_if_older(&request, silent_before).await;
    if silent {
        return socket::hang().await;
    }
    let inner = state.lock();
    let lag = Duration::from_millis(state.config.load_lag_ms);
    let sample = inner.history.sample_at(Instant::now(), lag);
    HttpResponse::Ok().json(json!({
        "incarnation": state.incarnation,
        "running": sample.running,
        "waiting": sample.waiting,
        "kv_used": sample.kv_used,
        "kv_total": state.config.cache_blocks,
        "leaving": inner.faults.leaving,
        "models": inner.orders.held,
    }))
}

async fn cache_events(state: web::Data<State>, range: web::Query<Range>) -> HttpResponse {
    let lag = Duration::from_millis(state.config.event_lag_ms);
    let events = state.lock().cache.events(Instant::now(), lag, range.from);
    HttpResponse::Ok().json(json!({ "events": events }))
}

async fn export_kv(state: web::Data<State>, prefix: web::Path<String>) -> HttpResponse {
    let block = Digest::parse(&prefix);
    match block.filter(|block| state.lock().cache.contains(block)) {
        Some(block) => HttpResponse::Ok().json(json!({ "block": block, "tokens": BLOCK_TOKENS })),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn import_kv(state: web::Data<State>, prefix: web::Path<String>) -> HttpResponse {
    let Some(block) = Digest::parse(&prefix) else {
        return HttpResponse::BadRequest().finish();
    };
    state.lock().cache.store(Instant::now(), block);
    HttpResponse::Ok().json(json!({}))
}

async fn get_orders(state: web::Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().orders)
}

async fn post_order(state: web::Data<State>, order: web::Json<orders::Order>) -> HttpResponse {
    let checks_fencing = state.config.checks_fencing;
    let accepted = state
        .lock()
        .orders
        .accept(order.into_inner(), checks_fencing);
    if accepted {
        orders::spawn_load(&state);
    }
    let mut response = match accepted {
        true => HttpResponse::Ok(),
        false => HttpResponse::Conflict(),
    };
    response.json(&state.lock().orders)
}

async fn runs(state: web::Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(json!({ "runs": state.lock().runs.list(None) }))
}

async fn runs_of(state: web::Data<State>, key: web::Path<String>) -> HttpResponse {
    HttpResponse::Ok().json(json!({ "runs": state.lock().runs.list(Some(&key)) }))
}

async fn get_faults(state: web::Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().faults)
}

async fn put_faults(state: web::Data<State>, change: web::Json<Value>) -> HttpResponse {
    let mut inner = state.lock();
    match merge::<Faults>(&inner.faults, &change) {
        Ok(mut faults) => {
            if core::mem::take(&mut faults.silence_open) {
                inner.silent_before = socket::next_connection_number();
            }
            inner.faults = faults;
            HttpResponse::Ok().json(&inner.faults)
        }
        Err(error) => HttpResponse::BadRequest().body(error.to_string()),
    }
}

async fn stats(state: web::Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().stats)
}
