//! Requests that must stay in some regions, in a deployment of two.

mod support;

use core::time::Duration;
use std::rc::Rc;

use base::{Code, Name};
use googletest::prelude::*;
use mesh::Peer;
use relay::{Failure, Job, Transport, serve::serve};
use site::{
    Regions,
    roster::Server,
    route::{Kind, Stage},
};
use support::{Reaction, Servers, hub, job};
use tokio::time;

type Hub = Rc<relay::Hub<Servers>>;

fn whole() -> Reaction {
    Reaction::Answer(200, vec![Ok("whole")])
}

fn place(hub: &Hub, id: &str, pool: &str, domain: &str) {
    let server = Server {
        id: id.into(),
        pool: pool.into(),
        address: "10.0.7.1:80".parse().unwrap(),
        domain: domain.into(),
        slots: 6,
        leaving: false,
        started_at_ms: 7,
        version: Some("v1".into()),
    };
    hub.with(|state| state.roster.insert(server, 2));
}

/// Returns a hub in the region `north`, with the domains `a` and `b` of `north` and `c` of `south`. The engine `i-2` and the
/// stage server `i-4` are in `south`, the others in `north`.
fn hub_of_two(reactions: Vec<Reaction>) -> Hub {
    let hub = hub(reactions);
    for (id, pool, domain) in [
        ("i-0", "engines", "a"),
        ("i-1", "engines", "b"),
        ("i-2", "engines", "c"),
        ("i-3", "stages", "a"),
        ("i-4", "stages", "c"),
    ] {
        place(&hub, id, pool, domain);
    }
    let domains = [("a", "north"), ("b", "north"), ("c", "south")];
    let domains = domains.map(|(domain, region)| (domain.into(), region.into()));
    let regions = Regions::new("a".into(), None, domains.into());
    hub.with(|state| state.regions = regions);
    hub
}

fn add_instance(hub: &Hub, name: &str, domain: &str) {
    let now = hub.transport.now();
    hub.with(|state| {
        state.members.add(Peer {
            name: name.into(),
            address: "10.0.0.2:7740".parse().unwrap(),
            domain: domain.into(),
            capacity: 1_000,
        });
        state.members.mark_live(now, &name.into());
    });
}

/// Returns a request with a stage that must stay in a region.
fn job_in(hub: &Hub, region: &str) -> Rc<Job<()>> {
    let job = job(hub, Kind::Idempotent, |route| {
        route.stages = vec![Stage {
            pool: "stages".into(),
            depends_on: Vec::new(),
            result_bytes: 1_000,
        }];
    });
    let reach = hub.with(|state| state.regions.reach(&[&[region.into()], &[]]));
    Rc::new(Job {
        reach: reach.map(Rc::new),
        ..Job::clone(&job)
    })
}

async fn released_by(hub: &Hub) -> Vec<Name> {
    time::sleep(Duration::from_secs(1)).await;
    let released = hub.transport.released.borrow();
    let makers = released.iter().map(|handle| handle.maker.clone().unwrap());
    makers.map(|maker| maker.name).collect()
}

/// Guards against requests, retries and pieces that go to servers of another region.
#[gtest]
#[actix_web::test]
async fn requests_and_their_pieces_stay_in_the_allowed_region() {
    time::pause();
    for (region, engines, stage) in [
        ("north", vec!["i-0", "i-1"], "i-3"),
        ("south", vec!["i-2"], "i-4"),
    ] {
        let hub = hub_of_two(vec![whole(); 30]);
        // It would run the pieces of all requests without a restriction.
        add_instance(&hub, "other", "c");
        for _ in 0..20 {
            expect_that!(serve(&hub, job_in(&hub, region)).await.is_ok(), eq(true));
        }
        let fail = Reaction::Fail(Failure::Full);
        hub.transport.reactions.replace(vec![fail; 3].into());
        expect_that!(serve(&hub, job_in(&hub, region)).await.is_err(), eq(true));
        for sent in hub.transport.sent.borrow().iter() {
            expect_that!(
                engines.contains(&sent.server.as_str()),
                eq(true),
                "{sent:?}"
            );
        }
        let makers = released_by(&hub).await;
        expect_that!(makers, all!(not(is_empty()), each(eq(&Name::from(stage)))));
    }
}

#[gtest]
#[actix_web::test]
async fn a_request_without_a_server_in_its_region_is_rejected_immediately() {
    time::pause();
    let hub = hub_of_two(vec![whole()]);
    let start = hub.transport.now();
    let Err(refusal) = serve(&hub, job_in(&hub, "west")).await else {
        panic!("expected a refusal");
    };
    expect_that!(refusal.code, eq(Code::StageUnavailable));
    expect_that!(hub.transport.now(), eq(start));
    expect_that!(hub.transport.stage_calls.borrow().len(), eq(0));
}

/// Guards against a body that is passed to an instance of another region, which would make the call.
#[gtest]
#[actix_web::test]
async fn no_instance_of_another_region_makes_the_call() {
    for (domain, region, is_passed) in [
        ("b", "north", true),
        ("c", "north", false),
        ("c", "south", true),
    ] {
        time::pause();
        let fail = Reaction::Fail(Failure::Unreachable);
        let hub = hub_of_two(vec![fail, whole()]);
        place(&hub, "i-5", "engines", "c");
        add_instance(&hub, "helper", domain);
        let plain = Rc::new(Job {
            pieces: vec![0],
            ..Job::clone(&job_in(&hub, region))
        });
        expect_that!(serve(&hub, plain).await.is_ok(), eq(true));
        // The second attempt goes through the other instance if that may have the body.
        let helper = is_passed.then(|| "helper".into());
        let helpers = hub.transport.helpers.borrow().clone();
        expect_that!(helpers, eq(&vec![None, helper]), "{domain} {region}");
        time::resume();
    }
}

/// Guards against pieces that are delegated to instances of another region in a deployment of cells.
#[gtest]
#[actix_web::test]
async fn pieces_are_delegated_within_the_allowed_region_only() {
    time::pause();
    for (region, domain, stage) in [("south", "c", "i-4"), ("north", "b", "i-5")] {
        let hub = hub_of_two(vec![whole(); 2]);
        // The local domain has no server of the stage.
        let now = hub.transport.now();
        hub.with(|state| state.roster.remove(now, &"i-3".into()));
        place(&hub, "i-5", "stages", "b");
        for number in 0..20 {
            let domain = ["a", "b", "c"][number % 3];
            add_instance(&hub, &format!("{domain}-{number}"), domain);
        }
        expect_that!(hub.with(|state| state.members.has_cells()), eq(true));
        expect_that!(serve(&hub, job_in(&hub, region)).await.is_ok(), eq(true));
        let delegated = hub.transport.delegated.borrow().clone();
        expect_that!(
            delegated,
            all!(not(is_empty()), each(eq(&Name::from(domain)))),
            "{region}"
        );
        let makers = released_by(&hub).await;
        expect_that!(makers, all!(not(is_empty()), each(eq(&Name::from(stage)))));
    }
}
