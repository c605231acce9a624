//! The server's line in the platform's list, from its start to its graceful stop.

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

/// How often the line is written, in milliseconds.
const PERIOD_MS: u64 = 500;

/// The time limit of one write, in milliseconds.
const LIMIT_MS: u64 = 1_000;

/// How often work in flight is looked at while leaving, in milliseconds.
const CHECK_MS: u64 = 20;

/// Writes the server's line now and again, so that a platform that lost it gets it back.
pub(super) fn spawn(state: web::Data<State>) {
    if state.config.platform.is_none() {
        return;
    }
    run(async move {
        let client = client();
        // The task ends with the server that it speaks for.
        while !state.stopped.load(Ordering::Relaxed) {
            put(&client, &state).await;
            sleep(Duration::from_millis(PERIOD_MS)).await;
        }
    });
}

/// Leaves on the first SIGTERM: finishes what is in flight, takes the line away, stops.
pub(super) fn leave_on_signal(state: web::Data<State>) {
    run(async move {
        let Ok(mut terminate) = signal(SignalKind::terminate()) else {
            return;
        };
        terminate.recv().await;
        leave(&state).await;
    });
}

async fn leave(state: &State) {
    state.lock().faults.leaving = true;
    let client = client();
    put(&client, state).await;
    let began = Instant::now();
    let least = Duration::from_millis(state.config.leave_ms);
    while began.elapsed() < least || state.lock().queue.running() > 0 {
        sleep(Duration::from_millis(CHECK_MS)).await;
    }
    delete(&client, state).await;
    if let Some(server) = state.server.get() {
        server.stop(true).await;
    }
}

async fn put(client: &Client, state: &State) {
    let Some(url) = url(state) else { return };
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
    // A failed write is repeated by the next one.
    let _ = client.put(url).send_json(&instance).await;
}

async fn delete(client: &Client, state: &State) {
    let Some(url) = url(state) else { return };
    let _ = client.delete(url).send().await;
}

fn url(state: &State) -> Option<String> {
    let base = state.config.platform.as_ref()?.trim_end_matches('/');
    Some(format!("{base}/instances/{}", state.config.name))
}

fn client() -> Client {
    Client::builder()
        .timeout(Duration::from_millis(LIMIT_MS))
        .finish()
}
