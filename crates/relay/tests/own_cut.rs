//! Connections that break as the links of this instance to all servers are lost.

mod support;

use core::time::Duration;
use std::rc::Rc;

use futures_util::future;
use googletest::prelude::*;
use relay::{Answer, Failure, Hub, Job, serve::serve};
use site::route::Kind;
use support::{Reaction, Servers, hub, job};
use tokio::time;

/// How long the links are lost.
const CUT: Duration = Duration::from_secs(1);

/// The time between the loss of the first link and of the last one.
const SPREAD: Duration = Duration::from_millis(10);

/// How long after that the runs of servers are known.
const SETTLED: Duration = Duration::from_secs(3);

/// The number of requests whose connections break together.
const REQUESTS: usize = 20;

/// Sends a stream and a whole request whose connections break in a cut of this instance, and waits until it has ended.
async fn cut_off(hub: &Rc<Hub<Servers>>) {
    let stream = serve(hub, job(hub, Kind::Streaming, |_| {})).await;
    let Ok(Answer::Stream { mut body, .. }) = stream else {
        panic!("expected a stream");
    };
    expect_that!(body.next().await.is_ok(), eq(true));
    hub.transport.is_cut_off.set(true);
    while let Ok(Some(_)) = body.next().await {}
    let whole = serve(hub, job(hub, Kind::Idempotent, |_| {})).await;
    expect_that!(whole.is_err(), eq(true));
    time::sleep(CUT).await;
    expect_that!(hub.transport.crashes.borrow().len(), eq(0));
    hub.transport.is_cut_off.set(false);
    time::sleep(SETTLED).await;
}

fn reactions() -> Vec<Reaction> {
    vec![
        Reaction::Answer(200, vec![Ok("id: 1\ndata: a\n\n"), Err(Failure::Broken)]),
        Reaction::Fail(Failure::Broken),
        Reaction::Fail(Failure::Broken),
    ]
}

/// RECOVER: connections that a cut of this instance reset counted as crashes of servers, and a part of prompts was refused.
#[gtest]
#[actix_web::test]
async fn connections_that_a_cut_of_this_instance_breaks_are_no_crashes() {
    time::pause();
    let hub = hub(reactions());
    cut_off(&hub).await;
    expect_that!(hub.transport.crashes.borrow().len(), eq(0));
    expect_that!(hub.with(|state| state.crashes.count(7)), eq(0));
}

/// Connections that broke some milliseconds before the last link was lost counted as crashes.
#[gtest]
#[actix_web::test]
async fn connections_that_break_just_before_the_last_link_is_lost_are_no_crashes() {
    time::pause();
    let hub = hub(vec![Reaction::Fail(Failure::Broken)]);
    let single = job(&hub, Kind::Idempotent, |route| route.max_attempts = 1);
    let loss = async {
        time::sleep(SPREAD).await;
        hub.transport.is_cut_off.set(true);
    };
    let (served, ()) = tokio::join!(serve(&hub, single), loss);
    expect_that!(served.is_err(), eq(true));
    hub.transport.is_cut_off.set(false);
    time::sleep(SETTLED).await;
    expect_that!(hub.transport.crashes.borrow().len(), eq(0));
}

/// A crash was not recorded if its caller left while the links were checked.
#[gtest]
#[actix_web::test]
async fn a_crash_is_recorded_although_the_caller_leaves() {
    time::pause();
    let hub = hub(vec![Reaction::Fail(Failure::Broken)]);
    let single = job(&hub, Kind::Idempotent, |route| route.max_attempts = 1);
    let served = time::timeout(SPREAD, serve(&hub, single)).await;
    expect_that!(served.is_err(), eq(true));
    time::sleep(SETTLED).await;
    expect_that!(hub.transport.crashes.borrow().len(), eq(1));
}

/// Servers that crash together look like a cut of this instance until they run again.
#[gtest]
#[actix_web::test]
async fn crashes_of_all_servers_are_recorded_once_they_state_later_runs() {
    time::pause();
    let hub = hub(reactions());
    let later_run = (Duration::ZERO, Ok(9));
    hub.transport.statements.replace(vec![later_run; 3].into());
    cut_off(&hub).await;
    expect_that!(hub.transport.crashes.borrow().len(), ge(1));
    expect_that!(hub.with(|state| state.crashes.count(7)), ge(1));
}

/// A server that crashed under many requests had the links checked for each of them.
#[gtest]
#[actix_web::test]
async fn connections_that_break_together_share_a_check_of_the_links() {
    time::pause();
    let hub = hub(vec![Reaction::Fail(Failure::Broken); REQUESTS]);
    let requests = (0..REQUESTS).map(|number| {
        let single = job(&hub, Kind::Idempotent, |route| route.max_attempts = 1);
        let single = Rc::new(Job {
            digest: number as u64,
            ..Job::clone(&single)
        });
        serve(&hub, single)
    });
    let served = future::join_all(requests).await;
    expect_that!(served.iter().all(|served| served.is_err()), eq(true));
    expect_that!(hub.transport.crashes.borrow().len(), eq(REQUESTS));
    // A check opens three connections.
    expect_that!(hub.transport.probes.get(), le(3));
}
