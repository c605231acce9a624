//! What instances learn of the speed of a server, and tell each other.

use core::time::Duration;
use std::rc::Rc;

use base::{Name, Tick};
use googletest::prelude::*;
use pick::{
    Fleet,
    engine::{self, Affinity, Part, Prompt},
    fleet::{Completion, Load},
    plain,
    speed::{MAX_TOLD, Speeds, Told},
};
use rand::{Rng, RngExt};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use site::roster::Server;

fn server(at: usize) -> Rc<Server> {
    Rc::new(Server {
        id: format!("i-{at}").into(),
        pool: "engines".into(),
        address: format!("10.0.0.{at}:80").parse().unwrap(),
        domain: if at.is_multiple_of(2) { "a" } else { "b" }.into(),
        slots: 6,
        leaving: false,
        started_at_ms: 5,
        version: None,
    })
}

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

/// The state of one server as `earlier_engine` and `earlier_plain` see it.
#[derive(Clone, Copy, Default)]
struct Queue {
    running: u32,
    tokens: u64,
    peer_running: u32,
    peer_tokens: u64,
    failures: u32,
}

/// The cost of an engine before speeds were learned.
fn earlier_engine(queue: Queue, tokens: u64, is_remote: bool, rng: &mut impl Rng) -> f64 {
    let jitter = 1.0 + 0.3 * rng.random::<f64>();
    let mut cost = (queue.tokens + queue.peer_tokens + tokens) as f64 / 45.0 * jitter;
    cost += f64::from(queue.running + queue.peer_running) + 120.0 * f64::from(queue.failures);
    cost + if is_remote { 40.0 } else { 0.0 }
}

/// The cost of a plain server before speeds were learned.
fn earlier_plain(queue: Queue, is_remote: bool, rng: &mut impl Rng) -> f64 {
    let utilization = f64::from(queue.running) / 6.0;
    let penalty = if is_remote { 2.0 } else { 0.0 };
    let jitter = 1.0 + 0.3 * rng.random::<f64>();
    (30.0 * (1.0 + utilization) + penalty) * jitter + 120.0 * f64::from(queue.failures)
}

fn lowest(costs: impl Iterator<Item = f64>) -> usize {
    let lowest = costs.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
    lowest.unwrap().0
}

/// Deployments of equal servers must be served as before: without evidence, the same random numbers lead to the same
/// choice as the formula without speeds.
#[gtest]
fn without_evidence_the_choice_is_the_earlier_one() {
    let servers: Vec<_> = (0..8).map(server).collect();
    let listed: Vec<_> = servers.iter().collect();
    let (now, domain) = (at(1_000), Name::from("a"));
    let prompt = Prompt {
        parts: vec![Part {
            id: 3,
            tokens: 4_000,
        }],
        input_tokens: 4_000,
        max_output_tokens: 800,
    };
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::default();
        let mut reports = Vec::new();
        let mut queues = vec![Queue::default(); servers.len()];
        for (queue, server) in queues.iter_mut().zip(&servers) {
            queue.failures = u32::from(rng.random_bool(0.2));
            for _ in 0..queue.failures {
                fleet.record_start(now, &server.id, 0);
                fleet.record_completion(now, &server.id, Completion::Failed);
            }
            for _ in 0..rng.random_range(0..3) {
                let tokens = rng.random_range(0..3_000);
                // The start of a prompt is no evidence of a speed.
                fleet.record_prompt_sent(now, server, tokens);
                fleet.record_start(now, &server.id, tokens);
                queue.running += 1;
                queue.tokens += tokens;
            }
            queue.peer_running = rng.random_range(0..3);
            queue.peer_tokens = rng.random_range(0..3_000);
            reports.push(Load {
                server: server.id.clone(),
                tokens: queue.peer_tokens,
                running: queue.peer_running,
            });
        }
        let mut cx = plain::Context {
            now,
            domain: &domain,
            tried: &[],
            rng: &mut ChaCha8Rng::seed_from_u64(seed),
        };
        let chosen = plain::choose(&fleet, &mut cx, servers.iter()).unwrap();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let costs = queues.iter().zip(&servers);
        let costs =
            costs.map(|(queue, server)| earlier_plain(*queue, server.domain != domain, &mut rng));
        expect_that!(chosen.id, eq(&servers[lowest(costs)].id));

        fleet.record_peer_loads(now, &"n".into(), reports);
        *cx.rng = ChaCha8Rng::seed_from_u64(seed);
        let affinity = Affinity {
            domain: Some(&domain),
            penalty_ms: 40.0,
        };
        let choice = engine::choose(&fleet, &mut cx, &prompt, affinity, &listed).unwrap();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let costs = queues.iter().zip(&servers).map(|(queue, server)| {
            earlier_engine(*queue, 4_000, server.domain != domain, &mut rng)
        });
        expect_that!(choice.server.id, eq(&servers[lowest(costs)].id));
    }
}

/// Answers prompts at four engines at 157 tokens per millisecond and 60 ms; the last one takes `ratio` times as long.
fn answer(fleet: &mut Fleet, rounds: u64, ratio: f64) -> Tick {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut now = at(1_000);
    for _ in 0..rounds {
        for number in 0..4 {
            let tokens = rng.random_range(1_000..20_000);
            let ms = (60.0 + tokens as f64 / 157.0) * if number == 3 { ratio } else { 1.0 };
            let ms = ms * rng.random_range(0.9..1.1);
            let reading = fleet.record_prompt_sent(now, &server(number), tokens);
            now = now + Duration::from_secs_f64(ms / 1e3);
            fleet.record_first_event(now, &server(number), reading);
        }
    }
    now
}

/// The code assumed 45 tokens per millisecond, where pools read 38 and 157.
#[gtest]
fn the_rate_of_a_pool_is_learned() {
    let mut fleet = Fleet::default();
    expect_that!(fleet.tokens_per_ms(&"engines".into()), eq(45.0));
    answer(&mut fleet, 16, 1.0);
    let rate = fleet.tokens_per_ms(&"engines".into());
    expect_that!(rate, all![gt(140.0), lt(175.0)]);
}

#[gtest]
fn a_slow_engine_is_told_apart_from_noise() {
    let mut fleet = Fleet::default();
    let now = answer(&mut fleet, 30, 1.67);
    let slow = fleet.speeds.reading(now, &"i-3".into());
    expect_that!(slow, all![gt(1.35), lt(1.75)]);
    for usual in ["i-0", "i-1", "i-2"] {
        let ratio = fleet.speeds.reading(now, &usual.into());
        expect_that!(ratio, all![gt(0.93), lt(1.07)]);
    }
    // Evidence decays.
    let later = now + Duration::from_secs(600);
    expect_that!(fleet.speeds.reading(later, &"i-3".into()), eq(1.0));
}

/// An engine looked fast when only its fast answers had finished.
#[gtest]
fn calls_in_flight_count_with_the_time_that_they_have_taken() {
    let mut fleet = Fleet::default();
    let now = answer(&mut fleet, 16, 1.0);
    let before = fleet.speeds.reading(now, &"i-0".into());
    let readings: Vec<_> = (0..12)
        .map(|_| fleet.record_prompt_sent(now, &server(0), 4_000))
        .collect();
    expect_that!(fleet.speeds.reading(now, &"i-0".into()), eq(before));
    let later = now + Duration::from_secs(1);
    expect_that!(fleet.speeds.reading(later, &"i-0".into()), gt(1.3));
    // Calls that were given up show nothing any more.
    for reading in readings {
        fleet.speeds.forget_reading(&"i-0".into(), reading);
    }
    expect_that!(fleet.speeds.reading(later, &"i-0".into()), lt(1.1));
}

/// What was learned of a server must not be applied to another run of it.
#[gtest]
fn another_run_of_a_server_is_judged_anew() {
    let mut fleet = Fleet::default();
    let now = answer(&mut fleet, 30, 1.67);
    let (id, told) = (Name::from("i-3"), |started_at_ms, reading| Told {
        server: "i-3".into(),
        started_at_ms,
        reading,
        writing: 100,
        weight: 20,
    });
    fleet.speeds.record_told(now, &told(4, 50));
    expect_that!(fleet.speeds.reading(now, &id), gt(1.3));
    fleet.speeds.record_told(now, &told(6, 100));
    expect_that!(fleet.speeds.reading(now, &id), eq(1.0));
}

/// A message must be bounded, and not be answered by one that says the same.
#[gtest]
fn speeds_are_told_in_bounded_messages() {
    let mut fleet = Fleet::default();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let now = at(9_000);
    for _ in 0..12 {
        for number in 0..200 {
            let tokens = rng.random_range(1_000..20_000);
            let ratio = if number < 100 { 1.0 } else { 2.5 };
            let ms = (60.0 + tokens as f64 / 157.0) * ratio;
            let reading = fleet.record_prompt_sent(now, &server(number), tokens);
            let later = now + Duration::from_secs_f64(ms / 1e3);
            fleet.record_first_event(later, &server(number), reading);
        }
    }
    let changed = fleet.speeds.changed(now + Duration::from_millis(100));
    expect_that!(changed.len(), eq(MAX_TOLD));
    expect_that!(
        fleet.speeds.changed(now + Duration::from_secs(3)).len(),
        eq(0)
    );
    let mut other = Speeds::default();
    for told in &changed {
        other.record_told(now, told);
    }
    expect_that!(other.uneven_count(now), ge(MAX_TOLD / 2));
    expect_that!(other.changed(now).len(), eq(0));
}

/// A speed that no longer holds must not be kept alive by instances that tell it each other: a server has become as fast
/// as its pool, and ten instances see 0.2 answers a second of it.
#[gtest]
fn speeds_that_no_longer_hold_die_out() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let told = Told {
        server: "i-3".into(),
        started_at_ms: 5,
        reading: 167,
        writing: 100,
        weight: 30,
    };
    let mut fleets = vec![Fleet::default(); 10];
    for fleet in &mut fleets {
        answer(fleet, 16, 1.67);
        fleet.speeds.record_told(at(60_000), &told);
        expect_that!(fleet.speeds.reading(at(60_000), &"i-3".into()), gt(1.4));
    }
    for second in 60..240 {
        let now = at(second * 1_000);
        for fleet in &mut fleets {
            for number in 0..4 {
                if rng.random_bool(0.8) {
                    continue;
                }
                let tokens = rng.random_range(1_000..20_000);
                let ms = (60.0 + tokens as f64 / 157.0) * rng.random_range(0.9..1.1);
                let reading = fleet.record_prompt_sent(now, &server(number), tokens);
                let later = now + Duration::from_secs_f64(ms / 1e3);
                fleet.record_first_event(later, &server(number), reading);
            }
        }
        let changed: Vec<_> = fleets
            .iter()
            .map(|fleet| fleet.speeds.changed(now))
            .collect();
        for (from, changed) in changed.iter().enumerate() {
            for (to, fleet) in fleets.iter_mut().enumerate() {
                for told in changed.iter().filter(|_| to != from) {
                    fleet.speeds.record_told(now, told);
                }
            }
        }
    }
    for fleet in &fleets {
        let ratio = fleet.speeds.reading(at(240_000), &"i-3".into());
        println!("{ratio:.2} after 180 s");
        expect_that!(ratio, lt(1.15));
    }
}

/// Noise must not make instances answer each other's messages: 20 instances see 0.1 answers a second of each of 40 engines,
/// 15% of which take 2.5 times as long, and tell each other all changes.
#[gtest]
fn messages_about_speeds_stay_few() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let engines: Vec<_> = (0..40).map(server).collect();
    let mut fleets = vec![Fleet::default(); 20];
    let mut told = 0;
    let seconds = 300;
    for second in 0..seconds {
        let now = at(1_000 + second * 1_000);
        for fleet in &mut fleets {
            for (number, engine) in engines.iter().enumerate() {
                if !rng.random_bool(0.1) {
                    continue;
                }
                let tokens = rng.random_range(1_000..20_000);
                let ratio = [0.625, 1.0, 1.0, 1.67][number % 4];
                let ratio = if rng.random_bool(0.15) {
                    ratio * 2.5
                } else {
                    ratio
                };
                let ms = (60.0 + tokens as f64 / 157.0) * ratio * rng.random_range(0.8..1.25);
                let reading = fleet.record_prompt_sent(now, engine, tokens);
                let later = now + Duration::from_secs_f64(ms / 1e3);
                fleet.record_first_event(later, engine, reading);
            }
        }
        let now = now + Duration::from_millis(500);
        let changed: Vec<_> = fleets
            .iter()
            .map(|fleet| fleet.speeds.changed(now))
            .collect();
        for (from, changed) in changed.iter().enumerate() {
            if second >= seconds / 2 {
                told += changed.len();
            }
            for (to, fleet) in fleets.iter_mut().enumerate() {
                for told in changed.iter().filter(|_| to != from) {
                    fleet.speeds.record_told(now, told);
                }
            }
        }
    }
    let rate = told as f64 / (fleets.len() as f64 * seconds as f64 / 2.0);
    println!("{rate:.3} speeds told by each instance a second");
    expect_that!(rate, le(0.3));
    let now = at(1_000 + seconds * 1_000);
    for fleet in &fleets {
        expect_that!(fleet.speeds.reading(now, &"i-3".into()), gt(1.2));
        expect_that!(fleet.speeds.reading(now, &"i-0".into()), lt(0.85));
    }
}
