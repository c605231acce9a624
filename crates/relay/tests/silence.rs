//! Servers that fall silent and go on, beside servers that never answer.

mod support;

use core::time::Duration;
use std::rc::Rc;

use base::Code;
use googletest::prelude::*;
use relay::{Answer, Failure, serve::serve};
use site::route::Kind;
use support::{Reaction, Servers, hub, patient_job, spend_budget, text_of};
use tokio::time;

type Hub = Rc<relay::Hub<Servers>>;

/// The silence of a sound server: about a second.
const SILENCE: Duration = Duration::from_millis(1_300);

/// The first event of a stream, and the next ones.
const FIRST: &str = "id: 1\ndata: a\n\n";
const SECOND: &str = "id: 2\ndata: b\n\n";

const BOTH: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// A server that falls silent after its first event, for longer than any limit, and goes on.
fn silent_stream(silence: Duration) -> Reaction {
    Reaction::Slow {
        head_delay: Duration::ZERO,
        chunks: vec![(Duration::ZERO, Ok(FIRST)), (silence, Ok(SECOND))],
    }
}

fn late_answer(head_delay: Duration, text: &'static str) -> Reaction {
    Reaction::Slow {
        head_delay,
        chunks: vec![(Duration::ZERO, Ok(text))],
    }
}

fn answer(text: &'static str) -> Reaction {
    Reaction::Answer(200, vec![Ok(text)])
}

/// Removes all servers but the one with the request.
fn remove_other_servers(hub: &Hub) {
    let used = hub.transport.sent.borrow()[0].server.clone();
    hub.with(|state| {
        let now = relay::Transport::now(&hub.transport);
        for id in ["i-0", "i-1", "i-2"]
            .iter()
            .filter(|id| used.as_str() != **id)
        {
            state.roster.remove(now, &(*id).into());
        }
    });
}

/// Pauses all servers but the one with the request.
fn pause_other_servers(hub: &Hub, pause: Duration) {
    let used = hub.transport.sent.borrow()[0].server.clone();
    let now = relay::Transport::now(&hub.transport);
    hub.with(|state| {
        for id in ["i-0", "i-1", "i-2"] {
            if used.as_str() != id {
                state.fleet.pause(now, &id.into(), now + pause);
            }
        }
    });
}

/// A request was refused at its deadline because the other servers were paused at the moment at which its server had been
/// silent for long: the next look for another server came as long after that.
#[gtest]
#[actix_web::test]
async fn a_request_at_a_silent_server_moves_as_soon_as_another_server_may_be_used() {
    for kind in [Kind::Idempotent, Kind::Streaming] {
        time::pause();
        let hub = hub(vec![Reaction::Hang, answer(BOTH)]);
        let job = patient_job(&hub, kind, |route| {
            route.timeout = Duration::from_millis(1_800);
        });
        let pause = async {
            time::sleep(Duration::from_millis(100)).await;
            pause_other_servers(&hub, Duration::from_millis(1_100));
        };
        let (text, ()) = tokio::join!(text_of(&hub, job), pause);
        expect_that!(text, ok(eq(BOTH)), "{kind:?}");
        time::resume();
    }
}

/// LOST: a stream was cut because its server was silent and the retry budget was spent.
#[gtest]
#[actix_web::test]
async fn a_stream_whose_server_falls_silent_is_not_cut_for_a_spent_retry_budget() {
    time::pause();
    let hub = hub(vec![silent_stream(Duration::from_secs(3))]);
    spend_budget(&hub, "engines");
    let job = patient_job(&hub, Kind::Streaming, |_| {});
    expect_that!(text_of(&hub, job).await, ok(eq(BOTH)));
}

/// LOST: a stream was cut because its server was silent and its route allows one attempt.
#[gtest]
#[actix_web::test]
async fn a_stream_whose_server_falls_silent_is_not_cut_for_lack_of_attempts() {
    time::pause();
    let hub = hub(vec![silent_stream(Duration::from_secs(3))]);
    let job = patient_job(&hub, Kind::Streaming, |route| route.max_attempts = 1);
    expect_that!(text_of(&hub, job).await, ok(eq(BOTH)));
}

/// LOST: a stream was cut because its server was silent and no other server was left.
#[gtest]
#[actix_web::test]
async fn a_stream_whose_server_falls_silent_is_not_cut_for_lack_of_servers() {
    time::pause();
    let hub = hub(vec![silent_stream(Duration::from_secs(3))]);
    let job = patient_job(&hub, Kind::Streaming, |_| {});
    let removal = async {
        time::sleep(Duration::from_millis(100)).await;
        remove_other_servers(&hub);
    };
    let (text, ()) = tokio::join!(text_of(&hub, job), removal);
    expect_that!(text, ok(eq(BOTH)));
}

/// LOST: a stream was cut because its server was silent and the next server refused it.
#[gtest]
#[actix_web::test]
async fn a_stream_whose_server_falls_silent_goes_on_there_if_the_next_server_refuses_it() {
    for refusal in [
        Failure::Full,
        Failure::Unreachable,
        Failure::Moved,
        Failure::Rejected,
    ] {
        time::pause();
        let hub = hub(vec![
            silent_stream(Duration::from_secs(3)),
            Reaction::Fail(refusal),
            Reaction::Fail(refusal),
        ]);
        let job = patient_job(&hub, Kind::Streaming, |_| {});
        expect_that!(text_of(&hub, job).await, ok(eq(BOTH)), "{refusal}");
        time::resume();
    }
}

/// LOST: a stream was moved for a silence of about a second, and the next server never answered.
#[gtest]
#[actix_web::test]
async fn a_stream_whose_server_is_silent_for_a_second_stays_there() {
    time::pause();
    let hub = hub(vec![silent_stream(SILENCE), Reaction::Hang]);
    let job = patient_job(&hub, Kind::Streaming, |_| {});
    expect_that!(text_of(&hub, job).await, ok(eq(BOTH)));
    expect_that!(hub.transport.sent.borrow().len(), eq(1));
}

/// LOST: a stream was moved to a server that never answered while its own server went on.
#[gtest]
#[actix_web::test]
async fn a_stream_goes_on_at_its_silent_server_if_the_next_one_hangs() {
    time::pause();
    let hub = hub(vec![
        silent_stream(Duration::from_millis(2_500)),
        Reaction::Hang,
    ]);
    let job = patient_job(&hub, Kind::Streaming, |_| {});
    expect_that!(text_of(&hub, job).await, ok(eq(BOTH)));
}

/// A hung server must not hold the caller until its deadline.
#[gtest]
#[actix_web::test]
async fn a_stream_whose_server_hangs_goes_on_at_another_one() {
    time::pause();
    let hub = hub(vec![silent_stream(Duration::from_secs(60)), answer(SECOND)]);
    let job = patient_job(&hub, Kind::Streaming, |_| {});
    let start = time::Instant::now();
    expect_that!(text_of(&hub, job).await, ok(eq(BOTH)));
    // The caller leaves a stream after a silence of 4 s.
    expect_that!(start.elapsed(), lt(Duration::from_secs(4)));
    let sent = hub.transport.sent.borrow();
    expect_that!(sent[1].last_event, some(eq(1)));
    expect_that!(
        hub.with(|state| state.fleet.running(&sent[0].server)),
        eq(0)
    );
}

/// LOST: a request without an answer yet was given up because its server was silent, and refused as nothing was left.
#[gtest]
#[actix_web::test]
async fn a_request_whose_server_falls_silent_is_answered_though_no_retry_is_allowed() {
    for kind in [Kind::Idempotent, Kind::Streaming] {
        time::pause();
        let hub = hub(vec![late_answer(Duration::from_secs(3), FIRST)]);
        spend_budget(&hub, "engines");
        let job = patient_job(&hub, kind, |_| {});
        expect_that!(text_of(&hub, job).await, ok(eq(FIRST)), "{kind:?}");
        time::resume();
    }
}

/// LOST: a request without an answer yet was given up because its server was silent, and the next one refused it.
#[gtest]
#[actix_web::test]
async fn a_request_whose_server_falls_silent_is_answered_there_if_the_next_server_refuses_it() {
    for kind in [Kind::Idempotent, Kind::Streaming] {
        for refusal in [Failure::Full, Failure::Unreachable, Failure::Rejected] {
            time::pause();
            let hub = hub(vec![
                late_answer(Duration::from_secs(3), FIRST),
                Reaction::Fail(refusal),
                Reaction::Fail(refusal),
            ]);
            let job = patient_job(&hub, kind, |_| {});
            expect_that!(
                text_of(&hub, job).await,
                ok(eq(FIRST)),
                "{kind:?} {refusal}"
            );
            time::resume();
        }
    }
}

/// LOST: a request was moved from a silent server to one that never answered, and ended at its deadline.
#[gtest]
#[actix_web::test]
async fn a_request_is_answered_by_its_silent_server_if_the_next_one_hangs() {
    for kind in [Kind::Idempotent, Kind::Streaming] {
        time::pause();
        let hub = hub(vec![
            late_answer(Duration::from_millis(1_800), FIRST),
            Reaction::Hang,
        ]);
        let job = patient_job(&hub, kind, |_| {});
        expect_that!(text_of(&hub, job).await, ok(eq(FIRST)), "{kind:?}");
        time::resume();
    }
}

/// Two servers must not work on a stream at the same time: when the next one answers, the silent one is left at once.
#[gtest]
#[actix_web::test]
async fn a_silent_server_is_left_when_the_next_one_answers() {
    time::pause();
    let hub = hub(vec![Reaction::Hang, answer(FIRST)]);
    let job = patient_job(&hub, Kind::Streaming, |_| {});
    let Ok(Answer::Stream { mut body, .. }) = serve(&hub, job).await else {
        panic!("expected a stream");
    };
    expect_that!(body.next().await.is_ok(), eq(true));
    let sent = hub.transport.sent.borrow();
    expect_that!(
        hub.with(|state| state.fleet.running(&sent[0].server)),
        eq(0)
    );
    expect_that!(sent.len(), eq(2));
}

/// A request that may run only once waits for its silent server until the deadline.
#[gtest]
#[actix_web::test]
async fn a_call_that_may_run_once_waits_for_its_silent_server() {
    time::pause();
    let hub = hub(vec![late_answer(Duration::from_secs(5), "paid")]);
    let job = patient_job(&hub, Kind::AtMostOnce, |_| {});
    expect_that!(text_of(&hub, job).await, ok(eq("paid")));
    expect_that!(hub.transport.sent.borrow().len(), eq(1));
}

/// Callers got a 502 for a request that a silent server and the next one had both refused, as if it might have run.
#[gtest]
#[actix_web::test]
async fn a_request_that_a_silent_server_refuses_at_last_is_refused_as_not_run() {
    for kind in [Kind::Idempotent, Kind::Streaming] {
        time::pause();
        let hub = hub(vec![
            Reaction::FailAfter(SILENCE, Failure::Full),
            Reaction::Fail(Failure::Full),
            Reaction::Fail(Failure::Full),
        ]);
        let job = patient_job(&hub, kind, |route| route.max_attempts = 2);
        expect_that!(
            text_of(&hub, job).await,
            err((eq(&Code::Overloaded), anything())),
            "{kind:?}"
        );
        time::resume();
    }
}

/// REFUSED: a request is not called "not run" while a silent server may have run it.
#[gtest]
#[actix_web::test]
async fn a_request_whose_silent_server_breaks_off_at_last_is_not_refused_as_not_run() {
    for kind in [Kind::Idempotent, Kind::Streaming] {
        time::pause();
        let hub = hub(vec![
            Reaction::FailAfter(SILENCE, Failure::Broken),
            Reaction::FailAfter(2 * SILENCE, Failure::Full),
            Reaction::Fail(Failure::Full),
        ]);
        let job = patient_job(&hub, kind, |route| route.max_attempts = 2);
        expect_that!(
            text_of(&hub, job).await,
            err((eq(&Code::CallUnknown), anything())),
            "{kind:?}"
        );
        time::resume();
    }
}

/// REFUSED: a request is not called "not run" while the first of three servers may run it, though the others refused it.
#[gtest]
#[actix_web::test]
async fn a_request_that_the_first_of_three_servers_may_run_is_not_refused_as_not_run() {
    time::pause();
    let hub = hub(vec![
        Reaction::Hang,
        Reaction::FailAfter(2 * SILENCE, Failure::Full),
        Reaction::Fail(Failure::Full),
    ]);
    let job = patient_job(&hub, Kind::Idempotent, |route| route.max_attempts = 3);
    expect_that!(
        text_of(&hub, job).await,
        err((
            any![eq(&Code::CallUnknown), eq(&Code::DeadlinePassed)],
            anything()
        ))
    );
}
