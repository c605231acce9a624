//! Instances and a log that drops records, under every kind of trouble between them.

mod world;

use googletest::prelude::*;
use proptest::{
    prelude::{Strategy, any, prop_oneof},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use world::{Fate, World};

const CASES: u32 = 64;

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Op {
    Accept(usize, u8, u8, u64, Fate),
    Pass(u64, Fate),
    Restart(usize),
    Sleep(usize),
    View(usize, u8),
    Wake(usize),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => proptest::strategy::Just(Fate::Whole),
        1 => proptest::strategy::Just(Fate::Lost),
        1 => proptest::strategy::Just(Fate::Doubled),
        1 => (1u64..100).prop_map(Fate::Late),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let at = || 0..world::INSTANCES;
    prop_oneof![
        4 => (at(), 0u8..4, 0u8..2, 20u64..150, fate())
            .prop_map(|(at, key, body, left, fate)| Op::Accept(at, key, body, left, fate)),
        6 => (1u64..30, fate()).prop_map(|(steps, fate)| Op::Pass(steps, fate)),
        1 => at().prop_map(Op::Restart),
        1 => at().prop_map(Op::Sleep),
        1 => (at(), any::<u8>()).prop_map(|(at, mask)| Op::View(at, mask)),
        1 => at().prop_map(Op::Wake),
    ]
}

fn run(ops: Vec<Op>) {
    let mut world = World::open();
    for op in ops {
        match op {
            Op::Accept(at, key, body, left, fate) => world.accept(at, key, body, left, fate),
            Op::Pass(steps, fate) => world.pass(steps, fate),
            Op::Restart(at) => world.restart(at),
            Op::Sleep(at) => world.sleep(at),
            Op::View(at, mask) => world.view(at, mask),
            Op::Wake(at) => world.wake(at),
        }
        world.check();
    }
    world.settle();
}

/// Returns the number of schedules, which `PROPTEST_CASES` may raise.
fn cases() -> u32 {
    let asked = std::env::var("PROPTEST_CASES").ok();
    asked.and_then(|cases| cases.parse().ok()).unwrap_or(CASES)
}

#[gtest]
fn stored_tasks_end_once_and_every_reader_agrees() {
    let config = Config {
        cases: cases(),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[1; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedules = proptest::collection::vec(op(), 1..80);
    let done = runner.run(&schedules, |ops| {
        run(ops);
        Ok(())
    });
    done.unwrap_or_else(|error| panic!("{error}"));
}
