//! Configurations that change while a request is under way: each request ends with an answer or a refusal, and what a
//! server has begun goes on.

mod support;

use core::time::Duration;
use std::rc::Rc;

use base::Code;
use googletest::prelude::*;
use relay::{Failure, Job, serve::serve};
use site::{
    Config,
    route::{Kind, Stage},
};
use support::{Reaction, Servers, StageReaction, hub, job, text_of};
use tokio::time;

type Hub = Rc<relay::Hub<Servers>>;

const FIRST: &str = "id: 1\ndata: a\n\n";
const SECOND: &str = "id: 2\ndata: b\n\n";
const BOTH: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// When the configuration changes, after the request was sent.
const CHANGE: Duration = Duration::from_millis(50);

/// How long a request waits at most.
const PATIENCE: Duration = Duration::from_secs(8);

fn patient_job(hub: &Hub, kind: Kind, has_stage: bool) -> Rc<Job<()>> {
    let job = job(hub, kind, |route| {
        route.timeout = PATIENCE;
        route.objective = Duration::from_secs(1);
        if has_stage {
            route.stages = vec![Stage {
                pool: "stages".into(),
                depends_on: Vec::new(),
                result_bytes: 100,
            }];
        }
    });
    Rc::new(Job {
        deadline: job.arrived_at + PATIENCE,
        ..Job::clone(&job)
    })
}

/// Activates a configuration with only the pools of the given names, and no routes and accounts.
fn keep_pools(hub: &Hub, names: &[&str]) {
    hub.with(|state| {
        let known = state.config.as_ref().unwrap();
        let pools = known.pools().iter();
        let kept = pools.filter(|pool| names.contains(&pool.name.as_str()));
        let config = Config::new(2, Vec::new(), kept.cloned().collect(), Some(Vec::new()));
        state.config = Some(Rc::new(config));
    });
    hub.dispatch();
}

/// Serves a request and changes the configuration meanwhile. Returns the whole answer, or the code or the text with which
/// it ended early.
async fn serve_during(
    hub: &Hub,
    job: Rc<Job<()>>,
    change: impl FnOnce(),
) -> std::result::Result<String, (Code, String)> {
    let answer = text_of(hub, job);
    let changing = async {
        time::sleep(CHANGE).await;
        change();
    };
    tokio::join!(answer, changing).0
}

fn slow(silence: Duration) -> Reaction {
    Reaction::Slow {
        head_delay: silence,
        chunks: vec![(Duration::ZERO, Ok(BOTH))],
    }
}

fn slow_stream(end: std::result::Result<&'static str, Failure>) -> Reaction {
    Reaction::Slow {
        head_delay: Duration::ZERO,
        chunks: vec![
            (Duration::ZERO, Ok(FIRST)),
            (Duration::from_millis(300), end),
        ],
    }
}

/// A request at an engine gets its answer though its route, its account and its service are dropped.
#[gtest]
#[actix_web::test]
async fn a_request_at_a_server_is_answered_though_its_service_is_dropped() {
    for kind in [Kind::Idempotent, Kind::AtMostOnce, Kind::Streaming] {
        time::pause();
        let hub = hub(vec![slow(Duration::from_millis(300))]);
        let job = patient_job(&hub, kind, false);
        let text = serve_during(&hub, job, || keep_pools(&hub, &[])).await;
        expect_that!(text, ok(eq(BOTH)), "{kind:?}");
        time::resume();
    }
}

/// A stream goes on at its server though its service is dropped.
#[gtest]
#[actix_web::test]
async fn a_stream_goes_on_though_its_service_is_dropped() {
    time::pause();
    let hub = hub(vec![slow_stream(Ok(SECOND))]);
    let job = patient_job(&hub, Kind::Streaming, false);
    let text = serve_during(&hub, job, || keep_pools(&hub, &[])).await;
    expect_that!(text, ok(eq(BOTH)));
}

/// LOST: a stream was cut after its server's end as its service had moved, though another server of it was left.
#[gtest]
#[actix_web::test]
async fn a_stream_resumes_on_another_server_of_a_service_that_was_dropped() {
    time::pause();
    let hub = hub(vec![
        slow_stream(Err(Failure::Broken)),
        Reaction::Answer(200, vec![Ok(SECOND)]),
    ]);
    let job = patient_job(&hub, Kind::Streaming, false);
    let text = serve_during(&hub, job, || keep_pools(&hub, &[])).await;
    expect_that!(text, ok(eq(BOTH)));
}

/// LOST: a request between two attempts was refused as its service had moved, though another server of it was left.
#[gtest]
#[actix_web::test]
async fn a_request_is_sent_to_another_server_of_a_service_that_was_dropped() {
    time::pause();
    let hub = hub(vec![
        Reaction::FailAfter(Duration::from_millis(300), Failure::Broken),
        Reaction::Answer(200, vec![Ok(BOTH)]),
    ]);
    let job = patient_job(&hub, Kind::Idempotent, false);
    let text = serve_during(&hub, job, || keep_pools(&hub, &[])).await;
    expect_that!(text, ok(eq(BOTH)));
}

/// A request whose pieces are in a call goes on though the service of the stage is dropped.
#[gtest]
#[actix_web::test]
async fn a_request_in_a_stage_call_is_answered_though_the_stage_is_dropped() {
    time::pause();
    let hub = hub(vec![Reaction::Answer(200, vec![Ok(BOTH)])]);
    let reaction = StageReaction::Answer(Duration::from_millis(300));
    hub.transport
        .stage_reactions
        .borrow_mut()
        .push_back(reaction);
    let job = patient_job(&hub, Kind::Idempotent, true);
    let text = serve_during(&hub, job, || keep_pools(&hub, &["engines"])).await;
    expect_that!(text, ok(eq(BOTH)));
}

/// A request whose pieces are queued is refused at once, with a code that says "not run", when the stage is dropped.
#[gtest]
#[actix_web::test]
async fn a_request_queued_for_a_stage_is_refused_at_once_when_the_stage_is_dropped() {
    time::pause();
    let hub = hub(vec![Reaction::Answer(200, vec![Ok(BOTH)]); 2]);
    let reaction = StageReaction::Answer(Duration::from_millis(300));
    hub.transport
        .stage_reactions
        .borrow_mut()
        .push_back(reaction);
    let first = patient_job(&hub, Kind::Idempotent, true);
    let queued = patient_job(&hub, Kind::Idempotent, true);
    let start = time::Instant::now();
    let first = async { serve(&hub, first).await.is_ok() };
    let queued = async {
        time::sleep(CHANGE / 2).await;
        let change = || keep_pools(&hub, &["engines"]);
        (serve_during(&hub, queued, change).await, start.elapsed())
    };
    let (is_answered, (refused, at)) = tokio::join!(first, queued);
    expect_that!(is_answered, eq(true));
    let code = refused.map_err(|(code, _)| code);
    expect_that!(code, err(eq(&Code::DeadlineUnmeetable)));
    expect_that!(at, lt(CHANGE * 3));
}

/// A server of a stage was never called again when its service was dropped while a call started, and came back.
#[gtest]
#[actix_web::test]
async fn a_stage_that_was_dropped_and_came_back_is_used_again() {
    time::pause();
    let hub = hub(vec![Reaction::Answer(200, vec![Ok(BOTH)]); 2]);
    let config = hub.with(|state| state.config.clone());
    let job = patient_job(&hub, Kind::Idempotent, true);
    let first = serve(&hub, job.clone());
    let change = async {
        // The call has started, but its task has not run yet.
        hub.with(|state| {
            state.config = Some(Rc::new(Config::new(2, Vec::new(), Vec::new(), None)));
        });
        time::sleep(CHANGE).await;
        hub.with(|state| state.config = config);
        hub.dispatch();
    };
    let (_, ()) = tokio::join!(first, change);
    let second = serve(&hub, patient_job(&hub, Kind::Idempotent, true)).await;
    expect_that!(second.is_ok(), eq(true));
}
