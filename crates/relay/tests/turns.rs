//! Requests that wait for their turn at servers that limit their request rate.

mod support;

use core::time::Duration;
use std::rc::Rc;

use base::{Software, Tick};
use futures_util::future;
use googletest::prelude::*;
use mesh::{Origin, Owner, Peer};
use quota::{Demand, Statement};
use relay::{Hub, Job, Transport, serve::serve};
use site::{roster::Server, route::Kind};
use support::{Reaction, Servers, hub, job, patient_job};
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

/// How much of their time callers have left that take a stream up.
const RESUMED_TIME_LEFT: Duration = Duration::from_secs(3);

/// The time between two new streams, a bit less than that between two turns.
const NEW_STREAM_INTERVAL: Duration = Duration::from_millis(400);

/// Returns a hub with one server, which takes a request each [`TURN`].
fn limited_hub(answers: usize) -> Rc<Hub<Servers>> {
    let hub = hub(vec![
        Reaction::Answer(200, vec![Ok("id: 2\ndata: b\n\n")]);
        answers
    ]);
    let now = hub.transport.now();
    hub.with(|state| {
        let listed = Server {
            started_at_ms: 5,
            ..Server::clone(state.roster.get(&"i-0".into()).unwrap())
        };
        state.roster.insert(listed, 2);
        for id in ["i-1", "i-2"] {
            state.roster.remove(now, &id.into());
        }
        state.record_rate(Statement {
            server: "i-0".into(),
            started_at_ms: 5,
            rate: Some(1.0 / TURN.as_secs_f64()),
            brittle: None,
            sent_at: Tick::default(),
            received_at: now,
        });
    });
    hub
}

/// Returns a request that takes a stream up.
fn resumed_job(hub: &Rc<Hub<Servers>>) -> Rc<Job<()>> {
    let job = patient_job(hub, Kind::Streaming, |_| {});
    let origin = Origin {
        pool: "engines".into(),
        software: Software::Version("v1".into()),
    };
    job.origin.set(origin).unwrap();
    Rc::new(Job {
        deadline: job.arrived_at + RESUMED_TIME_LEFT,
        last_event: Some(1),
        ..Job::clone(&job)
    })
}

/// Returns the number of turns that were granted.
fn granted(hub: &Hub<Servers>) -> usize {
    usize::try_from(hub.with(|state| state.meter.counts().0)).unwrap()
}

/// LOST: the turn of a request that takes a stream up was lost while the question for the run of its server got none, so that
/// new streams began and few were taken up.
#[gtest]
#[actix_web::test]
async fn streams_that_are_taken_up_leave_no_turn_unused() {
    time::pause();
    let hub = limited_hub(40);
    let resumed = (0..6).map(|_| serve(&hub, resumed_job(&hub)));
    let resumed = future::join_all(resumed);
    let new = (0..8_u32).map(async |at| {
        time::sleep(NEW_STREAM_INTERVAL * at).await;
        let served = serve(&hub, patient_job(&hub, Kind::Streaming, |_| {})).await;
        served.is_ok()
    });
    let (resumed, _) = tokio::join!(resumed, future::join_all(new));
    let gone_on = resumed.iter().filter(|served| served.is_ok()).count();
    expect_that!(gone_on, ge(1));
    let questions = hub.transport.confirmed.borrow().len();
    let sent = hub.transport.sent.borrow().len();
    expect_that!(granted(&hub), eq(sent + questions));
}

/// LOST: a stream that was taken up took a turn for a question also where a connection led to the run of its server.
#[gtest]
#[actix_web::test]
async fn a_stream_needs_one_turn_where_a_connection_leads_to_the_run_of_its_server() {
    time::pause();
    let hub = limited_hub(1);
    hub.transport.known_runs.borrow_mut().push("i-0".into());
    let served = serve(&hub, resumed_job(&hub)).await;
    expect_that!(served.is_ok(), eq(true));
    expect_that!(granted(&hub), eq(1));
}

/// Each new request searched the idle connections of its server, which delayed all requests of a busy instance.
#[gtest]
#[actix_web::test]
async fn a_new_request_does_not_search_for_a_connection_to_the_run_of_its_server() {
    time::pause();
    let hub = limited_hub(1);
    let served = serve(&hub, patient_job(&hub, Kind::Streaming, |_| {})).await;
    expect_that!(served.is_ok(), eq(true));
    expect_that!(hub.transport.searches.get(), eq(0));
}

/// LIMIT: a request whose server took long to state its run was sent long after its turn.
#[gtest]
#[actix_web::test]
async fn a_request_after_a_late_statement_takes_another_turn() {
    time::pause();
    let hub = limited_hub(1);
    let late = TURN * 3 / 5;
    hub.transport
        .confirmations
        .borrow_mut()
        .push_back((late, Ok(())));
    let began_at = hub.transport.now();
    let confirming = async {
        time::sleep(late).await;
        hub.transport.known_runs.borrow_mut().push("i-0".into());
    };
    let (served, ()) = tokio::join!(serve(&hub, resumed_job(&hub)), confirming);
    expect_that!(served.is_ok(), eq(true));
    expect_that!(granted(&hub), eq(3));
    // Two turns come before the one of the request.
    expect_that!(hub.transport.now() - began_at, ge(TURN));
}

/// LIMIT: instances of an earlier build grant one turn at a time, so the question after a run would have come without one.
#[gtest]
#[actix_web::test]
async fn a_second_turn_is_asked_for_where_the_granter_grants_one_at_a_time() {
    time::pause();
    let hub = limited_hub(1);
    let now = hub.transport.now();
    let is_holder = hub.with(|state| {
        (0..64).any(|number| {
            let peer = Peer {
                name: format!("other-{number}").into(),
                address: "10.0.0.2:7740".parse().unwrap(),
                domain: "a".into(),
                capacity: 250,
            };
            state.members.add(peer.clone());
            state.members.mark_live(now, &peer.name);
            matches!(
                state.members.holder(now, &"i-0".into(), &"a".into()),
                Owner::Peer(_)
            )
        })
    });
    expect_that!(is_holder, eq(true));
    hub.transport.turn_delay.set(Some(Duration::ZERO));
    hub.transport.max_granted.set(1);
    let served = serve(&hub, resumed_job(&hub)).await;
    expect_that!(served.is_ok(), eq(true));
    expect_that!(*hub.transport.turn_asks.borrow(), eq(&vec![2, 1]));
}

/// LOST: new streams got the turns of those that were taken up, which can use only the servers of their version and lose what
/// their callers have.
#[gtest]
#[actix_web::test]
async fn streams_that_are_taken_up_get_their_turns_before_new_ones() {
    time::pause();
    let hub = limited_hub(40);
    let interval = Duration::from_millis(100);
    let new = (0..30_u32).map(async |at| {
        time::sleep(interval * at).await;
        serve(&hub, patient_job(&hub, Kind::Streaming, |_| {}))
            .await
            .is_ok()
    });
    let resumed = (0..6).map(async |_| {
        time::sleep(Duration::from_secs(1)).await;
        serve(&hub, resumed_job(&hub)).await.is_ok()
    });
    let (new, resumed) = tokio::join!(future::join_all(new), future::join_all(resumed));
    let share = |served: &[bool]| {
        let count = served.iter().filter(|is_served| **is_served).count();
        count as f64 / served.len() as f64
    };
    println!("new {}, taken up {}", share(&new), share(&resumed));
    // The stated share is half of that of new streams.
    expect_that!(2.0 * share(&resumed), ge(share(&new)));
}

/// A stream that was refused was told to come back when its turn would have come, and not when it could wait for it.
#[gtest]
#[actix_web::test]
async fn a_refused_stream_comes_back_when_it_can_wait_for_its_turn() {
    const GRANTED_AHEAD: u32 = 10;
    time::pause();
    let hub = limited_hub(1);
    let now = hub.transport.now();
    let ahead = TURN * GRANTED_AHEAD;
    hub.with(|state| {
        let demand = Demand {
            requests: GRANTED_AHEAD,
            ..Demand::one(ahead, Duration::ZERO)
        };
        state.grant_turn(now, &"i-0".into(), demand)
    });
    let job = resumed_job(&hub);
    let max_wait = RESUMED_TIME_LEFT * 3 / 4;
    let refusal = serve(&hub, job).await.err().unwrap();
    expect_that!(hub.transport.now(), eq(now));
    let jitter = hub.settings.retry_after_jitter;
    let retry_after = refusal.retry_after.unwrap();
    expect_that!(retry_after, ge(ahead - max_wait - TURN));
    expect_that!(retry_after, le(ahead - max_wait + TURN + jitter));
}
