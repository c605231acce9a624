//! Servers that send bytes that are no answer and no event, without end.

mod support;

use core::time::Duration;

use base::Code;
use googletest::prelude::*;
use relay::{Answer, Failure, serve::serve};
use site::route::Kind;
use support::{Reaction, hub, patient_job, text_of};
use tokio::time;

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

/// A trickle of bytes held a request until its deadline though another server could have answered it.
#[gtest]
#[actix_web::test]
async fn a_request_is_answered_by_another_server_when_its_body_trickles_without_end() {
    time::pause();
    let hub = hub(vec![
        endless("x", "x", Duration::from_millis(100)),
        answer("whole"),
    ]);
    let job = patient_job(&hub, Kind::Idempotent, |_| {});
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
    let job = patient_job(&hub, Kind::AtMostOnce, |_| {});
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
    let job = patient_job(&hub, Kind::Idempotent, |_| {});
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
        let job = patient_job(&hub, Kind::Idempotent, |_| {});
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
    let job = patient_job(&hub, Kind::Idempotent, |_| {});
    expect_that!(text_of(&hub, job).await, ok(eq("whole")));
}

/// The first event of a stream, and all of them.
const FIRST: &str = "id: 1\ndata: a\n\n";
const SECOND: &str = "id: 2\ndata: b\n\n";
const BOTH: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// An event without end was kept in memory, and its parts were searched again and again.
#[gtest]
#[actix_web::test]
async fn a_stream_goes_on_at_another_server_when_an_event_never_ends() {
    let long: &'static str = "x".repeat(65_536).leak();
    for garbage in [long, "data: x\n", "\n", "x\n\n", ": ping\n\n"] {
        time::pause();
        let block: &'static str = garbage.repeat(65_536 / garbage.len()).leak();
        let hub = hub(vec![endless(FIRST, block, Duration::ZERO), answer(SECOND)]);
        let job = patient_job(&hub, Kind::Streaming, |_| {});
        expect_that!(text_of(&hub, job).await, ok(eq(BOTH)));
        time::resume();
    }
}

/// A trickle of bytes held a stream until its caller left.
#[gtest]
#[actix_web::test]
async fn a_stream_goes_on_at_another_server_when_an_event_trickles_without_end() {
    for garbage in ["x", "\n"] {
        time::pause();
        let trickle = endless(FIRST, garbage, Duration::from_millis(100));
        let hub = hub(vec![trickle, answer(SECOND)]);
        let job = patient_job(&hub, Kind::Streaming, |_| {});
        let start = time::Instant::now();
        expect_that!(text_of(&hub, job).await, ok(eq(BOTH)));
        // The caller leaves a stream after a silence of 4 s.
        expect_that!(start.elapsed(), lt(Duration::from_secs(4)));
        time::resume();
    }
}

/// A trickle with long pauses has too few parts to be told from a slow event, and must not hold a stream beyond its deadline.
#[gtest]
#[actix_web::test]
async fn a_stream_that_drips_a_byte_now_and_then_ends_by_its_deadline() {
    for pause_ms in [500, 1_000, 1_900] {
        time::pause();
        let hub = hub(vec![endless(FIRST, "x", Duration::from_millis(pause_ms))]);
        let job = patient_job(&hub, Kind::Streaming, |_| {});
        let start = time::Instant::now();
        expect_that!(text_of(&hub, job).await, err(anything()), "{pause_ms}");
        // The deadline, and the precision of timers.
        expect_that!(
            start.elapsed(),
            le(Duration::from_millis(8_010)),
            "{pause_ms}"
        );
        time::resume();
    }
}

/// A sound stream is not limited in size, and an event may arrive in many parts with a silence between.
#[gtest]
#[actix_web::test]
async fn a_sound_stream_is_passed_on_whole() {
    time::pause();
    let event = format!("id: 1\ndata: {}\n\n", "x".repeat(8_170));
    let events: &'static str = event.repeat(8).leak();
    let hub = hub(vec![endless("", events, Duration::ZERO)]);
    let job = patient_job(&hub, Kind::Streaming, |_| {});
    let Ok(Answer::Stream { mut body, .. }) = serve(&hub, job).await else {
        panic!("expected a stream");
    };
    let mut size = 0;
    while let Ok(Some(bytes)) = body.next().await {
        size += bytes.len();
    }
    expect_that!(size, eq(10_000 * events.len()));
    let parts = BOTH.as_bytes().iter().enumerate().map(|(at, _)| {
        let silence = Duration::from_millis(if at == 8 { 1_300 } else { 0 });
        (silence, Ok(&BOTH[at..=at]))
    });
    let in_parts = Reaction::Slow {
        head_delay: Duration::ZERO,
        chunks: parts.collect(),
    };
    let hub = support::hub(vec![in_parts]);
    let job = patient_job(&hub, Kind::Streaming, |_| {});
    expect_that!(text_of(&hub, job).await, ok(eq(BOTH)));
    expect_that!(hub.transport.sent.borrow().len(), eq(1));
}

/// Servers that sent too many bytes counted as crashed, so that their request was refused for minutes by all instances.
#[gtest]
#[actix_web::test]
async fn an_answer_that_is_too_long_does_not_count_as_a_crash() {
    let block: &'static str = "x".repeat(65_536).leak();
    for kind in [Kind::Idempotent, Kind::AtMostOnce] {
        time::pause();
        let hub = hub(vec![endless("", block, Duration::ZERO); 3]);
        let text = text_of(&hub, patient_job(&hub, kind, |_| {})).await;
        expect_that!(text, err(eq(&(Code::CallUnknown, String::new()))));
        expect_that!(hub.transport.crashes.borrow().len(), eq(0));
        time::resume();
    }
}
