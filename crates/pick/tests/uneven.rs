//! Engines of one pool differ in speed, for good or for moments, or misreport how fast they are.

mod pool;

use base::{Name, Tick};
use googletest::prelude::*;
use pick::{
    Fleet, engine,
    fleet::{Completion, Load},
    plain,
};
use pool::{Scenario, run};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const THREE_SPEEDS: Scenario = Scenario {
    speed: |at, _| [0.6, 1.0, 1.6][at % 3],
    figure: |_, _| None,
    engines: 18,
    instances: 6,
    total_speed: 19.2,
    utilization: 0.8,
    seconds: 60,
    learns: true,
};

/// The number of runs; single runs differ by a tenth.
const RUNS: u64 = 12;

/// Returns the averages of the mean and of the 99th percentile, with and without learning.
fn compare(scenario: &Scenario, title: &str) -> [(f64, f64); 2] {
    [true, false].map(|learns| {
        let scenario = Scenario {
            learns,
            ..scenario.clone()
        };
        let outcomes: Vec<_> = (1..=RUNS).map(|seed| run(&scenario, seed)).collect();
        let mean = outcomes.iter().map(pool::Outcome::mean).sum::<f64>() / RUNS as f64;
        let tail = outcomes
            .iter()
            .map(|outcome| outcome.percentile(0.99))
            .sum::<f64>()
            / RUNS as f64;
        println!("{title}, learns {learns}: mean {mean:.1} ms, 99th percentile {tail:.1} ms");
        (mean, tail)
    })
}

/// Engines at 0.6, 1.0 and 1.6 of the usual speed got equal queues.
#[gtest]
fn three_speeds_under_load() {
    let [learned, unaware] = compare(&THREE_SPEEDS, "three speeds");
    expect_that!(learned.0, lt(unaware.0 * 0.9));
    expect_that!(learned.1, lt(unaware.1 * 0.9));
}

/// Learning from noise must not make equal engines worse than choosing without it.
#[gtest]
fn equal_engines_are_chosen_as_well_as_before() {
    let equal = Scenario {
        speed: |_, _| 1.0,
        total_speed: 18.0,
        ..THREE_SPEEDS
    };
    let [learned, unaware] = compare(&equal, "equal");
    expect_that!(learned.0, lt(unaware.0 * 1.05));
    expect_that!(learned.1, lt(unaware.1 * 1.05));
}

fn flipped(at: usize, now: Tick) -> bool {
    at == 0 && (now - Tick::default()).as_millis() / 600 % 2 == 1
}

/// An engine that is 2.5 times slower every other 600 ms must neither be ejected nor draw the others' work.
#[gtest]
fn an_engine_that_flips_its_speed() {
    let flips = Scenario {
        speed: |at, now| if flipped(at, now) { 0.4 } else { 1.0 },
        figure: |at, now| Some(if flipped(at, now) { 250 } else { 100 }),
        total_speed: 17.7,
        ..THREE_SPEEDS
    };
    let [learned, unaware] = compare(&flips, "one flips");
    expect_that!(learned.0, lt(unaware.0 * 1.05));
    expect_that!(learned.1, lt(unaware.1 * 1.05));
    let counts = run(&flips, 4).counts;
    let others = counts[1..].iter().sum::<usize>() / (counts.len() - 1);
    expect_that!(counts[0], ge(others / 4));
    expect_that!(counts[0], lt(others));
}

/// An engine that states to be twice as fast as it is drew more work than it could do.
#[gtest]
fn an_engine_that_misreports_is_judged_by_its_answers() {
    let misreports = Scenario {
        speed: |at, _| if at == 0 { 0.6 } else { 1.0 },
        figure: |at, _| Some(if at == 0 { 50 } else { 100 }),
        total_speed: 17.6,
        ..THREE_SPEEDS
    };
    let [learned, unaware] = compare(&misreports, "one misreports");
    expect_that!(learned.0, lt(unaware.0 * 1.05));
    expect_that!(learned.1, lt(unaware.1 * 1.05));
    let counts = run(&misreports, 4).counts;
    let others = counts[1..].iter().sum::<usize>() / (counts.len() - 1);
    expect_that!(counts[0], lt(others));
}

/// Makes all instances choose at the same moment, and returns the largest ratio of an engine's requests to its share
/// by speed.
fn busiest(outcome: &pool::Outcome, speeds: &[f64], choices: u64) -> f64 {
    let servers: Vec<_> = (0..speeds.len()).map(pool::server).collect();
    let listed: Vec<_> = servers.iter().collect();
    let mut counts = vec![0.0; speeds.len()];
    // All queues that were reported have emptied by then.
    let now = Tick::from_millis(64_000);
    for seed in 0..choices {
        let fleet = &outcome.fleets[seed as usize % outcome.fleets.len()];
        let mut idle = Fleet::default();
        idle.speeds = fleet.speeds.clone();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cx = plain::Context {
            now,
            domain: &Name::from("a"),
            tried: &[],
            rng: &mut rng,
        };
        let affinity = engine::Affinity {
            domain: None,
            penalty_ms: 0.0,
        };
        let prompt = pool::prompt(seed, 4_000);
        let choice = engine::choose(&idle, &mut cx, &prompt, affinity, &listed).unwrap();
        let at = servers.iter().position(|one| one.id == choice.server.id);
        counts[at.unwrap()] += 1.0;
    }
    let total: f64 = speeds.iter().sum();
    let ratios = counts.iter().zip(speeds);
    let ratios = ratios.map(|(count, speed)| count / (choices as f64 * speed / total));
    ratios.fold(0.0, f64::max)
}

/// 400 instances that know the same speeds all chose the fastest engine.
#[gtest]
fn instances_that_choose_at_once_spread_over_the_engines() {
    let speeds: Vec<_> = (0..18)
        .map(|at| (THREE_SPEEDS.speed)(at, Tick::default()))
        .collect();
    let ratio = busiest(&run(&THREE_SPEEDS, 1), &speeds, 4_000);
    println!("three speeds: the busiest engine has {ratio:.2} times its share");
    expect_that!(ratio, lt(2.0));

    let one_fast = Scenario {
        speed: |at, _| if at == 0 { 2.0 } else { 1.0 },
        total_speed: 19.0,
        ..THREE_SPEEDS
    };
    let mut speeds = vec![1.0; 18];
    speeds[0] = 2.0;
    let ratio = busiest(&run(&one_fast, 1), &speeds, 4_000);
    println!("one fast engine: the busiest engine has {ratio:.2} times its share");
    expect_that!(ratio, lt(2.0));
}

/// An engine without answers got no work beside engines that are known to be fast.
#[gtest]
fn a_new_engine_gets_work() {
    let outcome = run(&THREE_SPEEDS, 1);
    let mut fleet = Fleet::default();
    fleet.speeds = outcome.fleets[0].speeds.clone();
    let servers: Vec<_> = (0..19).map(pool::server).collect();
    let listed: Vec<_> = servers.iter().collect();
    let chosen = (0..400).filter(|seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(*seed);
        let mut cx = plain::Context {
            now: Tick::from_millis(64_000),
            domain: &Name::from("a"),
            tried: &[],
            rng: &mut rng,
        };
        let affinity = engine::Affinity {
            domain: None,
            penalty_ms: 0.0,
        };
        let prompt = pool::prompt(*seed, 4_000);
        let choice = engine::choose(&fleet, &mut cx, &prompt, affinity, &listed).unwrap();
        choice.server.id == Name::from("i-18")
    });
    expect_that!(chosen.count(), ge(4));
}

/// Returns how many of 400 requests each of four plain servers gets when all are known to take 30 ms.
fn plain_counts(prepare: impl Fn(&mut Fleet, Tick)) -> Vec<usize> {
    let servers: Vec<_> = (0..4).map(pool::server).collect();
    let now = Tick::from_millis(5_000);
    let mut fleet = Fleet::default();
    for server in &servers {
        let latency = core::time::Duration::from_millis(30);
        fleet.record_start(now, &server.id, 0);
        fleet.record_completion(now, &server.id, Completion::Answered { latency });
    }
    prepare(&mut fleet, now);
    let mut counts = vec![0; servers.len()];
    for seed in 0..400 {
        let mut cx = plain::Context {
            now,
            domain: &Name::from("a"),
            tried: &[],
            rng: &mut ChaCha8Rng::seed_from_u64(seed),
        };
        let chosen = plain::choose(&fleet, &mut cx, servers.iter()).unwrap();
        let at = servers.iter().position(|server| server.id == chosen.id);
        counts[at.unwrap()] += 1;
    }
    counts
}

/// Plain servers were chosen without regard to their momentary speed, and to the calls of other instances.
#[gtest]
fn a_plain_server_that_is_slow_or_busy_now_gets_less() {
    let usual = plain_counts(|_, _| {});
    expect_that!(usual, each(ge(&70)));
    let slow = plain_counts(|fleet, now| {
        fleet.speeds.record_momentary(now, &"i-0".into(), 1, 250);
    });
    expect_that!(slow[0], le(5));
    let busy = plain_counts(|fleet, now| {
        let load = Load {
            server: "i-0".into(),
            tokens: 0,
            running: 64,
        };
        fleet.record_peer_loads(now, &"n".into(), vec![load]);
    });
    expect_that!(busy[0], le(5));
}
