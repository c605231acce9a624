//! Stage servers that fall silent and go on, beside servers that never answer.

mod support;

use core::time::Duration;
use std::rc::Rc;

use base::{Code, Name};
use batch::piece::Handle;
use googletest::prelude::*;
use relay::{Answer, Failure, Job, serve::serve};
use site::{
    roster::Server,
    route::{Kind, Stage},
};
use support::{RELEASE_TIMEOUT, Reaction, Servers, StageReaction, hub, job, spend_budget};
use tokio::time;

type Hub = Rc<relay::Hub<Servers>>;

/// The silence of a sound server: about a second.
const SILENCE: Duration = Duration::from_millis(1_300);

/// How long a request waits at most.
const PATIENCE: Duration = Duration::from_secs(8);

/// Returns a hub with the given number of stage servers, whose next calls get these reactions.
fn stage_hub(servers: usize, reactions: Vec<StageReaction>) -> Hub {
    let hub = hub(vec![Reaction::Answer(200, vec![Ok("whole")]); 3]);
    *hub.transport.stage_reactions.borrow_mut() = reactions.into();
    hub.with(|state| {
        for at in 1..servers {
            let server = Server {
                id: format!("s-{at}").into(),
                pool: "stages".into(),
                address: format!("10.0.1.{at}:80").parse().unwrap(),
                domain: "a".into(),
                slots: 1,
                leaving: false,
                started_at_ms: 0,
                version: Some("v1".into()),
            };
            state.roster.insert(server, 1);
        }
    });
    hub
}

/// Returns a request with a stage of two pieces.
fn stage_job(hub: &Hub) -> Rc<Job<()>> {
    let job = job(hub, Kind::Idempotent, |route| {
        route.timeout = PATIENCE;
        route.objective = Duration::from_secs(1);
        route.stages = vec![Stage {
            pool: "stages".into(),
            depends_on: Vec::new(),
            result_bytes: 100,
        }];
    });
    Rc::new(Job {
        deadline: job.arrived_at + PATIENCE,
        ..Job::clone(&job)
    })
}

/// Returns the answer's text, or the code of the refusal.
async fn text_of(hub: &Hub) -> std::result::Result<String, Code> {
    match serve(hub, stage_job(hub)).await {
        Ok(Answer::Whole { body, .. }) => Ok(String::from_utf8_lossy(&body).into_owned()),
        Ok(Answer::Stream { .. }) => panic!("expected a whole answer"),
        Err(refusal) => Err(refusal.code),
    }
}

fn call_count(hub: &Hub) -> usize {
    hub.transport.batch_sizes.borrow().len()
}

/// Returns the results that were released, without duplicates.
fn released(hub: &Hub) -> Vec<Name> {
    let released = hub.transport.released.borrow();
    let mut texts: Vec<_> = released.iter().map(|handle| handle.text.clone()).collect();
    texts.sort();
    texts.dedup();
    texts
}

/// Lets the results of requests that have ended be released.
async fn settle() {
    time::sleep(PATIENCE).await;
}

/// LOST: a request was refused because a stage server was silent and the retry budget was spent.
#[gtest]
#[actix_web::test]
async fn a_request_is_not_refused_for_a_silent_stage_server_and_a_spent_retry_budget() {
    time::pause();
    let hub = stage_hub(1, vec![StageReaction::Answer(SILENCE)]);
    spend_budget(&hub, "stages");
    expect_that!(text_of(&hub).await, ok(eq("whole")));
    expect_that!(call_count(&hub), eq(1));
}

/// LOST: requests were refused because all servers of a stage were silent at the same time.
#[gtest]
#[actix_web::test]
async fn requests_are_not_refused_because_all_servers_of_a_stage_are_silent_at_once() {
    time::pause();
    let hub = stage_hub(3, vec![StageReaction::Answer(SILENCE); 3]);
    spend_budget(&hub, "stages");
    let requests = (0..3).map(|_| async { text_of(&hub).await });
    for text in futures_util::future::join_all(requests).await {
        expect_that!(text, ok(eq("whole")));
    }
}

/// LOST: a request was refused because its pieces were given up three times though each server would have answered.
#[gtest]
#[actix_web::test]
async fn a_request_waits_for_its_silent_stage_servers_when_its_pieces_have_no_attempts_left() {
    time::pause();
    let hub = stage_hub(3, vec![StageReaction::Answer(SILENCE); 3]);
    let start = time::Instant::now();
    expect_that!(text_of(&hub).await, ok(eq("whole")));
    expect_that!(start.elapsed(), lt(SILENCE * 2));
}

/// A hung stage server must not hold a request: its pieces run on another server.
#[gtest]
#[actix_web::test]
async fn the_pieces_of_a_hung_stage_server_run_on_another_one() {
    time::pause();
    let hub = stage_hub(2, vec![StageReaction::Hang]);
    let start = time::Instant::now();
    expect_that!(text_of(&hub).await, ok(eq("whole")));
    expect_that!(start.elapsed(), lt(Duration::from_secs(1)));
}

/// A hung stage server must not hold a request until its deadline, also when no retry is allowed.
#[gtest]
#[actix_web::test]
async fn a_request_is_refused_well_before_its_deadline_if_its_stage_server_hangs() {
    time::pause();
    let hub = stage_hub(1, vec![StageReaction::Hang]);
    spend_budget(&hub, "stages");
    let start = time::Instant::now();
    expect_that!(text_of(&hub).await, err(eq(&Code::StageUnavailable)));
    expect_that!(start.elapsed(), lt(PATIENCE / 2));
}

/// Memory of stage servers leaked: nobody released the results of a call that was given up.
#[gtest]
#[actix_web::test]
async fn the_results_of_a_call_that_ends_after_its_pieces_were_repeated_are_released() {
    time::pause();
    let hub = stage_hub(2, vec![StageReaction::Answer(SILENCE)]);
    expect_that!(text_of(&hub).await, ok(eq("whole")));
    settle().await;
    expect_that!(call_count(&hub), eq(2));
    expect_that!(released(&hub).len(), eq(4));
}

/// A silent server must be answered for by its own call only: what the repeat's failure says doesn't end the piece.
#[gtest]
#[actix_web::test]
async fn a_piece_is_not_given_up_when_its_repeat_fails_while_its_first_call_goes_on() {
    for failure in [Failure::Broken, Failure::Full, Failure::Rejected] {
        time::pause();
        let fail = StageReaction::Fail(Duration::from_millis(5), failure);
        let reactions = vec![StageReaction::Answer(SILENCE), fail, fail, fail];
        let hub = stage_hub(2, reactions);
        expect_that!(text_of(&hub).await, ok(eq("whole")), "{failure}");
        time::resume();
    }
}

/// Stage servers made pieces for nobody: a refused call was repeated after its request had ended.
#[gtest]
#[actix_web::test]
async fn the_pieces_of_a_request_that_has_ended_are_not_sent_again() {
    for failure in [Failure::Full, Failure::Unreachable, Failure::Broken] {
        time::pause();
        let fail = StageReaction::Fail(Duration::from_millis(100), failure);
        let hub = stage_hub(1, vec![fail]);
        let left = time::timeout(Duration::from_millis(50), text_of(&hub)).await;
        expect_that!(left.is_err(), eq(true));
        settle().await;
        expect_that!(call_count(&hub), eq(1), "{failure}");
        time::resume();
    }
}

/// Results stayed on sound servers while a silent one was told about its own.
#[gtest]
#[actix_web::test]
async fn results_are_released_on_other_servers_while_one_is_silent() {
    time::pause();
    let hub = stage_hub(3, Vec::new());
    let handle = |id: &str| {
        let maker = hub.with(|state| state.roster.get(&id.into()).unwrap().incarnation());
        Handle {
            maker: Some(maker),
            text: format!("{id}/1").into(),
        }
    };
    let (silent, sound) = (handle("s-1"), handle("s-2"));
    let silent_id: Name = "s-1".into();
    hub.transport.silent_releases.borrow_mut().push(silent_id);
    hub.release(vec![silent, sound.clone()]);
    time::sleep(RELEASE_TIMEOUT / 2).await;
    expect_that!(*hub.transport.released.borrow(), eq(&[sound]));
}
