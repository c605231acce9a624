//! Streams that end with their connection.

mod support;

use core::time::Duration;

use googletest::prelude::*;
use relay::Failure;
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

/// The content of a request was cleared of the crashes that it had caused before when its stream ended inside an event.
#[gtest]
#[actix_web::test]
async fn an_end_inside_an_event_does_not_clear_a_content_of_crashes() {
    let hub = hub(vec![halves(3), halves(1), Reaction::Fail(Failure::Full)]);
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
