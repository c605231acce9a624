//! Nothing is sent to servers of an evacuated domain on any path, whatever was waiting when the order arrived.

mod support;

use core::time::Duration;
use std::rc::Rc;

use base::{Code, Incarnation, Name, Software, Stamp, Tick};
use batch::piece::Handle;
use googletest::prelude::*;
use mesh::{Origin, Owner, Peer, Position};
use quota::Statement;
use relay::{Failure, Job, Notice, Rate, Transport, serve::serve};
use site::{
    roster::Server,
    route::{Kind, Stage},
};
use support::{Reaction, Servers, hub, job, patient_job, text_of};
use tokio::time;

type Hub = Rc<relay::Hub<Servers>>;

const GRACE: Duration = Duration::from_secs(3);

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

/// Returns a hub with engines and stage servers in two domains: `i-0`, `i-1` and `i-3` in `a`, `i-2` and `i-4` in `b`.
fn hub_of_two(reactions: Vec<Reaction>) -> Hub {
    let hub = hub(reactions);
    for (id, pool, domain) in [
        ("i-0", "engines", "a"),
        ("i-1", "engines", "a"),
        ("i-2", "engines", "b"),
        ("i-3", "stages", "a"),
        ("i-4", "stages", "b"),
    ] {
        place(&hub, id, pool, domain);
    }
    hub
}

fn evacuate(hub: &Hub, domains: &[&str]) {
    let now = hub.transport.now();
    let listed: Vec<Name> = domains.iter().map(|domain| (*domain).into()).collect();
    hub.with(|state| {
        let evacuations = &mut state.roster.evacuations;
        let offset = evacuations.position().map_or(1, |known| known.offset + 1);
        let position = Position { era: 1, offset };
        evacuations.record_read(now, Stamp::default(), GRACE, position, &listed, &[]);
    });
    hub.dispatch();
}

/// Evacuates domains after a while.
async fn evacuate_after(hub: &Hub, delay: Duration, domains: &[&str]) {
    time::sleep(delay).await;
    evacuate(hub, domains);
}

fn sent_to(hub: &Hub) -> Vec<Name> {
    let sent = hub.transport.sent.borrow();
    sent.iter().map(|sent| sent.server.clone()).collect()
}

fn add_stage(route: &mut site::Route) {
    route.stages = vec![Stage {
        pool: "stages".into(),
        depends_on: Vec::new(),
        result_bytes: 1_000,
    }];
}

/// Guards against requests, retries and resumptions that go to an evacuated domain.
#[gtest]
#[actix_web::test]
async fn new_requests_and_retries_go_to_other_domains_only() {
    time::pause();
    let hub = hub_of_two(vec![whole(); 20]);
    evacuate(&hub, &["a"]);
    for _ in 0..20 {
        let served = serve(&hub, job(&hub, Kind::Idempotent, |_| {})).await;
        expect_that!(served.is_ok(), eq(true));
    }
    expect_that!(sent_to(&hub), each(eq(&Name::from("i-2"))));
    // The only server of the other domain fails; the retry has nowhere to go.
    let fail = Reaction::Fail(Failure::Full);
    hub.transport.reactions.replace(vec![fail, whole()].into());
    let served = serve(&hub, job(&hub, Kind::Idempotent, |_| {})).await;
    expect_that!(served.is_err(), eq(true));
    expect_that!(
        sent_to(&hub),
        all!(len(eq(21)), each(eq(&Name::from("i-2"))))
    );
    evacuate(&hub, &[]);
    hub.transport.reactions.replace(vec![whole(); 20].into());
    for _ in 0..20 {
        let served = serve(&hub, job(&hub, Kind::Idempotent, |_| {})).await;
        expect_that!(served.is_ok(), eq(true));
    }
    expect_that!(sent_to(&hub), contains(not(eq(&Name::from("i-2")))));
}

/// Guards against a stream that is taken up in an evacuated domain, and against one in progress that is cut.
#[gtest]
#[actix_web::test]
async fn a_stream_in_progress_ends_where_it_is_and_goes_on_elsewhere() {
    for breaks in [false, true] {
        time::pause();
        let rest = match breaks {
            true => Err(Failure::Broken),
            false => Ok("id: 2\ndata: b\n\n"),
        };
        let pause = Duration::from_millis(40);
        let slow = Reaction::Slow {
            head_delay: Duration::ZERO,
            chunks: vec![(Duration::ZERO, Ok("id: 1\ndata: a\n\n")), (pause, rest)],
        };
        let second = Reaction::Answer(200, vec![Ok("id: 2\ndata: b\n\n")]);
        let hub = hub_of_two(vec![slow, second]);
        // The stream begins in `a`.
        hub.with(|state| state.roster.remove(Tick::from_millis(1), &"i-2".into()));
        let streaming = text_of(&hub, job(&hub, Kind::Streaming, |_| {}));
        let order = async {
            evacuate_after(&hub, pause / 2, &["a"]).await;
            place(&hub, "i-2", "engines", "b");
        };
        let (text, ()) = tokio::join!(streaming, order);
        expect_that!(text, ok(eq("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")));
        let sent = sent_to(&hub);
        expect_that!(sent.len(), eq(1 + usize::from(breaks)));
        expect_that!(sent[1..], each(eq(&Name::from("i-2"))));
        time::resume();
    }
}

/// Guards against a request that waited for its turn, or for the confirmation of a run, when the order arrived.
#[gtest]
#[actix_web::test]
async fn a_request_that_waits_for_a_turn_is_not_sent() {
    time::pause();
    let turn = Duration::from_millis(500);
    let hub = hub_of_two(vec![whole(); 8]);
    let rate = 1.0 / turn.as_secs_f64();
    limit(&hub, &["i-0", "i-1", "i-2"], rate);
    for _ in 0..3 {
        let served = serve(&hub, job(&hub, Kind::Idempotent, |_| {})).await;
        expect_that!(served.is_ok(), eq(true));
    }
    let waiting = serve(&hub, patient_job(&hub, Kind::Idempotent, |_| {}));
    let (served, ()) = tokio::join!(waiting, evacuate_after(&hub, turn / 5, &["a", "b"]));
    expect_that!(served.is_err(), eq(true));
    expect_that!(sent_to(&hub).len(), eq(3));
}

#[gtest]
#[actix_web::test]
async fn a_request_whose_server_is_asked_for_its_run_is_not_sent() {
    time::pause();
    let hub = hub_of_two(vec![whole(); 4]);
    let delay = Duration::from_millis(100);
    hub.with(|state| state.roster.remove(Tick::from_millis(1), &"i-2".into()));
    let confirmations = vec![(delay, Ok(())); 2];
    hub.transport.confirmations.replace(confirmations.into());
    let resumed = job(&hub, Kind::Streaming, |_| {});
    let origin = Origin {
        pool: "engines".into(),
        software: Software::Version("v1".into()),
    };
    expect_that!(resumed.origin.set(origin).is_ok(), eq(true));
    let order = async {
        evacuate_after(&hub, delay / 2, &["a"]).await;
        place(&hub, "i-2", "engines", "b");
    };
    let (served, ()) = tokio::join!(serve(&hub, resumed), order);
    expect_that!(served.is_ok(), eq(true));
    expect_that!(sent_to(&hub), elements_are![eq(&Name::from("i-2"))]);
}

/// Lets servers limit their request rate.
fn limit(hub: &Hub, servers: &[&str], rate: f64) {
    for server in servers {
        let now = hub.transport.now();
        hub.with(|state| {
            state.record_rate(Statement {
                server: (*server).into(),
                started_at_ms: 7,
                rate: Some(rate),
                brittle: None,
                sent_at: Tick::default(),
                received_at: now,
            });
        });
    }
}

/// Guards against a question for a run that waited for its turn when the order arrived.
#[gtest]
#[actix_web::test]
async fn a_server_is_not_asked_for_its_run_after_a_wait() {
    time::pause();
    let hub = hub_of_two(vec![whole(); 4]);
    limit(&hub, &["i-0", "i-1", "i-2"], 2.0);
    let resumed = patient_job(&hub, Kind::Streaming, |_| {});
    let origin = Origin {
        pool: "engines".into(),
        software: Software::Version("v1".into()),
    };
    expect_that!(resumed.origin.set(origin).is_ok(), eq(true));
    // The first turn is for the request, and the second one, half a second later, for the question.
    let order = evacuate_after(&hub, Duration::from_millis(100), &["a", "b"]);
    let (served, ()) = tokio::join!(serve(&hub, resumed), order);
    expect_that!(served.is_err(), eq(true));
    expect_that!(hub.transport.confirmed.borrow().clone(), is_empty());
    expect_that!(sent_to(&hub), is_empty());
}

/// Guards against a stage call and a release whose turns another instance granted while the order arrived.
#[gtest]
#[actix_web::test]
async fn stage_calls_and_releases_that_wait_for_a_turn_are_not_sent() {
    time::pause();
    let delay = Duration::from_millis(100);
    let hub = hub_of_two(vec![whole(); 4]);
    hub.with(|state| state.roster.remove(Tick::from_millis(1), &"i-4".into()));
    limit(&hub, &["i-3"], 20.0);
    let now = hub.transport.now();
    let is_holder = hub.with(|state| {
        (0..64).any(|number| {
            let name = Name::from(format!("other-{number}"));
            state.members.add(Peer {
                name: name.clone(),
                address: "10.0.0.2:7740".parse().unwrap(),
                domain: "a".into(),
                capacity: 250,
            });
            state.members.mark_live(now, &name);
            let holder = state.members.holder(now, &"i-3".into(), &"a".into());
            // The local instance runs the pieces.
            let owner = state.members.owner(now, &"stages".into(), &"a".into());
            matches!((holder, owner), (Owner::Peer(_), Owner::Local)) || {
                state.members.remove(&name);
                false
            }
        })
    });
    expect_that!(is_holder, eq(true));
    hub.transport.turn_delay.set(Some(delay));
    let result = Handle {
        maker: Some(Incarnation::new("i-3", Stamp::from_millis(7))),
        text: "i-3/1".into(),
    };
    hub.queue_release(vec![result]);
    let served = serve(&hub, job(&hub, Kind::Idempotent, add_stage));
    let (served, ()) = tokio::join!(served, evacuate_after(&hub, delay / 2, &["a"]));
    expect_that!(served.is_err(), eq(true));
    time::sleep(delay * 20).await;
    expect_that!(hub.transport.stage_calls.borrow().len(), eq(0));
    expect_that!(hub.transport.released.borrow().len(), eq(0));
}

/// Guards against questions for a server's run that go on after the order.
#[gtest]
#[actix_web::test]
async fn a_server_is_not_asked_for_its_run_again() {
    time::pause();
    let events = Reaction::Answer(200, vec![Ok("id: 1\ndata: a\n\n")]);
    let hub = hub_of_two(vec![events]);
    hub.with(|state| state.roster.remove(Tick::from_millis(1), &"i-2".into()));
    let unknown = (Duration::from_millis(5), Err(Failure::Unconfirmed));
    hub.transport.statements.replace(vec![unknown; 4].into());
    let text = text_of(&hub, job(&hub, Kind::Streaming, |_| {})).await;
    expect_that!(text.is_ok(), eq(true));
    evacuate_after(&hub, Duration::from_millis(20), &["a"]).await;
    let asked = hub.transport.asked.get();
    expect_that!(asked, eq(1));
    time::sleep(Duration::from_secs(3)).await;
    expect_that!(hub.transport.asked.get(), eq(asked));
}

/// Guards against stage calls with pieces that were queued when the order arrived.
#[gtest]
#[actix_web::test]
async fn pieces_that_wait_in_a_queue_go_to_another_domain() {
    time::pause();
    let hub = hub_of_two(vec![whole(); 8]);
    let call = Duration::from_millis(200);
    hub.transport.stage_time.set(call);
    hub.with(|state| state.roster.remove(Tick::from_millis(1), &"i-4".into()));
    let first = serve(&hub, patient_job(&hub, Kind::Idempotent, add_stage));
    let second = async {
        time::sleep(call / 4).await;
        serve(&hub, patient_job(&hub, Kind::Idempotent, add_stage)).await
    };
    let order = async {
        time::sleep(call / 2).await;
        place(&hub, "i-4", "stages", "b");
        evacuate(&hub, &["a"]);
    };
    let (first, second, ()) = tokio::join!(first, second, order);
    expect_that!(first.is_ok(), eq(true));
    expect_that!(second.is_ok(), eq(true));
    // The results of the call in progress are left to expire, and the others are released.
    time::sleep(Duration::from_secs(1)).await;
    let released = hub.transport.released.borrow();
    let makers = released.iter().map(|handle| handle.maker.clone().unwrap());
    let makers: Vec<_> = makers.map(|maker| maker.name).collect();
    expect_that!(makers, all!(not(is_empty()), each(eq(&Name::from("i-4")))));
}

/// Guards against releases, also those that a pause of their server delayed.
#[gtest]
#[actix_web::test]
async fn results_in_an_evacuated_domain_are_left_to_expire() {
    const PAUSE: Duration = Duration::from_millis(500);
    for is_delayed in [false, true] {
        time::pause();
        let hub = hub_of_two(Vec::new());
        let result = |id: &str| Handle {
            maker: Some(Incarnation::new(id, Stamp::from_millis(7))),
            text: format!("{id}/1").into(),
        };
        if is_delayed {
            let now = hub.transport.now();
            hub.transport.notices.borrow_mut().push(Notice {
                server: "i-3".into(),
                started_at_ms: 7,
                sent_at: now,
                received_at: now,
                is_direct: true,
                is_leaving: false,
                pause: Some(PAUSE),
                rate: Rate::Unlimited,
                cold_left: None,
                slowness: None,
                brittle: Rate::Unlimited,
            });
        } else {
            evacuate(&hub, &["a"]);
        }
        hub.release(vec![result("i-3"), result("i-4")]);
        evacuate_after(&hub, PAUSE / 4, &["a"]).await;
        time::sleep(PAUSE * 4).await;
        let released = hub.transport.released.borrow().clone();
        expect_that!(released, eq(&vec![result("i-4")]), "{is_delayed}");
        time::resume();
    }
}

/// Guards against requests that wait, or whose stages run, although no server is left.
#[gtest]
#[actix_web::test]
async fn requests_are_rejected_immediately_if_all_domains_are_evacuated() {
    time::pause();
    for evacuated in [["a", "b"], ["b", "a"]] {
        let hub = hub_of_two(vec![whole()]);
        evacuate(&hub, &evacuated);
        for kind in [Kind::AtMostOnce, Kind::Idempotent, Kind::Streaming] {
            let start = hub.transport.now();
            let Err(refusal) = serve(&hub, job(&hub, kind, add_stage)).await else {
                panic!("expected a refusal");
            };
            expect_that!(refusal.code, eq(Code::StageUnavailable));
            expect_that!(refusal.retry_after, some(gt(Duration::ZERO)));
            expect_that!(hub.transport.now(), eq(start));
        }
        expect_that!(hub.transport.sent.borrow().len(), eq(0));
        expect_that!(hub.transport.stage_calls.borrow().len(), eq(0));
    }
}

/// Guards against stages that run for requests whose engines are all evacuated.
#[gtest]
#[actix_web::test]
async fn no_stage_runs_if_the_servers_after_it_are_evacuated() {
    time::pause();
    let hub = hub_of_two(vec![whole()]);
    place(&hub, "i-2", "engines", "a");
    evacuate(&hub, &["a"]);
    let served = serve(&hub, job(&hub, Kind::Idempotent, add_stage)).await;
    expect_that!(served.is_err(), eq(true));
    expect_that!(hub.transport.stage_calls.borrow().len(), eq(0));
    let job: Rc<Job<()>> = job(&hub, Kind::Idempotent, |_| {});
    expect_that!(serve(&hub, job).await.is_err(), eq(true));
    expect_that!(hub.transport.sent.borrow().len(), eq(0));
}
