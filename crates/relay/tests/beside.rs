//! Two attempts of a request beside each other, of which the earlier one is silent.

mod support;

use core::time::Duration;
use std::rc::Rc;

use base::Code;
use futures_util::future::join_all;
use googletest::prelude::*;
use proptest::{collection, prelude::*};
use relay::{Answer, Failure, Job, serve::serve};
use site::{
    Route,
    route::{Kind, Stage},
};
use support::{EVENTS, Reaction, Servers, hub, patient_job, spend_budget};
use tokio::time::{self, Instant};

type Hub = Rc<relay::Hub<Servers>>;
type Chunk = (Duration, std::result::Result<&'static str, Failure>);

const FIRST: &str = "id: 1\ndata: a\n\n";
const SECOND: &str = "id: 2\ndata: b\n\n";
const THIRD: &str = "id: 3\ndata: c\n\n";

const BOTH: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const ALL: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

/// The silence after which callers leave a stream of [`patient_job`].
const PATIENCE: Duration = Duration::from_secs(4);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn slow(head_delay: Duration, chunks: Vec<Chunk>) -> Reaction {
    Reaction::Slow { head_delay, chunks }
}

fn now(text: &'static str) -> Chunk {
    (Duration::ZERO, Ok(text))
}

const fn after(delay: u64, text: &'static str) -> Chunk {
    (ms(delay), Ok(text))
}

fn add_stages(route: &mut Route) {
    let stage = |depends_on| Stage {
        pool: "stages".into(),
        depends_on,
        result_bytes: 1_000,
    };
    route.stages = vec![stage(vec![]), stage(vec![0])];
}

/// Returns the whole answer and the longest time without bytes of it, or the code with which it ended early.
async fn answer_of(hub: &Hub, job: Rc<Job<()>>) -> std::result::Result<(String, Duration), Code> {
    let mut last = Instant::now();
    let mut longest = Duration::ZERO;
    match serve(hub, job).await {
        Ok(Answer::Whole { body, .. }) => {
            Ok((String::from_utf8_lossy(&body).into_owned(), last.elapsed()))
        }
        Ok(Answer::Stream { mut body, .. }) => {
            let mut text = String::new();
            loop {
                let next = body.next().await;
                longest = longest.max(last.elapsed());
                last = Instant::now();
                match next {
                    Ok(Some(bytes)) => text.push_str(&String::from_utf8_lossy(&bytes)),
                    Ok(None) => return Ok((text, longest)),
                    Err(_) => return Err(Code::StreamCut),
                }
            }
        }
        Err(refusal) => Err(refusal.code),
    }
}

async fn text_of(hub: &Hub, job: Rc<Job<()>>) -> std::result::Result<String, Code> {
    answer_of(hub, job).await.map(|(text, _)| text)
}

fn sent_count(hub: &Hub) -> usize {
    hub.transport.sent.borrow().len()
}

/// Returns the number of servers with calls in flight.
fn busy_count(hub: &Hub) -> usize {
    hub.with(|state| state.fleet.local_loads().len())
}

/// LOST: what a silent server sent was held back until the caller had left, while another one was awaited.
#[gtest]
#[actix_web::test]
async fn a_stream_that_its_silent_server_continues_reaches_the_caller_before_it_leaves() {
    // The other server is hung, or reads the prompt for long.
    for next in [
        Reaction::Hang,
        slow(ms(2_500), vec![now(SECOND), now(THIRD)]),
    ] {
        for silence in [2_050, 2_500, 3_500] {
            time::pause();
            let chunks = vec![now(FIRST), after(silence, SECOND), now(THIRD)];
            let hub = hub(vec![slow(Duration::ZERO, chunks), next.clone()]);
            let job = patient_job(&hub, Kind::Streaming, |_| {});
            let answer = answer_of(&hub, job).await;
            expect_that!(answer, ok((eq(ALL), lt(&PATIENCE))), "{silence} ms");
            expect_that!(busy_count(&hub), eq(0));
            time::resume();
        }
    }
}

/// LOST: the head of a silent server was held back until the deadline, while another one was awaited.
#[gtest]
#[actix_web::test]
async fn a_stream_that_its_silent_server_begins_reaches_the_caller_before_its_deadline() {
    time::pause();
    let hub = hub(vec![slow(ms(1_200), vec![now(FIRST)]), Reaction::Hang]);
    let job = patient_job(&hub, Kind::Streaming, |route| route.timeout = ms(1_900));
    expect_that!(text_of(&hub, job).await, ok(eq(FIRST)));
    expect_that!(busy_count(&hub), eq(0));
}

/// LOST: two silent servers began a stream shortly before its caller would leave, and neither was heard.
#[gtest]
#[actix_web::test]
async fn a_stream_that_a_silent_server_begins_late_reaches_the_caller_before_it_leaves() {
    // The caller leaves after 2 s, or its deadline passes after 0.7 s.
    for (timeout, head_delay) in [
        (8_000, 1_650),
        (8_000, 1_800),
        (8_000, 1_950),
        (700, 450),
        (700, 600),
    ] {
        time::pause();
        let hub = hub(vec![slow(ms(head_delay), vec![now(FIRST)]), Reaction::Hang]);
        let job = patient_job(&hub, Kind::Streaming, |route| {
            route.objective = ms(300);
            route.timeout = ms(timeout);
        });
        expect_that!(text_of(&hub, job).await, ok(eq(FIRST)), "{head_delay} ms");
        expect_that!(sent_count(&hub), eq(2));
        expect_that!(busy_count(&hub), eq(0));
        time::resume();
    }
}

/// LOST: a stream whose servers were silent ended after the time for which callers usually wait, long before its deadline.
#[gtest]
#[actix_web::test]
async fn a_stream_that_begins_late_reaches_a_caller_that_still_waits() {
    for (first, second) in [(6_500, 60_000), (60_000, 5_000), (4_100, 3_500)] {
        time::pause();
        let hub = hub(vec![
            slow(ms(first), vec![now(FIRST)]),
            slow(ms(second), vec![now(FIRST)]),
        ]);
        let job = patient_job(&hub, Kind::Streaming, |_| {});
        expect_that!(text_of(&hub, job).await, ok(eq(FIRST)), "{first} {second}");
        expect_that!(sent_count(&hub), eq(2));
        expect_that!(busy_count(&hub), eq(0));
        time::resume();
    }
}

/// LOST: the first of three silent servers was left when the third one was tried, and its answer was lost.
#[gtest]
#[actix_web::test]
async fn each_silent_server_may_still_answer_when_a_third_one_is_tried() {
    for kind in [Kind::Idempotent, Kind::Streaming] {
        for answering in 0..3 {
            time::pause();
            let mut reactions = vec![Reaction::Hang; 3];
            // It answers 0.9 s after the third one was tried.
            reactions[answering] = slow(ms(2_900 - 1_000 * answering as u64), vec![now(FIRST)]);
            let hub = hub(reactions);
            let job = patient_job(&hub, kind, |route| route.max_attempts = 3);
            let answer = text_of(&hub, job).await;
            expect_that!(answer, ok(eq(FIRST)), "{kind:?} {answering}");
            expect_that!(sent_count(&hub), eq(3), "{kind:?} {answering}");
            expect_that!(busy_count(&hub), eq(0), "{kind:?} {answering}");
            time::resume();
        }
    }
}

/// LOST: a silent server's answer was not read while the stages ran again for another server.
#[gtest]
#[actix_web::test]
async fn a_silent_server_is_heard_while_lost_inputs_are_made_again() {
    for kind in [Kind::Idempotent, Kind::Streaming] {
        time::pause();
        let hub = hub(vec![
            slow(ms(1_500), vec![now(FIRST)]),
            Reaction::Fail(Failure::InputGone),
        ]);
        let job = patient_job(&hub, kind, |route| {
            add_stages(route);
            route.max_attempts = 3;
        });
        let slow_down = async {
            time::sleep(ms(500)).await;
            hub.transport.stage_time.set(ms(1_500));
        };
        let (answer, ()) = tokio::join!(answer_of(&hub, job), slow_down);
        expect_that!(answer, ok((eq(FIRST), lt(&ms(2_000)))), "{kind:?}");
        time::resume();
    }
}

/// A server that reads a long prompt was given up before the objective of the first event.
#[gtest]
#[actix_web::test]
async fn a_stream_is_not_tried_elsewhere_before_the_objective_of_its_first_event() {
    time::pause();
    let hub = hub(vec![
        slow(Duration::ZERO, vec![after(2_800, FIRST)]),
        slow(Duration::ZERO, vec![now(FIRST)]),
    ]);
    let job = patient_job(&hub, Kind::Streaming, |route| route.objective = ms(3_000));
    expect_that!(text_of(&hub, job).await, ok(eq(FIRST)));
    expect_that!(sent_count(&hub), eq(1));
}

/// A hung server that no other could replace was chosen again and again, as its silence was not counted.
#[gtest]
#[actix_web::test]
async fn a_server_that_was_silent_until_the_deadline_is_avoided() {
    for kind in [Kind::Idempotent, Kind::Streaming] {
        time::pause();
        let hub = hub(vec![Reaction::Hang]);
        spend_budget(&hub, "engines");
        let hung = patient_job(&hub, kind, |_| {});
        expect_that!(text_of(&hub, hung).await, err(anything()), "{kind:?}");
        let server = hub.transport.sent.borrow()[0].server.clone();
        for _ in 0..20 {
            let answer = slow(Duration::ZERO, vec![now(FIRST)]);
            hub.transport.reactions.borrow_mut().push_back(answer);
            let next = patient_job(&hub, kind, |_| {});
            expect_that!(text_of(&hub, next).await, ok(eq(FIRST)));
        }
        let sent = hub.transport.sent.borrow();
        let again = sent[1..].iter().filter(|sent| sent.server == server);
        expect_that!(again.count(), eq(0), "{kind:?}");
        time::resume();
    }
}

/// ORDER: no event is lost, repeated or joined from two servers when the silent one goes on.
#[gtest]
#[actix_web::test]
async fn a_silent_server_goes_on_in_the_middle_of_an_event() {
    time::pause();
    let chunks = vec![
        now(FIRST),
        now("id: 2\nda"),
        after(2_500, "ta: b\n\nid: 3\n"),
        after(2_500, "data: c\n\n"),
    ];
    let hub = hub(vec![slow(Duration::ZERO, chunks), Reaction::Hang]);
    let job = patient_job(&hub, Kind::Streaming, |_| {});
    expect_that!(text_of(&hub, job).await, ok(eq(ALL)));
    expect_that!(busy_count(&hub), eq(0));
}

/// ORDER: a part of an event of the silent server is not joined with the events of the next one.
#[gtest]
#[actix_web::test]
async fn the_next_server_goes_on_after_the_last_complete_event() {
    // The silent server is hung, or goes on before the other one answers.
    for silence in [60_000, 2_100] {
        time::pause();
        let chunks = vec![
            now(FIRST),
            now("id: 2\nda"),
            after(silence, "ta: x\n\nid: 3\ndata: y\n\n"),
        ];
        let next = slow(ms(200), vec![now(SECOND), now(THIRD)]);
        let hub = hub(vec![slow(Duration::ZERO, chunks), next]);
        let job = patient_job(&hub, Kind::Streaming, |_| {});
        expect_that!(text_of(&hub, job).await, ok(eq(ALL)), "{silence} ms");
        expect_that!(hub.transport.sent.borrow()[1].last_event, some(eq(1)));
        expect_that!(busy_count(&hub), eq(0));
        time::resume();
    }
}

/// A silent server that breaks off while another one is awaited doesn't end the stream.
#[gtest]
#[actix_web::test]
async fn a_stream_goes_on_elsewhere_if_its_silent_server_breaks_off() {
    time::pause();
    let chunks = vec![now(FIRST), (ms(2_100), Err(Failure::Broken))];
    let next = slow(ms(1_000), vec![now(SECOND)]);
    let hub = hub(vec![slow(Duration::ZERO, chunks), next]);
    let job = patient_job(&hub, Kind::Streaming, |_| {});
    expect_that!(text_of(&hub, job).await, ok(eq(BOTH)));
    expect_that!(busy_count(&hub), eq(0));
}

/// BUDGET: a request reaches at most as many servers as its route allows, however many are silent.
#[gtest]
#[actix_web::test]
async fn silent_servers_do_not_raise_the_number_of_attempts() {
    for kind in [Kind::Idempotent, Kind::Streaming, Kind::AtMostOnce] {
        for max_attempts in 1..=3 {
            for first in [
                Reaction::Hang,
                slow(Duration::ZERO, vec![now(FIRST), after(60_000, SECOND)]),
            ] {
                time::pause();
                let hub = hub(vec![first]);
                let job = patient_job(&hub, kind, |route| route.max_attempts = max_attempts);
                let answer = text_of(&hub, job).await;
                expect_that!(answer, err(anything()), "{kind:?} {max_attempts}");
                let allowed = match kind {
                    Kind::AtMostOnce => 1,
                    Kind::Idempotent | Kind::Streaming => max_attempts as usize,
                };
                expect_that!(sent_count(&hub), le(allowed), "{kind:?} {max_attempts}");
                expect_that!(busy_count(&hub), eq(0));
                time::resume();
            }
        }
    }
}

/// BUDGET: silent servers use no more than the retry budget of their pool.
#[gtest]
#[actix_web::test]
async fn silent_servers_do_not_exceed_the_retry_budget() {
    for kind in [Kind::Idempotent, Kind::Streaming] {
        time::pause();
        let hub = hub(Vec::new());
        let count = 200;
        let jobs = (0..count).map(|_| text_of(&hub, patient_job(&hub, kind, |_| {})));
        join_all(jobs).await;
        // The bound allows 0.2 repeats for each request, and 52 more.
        expect_that!(sent_count(&hub), le(count + 40 + 52), "{kind:?}");
        expect_that!(busy_count(&hub), eq(0));
        time::resume();
    }
}

/// GONE: no attempt is left behind when the caller leaves while two are open.
#[gtest]
#[actix_web::test]
async fn both_attempts_are_dropped_when_the_caller_leaves() {
    for kind in [Kind::Idempotent, Kind::Streaming] {
        time::pause();
        let hub = hub(Vec::new());
        let job = patient_job(&hub, kind, add_stages);
        let served = time::timeout(ms(1_500), text_of(&hub, job)).await;
        expect_that!(served.is_err(), eq(true));
        expect_that!(sent_count(&hub), eq(2), "{kind:?}");
        expect_that!(busy_count(&hub), eq(0), "{kind:?}");
        time::resume();
    }
    time::pause();
    let chunks = vec![now(FIRST), after(60_000, SECOND)];
    let hub = hub(vec![slow(Duration::ZERO, chunks)]);
    let job = patient_job(&hub, Kind::Streaming, add_stages);
    let served = time::timeout(ms(2_500), text_of(&hub, job)).await;
    expect_that!(served.is_err(), eq(true));
    expect_that!(sent_count(&hub), eq(2));
    expect_that!(busy_count(&hub), eq(0));
}

/// Both attempts read the results of the stages, which are released once, when neither needs them.
#[gtest]
#[actix_web::test]
async fn the_results_of_stages_are_released_once() {
    let silent = || slow(ms(1_500), vec![now(FIRST)]);
    let answers = || slow(Duration::ZERO, vec![now(FIRST)]);
    for kind in [Kind::Idempotent, Kind::Streaming] {
        for reactions in [
            vec![silent(), Reaction::Hang],
            vec![Reaction::Hang, answers()],
            vec![silent(), Reaction::Fail(Failure::Full)],
        ] {
            time::pause();
            let hub = hub(reactions);
            let job = patient_job(&hub, kind, add_stages);
            let watch = async {
                time::sleep(ms(900)).await;
                // Three results are left, which the request reads; the two they were made from are released.
                expect_that!(hub.transport.released.borrow().len(), eq(2));
            };
            let (answer, ()) = tokio::join!(text_of(&hub, job), watch);
            expect_that!(answer, ok(eq(FIRST)), "{kind:?}");
            time::sleep(ms(5_000)).await;
            expect_that!(hub.transport.released.borrow().len(), eq(5), "{kind:?}");
            let sent = hub.transport.sent.borrow();
            expect_that!(sent.iter().all(|sent| sent.inputs == 3), eq(true));
            time::resume();
        }
    }
}

/// BUDGET: a server that is tried beside a silent one is told the time that is left.
#[gtest]
#[actix_web::test]
async fn the_next_server_is_told_the_time_that_is_left() {
    for first in [
        Reaction::Hang,
        slow(Duration::ZERO, vec![now(FIRST), after(60_000, SECOND)]),
    ] {
        time::pause();
        let hub = hub(vec![first, slow(Duration::ZERO, vec![now(SECOND)])]);
        let job = patient_job(&hub, Kind::Streaming, |_| {});
        expect_that!(text_of(&hub, job).await, ok(anything()));
        let sent = hub.transport.sent.borrow();
        expect_that!(sent[1].time_left, le(sent[0].time_left - ms(1_000)));
        time::resume();
    }
}

/// LOST: a request whose pool leaves the configuration goes on at its silent server.
#[gtest]
#[actix_web::test]
async fn a_silent_server_answers_though_its_pool_left_the_configuration() {
    for (kind, reaction) in [
        (Kind::Idempotent, slow(ms(3_000), vec![now(BOTH)])),
        (Kind::Streaming, slow(ms(3_000), vec![now(BOTH)])),
        (
            Kind::Streaming,
            slow(Duration::ZERO, vec![now(FIRST), after(3_000, SECOND)]),
        ),
    ] {
        time::pause();
        let hub = hub(vec![reaction]);
        let job = patient_job(&hub, kind, |_| {});
        let change = async {
            time::sleep(ms(500)).await;
            hub.with(|state| {
                let config = site::Config::new(2, Vec::new(), Vec::new(), None);
                state.config = Some(Rc::new(config));
            });
        };
        let (answer, ()) = tokio::join!(text_of(&hub, job), change);
        expect_that!(answer, ok(eq(BOTH)), "{kind:?}");
        time::resume();
    }
}

/// LOST: a request that a configuration had admitted found no server once a newer one had dropped its pool.
#[gtest]
#[actix_web::test]
async fn a_request_keeps_its_pool_beside_a_silent_server_when_the_configuration_drops_it() {
    for kind in [Kind::Idempotent, Kind::Streaming] {
        time::pause();
        let hub = hub(vec![slow(ms(3_000), vec![now(FIRST)])]);
        let job = patient_job(&hub, kind, |_| {});
        let change = async {
            time::sleep(ms(500)).await;
            hub.with(|state| {
                let config = site::Config::new(2, Vec::new(), Vec::new(), None);
                state.config = Some(Rc::new(config));
            });
        };
        let (answer, ()) = tokio::join!(text_of(&hub, job), change);
        expect_that!(answer, ok(eq(FIRST)), "{kind:?}");
        expect_that!(sent_count(&hub), eq(2), "{kind:?}");
        time::resume();
    }
}

/// A server that goes on after each silence, in time for the request's deadline and for a caller that waits for whole
/// events.
fn sound_server() -> impl Strategy<Value = Reaction> {
    let silence = prop_oneof![6 => 0..300_u64, 2 => 900..1_600_u64, 1 => 1_900..3_300_u64];
    let silences = collection::vec(silence, 9);
    let silences = silences.prop_filter("too long", |all| {
        let longest = all[1..].chunks(2).map(|halves| halves.iter().sum()).max();
        all.iter().sum::<u64>() < 7_500
            && all[..3].iter().sum::<u64>() < 3_500
            && longest < Some(3_500)
    });
    silences.prop_map(|silences| Reaction::Events {
        head_delay: ms(silences[0]),
        silences: silences[1..].iter().map(|silence| ms(*silence)).collect(),
    })
}

/// A server that refuses, breaks off before its head, hangs, or answers soon.
fn other_server() -> impl Strategy<Value = Reaction> {
    let failure = prop_oneof![
        Just(Failure::Broken),
        Just(Failure::Full),
        Just(Failure::InputGone),
        Just(Failure::Moved),
        Just(Failure::Rejected),
        Just(Failure::Unreachable),
    ];
    prop_oneof![
        Just(Reaction::Hang),
        (0..1_500_u64, failure)
            .prop_map(|(delay, failure)| Reaction::FailAfter(ms(delay), failure)),
        (0..1_500_u64).prop_map(|delay| Reaction::Events {
            head_delay: ms(delay),
            silences: vec![ms(20); 8],
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// LOST, ORDER, TWICE: whatever other servers do, a request whose first server is sound is answered whole, no silence
    /// of a stream is longer than its caller's patience, and what may run once is sent once.
    #[test]
    fn a_request_whose_first_server_is_sound_is_answered_whole(
        kind in prop_oneof![
            2 => Just(Kind::Streaming),
            2 => Just(Kind::Idempotent),
            1 => Just(Kind::AtMostOnce),
        ],
        first in sound_server(),
        others in collection::vec(other_server(), 4),
        max_attempts in 1..=3_u32,
        has_stages in any::<bool>(),
        is_budget_spent in any::<bool>(),
    ) {
        let run = async {
            time::pause();
            let reactions = core::iter::once(first.clone()).chain(others.clone());
            let hub = hub(reactions.collect());
            if is_budget_spent {
                spend_budget(&hub, "engines");
            }
            let job = patient_job(&hub, kind, |route| {
                route.max_attempts = max_attempts;
                if has_stages {
                    add_stages(route);
                }
            });
            let answer = answer_of(&hub, job).await;
            let sent = hub.transport.sent.borrow().clone();
            // A call to a stage server goes on, as it may hold pieces of other requests.
            let loads = hub.with(|state| state.fleet.local_loads());
            let busy = loads.iter().any(|load| load.server != "i-3".into());
            time::sleep(Duration::from_secs(10)).await;
            let busy = busy || busy_count(&hub) > 0;
            let made: usize = hub.transport.batch_sizes.borrow().iter().sum();
            (answer, sent, busy, made, hub.transport.released.borrow().len())
        };
        let (answer, sent, busy, made, released) = actix_web::rt::System::new().block_on(run);
        let whole = EVENTS.as_flattened().concat();
        match answer {
            Ok((text, silence)) => {
                prop_assert_eq!(text, whole, "{:?}", sent);
                let is_patient = kind != Kind::Streaming || silence < PATIENCE;
                prop_assert!(is_patient, "{:?} {:?}", silence, sent);
            }
            Err(code) => prop_assert!(false, "{:?} {:?}", code, sent),
        }
        prop_assert!(kind != Kind::AtMostOnce || sent.len() == 1, "{:?}", sent);
        prop_assert!(!busy);
        prop_assert_eq!(made, released);
    }
}
