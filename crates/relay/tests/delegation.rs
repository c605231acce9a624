//! Pieces that are delegated to an instance which falls silent.

mod support;

use core::time::Duration;
use std::rc::Rc;

use googletest::prelude::*;
use mesh::Peer;
use relay::{Answer, Job, Transport, serve::serve};
use site::route::{Kind, Stage};
use support::{Reaction, Servers, hub, job};
use tokio::time;

/// How long a request waits at most.
const PATIENCE: Duration = Duration::from_secs(8);

/// The time from which a caller would see that the request had waited for the silent instance.
const LIMIT: Duration = Duration::from_secs(2);

/// Returns a hub whose stages belong to another instance, which answers its heartbeats.
fn hub_with_owner() -> Rc<relay::Hub<Servers>> {
    let hub = hub(vec![Reaction::Answer(200, vec![Ok("whole")])]);
    let now = hub.transport.now();
    hub.with(|state| {
        state.members.add(Peer {
            name: "owner".into(),
            address: "10.0.0.2:7740".parse().unwrap(),
            domain: "a".into(),
            capacity: 1_000,
        });
        state.members.mark_live(now, &"owner".into());
    });
    hub.transport.is_mesh_silent.set(true);
    hub
}

/// Serves a request with a stage, and returns how long it took.
async fn serve_stage(hub: &Rc<relay::Hub<Servers>>) -> Duration {
    let start = time::Instant::now();
    let job = job(hub, Kind::Idempotent, |route| {
        route.timeout = PATIENCE;
        route.stages = vec![Stage {
            pool: "stages".into(),
            depends_on: Vec::new(),
            result_bytes: 100,
        }];
    });
    let job = Rc::new(Job {
        deadline: job.arrived_at + PATIENCE,
        ..Job::clone(&job)
    });
    let answer = serve(hub, job).await;
    expect_that!(matches!(answer, Ok(Answer::Whole { .. })), eq(true));
    start.elapsed()
}

/// A request at an instance that was frozen goes on at another one.
#[gtest]
#[actix_web::test]
async fn pieces_at_an_instance_that_misses_its_heartbeats_run_elsewhere() {
    time::pause();
    let hub = hub_with_owner();
    let elapsed = serve_stage(&hub).await;
    expect_that!(elapsed, lt(LIMIT));
}
