//! Requests that wait for their turn at servers that limit their request rate.

mod support;

use core::time::Duration;

use base::Tick;
use googletest::prelude::*;
use quota::Statement;
use relay::{Transport, serve::serve};
use site::route::Kind;
use support::{Reaction, hub, job, patient_job};
use tokio::time;

/// The time until the next turn of each server.
const TURN: Duration = Duration::from_millis(500);

/// DRAIN: a server that announced its departure while a request waited for its turn there got the request all the same.
#[gtest]
#[actix_web::test]
async fn a_request_is_not_sent_to_a_server_that_leaves_while_it_waits_for_its_turn() {
    time::pause();
    let whole = || Reaction::Answer(200, vec![Ok("whole")]);
    let hub = hub(vec![whole(); 6]);
    let ids = ["i-0", "i-1", "i-2"];
    for id in ids {
        let now = hub.transport.now();
        hub.with(|state| {
            state.record_rate(Statement {
                server: id.into(),
                started_at_ms: 0,
                rate: Some(1.0 / TURN.as_secs_f64()),
                brittle: None,
                sent_at: Tick::default(),
                received_at: now,
            });
        });
    }
    for _ in ids {
        let served = serve(&hub, job(&hub, Kind::Idempotent, |_| {})).await;
        expect_that!(served.is_ok(), eq(true));
    }
    let sent = hub.transport.sent.borrow().len();
    expect_that!(sent, eq(3));
    let patient = patient_job(&hub, Kind::Idempotent, |_| {});
    let leaving = async {
        time::sleep(TURN / 5).await;
        let now = hub.transport.now();
        hub.with(|state| {
            for id in ids {
                state.mark_leaving(now, &id.into(), 0, "test");
            }
        });
    };
    let (served, ()) = tokio::join!(serve(&hub, patient), leaving);
    expect_that!(served.is_err(), eq(true));
    expect_that!(hub.transport.sent.borrow().len(), eq(sent));
}
