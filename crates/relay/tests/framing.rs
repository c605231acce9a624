//! Streams that end with their connection.

mod support;

use core::time::Duration;

use base::Stamp;
use googletest::prelude::*;
use pick::engine::{Part, Prompt};
use relay::{Failure, Job, Transport};
use retry::parts::Crash;
use site::route::Kind;
use support::{EVENTS, Reaction, hub, patient_job, text_of};

/// The whole events of a stream.
fn whole() -> String {
    EVENTS.concat().concat()
}

/// A server that sends the first halves of events.
fn halves(count: usize) -> Reaction {
    let halves = EVENTS.as_flattened()[..count].iter().map(|half| Ok(*half));
    Reaction::Answer(200, halves.collect())
}

/// ORDER: the connection ended inside an event or before the first one, and the stream was taken for complete. The crash
/// of its server was not counted either.
#[gtest]
#[actix_web::test]
async fn a_stream_goes_on_elsewhere_if_its_connection_ends_too_early() {
    for count in [0, 1, 3, 5, 7] {
        let hub = hub(vec![
            halves(count),
            Reaction::Events {
                head_delay: Duration::ZERO,
                silences: vec![Duration::ZERO; 8],
            },
        ]);
        hub.transport.is_close_delimited.set(true);
        let job = patient_job(&hub, Kind::Streaming, |_| {});
        let digest = job.digest;
        expect_that!(text_of(&hub, job).await, ok(eq(&whole())), "{count}");
        let sent = hub.transport.sent.borrow();
        expect_that!(sent.len(), eq(2), "{count}");
        let crashed = (digest, sent[0].server.clone());
        expect_that!(*hub.transport.crashes.borrow(), elements_are![eq(&crashed)]);
    }
}

/// BUDGET: a server that crashed between two events of a stream that ends with its connection cleared the part that crashes
/// servers.
#[gtest]
#[actix_web::test]
async fn an_end_that_may_be_a_crash_does_not_clear_a_part() {
    const PART: u64 = 5;
    for (is_close_delimited, servers) in [(true, 3), (false, 0)] {
        let hub = hub(vec![halves(2)]);
        hub.transport.is_close_delimited.set(is_close_delimited);
        for request in 0..3 {
            let crash = Crash {
                server: format!("i-{request}").into(),
                started_at_ms: 1,
                at: Stamp::from_millis(1_000 * request),
                request,
                parts: vec![PART],
                wrote: Duration::ZERO,
            };
            let now = hub.transport.now();
            hub.with(|state| state.parts.record_crash(now, crash, Duration::ZERO, false));
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
        let part = |id| Part { id, tokens: 100 };
        let job = Job {
            prompt: Some(Prompt {
                parts: vec![part(PART), part(6)],
                input_tokens: 200,
                max_output_tokens: 10,
            }),
            ..Job::clone(&patient_job(&hub, Kind::Streaming, |_| {}))
        };
        expect_that!(text_of(&hub, job.into()).await, ok(anything()));
        let now = hub.transport.now();
        let crashes = hub.with(|state| state.parts.crash_count(now, PART));
        expect_that!(crashes, eq(servers), "{is_close_delimited}");
    }
}

/// The content of a request was cleared of the crashes that it had caused before when its stream ended inside an event.
#[gtest]
#[actix_web::test]
async fn an_end_inside_an_event_does_not_clear_a_content_of_crashes() {
    // The second server goes on after the first event.
    let rest = Reaction::Answer(200, vec![Ok(EVENTS[1][0])]);
    let hub = hub(vec![halves(3), rest, Reaction::Fail(Failure::Full)]);
    hub.transport.is_close_delimited.set(true);
    let job = patient_job(&hub, Kind::Streaming, |_| {});
    let digest = job.digest;
    expect_that!(text_of(&hub, job).await, err(anything()));
    expect_that!(hub.with(|state| state.crashes.count(digest)), eq(2));
}

#[gtest]
#[actix_web::test]
async fn a_stream_is_complete_if_its_connection_ends_after_an_event() {
    let hub = hub(vec![halves(8)]);
    hub.transport.is_close_delimited.set(true);
    let job = patient_job(&hub, Kind::Streaming, |_| {});
    let digest = job.digest;
    expect_that!(text_of(&hub, job).await, ok(eq(&whole())));
    expect_that!(hub.transport.sent.borrow().len(), eq(1));
    expect_that!(hub.with(|state| state.crashes.count(digest)), eq(0));
}
