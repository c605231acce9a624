//! Servers that send bytes that are no answer and no event, without end.

mod support;

use core::time::Duration;
use std::rc::Rc;

use base::Code;
use googletest::prelude::*;
use relay::{Answer, Failure, Job, serve::serve};
use site::{Route, route::Kind};
use support::{Reaction, Servers, hub, job};
use tokio::time;

type Hub = Rc<relay::Hub<Servers>>;

/// A server that sends bytes again and again, longer than any request lasts.
fn endless(first: &'static str, endless: &'static str, pause: Duration) -> Reaction {
    let chunks = core::iter::once((Duration::ZERO, Ok(first)));
    let chunks = chunks.chain(core::iter::repeat_n((pause, Ok(endless)), 10_000));
    Reaction::Slow {
        head_delay: Duration::ZERO,
        chunks: chunks.collect(),
    }
}

fn answer(text: &'static str) -> Reaction {
    Reaction::Answer(200, vec![Ok(text)])
}

/// Returns a request with a deadline of 8 s, an objective of 1 s and event gaps of 200 ms.
fn patient_job(hub: &Hub, kind: Kind) -> Rc<Job<()>> {
    let job = job(hub, kind, |route: &mut Route| {
        route.timeout = Duration::from_secs(8);
        route.objective = Duration::from_secs(1);
        route.max_event_gap = Duration::from_millis(200);
    });
    Rc::new(Job {
        deadline: job.arrived_at + Duration::from_secs(8),
        ..Job::clone(&job)
    })
}

/// Returns the whole answer, or the code or the text with which it ended early.
async fn text_of(hub: &Hub, job: Rc<Job<()>>) -> std::result::Result<String, (Code, String)> {
    match serve(hub, job).await {
        Ok(Answer::Whole { body, .. }) => Ok(String::from_utf8_lossy(&body).into_owned()),
        Ok(Answer::Stream { mut body, .. }) => {
            let mut text = String::new();
            loop {
                match body.next().await {
                    Ok(Some(bytes)) => text.push_str(&String::from_utf8_lossy(&bytes)),
                    Ok(None) => return Ok(text),
                    Err(_) => return Err((Code::StreamCut, text)),
                }
            }
        }
        Err(refusal) => Err((refusal.code, String::new())),
    }
}

/// A trickle of bytes held a request until its deadline though another server could have answered it.
#[gtest]
#[actix_web::test]
async fn a_request_is_answered_by_another_server_when_its_body_trickles_without_end() {
    time::pause();
    let hub = hub(vec![
        endless("x", "x", Duration::from_millis(100)),
        answer("whole"),
    ]);
    let job = patient_job(&hub, Kind::Idempotent);
    expect_that!(text_of(&hub, job).await, ok(eq("whole")));
    let sent = hub.transport.sent.borrow();
    expect_that!(sent.len(), eq(2));
    expect_that!(
        hub.with(|state| state.fleet.running(&sent[0].server)),
        eq(0)
    );
}

/// A trickle must not lead to a second run of a request that may run only once.
#[gtest]
#[actix_web::test]
async fn a_call_that_may_run_once_is_not_repeated_when_its_body_trickles_without_end() {
    time::pause();
    let hub = hub(vec![
        endless("x", "x", Duration::from_millis(100)),
        answer("whole"),
    ]);
    let job = patient_job(&hub, Kind::AtMostOnce);
    let text = text_of(&hub, job).await;
    expect_that!(text, err(eq(&(Code::DeadlinePassed, String::new()))));
    expect_that!(hub.transport.sent.borrow().len(), eq(1));
}

/// A sound server may be silent for a second or so within a body.
#[gtest]
#[actix_web::test]
async fn a_body_with_a_silence_of_a_second_is_read_to_its_end() {
    time::pause();
    let silent = Reaction::Slow {
        head_delay: Duration::ZERO,
        chunks: vec![
            (Duration::ZERO, Ok("wh")),
            (Duration::from_millis(1_300), Ok("ole")),
        ],
    };
    let hub = hub(vec![silent]);
    let job = patient_job(&hub, Kind::Idempotent);
    expect_that!(text_of(&hub, job).await, ok(eq("whole")));
    expect_that!(hub.transport.sent.borrow().len(), eq(1));
}

/// A body that takes long is still an answer if no other server has one.
#[gtest]
#[actix_web::test]
async fn a_body_that_takes_long_is_read_to_its_end_if_no_other_server_answers() {
    for other in [
        Reaction::Hang,
        Reaction::Fail(Failure::Full),
        Reaction::Fail(Failure::Broken),
    ] {
        time::pause();
        let slow = Reaction::Slow {
            head_delay: Duration::ZERO,
            chunks: vec![
                (Duration::ZERO, Ok("wh")),
                (Duration::from_secs(5), Ok("ole")),
            ],
        };
        let hub = hub(vec![slow, other]);
        let job = patient_job(&hub, Kind::Idempotent);
        expect_that!(text_of(&hub, job).await, ok(eq("whole")));
        time::resume();
    }
}

/// LOST: a silent server was left for one whose head came first and whose body was no answer.
#[gtest]
#[actix_web::test]
async fn a_silent_server_still_answers_if_the_body_of_the_next_one_breaks() {
    time::pause();
    let late = Reaction::Slow {
        head_delay: Duration::from_millis(1_800),
        chunks: vec![(Duration::ZERO, Ok("whole"))],
    };
    let broken = Reaction::Answer(200, vec![Ok("x"), Err(Failure::Broken)]);
    let hub = hub(vec![late, broken]);
    let job = patient_job(&hub, Kind::Idempotent);
    expect_that!(text_of(&hub, job).await, ok(eq("whole")));
}
