//! Which callers' bytes are held, and what servers get after a crash under many bytes. No network is used; the loads are
//! stated in each test.

mod support;

use core::time::Duration;
use std::rc::Rc;

use base::{Name, Tick};
use googletest::prelude::*;
use relay::{
    Answer, Failure, Job, Queue,
    hold::{Budget, Kind},
    serve::serve,
    uploads::Uploads,
};
use site::route::Kind as RouteKind;
use support::{Reaction, hub, patient_job};
use tokio::time;

/// A quarter of the memory of the smallest instances.
const LIMIT: usize = 30_000_000;

/// The size of the parts in which streams are read.
const PART: usize = 4_096;

/// 3,000 callers that take nothing, at 300 servers: their streams stay under half of the budget, no one holds much more
/// than another, and callers that take their events are read for all the time.
#[gtest]
fn streams_of_callers_that_take_nothing_stay_within_their_half() {
    let mut budget = Budget::new(LIMIT);
    let slow: Vec<_> = (0..3_000).map(|_| budget.open(Kind::Stream)).collect();
    for (at, id) in slow.iter().enumerate() {
        budget.set_server(*id, &Name::from(format!("i-{}", at % 300)));
    }
    loop {
        let mut has_read = false;
        for id in &slow {
            if budget.may_read(*id) {
                has_read = true;
                budget.resize(*id, budget.bytes(*id) + PART);
            }
            let fast = budget.open(Kind::Stream);
            expect_that!(budget.may_read(fast), eq(true));
            budget.close(fast);
        }
        if !has_read {
            break;
        }
    }
    expect_that!(budget.streams(), le(LIMIT / 2 + PART));
    let held: Vec<_> = slow.iter().map(|id| budget.bytes(*id)).collect();
    let (least, most) = (held.iter().min().unwrap(), held.iter().max().unwrap());
    expect_that!(most - least, le(PART));
    slow.iter().for_each(|id| budget.close(*id));
    expect_that!(budget.total(), eq(0));
    expect_that!(budget.at_server(&"i-1".into()), eq(0));
}

/// One caller that takes nothing and holds most is stopped as soon as others need room; those go on.
#[gtest]
fn reading_stops_first_for_the_caller_that_holds_most() {
    let mut budget = Budget::new(LIMIT);
    let first = budget.open(Kind::Stream);
    while budget.may_read(first) {
        budget.resize(first, budget.bytes(first) + PART);
    }
    let most = budget.bytes(first);
    expect_that!(most, gt(LIMIT / 8));
    let others: Vec<_> = (0..4).map(|_| budget.open(Kind::Stream)).collect();
    for other in &others {
        budget.resize(*other, LIMIT / 40);
        expect_that!(budget.may_read(*other), eq(true));
    }
    expect_that!(budget.may_read(first), eq(false));
}

/// The streams of one server leave room for those of others.
#[gtest]
fn streams_of_one_server_are_bounded() {
    let mut budget = Budget::new(LIMIT);
    let ids: Vec<_> = (0..500).map(|_| budget.open(Kind::Stream)).collect();
    for id in &ids {
        budget.set_server(*id, &"i-1".into());
        while budget.may_read(*id) {
            budget.resize(*id, budget.bytes(*id) + PART);
        }
    }
    expect_that!(budget.at_server(&"i-1".into()), le(LIMIT / 4 + 500 * PART));
    let other = budget.open(Kind::Stream);
    budget.set_server(other, &"i-2".into());
    budget.resize(other, LIMIT / 20);
    expect_that!(budget.may_read(other), eq(true));
    budget.set_server(ids[0], &"i-2".into());
    expect_that!(
        budget.at_server(&"i-2".into()),
        eq(LIMIT / 20 + budget.bytes(ids[0]))
    );
}

/// Uploads of twice the budget at a time: each of them ends, and not many bytes over the budget are held.
#[gtest]
fn uploads_that_exceed_the_budget_end_one_after_the_other() {
    const UPLOAD: usize = LIMIT / 10;
    let mut budget = Budget::new(LIMIT);
    let mut ids: Vec<_> = (0..20).map(|_| budget.open(Kind::Request)).collect();
    let mut most = 0;
    while !ids.is_empty() {
        let before = budget.total();
        for id in &ids {
            if budget.bytes(*id) < UPLOAD && budget.may_read(*id) {
                budget.resize(*id, (budget.bytes(*id) + 10 * PART).min(UPLOAD));
            }
        }
        most = most.max(budget.total());
        if budget.total() == before {
            // The complete ones are answered.
            let (whole, rest): (Vec<_>, Vec<_>) =
                ids.into_iter().partition(|id| budget.bytes(*id) == UPLOAD);
            expect_that!(whole.is_empty(), eq(false));
            whole.into_iter().for_each(|id| budget.close(id));
            ids = rest;
        }
    }
    expect_that!(most, le(LIMIT + UPLOAD));
}

/// A pool of three servers, each with three requests of 2 MB, of which one crashes: the others get less than it held, and
/// other pools any number.
#[gtest]
fn servers_get_fewer_bytes_after_a_crash_under_many() {
    let (pool, crashed, other) = (Name::from("p"), Name::from("i-1"), Name::from("i-2"));
    let (mut uploads, now) = (Uploads::default(), Tick::from_millis(1_000));
    for server in [&crashed, &other] {
        (0..3).for_each(|_| uploads.begin(server, 2_000_000));
    }
    let held = uploads.at_server(&crashed);
    expect_that!(
        uploads.record_crash(now, &pool, &crashed, held),
        some(eq(6_000_000))
    );
    // The other requests at the server break in the same crash.
    for _ in 0..3 {
        uploads.end(&crashed, 2_000_000);
        let held = uploads.at_server(&crashed);
        expect_that!(uploads.record_crash(now, &pool, &crashed, held), none());
    }
    expect_that!(uploads.may_send(now, &pool, &other, 2_000_000), eq(false));
    uploads.end(&other, 2_000_000);
    expect_that!(uploads.may_send(now, &pool, &other, 2_000_000), eq(false));
    expect_that!(uploads.may_send(now, &pool, &other, 1_900_000), eq(true));
    expect_that!(uploads.may_send(now, &pool, &other, 0), eq(true));
    expect_that!(
        uploads.may_send(now, &"q".into(), &other, 9_000_000),
        eq(true)
    );
    // The crash may have had another cause, so that more is tried with time.
    let later = now + Duration::from_secs(61);
    expect_that!(uploads.may_send(later, &pool, &other, 7_000_000), eq(true));
    let much_later = now + Duration::from_secs(400);
    expect_that!(
        uploads.may_send(much_later, &pool, &other, 90_000_000),
        eq(true)
    );
}

/// A request that crashed its server by its size was sent to the next one.
#[gtest]
#[actix_web::test]
async fn a_large_request_whose_server_crashed_is_not_sent_to_another_one() {
    for (body_bytes, sent) in [(6_000_000, 1), (1_000, 2)] {
        time::pause();
        let sound = Reaction::Answer(200, vec![Ok("whole")]);
        let hub = hub(vec![Reaction::Fail(Failure::Broken), sound]);
        let job = patient_job(&hub, RouteKind::Idempotent, |_| {});
        let job = Rc::new(Job {
            body_bytes,
            ..Job::clone(&job)
        });
        let answer = serve(&hub, job).await;
        expect_that!(answer.is_ok(), eq(sent == 2));
        expect_that!(hub.transport.sent.borrow().len(), eq(sent));
        expect_that!(hub.with(|state| state.uploads.servers().len()), eq(0));
        time::resume();
    }
}

/// A caller that takes nothing stops neither the reading nor, for good, its stream: it gets all events, also after the
/// deadline passed while reading was stopped.
#[gtest]
#[actix_web::test]
async fn a_stream_is_read_while_its_caller_takes_nothing() {
    time::pause();
    let event: &'static str = format!("id: 1\ndata: {}\n\n", "x".repeat(100_000)).leak();
    let chunks = vec![(Duration::from_millis(10), Ok(event)); 100];
    let hub = hub(vec![Reaction::Slow {
        head_delay: Duration::ZERO,
        chunks,
    }]);
    let job = patient_job(&hub, RouteKind::Streaming, |_| {});
    let Ok(Answer::Stream { body, .. }) = serve(&hub, job).await else {
        panic!("expected a stream");
    };
    let mut queue = Queue::spawn(body);
    time::sleep(Duration::from_secs(60)).await;
    let (held, limit) = hub.with(|state| (state.hold.streams(), state.hold.limit()));
    expect_that!(held, gt(limit / 10));
    expect_that!(held, lt(limit / 4));
    let mut size = 0;
    while let Some(bytes) = queue.next().await.expect("no cut") {
        size += bytes.len();
    }
    expect_that!(size, eq(100 * event.len()));
    drop(queue);
    expect_that!(hub.with(|state| state.hold.total()), eq(0));
    time::resume();
}
