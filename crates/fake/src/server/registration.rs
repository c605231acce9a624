//! The server's entry in the platform's instance list, from its start to its graceful stop.

use core::{sync::atomic::Ordering, time::Duration};
use std::time::Instant;

use actix_web::{
    rt::{spawn as run, time::sleep},
    web,
};
use awc::Client;
use platform::{Instance, list};
use tokio::signal::unix::{SignalKind, signal};

use super::State;

/// The interval between registrations, in milliseconds.
const REGISTER_INTERVAL_MS: u64 = 500;

/// The timeout of one request to the platform, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 1_000;

/// The interval between checks for work in flight while draining, in milliseconds.
const DRAIN_CHECK_INTERVAL_MS: u64 = 20;

/// Registers the server at a fixed interval, so that a platform that lost the entry gets it back.
pub(super) fn spawn(state: web::Data<State>) {
    if state.config.platform.is_none() {
        return;
    }
    run(async move {
        let client = client();
        // Stops registering once the server has stopped.
        while !state.stopped.load(Ordering::Relaxed) {
            register(&client, &state).await;
            sleep(Duration::from_millis(REGISTER_INTERVAL_MS)).await;
        }
    });
}

/// Drains on the first SIGTERM: finishes calls in flight, deregisters and stops.
pub(super) fn leave_on_signal(state: web::Data<State>) {
    run(async move {
        let Ok(mut terminate) = signal(SignalKind::terminate()) else {
            return;
        };
        terminate.recv().await;
        drain_and_stop(&state).await;
    });
}

async fn drain_and_stop(state: &State) {
    state.lock().faults.leaving = true;
    let client = client();
    register(&client, state).await;
    let started_at = Instant::now();
    let min_duration = Duration::from_millis(state.config.leave_ms);
    while started_at.elapsed() < min_duration || state.lock().queue.running() > 0 {
        sleep(Duration::from_millis(DRAIN_CHECK_INTERVAL_MS)).await;
    }
    deregister(&client, state).await;
    if let Some(server) = state.server.get() {
        server.stop(true).await;
    }
}

async fn register(client: &Client, state: &State) {
    let Some(url) = instance_url(state) else {
        return;
    };
    let leaving = state.lock().faults.leaving;
    let instance = Instance {
        incarnation: state.incarnation.clone(),
        pool: state.config.pool.clone(),
        domain: state.config.domain.clone(),
        address: state.address,
        state: match leaving {
            true => list::State::Leaving,
            false => list::State::Live,
        },
    };
    // A failed registration is repeated at the next interval.
    let _ = client.put(url).send_json(&instance).await;
}

async fn deregister(client: &Client, state: &State) {
    let Some(url) = instance_url(state) else {
        return;
    };
    let _ = client.delete(url).send().await;
}

fn instance_url(state: &State) -> Option<String> {
    let base = state.config.platform.as_ref()?.trim_end_matches('/');
    Some(format!("{base}/instances/{}", state.config.name))
}

fn client() -> Client {
    Client::builder()
        .timeout(Duration::from_millis(REQUEST_TIMEOUT_MS))
        .finish()
}
