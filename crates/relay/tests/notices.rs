//! Servers that announce in any answer that they leave, or that ask for a pause.

mod support;

use core::time::Duration;

use base::{Code, Name, Tick};
use googletest::prelude::*;
use relay::{Answer, Failure, Refusal, Transport, serve::serve};
use site::route::{Kind, Stage};
use support::{Reaction, Servers, hub, job};

type Hub = std::rc::Rc<relay::Hub<Servers>>;

const PAUSE: Duration = Duration::from_millis(300);

fn whole() -> Reaction {
    Reaction::Answer(200, vec![Ok("whole")])
}

fn notice(is_leaving: bool, pause: Option<Duration>, then: Reaction) -> Reaction {
    Reaction::Notice {
        is_leaving,
        pause,
        then: Box::new(then),
    }
}

async fn send(hub: &Hub, kind: Kind) -> std::result::Result<(), Refusal> {
    match serve(hub, job(hub, kind, |_| {})).await {
        Ok(Answer::Whole { .. }) => Ok(()),
        Ok(Answer::Stream { mut body, .. }) => {
            while let Ok(Some(_)) = body.next().await {}
            Ok(())
        }
        Err(refusal) => Err(refusal),
    }
}

/// Sends requests that are all answered, and returns how many each server got.
async fn count(hub: &Hub, requests: usize) -> Vec<(Name, usize)> {
    let before = hub.transport.sent.borrow().len();
    for _ in 0..requests {
        hub.transport.reactions.borrow_mut().push_back(whole());
        expect_that!(send(hub, Kind::Idempotent).await, ok(anything()));
    }
    let sent = hub.transport.sent.borrow();
    let mut servers: Vec<_> = sent[before..]
        .iter()
        .map(|sent| sent.server.clone())
        .collect();
    servers.sort();
    let groups = servers.chunk_by(|a, b| a == b);
    groups
        .map(|group| (group[0].clone(), group.len()))
        .collect()
}

fn first_server(hub: &Hub) -> Name {
    hub.transport.sent.borrow()[0].server.clone()
}

#[gtest]
#[actix_web::test]
async fn a_server_that_announces_its_departure_in_any_answer_gets_no_further_request() {
    let answers = [
        whole(),
        Reaction::Answer(500, vec![Ok("error")]),
        Reaction::Answer(200, vec![Ok("id: 1\ndata: a\n\n"), Err(Failure::Broken)]),
        Reaction::Fail(Failure::Full),
        Reaction::Fail(Failure::InputGone),
        Reaction::Fail(Failure::Mismatched),
    ];
    for answer in answers {
        for kind in [Kind::Idempotent, Kind::Streaming] {
            let hub = hub(vec![notice(true, None, answer.clone()), whole(), whole()]);
            // The outcome differs; only where later requests go counts.
            let _ = send(&hub, kind).await;
            hub.transport.reactions.borrow_mut().clear();
            let leaving = first_server(&hub);
            let counts = count(&hub, 20).await;
            expect_that!(
                counts,
                not(contains((eq(&leaving), anything()))),
                "{kind:?}"
            );
        }
    }
}

#[gtest]
#[actix_web::test]
async fn a_departure_holds_against_an_older_entry_and_is_passed_on() {
    let hub = hub(vec![notice(true, None, whole())]);
    expect_that!(send(&hub, Kind::Idempotent).await, ok(anything()));
    let leaving = first_server(&hub);
    let now = hub.transport.now();
    let passed_on: Vec<_> = hub.with(|state| {
        let server = state.roster.get(&leaving).unwrap().as_ref().clone();
        let listed = site::roster::Server {
            leaving: false,
            ..server
        };
        state.roster.insert(listed, 9);
        let departures = state.departures.recent(now);
        departures
            .map(|departure| departure.server.clone())
            .collect()
    });
    expect_that!(passed_on, eq(&vec![leaving.clone()]));
    expect_that!(
        count(&hub, 10).await,
        not(contains((eq(&leaving), anything())))
    );
}

#[gtest]
#[actix_web::test]
async fn a_server_that_asked_for_a_pause_gets_no_request_before_its_end() {
    for kind in [Kind::AtMostOnce, Kind::Idempotent] {
        let refused = notice(false, Some(PAUSE), Reaction::Fail(Failure::Full));
        let hub = hub(vec![refused, whole()]);
        // The refusal says that the request has not run, so another server gets it, also if it runs at most once.
        expect_that!(send(&hub, kind).await, ok(anything()));
        let paused = first_server(&hub);
        // The others leave, so that nothing but the pause keeps requests from it.
        let start = hub.transport.now();
        hub.with(|state| {
            for server in ["i-0", "i-1", "i-2"].map(Name::from) {
                if server != paused {
                    state.roster.remove(start, &server);
                }
            }
        });
        let attempts = hub.transport.sent.borrow().len();
        while hub.transport.now() - start < PAUSE.saturating_sub(Duration::from_millis(50)) {
            expect_that!(send(&hub, kind).await, err(anything()));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        expect_that!(hub.transport.sent.borrow().len(), eq(attempts));
        // The pause of each instance is stretched by up to a quarter.
        tokio::time::sleep(PAUSE / 2).await;
        expect_that!(count(&hub, 3).await, elements_are![(eq(&paused), eq(&3))]);
    }
}

#[gtest]
#[actix_web::test]
async fn callers_are_refused_at_once_with_the_end_of_the_pause_if_all_servers_ask_for_one() {
    let refused = |pause| notice(false, Some(pause), Reaction::Fail(Failure::Full));
    let pauses = [PAUSE * 3, PAUSE * 2, PAUSE * 4];
    let hub = hub(pauses.map(refused).into());
    let start = hub.transport.now();
    for _ in 0..3 {
        expect_that!(send(&hub, Kind::AtMostOnce).await, err(anything()));
    }
    let attempts = hub.transport.sent.borrow().len();
    expect_that!(attempts, eq(3));
    let with_stages = job(&hub, Kind::AtMostOnce, |route| {
        route.stages = vec![Stage {
            pool: "stages".into(),
            depends_on: Vec::new(),
            result_bytes: 1_000,
        }];
    });
    let Err(refusal) = serve(&hub, with_stages).await else {
        panic!("expected a refusal");
    };
    let elapsed = hub.transport.now() - start;
    expect_that!(refusal.code, eq(Code::Overloaded));
    // The first server is back after the shortest pause.
    let retry_at = refusal.retry_after.unwrap() + elapsed;
    expect_that!(
        retry_at,
        all!(ge(PAUSE * 2), le(PAUSE * 2 + Duration::from_millis(800)))
    );
    expect_that!(elapsed, lt(PAUSE));
    expect_that!(hub.transport.sent.borrow().len(), eq(attempts));
    expect_that!(hub.transport.batch_sizes.borrow().len(), eq(0));
}

fn add_stage(route: &mut site::Route) {
    route.stages = vec![Stage {
        pool: "stages".into(),
        depends_on: Vec::new(),
        result_bytes: 1_000,
    }];
}

#[gtest]
#[actix_web::test]
async fn pieces_wait_for_the_end_of_the_pause_of_the_only_stage_server() {
    let hub = hub(vec![whole()]);
    hub.transport.stage_pause.set(Some(PAUSE));
    let served = serve(&hub, job(&hub, Kind::Idempotent, add_stage)).await;
    expect_that!(served.is_ok(), eq(true));
    let calls = hub.transport.stage_calls.borrow().clone();
    expect_that!(calls.len(), eq(2));
    expect_that!(calls[1] - calls[0], ge(PAUSE));
}

#[gtest]
#[actix_web::test]
async fn a_request_that_cannot_wait_for_the_pause_of_its_stage_servers_is_refused_at_once() {
    let hub = hub(vec![whole()]);
    hub.transport.stage_pause.set(Some(Duration::from_secs(5)));
    let start = hub.transport.now();
    let served = serve(&hub, job(&hub, Kind::Idempotent, add_stage)).await;
    expect_that!(served.is_err(), eq(true));
    expect_that!(hub.transport.now() - start, lt(Duration::from_millis(300)));
    expect_that!(hub.transport.sent.borrow().len(), eq(0));
}

#[gtest]
#[actix_web::test]
async fn results_are_released_after_the_pause_of_the_server_that_stores_them() {
    let hub = hub(vec![Reaction::Hang]);
    let serving = serve(&hub, job(&hub, Kind::Idempotent, add_stage));
    let timed_out = tokio::time::timeout(Duration::from_millis(60), serving).await;
    expect_that!(timed_out.is_err(), eq(true));
    let now: Tick = hub.transport.now();
    hub.with(|state| state.fleet.pause(now, &"i-3".into(), now + PAUSE));
    tokio::time::sleep(PAUSE / 2).await;
    expect_that!(hub.transport.released.borrow().len(), eq(0));
    tokio::time::sleep(PAUSE).await;
    expect_that!(hub.transport.released.borrow().len(), eq(2));
}
