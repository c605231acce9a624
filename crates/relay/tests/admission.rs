//! Admission of requests by the backlogs that other instances report.

mod support;

use core::time::Duration;
use std::rc::Rc;

use batch::{Backlog, Shard, backlog::Level};
use googletest::prelude::*;
use relay::{Hub, Job, serve::serve};
use site::route::{Kind, Rank, Stage};
use support::{Reaction, Servers, hub, job};
use tokio::task::LocalSet;

fn staged(hub: &Rc<Hub<Servers>>) -> Rc<Job<()>> {
    job(hub, Kind::Idempotent, |route| {
        let stage = |depends_on| Stage {
            pool: "stages".into(),
            depends_on,
            result_bytes: 8_000,
        };
        route.stages = vec![stage(Vec::new()), stage(vec![0])];
    })
}

fn report(hub: &Hub<Servers>, late: Duration, memory_permille: u16) {
    let level = Level {
        rank: Rank::default(),
        on_time: Duration::from_millis(200),
        late,
    };
    let backlog = Backlog {
        free_in: Duration::from_millis(5),
        levels: vec![level],
        memory_permille,
    };
    hub.record_backlogs(&"b".into(), vec![(Shard::whole(&"stages".into()), backlog)]);
}

/// Guards against stage work on requests that can't be answered in time: the code and a wait of a third of the time left at
/// most are told at once.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_request_that_can_not_be_in_time_is_refused_before_its_first_stage() {
    LocalSet::new()
        .run_until(async {
            let hub = hub(vec![Reaction::Answer(200, vec![Ok("whole")])]);
            report(&hub, Duration::from_secs(5), 0);
            let started_at = relay::Transport::now(&hub.transport);
            let Err(refusal) = serve(&hub, staged(&hub)).await else {
                panic!("expected a refusal");
            };
            expect_that!(refusal.code.number(), eq(300));
            expect_that!(
                refusal.retry_after,
                some(all!(
                    ge(Duration::from_millis(150)),
                    le(Duration::from_millis(300))
                ))
            );
            expect_that!(relay::Transport::now(&hub.transport), eq(started_at));
            expect_that!(hub.transport.batch_sizes.borrow().len(), eq(0));
        })
        .await;
}

/// Guards against late work that takes the last memory of a stage, and against delays that end a request that could be
/// answered: it starts once the report is no longer true.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_late_request_waits_until_the_stages_have_memory_again() {
    LocalSet::new()
        .run_until(async {
            let hub = hub(vec![Reaction::Answer(200, vec![Ok("whole")])]);
            report(&hub, Duration::from_millis(250), 950);
            let request = staged(&hub);
            let served = serve(&hub, request);
            let freed = async {
                tokio::time::sleep(Duration::from_millis(60)).await;
                expect_that!(hub.transport.batch_sizes.borrow().len(), eq(0));
                report(&hub, Duration::from_millis(250), 100);
            };
            let (answer, ()) = tokio::join!(served, freed);
            expect_that!(answer.is_ok(), eq(true));
            expect_that!(hub.transport.batch_sizes.borrow().len(), ge(2));
        })
        .await;
}
