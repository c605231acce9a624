//! At most one call for a slot, and true answers, under every order of events.

mod world;

use googletest::prelude::*;
use proptest::{
    collection,
    prelude::*,
    test_runner::{Config, FileFailurePersistence, RngSeed},
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use world::{Setup, World};

fn setups() -> impl Strategy<Value = Setup> {
    (2..4_usize, 1..4_usize, any::<bool>()).prop_map(|(instances, slots, expiry)| Setup {
        instances,
        slots,
        expiry,
    })
}

/// The same cases on every run; `examples/soak.rs` looks for others.
fn fixed() -> Config {
    let regressions = FileFailurePersistence::WithSource("regressions");
    Config {
        cases: 256,
        failure_persistence: Some(Box::new(regressions)),
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn no_order_of_events_calls_twice(
        setup in setups(),
        choices in collection::vec(any::<u32>(), 1..600),
    ) {
        let mut world = World::open(setup);
        for choice in choices {
            world.step(choice);
        }
        world.heal();
    }
}

#[gtest]
fn fixed_seeds_call_at_most_once_and_reach_every_kind_of_answer() {
    let mut counts = world::Counts::default();
    for seed in 0..8 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::open(Setup {
            instances: 3,
            slots: 3,
            expiry: true,
        });
        for _ in 0..5_000 {
            world.step(random.random());
        }
        world.heal();
        counts += world.counts;
    }
    println!("{counts:?}");
    for count in [
        counts.answered,
        counts.not_run,
        counts.unknown,
        counts.in_progress,
        counts.lost_answers,
        counts.pauses,
        counts.restarts,
    ] {
        expect_that!(count, gt(10));
    }
}
