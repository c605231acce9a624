//! Calls to cold servers, which need turns.

mod support;

use core::time::Duration;
use std::rc::Rc;

use base::Stamp;
use futures_util::future;
use googletest::prelude::*;
use quota::cold::Bound;
use relay::{Hub, Job, Transport, serve::serve};
use site::{
    Pool, pool,
    route::{Kind, Stage},
};
use support::{Reaction, Servers, hub, job, patient_job};
use tokio::time;

/// The time after the start of a process from which it grants the whole rate.
const SETTLING: Duration = Duration::from_secs(5);

/// The requests a second that a cold server of the tests takes.
const RATE: f64 = 2.0;

/// Returns a hub in which cold servers of one pool take few requests.
async fn cold_hub(reactions: usize, limited: &str) -> Rc<Hub<Servers>> {
    time::pause();
    let hub = hub(vec![Reaction::Answer(200, vec![Ok("whole")]); reactions]);
    let now = hub.transport.now();
    hub.with(|state| {
        let bound = Bound {
            over: 1.5,
            slack: 5.0,
        };
        state.cold.set_bound(Some(bound));
        state.cold.start(now);
        let pools = state.config.as_ref().unwrap().pools();
        let pools = pools.iter().cloned().map(|pool| Pool {
            cold: (pool.name.as_str() == limited).then_some(pool::Cold {
                rate: RATE,
                start_time: Duration::from_secs(3),
            }),
            ..pool
        });
        let config = site::Config::new(2, Vec::new(), pools.collect(), None);
        state.config = Some(Rc::new(config));
    });
    time::sleep(SETTLING).await;
    hub
}

async fn is_served(hub: &Rc<Hub<Servers>>) -> bool {
    serve(hub, job(hub, Kind::Idempotent, |_| {})).await.is_ok()
}

/// COLD: servers of a domain that returned got the load of before at once.
#[gtest]
#[actix_web::test]
async fn requests_take_turns_at_the_servers_of_a_domain_that_returns() {
    let hub = cold_hub(100, "engines").await;
    let now = hub.transport.now();
    hub.with(|state| state.record_domain_return(now, &"a".into()));
    let mut served = 0;
    for _ in 0..20 {
        served += usize::from(is_served(&hub).await);
    }
    // One turn of each of the three servers.
    expect_that!(served, eq(3));
    // A request that can wait takes a later one.
    let patient = patient_job(&hub, Kind::Idempotent, |_| {});
    expect_that!(serve(&hub, patient).await.is_ok(), eq(true));
}

/// COLD: a server that was written warm before its domain returned was taken for a warm one.
#[gtest]
#[actix_web::test]
async fn only_an_entry_from_after_the_return_ends_it() {
    let hub = cold_hub(100, "engines").await;
    let read = |sequence| {
        let now = hub.transport.now();
        hub.with(|state| {
            let servers: Vec<_> = state.roster.all().cloned().collect();
            for server in servers {
                let time_of_day = Stamp::from_millis(1_790_000_000_000);
                state.record_cold_entry(now, time_of_day, &server, sequence, Duration::ZERO);
            }
        });
    };
    read(1);
    let now = hub.transport.now();
    hub.with(|state| state.record_domain_return(now, &"a".into()));
    time::sleep(Duration::from_millis(400)).await;
    read(2);
    let count = || hub.with(|state| state.cold.counts(hub.transport.now()).0);
    expect_that!(count(), eq(3));
    time::sleep(Duration::from_secs(2)).await;
    read(3);
    // The rate ramps up before the servers take any number.
    expect_that!(count(), eq(3));
    time::sleep(Duration::from_millis(1_300)).await;
    expect_that!(count(), eq(0));
    let mut served = 0;
    for _ in 0..20 {
        served += usize::from(is_served(&hub).await);
    }
    expect_that!(served, eq(20));
}

/// COLD: without a rate in the configuration or a bound in the settings, servers were limited that bear any load.
#[gtest]
#[actix_web::test]
async fn pools_without_a_rate_are_served_as_before() {
    for has_bound in [false, true] {
        let hub = hub(vec![Reaction::Answer(200, vec![Ok("whole")]); 20]);
        let now = hub.transport.now();
        hub.with(|state| {
            let bound = Bound {
                over: 1.5,
                slack: 5.0,
            };
            state.cold.set_bound(has_bound.then_some(bound));
            state.record_domain_return(now, &"a".into());
        });
        for _ in 0..20 {
            expect_that!(is_served(&hub).await, eq(true));
        }
    }
}

/// COLD: stage calls took no turns, so that a cold stage server got one for each batch of pieces.
#[gtest]
#[actix_web::test]
async fn stage_calls_take_turns_and_wait_for_them() {
    let hub = cold_hub(100, "stages").await;
    let now = hub.transport.now();
    hub.with(|state| state.record_domain_return(now, &"a".into()));
    let patience = Duration::from_secs(8);
    let staged = || {
        let job = job(&hub, Kind::Idempotent, |route| {
            route.timeout = patience;
            route.objective = Duration::from_secs(5);
            route.stages = vec![Stage {
                pool: "stages".into(),
                depends_on: Vec::new(),
                result_bytes: 100,
            }];
        });
        Rc::new(Job {
            deadline: job.arrived_at + patience,
            ..Job::clone(&job)
        })
    };
    let requests = (0..12).map(|at| {
        let (hub, staged) = (&hub, &staged);
        async move {
            time::sleep(Duration::from_millis(100) * at).await;
            serve(hub, staged()).await.is_ok()
        }
    });
    let served = future::join_all(requests).await;
    expect_that!(served, each(eq(&true)));
    let calls = hub.transport.stage_calls.borrow();
    // Releases of results take turns, too.
    for pair in calls.windows(2) {
        expect_that!(pair[1] - pair[0], ge(Duration::from_millis(450)));
    }
    expect_that!(calls.len(), ge(2));
}
